package baseline

import (
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// RoundRobin takes the backend servers in turn, skipping those that are full as
// far as this entry knows.
type RoundRobin struct {
	next int
}

var _ chicoryrock.Picker = (*RoundRobin)(nil)

// Pick implements chicoryrock.Picker.
func (p *RoundRobin) Pick(_ time.Time, _ *chicoryrock.Request, replicas []chicoryrock.Replica) (int, bool) {
	for range replicas {
		at := p.next % len(replicas)
		p.next++
		if free(&replicas[at]) > 0 {
			return at, true
		}
	}
	return 0, false
}

// LeastOutstanding takes the backend server on which this entry has the fewest
// open requests.
type LeastOutstanding struct{}

var _ chicoryrock.Picker = LeastOutstanding{}

// Pick implements chicoryrock.Picker.
func (LeastOutstanding) Pick(_ time.Time, _ *chicoryrock.Request, replicas []chicoryrock.Replica) (int, bool) {
	best := -1
	for i := range replicas {
		if free(&replicas[i]) <= 0 {
			continue
		}
		if best < 0 || replicas[i].Open < replicas[best].Open {
			best = i
		}
	}
	return best, best >= 0
}

func free(replica *chicoryrock.Replica) int {
	if replica.Leaving {
		return 0
	}
	return replica.Slots - max(replica.Open, replica.Running)
}
