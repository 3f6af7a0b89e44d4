package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// maxWaitingSuspects is the number of waiting suspects of a pool at which new ones
// are refused.
const maxWaitingSuspects = 256

// suspects holds the suspects of a pool: requests that may crash an engine. No two
// of them run on one replica at the same time, so that a further crash identifies the
// suspect that caused it. They are kept out of the queue, where one that waits for a
// replica without another suspect would block all requests behind it.
type suspects struct {
	waiting  []*chicoryrock.Request          // those to be granted first come first
	requeued map[*chicoryrock.Request]bool   // for all that wait or run, whether they were requeued, usually after a crash
	holders  map[string]*chicoryrock.Request // by replica name, the suspect that keeps other suspects off it
}

// add inserts a suspect. Those that were requeued go first.
func (s *suspects) add(now time.Time, request *chicoryrock.Request, requeued bool) {
	if s.requeued == nil {
		s.requeued = make(map[*chicoryrock.Request]bool)
		s.holders = make(map[string]*chicoryrock.Request)
	}
	s.requeued[request] = requeued
	s.waiting = append(s.waiting, request)
	slices.SortStableFunc(s.waiting, func(a, b *chicoryrock.Request) int {
		if s.requeued[a] != s.requeued[b] {
			if s.requeued[a] {
				return -1
			}
			return 1
		}
		return compareSuspects(now, a, b)
	})
}

// compareSuspects orders two suspects that both were requeued, or both were not. Those
// whose callers have received nothing yet go first, the latest arrival before the
// others: it is the likeliest cause of the crash, and once the cause is found the
// others are cleared. Then come those that can still meet their target between
// tokens, the most urgent first, and last those that can't.
func compareSuspects(now time.Time, a, b *chicoryrock.Request) int {
	if a.ResumeBy.IsZero() && b.ResumeBy.IsZero() {
		return b.Arrived.Compare(a.Arrived)
	}
	return cmp.Or(cmp.Compare(resumeRank(now, a), resumeRank(now, b)), a.ResumeBy.Compare(b.ResumeBy))
}

// resumeRank returns 0 for a request whose caller has received nothing, 1 for a
// stream that can still resume in time and 2 for one that can't.
func resumeRank(now time.Time, request *chicoryrock.Request) int {
	switch {
	case request.ResumeBy.IsZero():
		return 0
	case now.Before(request.ResumeBy):
		return 1
	default:
		return 2
	}
}

// remove removes a waiting suspect and reports whether it was waiting.
func (s *suspects) remove(request *chicoryrock.Request) bool {
	index := slices.Index(s.waiting, request)
	if index < 0 {
		return false
	}
	s.waiting = slices.Delete(s.waiting, index, index+1)
	delete(s.requeued, request)
	return true
}

// finish drops a granted request and reports whether it was a suspect when it was
// granted.
func (s *suspects) finish(request *chicoryrock.Request) bool {
	_, found := s.requeued[request]
	delete(s.requeued, request)
	return found
}

// expire removes and returns the waiting suspects whose deadline has passed.
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

// grantSuspects sends suspects to replicas that run no other. One that was not
// requeued waits while the head of the queue is of a higher tier.
func (p *pool) grantSuspects(now time.Time, picker chicoryrock.Picker, grants []Grant) []Grant {
	for _, request := range slices.Clone(p.suspects.waiting) {
		head, queued := p.queue.Peek(now)
		if queued && head.Tier < request.Tier && !p.suspects.requeued[request] {
			continue
		}
		index, free := p.pick(now, picker, request)
		if !free && p.excludesAny(now, request) {
			continue
		}
		if !free {
			break
		}
		p.suspects.waiting = slices.DeleteFunc(p.suspects.waiting, func(r *chicoryrock.Request) bool { return r == request })
		p.suspects.holders[p.replicas[index].Name] = request
		p.replicas[index].RunsSuspect = true
		p.replicas[index].Open++
		grants = append(grants, Grant{Request: request, Replica: p.replicas[index]})
	}
	return grants
}

// releaseHold lets another suspect run on a replica if the request is the suspect
// that holds it.
func (p *pool) releaseHold(request *chicoryrock.Request, replica string) {
	if p.suspects.holders[replica] != request {
		return
	}
	delete(p.suspects.holders, replica)
	if r := p.find(replica); r != nil {
		r.RunsSuspect = false
	}
}

// EndProbation records that a suspect has run for suspect.Probation on a replica
// without crashing it. The replica may then run another suspect.
func (d *Dispatcher) EndProbation(request *chicoryrock.Request, replica string) {
	d.pool(request.Pool).releaseHold(request, replica)
}

// WaitingSuspects returns the suspects that wait for a replica of a pool.
func (d *Dispatcher) WaitingSuspects(poolName string) []*chicoryrock.Request {
	return slices.Clone(d.pool(poolName).suspects.waiting)
}
