// Package memory decides what a process may hold in memory, and how many connections
// it may have, on behalf of those that it serves. Each use is reserved before it is
// made. Where room is short, a use waits or is refused, or others are closed for it:
// those that cost their callers least first, and of those the ones whose callers use
// more than the one that asks.
package memory

import (
	"net/netip"
	"time"
)

// Kind is what a hold is used for.
type Kind int

// Kinds of holds.
const (
	Idle       Kind = iota // a connection without a request that has been read, its head included
	Connection             // a connection whose request is being served
	Body                   // a request whose body is being read
	Waiting                // a request that waits for a backend server
	Running                // a request that has been sent to a backend server
	Stream                 // a stream that has begun
	Answer                 // an answer that is being written to its caller
	Freed                  // what has been released and is not collected yet
	kinds
)

var kindNames = [kinds]string{"idle", "connection", "body", "waiting", "running", "stream", "answer", "freed"}

// String returns the kind's name, which appears in metrics.
func (k Kind) String() string { return kindNames[k] }

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Idle, Connection, Body, Waiting, Running, Stream, Answer, Freed} }

// ofConnection says whether holds of a kind are those of connections themselves.
func (k Kind) ofConnection() bool { return k == Idle || k == Connection }

const (
	// small is the largest reading of a body, bytes, that may use the part of the memory
	// that is kept from larger ones. Most requests of all known deployments are below.
	small = 64 << 10
	// keptPart is the part of the memory that is kept for small requests.
	keptPart = 8
	// connectionPart is the part of the memory that connections may use: requests can run
	// however many connections there are.
	connectionPart = 2
	// stalled is how long an answer may make no progress before it counts as unread. An
	// answer that its caller reads makes some within a few round trips.
	stalled = 500 * time.Millisecond
)

// Owner is on whose behalf something is held. The workspace is empty before a request's
// head has been read, or where there are no keys.
type Owner struct {
	Address   netip.Addr
	Workspace string
}

// ID identifies a hold of an account.
type ID uint64

// Claim asks for room.
type Claim struct {
	Owner  Owner
	Kind   Kind
	Bytes  int64
	Places int           // connections
	Wait   time.Duration // how long it may wait for room
}

// Decision is what becomes of a claim.
type Decision int

// Decisions.
const (
	Refused Decision = iota
	Admitted
	Waits
)

// Verdict is the decision on a claim.
type Verdict struct {
	ID       ID
	Decision Decision
	Until    time.Time // when a claim that waits is to be withdrawn
	Close    []ID      // holds that are to be closed and then released
}

// hold is room that is in use, or asked for.
type hold struct {
	id          ID
	owner       Owner
	kind        Kind
	bytes       int64
	places      int
	wants       int64 // bytes that it waits for
	wantsPlaces int
	since       time.Time // of its kind or its last progress
	closing     bool
}

// usage is what one caller address or workspace holds.
type usage struct {
	bytes  int64
	places int
}

// Account is the room of one process. Set the exported fields before use. It isn't
// safe for concurrent use.
type Account struct {
	Limit  int64 // bytes; zero for no limit
	Places int   // connections; zero for no limit

	last       ID
	holds      map[ID]*hold
	waiting    []*hold
	granted    []ID
	used       [kinds]int64
	total      usage
	addresses  map[netip.Addr]usage
	workspaces map[string]usage
}

// Ask asks for a new hold. Unless it is refused, it is to be released, or withdrawn while
// it waits.
func (a *Account) Ask(now time.Time, claim Claim) Verdict {
	if a.holds == nil {
		a.holds = make(map[ID]*hold)
		a.addresses = make(map[netip.Addr]usage)
		a.workspaces = make(map[string]usage)
	}
	a.last++
	h := &hold{id: a.last, owner: claim.Owner, kind: claim.Kind, since: now}
	a.holds[h.id] = h
	verdict := a.want(now, h, max(claim.Bytes, 0), claim.Places, claim.Wait)
	if verdict.Decision == Refused {
		delete(a.holds, h.id)
	}
	return verdict
}

// Grow asks for more bytes for a hold, which keeps what it has if it is refused.
func (a *Account) Grow(now time.Time, id ID, bytes int64, wait time.Duration) Verdict {
	h := a.holds[id]
	if h == nil || h.closing {
		return Verdict{ID: id, Decision: Refused}
	}
	return a.want(now, h, bytes, 0, wait)
}

func (a *Account) want(now time.Time, h *hold, bytes int64, places int, wait time.Duration) Verdict {
	h.wants, h.wantsPlaces = bytes, places
	if a.fits(h) && (a.isSmall(h) || !a.largeWaits()) {
		a.grant(h)
		return Verdict{ID: h.id, Decision: Admitted}
	}
	victims, enough := a.victims(now, h)
	if !a.possible(h) || (wait <= 0 && !enough) {
		h.wants, h.wantsPlaces = 0, 0
		return Verdict{ID: h.id, Decision: Refused}
	}
	if enough {
		for _, victim := range victims {
			a.close(a.holds[victim])
		}
	} else {
		victims = nil
	}
	a.waiting = append(a.waiting, h)
	return Verdict{ID: h.id, Decision: Waits, Until: now.Add(max(wait, 0)), Close: victims}
}

// Shrink gives back some bytes of a hold.
func (a *Account) Shrink(id ID, bytes int64) {
	if h := a.holds[id]; h != nil {
		a.add(h, -min(max(bytes, 0), h.bytes), 0)
		a.settle()
	}
}

// Move gives a hold another kind, or notes progress of the same one. It returns false for
// a hold that is being closed: nothing more may be done with it.
func (a *Account) Move(now time.Time, id ID, kind Kind) bool {
	h := a.holds[id]
	if h == nil || h.closing {
		return false
	}
	a.used[h.kind] -= h.bytes
	a.used[kind] += h.bytes
	h.kind, h.since = kind, now
	return true
}

// Release ends a hold, whether it was being closed or not.
func (a *Account) Release(id ID) {
	h := a.holds[id]
	if h == nil {
		return
	}
	a.leave(h)
	a.add(h, -h.bytes, -h.places)
	delete(a.holds, id)
	a.settle()
}

// Withdraw ends the waiting of a hold. It returns false if the hold waits no more, as it
// has been granted what it asked for. A hold that has nothing is gone afterwards.
func (a *Account) Withdraw(id ID) bool {
	h := a.holds[id]
	if h == nil || !a.leave(h) {
		return false
	}
	if h.bytes == 0 && h.places == 0 {
		delete(a.holds, id)
	}
	a.settle()
	return true
}

// Granted returns the holds that have been granted what they waited for since it was last
// asked.
func (a *Account) Granted() []ID {
	granted := a.granted
	a.granted = nil
	return granted
}

// Used returns how many bytes are held for a kind.
func (a *Account) Used(kind Kind) int64 { return a.used[kind] }

// Waits says whether any claim waits for room.
func (a *Account) Waits() bool { return len(a.waiting) > 0 }

// Total returns how many bytes are held, and how many connections.
func (a *Account) Total() (bytes int64, places int) { return a.total.bytes, a.total.places }

// leave takes a hold from those that wait.
func (a *Account) leave(h *hold) bool {
	for i, other := range a.waiting {
		if other == h {
			a.waiting = append(a.waiting[:i], a.waiting[i+1:]...)
			h.wants, h.wantsPlaces = 0, 0
			return true
		}
	}
	return false
}

func (a *Account) grant(h *hold) {
	a.add(h, h.wants, h.wantsPlaces)
	h.wants, h.wantsPlaces = 0, 0
}

// close notes that a hold is being closed. It gets nothing more.
func (a *Account) close(h *hold) {
	a.leave(h)
	h.closing = true
}

// add changes what a hold has, and the sums that it is part of.
func (a *Account) add(h *hold, bytes int64, places int) {
	h.bytes += bytes
	h.places += places
	a.used[h.kind] += bytes
	a.total.bytes += bytes
	a.total.places += places
	addTo(a.addresses, h.owner.Address, bytes, places)
	if h.owner.Workspace != "" {
		addTo(a.workspaces, h.owner.Workspace, bytes, places)
	}
}

func addTo[K comparable](sums map[K]usage, key K, bytes int64, places int) {
	sum := sums[key]
	sum.bytes += bytes
	sum.places += places
	if sum == (usage{}) {
		delete(sums, key)
		return
	}
	sums[key] = sum
}
