package claim

import "time"

// maxSeen bounds how many calls an agent remembers. The oldest go first.
const maxSeen = 1 << 16

// DuplicateFilter is an agent's memory of the calls that it has let through to its backend
// server, so that a duplicate which reaches it is refused. It is lost with the
// process and therefore only the second line of defence behind the claims in the
// store. It is not safe for concurrent use.
type DuplicateFilter struct {
	calls map[string]time.Time
	order []seenCall
}

type seenCall struct {
	id   string
	time time.Time
}

// AddIfNew notes a call and says whether it is the first with its ID within Expiry.
func (s *DuplicateFilter) AddIfNew(now time.Time, id string) bool {
	s.prune(now)
	if _, found := s.calls[id]; found {
		return false
	}
	if s.calls == nil {
		s.calls = make(map[string]time.Time)
	}
	s.calls[id] = now
	s.order = append(s.order, seenCall{id: id, time: now})
	return true
}

// Remove drops a call that certainly did not reach the backend server.
func (s *DuplicateFilter) Remove(id string) { delete(s.calls, id) }

func (s *DuplicateFilter) prune(now time.Time) {
	for len(s.order) > 0 {
		oldest := s.order[0]
		if len(s.order) < maxSeen && now.Sub(oldest.time) < TTL {
			return
		}
		s.order = s.order[1:]
		// A call that was forgotten and came again has a newer entry behind.
		if s.calls[oldest.id].Equal(oldest.time) {
			delete(s.calls, oldest.id)
		}
	}
}
