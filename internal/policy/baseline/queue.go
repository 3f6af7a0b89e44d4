// Package baseline holds the plain policies that the router's own are measured
// against: one first-in-first-out queue, and two simple choices of a backend
// server.
package baseline

import (
	"slices"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// retryAfter is what every refused caller is told.
const retryAfter = time.Second

// Queue serves requests in the order of their arrival, whatever their tier,
// class or workspace. Requests whose deadline has passed are given up.
type Queue struct {
	Limit int // most requests that may wait; zero for no limit

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
	at := slices.Index(q.waiting, request)
	if at < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
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

// RetryAfter implements chicoryrock.Queue: every caller is told the same.
func (q *Queue) RetryAfter(time.Time, *chicoryrock.Request) time.Duration { return retryAfter }

// Len implements chicoryrock.Queue.
func (q *Queue) Len() int { return len(q.waiting) }
