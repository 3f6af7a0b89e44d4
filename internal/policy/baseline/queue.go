// Package baseline implements the simple policies that the router's own are compared
// with: a first-in, first-out queue and two ways to choose a backend server.
package baseline

import (
	"slices"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// retryAfter is the wait before a retry for every refused caller.
const retryAfter = time.Second

// Queue serves requests in the order of their arrival, regardless of tier, class and
// workspace. Requests whose deadline has passed are dropped.
type Queue struct {
	Limit int // maximum number of waiting requests; zero for no limit

	waiting []*chicoryrock.Request
}

var _ chicoryrock.Queue = (*Queue)(nil)

// Push implements chicoryrock.Queue.
func (q *Queue) Push(_ time.Time, request *chicoryrock.Request) (*chicoryrock.Request, chicoryrock.Reason) {
	if q.Limit > 0 && len(q.waiting) >= q.Limit {
		return nil, chicoryrock.ReasonQueueFull
	}
	q.waiting = append(q.waiting, request)
	return nil, chicoryrock.ReasonNone
}

// Peek implements chicoryrock.Queue.
func (q *Queue) Peek(time.Time) (*chicoryrock.Request, bool) {
	if len(q.waiting) == 0 {
		return nil, false
	}
	return q.waiting[0], true
}

// Pop implements chicoryrock.Queue.
func (q *Queue) Pop(time.Time) (*chicoryrock.Request, bool) {
	if len(q.waiting) == 0 {
		return nil, false
	}
	request := q.waiting[0]
	q.waiting = q.waiting[1:]
	return request, true
}

// Requeue implements chicoryrock.Queue.
func (q *Queue) Requeue(_ time.Time, request *chicoryrock.Request) {
	q.waiting = slices.Insert(q.waiting, 0, request)
}

// Remove implements chicoryrock.Queue.
func (q *Queue) Remove(_ time.Time, request *chicoryrock.Request) bool {
	index := slices.Index(q.waiting, request)
	if index < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, index, index+1)
	return true
}

// Expire implements chicoryrock.Queue.
func (q *Queue) Expire(now time.Time) []*chicoryrock.Request {
	var late []*chicoryrock.Request
	q.waiting = slices.DeleteFunc(q.waiting, func(request *chicoryrock.Request) bool {
		if now.Before(request.Deadline) {
			return false
		}
		late = append(late, request)
		return true
	})
	return late
}

// Charge implements chicoryrock.Queue; this queue keeps no accounts.
func (q *Queue) Charge(time.Time, *chicoryrock.Request, int) {}

// Finish implements chicoryrock.Queue; this queue keeps no accounts.
func (q *Queue) Finish(time.Time, *chicoryrock.Request) {}

// RetryAfter implements chicoryrock.Queue. The wait is the same for every caller.
func (q *Queue) RetryAfter(time.Time, *chicoryrock.Request) time.Duration { return retryAfter }

// Len implements chicoryrock.Queue.
func (q *Queue) Len() int { return len(q.waiting) }
