package place

import (
	"math"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

const (
	// calm is how long nobody has to be refused for an overload to count as over.
	calm = time.Second
	// lastsOn is for how much longer an overload is taken to last, as a share of the
	// time that it has lasted.
	lastsOn = 1.0
)

// overload is the time for which requests of a group have been refused.
type overload struct {
	since time.Time
	last  time.Time // when the last one was refused
}

// refused notes a refusal, and returns for how long the overload has lasted.
func (o *overload) refused(now time.Time) time.Duration {
	if now.Sub(o.last) > calm {
		o.since = now
	}
	o.last = now
	return now.Sub(o.since)
}

// RecordRefusal takes in that a request is refused, and returns how long it takes until one
// like it could begin in time: by how much the soonest replica is too late now, or for
// longer in an overload that has lasted, as whoever is refused twice has waited in vain.
// The second result is false for a pool of which nothing is known.
func (p *Placer) RecordRefusal(now time.Time, request *chicoryrock.Request, replicas []chicoryrock.Replica) (time.Duration, bool) {
	t := p.pool(request.Pool)
	if request.PromptTokens == 0 || t.slots == 0 {
		return 0, false
	}
	soonest := t.soonest(now, p, request, replicas)
	if math.IsInf(soonest, 1) {
		return 0, false
	}
	g := t.reserve.group(t.name, milliseconds(request.FirstTokenTarget), request.Tier)
	lasted := g.overload.refused(now)
	return max(0, duration(soonest), time.Duration(lastsOn*float64(lasted))), true
}

// soonest returns by how much the replica that is ready first is too late for a
// request, milliseconds.
func (t *pool) soonest(now time.Time, p *Placer, request *chicoryrock.Request, replicas []chicoryrock.Replica) float64 {
	soonest := math.Inf(1)
	home := t.homes(now, request)
	t.bind(now, request)
	limit := admitShare * milliseconds(request.FirstTokenTarget)
	t.each(replicas, home, func(i int) {
		if replicas[i].Leaving {
			return
		}
		r := t.at(i, &replicas[i])
		f := p.predict(now, t, request, r, &replicas[i], home, true)
		late := f.first + t.sureness()*f.harm - limit
		if over, firm := t.over(r, f.busy); firm {
			late = max(late, over)
		}
		soonest = min(soonest, late)
	})
	return soonest
}
