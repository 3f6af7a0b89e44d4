package assembly

import (
	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/queue"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

// queueLimit is how many requests may wait for one pool in an entry beyond the
// room that the floors of classes set aside.
const queueLimit = 10_000

// queues makes the queue of each pool and keeps all of them on the rules of the
// configuration in force. It relies on its caller's lock.
type queues struct {
	floors map[string]float64 // by class
	shares map[string]float64 // by workspace
	made   []*queue.Queue
}

func (q *queues) newQueue(string) chicoryrock.Queue {
	created := &queue.Queue{Limit: queueLimit, Floors: q.floors, Shares: q.shares}
	q.made = append(q.made, created)
	return created
}

// update takes over the floors and shares of a configuration.
func (q *queues) update(table *object.Table) {
	q.floors = table.Floors()
	q.shares = table.Shares()
	for _, created := range q.made {
		created.Update(q.floors, q.shares)
	}
}
