package claim

import "time"

// maxTrackedCalls is the most calls that a DuplicateFilter holds. The oldest are
// dropped first.
const maxTrackedCalls = 1 << 16

// DuplicateFilter holds the calls that an agent has sent to its backend server, so
// that the agent can refuse duplicates. It is lost when the process ends, and is
// therefore only a second safeguard behind the claims in the store. It is not safe
// for concurrent use.
type DuplicateFilter struct {
	calls map[string]time.Time
	order []trackedCall
}

type trackedCall struct {
	id   string
	time time.Time
}

// AddIfNew adds a call and returns true, or returns false if a call with its ID is
// held already. A call is held for TTL at most.
func (f *DuplicateFilter) AddIfNew(now time.Time, id string) bool {
	f.prune(now)
	if _, found := f.calls[id]; found {
		return false
	}
	if f.calls == nil {
		f.calls = make(map[string]time.Time)
	}
	f.calls[id] = now
	f.order = append(f.order, trackedCall{id: id, time: now})
	return true
}

// Remove removes a call that certainly did not reach the backend server.
func (f *DuplicateFilter) Remove(id string) { delete(f.calls, id) }

func (f *DuplicateFilter) prune(now time.Time) {
	for len(f.order) > 0 {
		oldest := f.order[0]
		if len(f.order) < maxTrackedCalls && now.Sub(oldest.time) < TTL {
			return
		}
		f.order = f.order[1:]
		// A call that was removed and added again has a newer entry further back.
		if f.calls[oldest.id].Equal(oldest.time) {
			delete(f.calls, oldest.id)
		}
	}
}
