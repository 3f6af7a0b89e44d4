// Package pick chooses the backend server for a request from a view that is
// stale and partial: load that rode on answers, and this entry's own open
// requests. Several entries choose at the same time, each with its own view, so
// the choice is among a few taken at random: all of them going for the one that
// looks idle would fill it at once.
package pick

import (
	"math/rand/v2"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

const (
	// choices is how many replicas are compared for one request.
	choices = 4
	// scanLimit bounds the search for a free replica when those compared are full.
	scanLimit = 20
	// nearBound is the utilization of the best replica in the own data centre
	// above which those in the rest of the region are compared too.
	nearBound = 0.8
	// prefixBound is how much busier than the best one a replica may be that
	// probably has the request's prefix in its cache, in utilization.
	prefixBound = 0.25
	// forgetTime is the age at which half of a reported load is no longer believed.
	forgetTime = time.Second
	// askInterval is how long a replica that is full by its own report isn't asked.
	// It doubles with each such report in a row, up to maxDoublings times, so that
	// entries with long queues don't ask full replicas all the time.
	askInterval  = 50 * time.Millisecond
	maxDoublings = 3
)

// Picker implements chicoryrock.Picker. Set the exported fields before the first
// call. It is not safe for concurrent use.
type Picker struct {
	Centre string     // the entry's own data centre
	Region string     // the entry's own region
	Random *rand.Rand // seeded differently in each entry

	pools map[string]*pool
}

var (
	_ chicoryrock.Picker   = (*Picker)(nil)
	_ chicoryrock.Observer = (*Picker)(nil)
)

// candidate is a replica that can take the request, with its estimated
// utilization.
type candidate struct {
	at   int
	load float64
}

var none = candidate{at: -1}

func (c candidate) found() bool { return c.at >= 0 }

// Pick implements chicoryrock.Picker. The replicas are in the order of Arrange.
// The own data centre comes before the own region, and that before the link
// between regions, which is crossed only when the target would be missed here.
func (p *Picker) Pick(now time.Time, request *chicoryrock.Request, replicas []chicoryrock.Replica) (int, bool) {
	if len(replicas) == 0 {
		return 0, false
	}
	target := p.pool(request.Pool)
	near, region := p.bounds(replicas)
	if request.Suspect {
		best := p.emptiest(now, target, replicas)
		return max(best.at, 0), best.found()
	}
	best := p.nearby(now, target, request, replicas, near, region)
	if !best.found() {
		best = p.far(now, target, request, replicas, region)
	}
	if best.found() {
		target.chosen(now, &replicas[best.at])
		return best.at, true
	}
	if at := p.lastResort(now, target, replicas); at >= 0 {
		target.chosen(now, &replicas[at])
		return at, true
	}
	return 0, false
}

// lastResort returns a suspended replica that is due to be tried when all of them
// are suspended, or -1. It is for calls that may not be repeated, with which no
// probe is made while another replica is there: a pool that gets nothing else would
// never come back.
func (p *Picker) lastResort(now time.Time, t *pool, replicas []chicoryrock.Replica) int {
	due := -1
	for i := range replicas {
		if replicas[i].Leaving {
			continue
		}
		h := t.replicas[replicas[i].Name]
		if h == nil || !h.suspended {
			return -1
		}
		if due < 0 && replicas[i].Open == 0 && !now.Before(h.due) {
			due = i
		}
	}
	return due
}

// nearby returns the best replica of the own region.
func (p *Picker) nearby(now time.Time, target *pool, request *chicoryrock.Request, replicas []chicoryrock.Replica, near, region int) candidate {
	if at := p.probe(now, target, request, replicas[:region]); at >= 0 {
		return candidate{at: at}
	}
	best := p.best(now, target, replicas, 0, near)
	if !best.found() || best.load > nearBound {
		best = lighter(best, p.best(now, target, replicas, near, region))
	}
	if request.PrefixHash == 0 || !best.found() {
		return best
	}
	home := near
	if home == 0 {
		home = region
	}
	at := prefer(request.PrefixHash, replicas[:home])
	cached := p.weigh(now, target, replicas, at)
	if cached.found() && cached.load <= best.load+prefixBound {
		return cached
	}
	return best
}

// best compares a few replicas of a range taken at random. When none of them can
// take the request, it takes the first that can.
func (p *Picker) best(now time.Time, target *pool, replicas []chicoryrock.Replica, from, until int) candidate {
	count := until - from
	if count <= 0 {
		return none
	}
	start := p.Random.IntN(count)
	best := none
	for i := range min(choices, count) {
		at := start + i
		if count > choices {
			at = p.Random.IntN(count)
		}
		at = from + at%count
		target.average(&replicas[at])
		best = lighter(best, p.weigh(now, target, replicas, at))
	}
	for i := 0; i < min(count, scanLimit) && !best.found(); i++ {
		best = p.weigh(now, target, replicas, from+(start+i)%count)
	}
	return best
}

func lighter(a, b candidate) candidate {
	if !a.found() || (b.found() && b.load < a.load) {
		return b
	}
	return a
}

// weigh estimates how busy a replica is, or returns none when it can't take more.
func (p *Picker) weigh(now time.Time, target *pool, replicas []chicoryrock.Replica, at int) candidate {
	replica := &replicas[at]
	if replica.Leaving || replica.Slots <= 0 {
		return none
	}
	slots := float64(replica.Slots)
	busy := float64(replica.Open) + target.others(now, replica)
	if busy+1 > slots {
		return none
	}
	if h := target.replicas[replica.Name]; h != nil || replica.SlowStart {
		if h = target.learn(replica, now); h.suspended {
			return none
		}
		slots *= h.ramp(now)
	}
	if busy+1 > max(slots, 1) {
		return none
	}
	return candidate{at: at, load: busy / slots}
}

// others estimates how many requests of other entries a replica runs. What it
// reported is believed less as it ages, and the pool's mean more. A replica that
// was full is asked again after a while, because nothing else would tell.
func (t *pool) others(now time.Time, replica *chicoryrock.Replica) float64 {
	if replica.LastSeen.IsZero() {
		return t.mean * float64(replica.Slots)
	}
	age := max(now.Sub(replica.LastSeen), 0)
	believed := float64(forgetTime) / float64(forgetTime+age)
	estimate := believed*float64(replica.OthersLoad) + (1-believed)*t.mean*float64(replica.Slots)
	if age >= askInterval<<min(max(replica.FullReports-1, 0), maxDoublings) {
		estimate = min(estimate, float64(replica.Slots-1-replica.Open))
	}
	return max(estimate, 0)
}
