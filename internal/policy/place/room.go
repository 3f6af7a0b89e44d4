package place

import (
	"math"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// Room returns how long it takes until a request like this one could begin in time, as
// far as is known: by how much the soonest replica is too late now. The second result
// is false for a pool of which nothing is known.
func (p *Placer) Room(now time.Time, request *chicoryrock.Request, replicas []chicoryrock.Replica) (time.Duration, bool) {
	t := p.pool(request.Pool)
	if request.Prompt == 0 || t.slots == 0 {
		return 0, false
	}
	soonest := t.soonest(now, p, request, replicas)
	if math.IsInf(soonest, 1) {
		return 0, false
	}
	return max(0, duration(soonest)), true
}

// soonest returns by how much the replica that is ready first is too late for a
// request, milliseconds.
func (t *pool) soonest(now time.Time, p *Placer, request *chicoryrock.Request, replicas []chicoryrock.Replica) float64 {
	soonest := math.Inf(1)
	home := t.homes(now, request)
	t.bind(now, request)
	limit := admitShare * milliseconds(request.Target)
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
