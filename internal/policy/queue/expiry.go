package queue

// expirySlack is how many entries more than needed the schedule may hold before
// it is cleaned, beside one for each that is needed.
const expirySlack = 64

// expiry finds the requests that have waited beyond their latest useful start.
// An entry whose request has gone is left where it is until its time comes, or
// until half of all entries are such. Taking each out at once would move a dozen
// other entries, each a cold line of memory, at every turn.
type expiry struct {
	heap  heap[int64, waiter]
	place int // shared by all entries, as none is looked for in the middle
}

// waiter is one stay of a request in the queue. An item is used again for other
// requests, and with a new number each time it begins to wait.
type waiter struct {
	item *item
	stay uint64
}

func (w waiter) waits() bool { return w.item.stay == w.stay }

// add schedules an item that begins to wait.
func (e *expiry) add(added *item, waiting int) {
	if len(e.heap.nodes) > 2*waiting+expirySlack {
		e.heap.keep(waiter.waits)
	}
	e.heap.push(added.last, waiter{item: added, stay: added.stay}, &e.place)
}

// next returns an item that still waits and whose latest start has come, or nil.
func (e *expiry) next(now int64) *item {
	for !e.heap.empty() && e.heap.nodes[0].key <= now {
		first := e.heap.first()
		e.heap.remove(0)
		if first.waits() {
			return first.item
		}
	}
	return nil
}
