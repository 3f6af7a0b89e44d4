package baseline

import (
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// RoundRobin chooses the backend servers in turn and skips those that are full in
// this entry's view.
type RoundRobin struct {
	next int // counts up; its remainder is the index of the next server
}

var _ chicoryrock.Picker = (*RoundRobin)(nil)

// Pick implements chicoryrock.Picker.
func (p *RoundRobin) Pick(_ time.Time, _ *chicoryrock.Request, replicas []chicoryrock.Replica) (int, bool) {
	for range replicas {
		index := p.next % len(replicas)
		p.next++
		if freeSlots(&replicas[index]) > 0 {
			return index, true
		}
	}
	return 0, false
}

// LeastOutstanding chooses the backend server with the fewest open requests of this
// entry among those that aren't full.
type LeastOutstanding struct{}

var _ chicoryrock.Picker = LeastOutstanding{}

// Pick implements chicoryrock.Picker.
func (LeastOutstanding) Pick(_ time.Time, _ *chicoryrock.Request, replicas []chicoryrock.Replica) (int, bool) {
	best := -1
	for i := range replicas {
		if freeSlots(&replicas[i]) <= 0 {
			continue
		}
		if best < 0 || replicas[i].Open < replicas[best].Open {
			best = i
		}
	}
	return best, best >= 0
}

// freeSlots returns the number of free slots of a replica in this entry's view.
func freeSlots(replica *chicoryrock.Replica) int {
	if replica.Leaving {
		return 0
	}
	return replica.Slots - max(replica.Open, replica.Running)
}
