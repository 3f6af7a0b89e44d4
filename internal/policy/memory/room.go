package memory

import (
	"cmp"
	"slices"
	"time"
)

// usable returns how many bytes there may be in all once a hold has what it wants.
func (a *Account) usable(h *hold) int64 {
	requests := a.total.bytes - a.ofConnections() - h.bytes
	if a.isSmall(h) || requests <= 0 {
		return a.Limit
	}
	return a.Limit - a.Limit/keptPart
}

func (a *Account) ofConnections() int64 { return a.used[Idle] + a.used[Connection] }

// isSmall says whether a hold may use the memory that is kept from large bodies.
func (a *Account) isSmall(h *hold) bool { return h.kind != Body || h.bytes+h.wants <= small }

// largeWaits says whether a large body waits for room: another one must not overtake it.
func (a *Account) largeWaits() bool {
	return slices.ContainsFunc(a.waiting, func(h *hold) bool { return !a.isSmall(h) })
}

// shortage is what must be released before a hold can have what it wants.
type shortage struct {
	bytes      int64 // of any kind
	connection int64 // bytes of connections
	places     int
}

func (s shortage) none() bool { return s.bytes <= 0 && s.connection <= 0 && s.places <= 0 }

// relieved returns what is still missing after another hold has been released.
func (s shortage) relieved(by *hold) shortage {
	s.bytes -= by.bytes
	s.places -= by.places
	if by.kind.ofConnection() {
		s.connection -= by.bytes
	}
	return s
}

// helps says whether the release of a hold would relieve a shortage.
func (s shortage) helps(by *hold) bool {
	return s.bytes > 0 && by.bytes > 0 || s.places > 0 && by.places > 0 || s.connection > 0 && by.kind.ofConnection()
}

func (a *Account) shortage(h *hold) shortage {
	var s shortage
	if a.Limit > 0 && h.wants > 0 {
		s.bytes = a.total.bytes + h.wants - a.usable(h)
		if h.kind.ofConnection() {
			s.connection = a.ofConnections() + h.wants - a.Limit/connectionPart
		}
	}
	if a.Places > 0 && h.wantsPlaces > 0 {
		s.places = a.total.places + h.wantsPlaces - a.Places
	}
	return s
}

func (a *Account) fits(h *hold) bool { return a.shortage(h).none() }

// possible says whether a hold could have what it wants if there were no others.
func (a *Account) possible(h *hold) bool {
	most := a.Limit
	if h.kind.ofConnection() {
		most /= connectionPart
	}
	return (a.Limit <= 0 || h.bytes+h.wants <= most) && (a.Places <= 0 || h.places+h.wantsPlaces <= a.Places)
}

// The order in which holds are closed.
const (
	unread    = iota // no request is lost
	unsent           // requests that are refused have not run
	protected        // never closed for others
)

// rank says when a hold is closed for others.
func (h *hold) rank(now time.Time) int {
	switch h.kind {
	case Idle:
		return unread
	case Answer:
		if now.Sub(h.since) >= stalled {
			return unread
		}
	case Body, Waiting:
		return unsent
	}
	return protected
}

// victims returns which holds to close for one that finds no room, and whether that will
// be enough together with those that are being closed already.
func (a *Account) victims(now time.Time, h *hold) ([]ID, bool) {
	missing := a.shortage(h)
	var others []*hold
	for _, other := range a.holds {
		switch {
		case other == h:
		case other.closing:
			missing = missing.relieved(other)
		case a.yields(now, other, h):
			others = append(others, other)
		}
	}
	slices.SortFunc(others, func(one, two *hold) int {
		return cmp.Or(cmp.Compare(one.rank(now), two.rank(now)), -cmp.Compare(a.weight(one), a.weight(two)),
			two.since.Compare(one.since), cmp.Compare(two.id, one.id))
	})
	var closed []ID
	for _, other := range others {
		if missing.none() {
			break
		}
		if missing.helps(other) {
			closed = append(closed, other.id)
			missing = missing.relieved(other)
		}
	}
	return closed, missing.none()
}

// yields says whether a hold may be closed for another one: for one of the same caller
// that comes later in the order, or for one of a caller who will still use less.
func (a *Account) yields(now time.Time, h, other *hold) bool {
	rank := h.rank(now)
	if rank == protected {
		return false
	}
	if h.owner.Address == other.owner.Address && rank < other.rank(now) {
		return true
	}
	if h.owner.Address != other.owner.Address && a.uses(a.addresses[h.owner.Address], a.addresses[other.owner.Address], other) {
		return true
	}
	one, two := h.owner.Workspace, other.owner.Workspace
	return one != "" && two != "" && one != two && a.uses(a.workspaces[one], a.workspaces[two], other)
}

// uses says whether one sum is above another one after a hold has what it wants.
func (a *Account) uses(one, two usage, wants *hold) bool {
	if wants.wantsPlaces > 0 && a.Places > 0 && a.total.places+wants.wantsPlaces > a.Places {
		return one.places > two.places+wants.wantsPlaces
	}
	return one.bytes > two.bytes+wants.wants
}

// weight is the larger one of what a hold's caller address and its workspace use.
func (a *Account) weight(h *hold) int64 {
	weight := a.addresses[h.owner.Address].bytes
	if h.owner.Workspace != "" {
		weight = max(weight, a.workspaces[h.owner.Workspace].bytes)
	}
	return weight
}

// settle grants what waits and has room now: those first whose callers use least, and of
// those the oldest. A large body that finds no room keeps later ones from overtaking.
func (a *Account) settle() {
	if len(a.waiting) == 0 {
		return
	}
	order := slices.Clone(a.waiting)
	weights := make(map[ID]int64, len(order))
	for _, h := range order {
		weights[h.id] = a.weight(h)
	}
	slices.SortFunc(order, func(one, two *hold) int {
		return cmp.Or(cmp.Compare(weights[one.id], weights[two.id]), cmp.Compare(one.id, two.id))
	})
	blocked := false
	for _, h := range order {
		large := !a.isSmall(h)
		switch {
		case large && blocked:
		case a.fits(h):
			bytes, places := h.wants, h.wantsPlaces
			a.leave(h)
			h.wants, h.wantsPlaces = bytes, places
			a.grant(h)
			a.granted = append(a.granted, h.id)
		case large:
			blocked = true
		}
	}
}
