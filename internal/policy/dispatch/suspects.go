package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// maxSuspects bounds how many new suspects of a pool wait.
const maxSuspects = 256

// suspects holds the waiting suspects of a pool: requests that may crash an
// engine. No two of them run on one replica at a time, so that a second crash has
// one suspect only. They stay out of the queue, where one that waits for a replica
// without another suspect would hold up all behind it.
type suspects struct {
	waiting []*chicoryrock.Request
	began   map[*chicoryrock.Request]bool   // of all that wait or run: whether it ran before
	holders map[string]*chicoryrock.Request // by the replica that runs them
}

// add takes in a suspect. Those that a crash interrupted go first.
func (s *suspects) add(now time.Time, request *chicoryrock.Request, began bool) {
	if s.began == nil {
		s.began = make(map[*chicoryrock.Request]bool)
		s.holders = make(map[string]*chicoryrock.Request)
	}
	s.began[request] = began
	s.waiting = append(s.waiting, request)
	slices.SortStableFunc(s.waiting, func(a, b *chicoryrock.Request) int {
		if s.began[a] != s.began[b] {
			if s.began[a] {
				return -1
			}
			return 1
		}
		return order(now, a, b)
	})
}

// order compares two suspects of which both or neither ran before. Those whose
// callers have nothing yet go first, the latest to arrive before the others: it
// is the likeliest to have caused the crash, and once the cause is found the
// others are clean. Then come those that can still meet their target between
// tokens, the most hurried first, and those that can't.
func order(now time.Time, a, b *chicoryrock.Request) int {
	if a.ResumeBy.IsZero() && b.ResumeBy.IsZero() {
		return b.Arrived.Compare(a.Arrived)
	}
	return cmp.Or(cmp.Compare(rank(now, a), rank(now, b)), a.ResumeBy.Compare(b.ResumeBy))
}

func rank(now time.Time, request *chicoryrock.Request) int {
	switch {
	case request.ResumeBy.IsZero():
		return 0
	case now.Before(request.ResumeBy):
		return 1
	default:
		return 2
	}
}

// remove takes out a request that waits, and says whether it did.
func (s *suspects) remove(request *chicoryrock.Request) bool {
	at := slices.Index(s.waiting, request)
	if at < 0 {
		return false
	}
	s.waiting = slices.Delete(s.waiting, at, at+1)
	delete(s.began, request)
	return true
}

// end forgets a granted request, and says whether it was one of the suspects.
func (s *suspects) end(request *chicoryrock.Request) bool {
	_, found := s.began[request]
	delete(s.began, request)
	return found
}

// expire removes and returns the suspects whose deadline has passed.
func (s *suspects) expire(now time.Time) []*chicoryrock.Request {
	var late []*chicoryrock.Request
	for _, request := range slices.Clone(s.waiting) {
		if !now.Before(request.Deadline) {
			s.remove(request)
			late = append(late, request)
		}
	}
	return late
}

// grantSuspects sends suspects to replicas that run no other. One that has not
// begun yet waits while the queue has a request of a higher tier.
func (p *pool) grantSuspects(now time.Time, picker chicoryrock.Picker, grants []Grant) []Grant {
	for _, request := range slices.Clone(p.suspects.waiting) {
		head, waits := p.queue.Peek(now)
		if waits && head.Tier < request.Tier && !p.suspects.began[request] {
			continue
		}
		at, free := p.pick(now, picker, request)
		if !free {
			break
		}
		p.suspects.waiting = slices.DeleteFunc(p.suspects.waiting, func(r *chicoryrock.Request) bool { return r == request })
		p.suspects.holders[p.replicas[at].Name] = request
		p.replicas[at].RunsSuspect = true
		p.replicas[at].Open++
		grants = append(grants, Grant{Request: request, Replica: p.replicas[at]})
	}
	return grants
}

// letGo opens a replica to other suspects when the one that ran there has ended.
func (p *pool) letGo(request *chicoryrock.Request, replica string) {
	if p.suspects.holders[replica] != request {
		return
	}
	delete(p.suspects.holders, replica)
	if known := p.find(replica); known != nil {
		known.RunsSuspect = false
	}
}

// EndProbation says that a suspect has run for suspect.Probation on a replica without
// crashing it, so that the replica may run another.
func (d *Dispatcher) EndProbation(request *chicoryrock.Request, replica string) {
	d.pool(request.Pool).letGo(request, replica)
}

// WaitingSuspects returns the suspects that wait for a replica of a pool.
func (d *Dispatcher) WaitingSuspects(name string) []*chicoryrock.Request {
	return slices.Clone(d.pool(name).suspects.waiting)
}
