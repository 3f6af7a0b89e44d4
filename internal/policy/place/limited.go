package place

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chicoryrock/chicoryrock"
)

// maxLimitedWait bounds the time over which the retries of requests are spread that were
// refused because of limits.
const maxLimitedWait = time.Minute

// permitWait is how long a request may wait for a permit: long enough to ask the issuer
// for one.
const permitWait = 100 * time.Millisecond

// LimitWait reports until when a request may wait if the limits of all of a pool's replicas
// are used up, and counts it as one that wants a permit. It is zero if the request is to be
// refused at once. The second result is false if there is room. Only one request waits, and
// not for long: otherwise those of high tiers, or of classes that can wait for longer, would
// get all permits under a steady overload. As it is, permits go by the order of arrival, and
// no class or workspace starves.
func (p *Placer) LimitWait(now time.Time, request *chicoryrock.Request, replicas []chicoryrock.Replica, waiting int) (time.Time, bool) {
	if p.Quota == nil {
		return time.Time{}, false
	}
	ps := p.pool(request.Pool)
	limited := false
	for i := range replicas {
		if replicas[i].Leaving {
			continue
		}
		if p.allows(now, request, ps.replica(replicas[i].Name)) {
			return time.Time{}, false
		}
		limited = true
	}
	if !limited || waiting > 0 {
		return time.Time{}, limited
	}
	return now.Add(permitWait), true
}

// permitRate returns at which rate, requests a second, this process can expect permits
// for a pool; false if one of the replicas takes a request now, or it is unknown.
func (p *Placer) permitRate(now time.Time, ps *poolState, replicas []chicoryrock.Replica) (float64, bool) {
	if p.Quota == nil {
		return 0, false
	}
	rate := 0.0
	for i := range replicas {
		if replicas[i].Leaving {
			continue
		}
		interval, known := p.permitInterval(now, ps.replica(replicas[i].Name))
		if !known || interval <= 0 {
			return 0, false
		}
		rate += 1 / interval.Seconds()
	}
	return rate, rate > 0
}

// candidate is a replica that a request may be sent to.
type candidate struct {
	index      int // in the list of replicas; below zero for none
	costMs     float64
	firstMs    float64 // predicted time to first token
	oversizeMs float64 // of the budget for oversize prompts
	healthy    bool
}

// tryLimited returns the best candidate among one and those in p.limited, which are sent
// requests only if their limits allow it. The second result says whether a cheaper one
// was passed over.
func (p *Placer) tryLimited(now time.Time, ps *poolState, request *chicoryrock.Request, replicas []chicoryrock.Replica, best candidate) (candidate, bool) {
	if len(p.limited) == 0 {
		return best, false
	}
	slices.SortFunc(p.limited, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.costMs, b.costMs), cmp.Compare(a.index, b.index))
	})
	for i, c := range p.limited {
		switch {
		case c.costMs > best.costMs:
			return best, i > 0
		case i > 0 && c.index == p.limited[i-1].index:
			// A replica may be considered twice.
		case p.allows(now, request, ps.replicaAt(c.index, &replicas[c.index])):
			return c, i > 0
		}
	}
	return best, true
}

// ServerKey returns the key of a replica's limit.
func ServerKey(name string) uint64 { return xxhash.Sum64String(name) }

// ColdKey returns the key of the limit that a replica has while it is cold.
func ColdKey(name string) uint64 { return xxhash.Sum64String(name + "/cold") }

// coldLimit reports whether a replica has the limit of a cold one.
func (r *replica) coldLimit(now time.Time) bool { return r.coldLimited && now.Before(r.coldUntil) }

// permits reports whether a replica has no limit, or this process a permit for it.
func (p *Placer) permits(now time.Time, r *replica) bool {
	return p.Quota == nil || p.Quota.Permits(now, r.nameHash) && (!r.coldLimit(now) || p.Quota.Permits(now, r.coldKey))
}

// allows reports whether a replica's limits allow a request now that would be sent there.
func (p *Placer) allows(now time.Time, request *chicoryrock.Request, r *replica) bool {
	if p.Quota == nil {
		return true
	}
	allowed := p.Quota.Allows(now, r.nameHash, request.ID)
	if !r.coldLimit(now) {
		return allowed
	}
	return p.Quota.Allows(now, r.coldKey, request.ID) && allowed
}

// takePermit uses up a permit of each limit that a replica has.
func (p *Placer) takePermit(now time.Time, request *chicoryrock.Request, r *replica) {
	if p.Quota == nil {
		return
	}
	p.Quota.Take(now, r.nameHash, request.ID)
	if r.coldLimit(now) {
		p.Quota.Take(now, r.coldKey, request.ID)
	}
}

// permitInterval returns the mean time between two permits that this process can expect
// for a replica; false if that is unknown.
func (p *Placer) permitInterval(now time.Time, r *replica) (time.Duration, bool) {
	interval, known := p.Quota.Interval(now, r.nameHash)
	if !known || !r.coldLimit(now) {
		return interval, known
	}
	cold, known := p.Quota.Interval(now, r.coldKey)
	return max(interval, cold), known
}
