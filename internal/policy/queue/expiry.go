package queue

// expirySlack is how many stale records the schedule may hold in addition to one
// for each waiting request before it is cleaned up.
const expirySlack = 64

// expiry finds the items that have waited beyond their latest useful start. A
// record whose item no longer waits stays until its time comes or until about half
// of all records are stale. Removing each at once would move a dozen other records
// at every turn, each of them a cache miss.
type expiry struct {
	heap  heap[int64, pendingExpiry]
	index int // shared by all records, because none is looked up by its index
}

// pendingExpiry identifies one wait of an item. Items are reused, and get a new
// waitID each time they begin to wait.
type pendingExpiry struct {
	item   *item
	waitID uint64
}

// valid reports whether that wait still goes on.
func (p pendingExpiry) valid() bool { return p.item.waitID == p.waitID }

// add schedules an item that begins to wait. The argument waiting is the number of
// items that wait already.
func (e *expiry) add(added *item, waiting int) {
	if len(e.heap.nodes) > 2*waiting+expirySlack {
		e.heap.retain(pendingExpiry.valid)
	}
	e.heap.push(added.latestStart, pendingExpiry{item: added, waitID: added.waitID}, &e.index)
}

// pop returns a waiting item whose latest start has come, or nil. The time now is
// in nanoseconds since 1970.
func (e *expiry) pop(now int64) *item {
	for !e.heap.empty() && e.heap.nodes[0].key <= now {
		first := e.heap.min()
		e.heap.remove(0)
		if first.valid() {
			return first.item
		}
	}
	return nil
}
