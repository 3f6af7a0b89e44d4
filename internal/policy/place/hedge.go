package place

import (
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// LoadedShare returns the share of a pool's replicas that have no free slot; zero for a
// pool without engines.
func (p *Placer) LoadedShare(name string) float64 {
	ps := p.pool(name)
	if ps.slots == 0 || len(ps.partition.order) == 0 {
		return 0
	}
	loaded := 0
	for _, r := range ps.partition.order {
		if r.openRequests() >= ps.slots {
			loaded++
		}
	}
	return float64(loaded) / float64(len(ps.partition.order))
}

// Avoids reports whether the replica of an open request is avoided for a recent failure.
func (p *Placer) Avoids(now time.Time, request *chicoryrock.Request) bool {
	j := p.pool(request.Pool).jobs[request]
	return j != nil && now.Before(j.replica.avoidUntil)
}

// RecordUnanswered updates the estimates when an open request is cancelled because another
// replica has answered it: this one would have taken longer. Without this, a slow replica
// whose requests are all hedged would count as fast.
func (p *Placer) RecordUnanswered(now time.Time, request *chicoryrock.Request) {
	ps := p.pool(request.Pool)
	j := ps.jobs[request]
	if j == nil || j.started {
		return
	}
	if ratio := ps.slowdownSample(j, milliseconds(now.Sub(j.sent))); ratio > j.replica.slowdown {
		j.replica.slowdown += slowdownSmoothing * (ratio - j.replica.slowdown)
	}
}
