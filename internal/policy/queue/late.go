package queue

import (
	"math"
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/jitter"
)

const (
	// minSpread and maxSpread bound over how long refused callers are spread out.
	minSpread = time.Second
	maxSpread = time.Minute
	// maxAfter is the longest time for which a refused caller is sent away.
	maxAfter = 5 * time.Minute
)

// WouldBeLate says whether a request that came now could not begin in time (14, 15).
func (q *Queue) WouldBeLate(now time.Time, request *chicoryrock.Request) bool {
	return q.late(now, q.flow(request), request)
}

func (q *Queue) late(now time.Time, f *flow, request *chicoryrock.Request) bool {
	return now.Add(q.wait(now, f)).UnixNano() >= q.lastStart(request)
}

// lastStart returns the latest useful start of a request: its deadline less the
// time to its first token. No more than half the target is set aside for that,
// so that a bad measurement can't shut a class out for good. A request without a
// deadline may start at any time.
func (q *Queue) lastStart(request *chicoryrock.Request) int64 {
	if request.Deadline.IsZero() {
		return nanoseconds(request.Deadline)
	}
	target := max(0, request.Deadline.Sub(request.Arrived))
	aside := min(q.prefill.predict(request.PromptTokens), target/2)
	return request.Deadline.Add(-aside).UnixNano()
}

// nanoseconds returns a time as nanoseconds since 1970; no time at all is later
// than all others.
func nanoseconds(at time.Time) int64 {
	if at.IsZero() {
		return math.MaxInt64
	}
	return at.UnixNano()
}

// ExpectedWait returns how long a request that came now would probably wait for its
// turn; zero while nothing is ahead of it or too little is known.
//
// All that waits in higher tiers goes first. Of its own tier, its workspace has to
// wait until the others have used as much for their share, but no longer than it
// takes to serve the whole tier. Nothing else is held against it: not what lower
// tiers are owed, and not what higher tiers may still send. Bursts end, and a
// request that waited in vain has cost no work, while one refused too early is
// lost for certain.
func (q *Queue) ExpectedWait(now time.Time, request *chicoryrock.Request) time.Duration {
	return q.wait(now, q.flow(request))
}

func (q *Queue) wait(now time.Time, f *flow) time.Duration {
	rate, known := q.meter.rate(now)
	if !known || q.waiting == 0 {
		return 0
	}
	seconds := f.ahead() / rate
	for _, t := range q.tiers {
		if t.rank >= f.lane.tier.rank {
			break
		}
		seconds += math.Min(t.work()/rate, t.target().Seconds())
	}
	return time.Duration(math.Min(seconds, maxAfter.Seconds()) * float64(time.Second))
}

// ahead returns the work of its own tier, in seconds of slots, that goes before a
// request which came to the end of the flow now. Turns go by tokens, so it is the
// part of the tier's work that its tokens are of the tier's.
func (f *flow) ahead() float64 {
	t := f.lane.tier
	a := f.account
	shares := t.shares
	if a.waiting == 0 {
		shares += a.share
	}
	if t.waiting == 0 {
		return 0
	}
	fair := (math.Max(0, a.used-t.virtual) + a.cost/a.share) * shares
	return t.work() * math.Min(fair/t.cost, 1)
}

// RetryAfter implements chicoryrock.Queue (17, 18). The caller is sent away until the
// queue is short enough for its target. On top comes a part, fixed by the
// request's ID, of the time in which the pool could serve all that it has
// refused of late, so that those who come back arrive no faster than it works.
func (q *Queue) RetryAfter(now time.Time, request *chicoryrock.Request) time.Duration {
	target := max(0, request.Deadline.Sub(request.Arrived))
	wait := max(0, q.ExpectedWait(now, request)-target)
	rate, _ := q.meter.rate(now)
	over := q.refused.DrainTime(now, rate, minSpread, maxSpread)
	return min(maxAfter, wait+time.Duration(jitter.Fraction(request.ID)*float64(over)))
}
