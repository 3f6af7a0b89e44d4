package queue

import (
	"math"
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/jitter"
)

const (
	// minSpread is the least time over which the retries of refused callers are
	// spread.
	minSpread = time.Second
	// maxSpread is the most time over which they are spread.
	maxSpread = time.Minute
	// maxRetryAfter is the longest time before a refused caller may ask again.
	maxRetryAfter = 5 * time.Minute
)

// WouldBeLate reports whether a request pushed now would probably start too late
// (rules 14 and 15).
func (q *Queue) WouldBeLate(now time.Time, request *chicoryrock.Request) bool {
	return q.wouldBeLate(now, q.flowFor(request), request)
}

func (q *Queue) wouldBeLate(now time.Time, f *flow, request *chicoryrock.Request) bool {
	return now.Add(q.expectedWait(now, f)).UnixNano() >= q.latestStart(request)
}

// latestStart returns the latest useful start of a request, in nanoseconds since
// 1970: its deadline less the expected time to its first token. It deducts at most
// half of the target, so that a wrong measurement can't exclude a class for good. A
// request without a deadline may start at any time.
func (q *Queue) latestStart(request *chicoryrock.Request) int64 {
	if request.Deadline.IsZero() {
		return unixNano(request.Deadline)
	}
	target := max(0, request.Deadline.Sub(request.Arrived))
	reservedForPrefill := min(q.prefill.predict(request.PromptTokens), target/2)
	return request.Deadline.Add(-reservedForPrefill).UnixNano()
}

// unixNano returns a time in nanoseconds since 1970. The zero time counts as later
// than all others.
func unixNano(at time.Time) int64 {
	if at.IsZero() {
		return math.MaxInt64
	}
	return at.UnixNano()
}

// ExpectedWait returns how long a request pushed now would probably wait for its
// turn; zero if nothing is ahead of it or there is too little data.
//
// The waiting requests of higher tiers go first. In its own tier, a workspace waits
// until the others have used as much relative to their shares, but no longer than it
// takes to serve the whole tier. The estimate leaves out the turns owed to lower
// tiers and future requests of higher tiers. Bursts end, and a request that waits in
// vain costs no work, while one that is refused too early is lost for certain.
func (q *Queue) ExpectedWait(now time.Time, request *chicoryrock.Request) time.Duration {
	return q.expectedWait(now, q.flowFor(request))
}

func (q *Queue) expectedWait(now time.Time, f *flow) time.Duration {
	rate, known := q.meter.rate(now)
	if !known || q.waiting == 0 {
		return 0
	}
	seconds := f.secondsAhead() / rate
	for _, t := range q.tiers {
		if t.rank >= f.class.tier.rank {
			break
		}
		seconds += math.Min(t.waitingSlotSeconds()/rate, t.maxTarget().Seconds())
	}
	return time.Duration(math.Min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// secondsAhead returns the slot time, in seconds, of the requests of the flow's tier
// that go before a new one at the end of the flow. Turns are shared out by tokens, so
// it scales the tier's slot time by the fraction of the tier's tokens that go before.
func (f *flow) secondsAhead() float64 {
	t := f.class.tier
	a := f.account
	shares := t.waitingShares
	if a.waiting == 0 {
		shares += a.share
	}
	if t.waiting == 0 {
		return 0
	}
	fairTokens := (math.Max(0, a.virtualTime-t.virtualTime) + a.waitingTokens/a.share) * shares
	return t.waitingSlotSeconds() * math.Min(fairTokens/t.waitingTokens, 1)
}

// RetryAfter implements chicoryrock.Queue (rules 17 and 18). It returns the time
// until the queue is short enough for the caller's target, plus a jitter derived from
// the request's ID. The jitter spreads retries over the time in which the pool could
// serve all recently refused requests, so that they arrive no faster than it serves.
func (q *Queue) RetryAfter(now time.Time, request *chicoryrock.Request) time.Duration {
	target := max(0, request.Deadline.Sub(request.Arrived))
	wait := max(0, q.ExpectedWait(now, request)-target)
	rate, _ := q.meter.rate(now)
	drainTime := q.refused.DrainTime(now, rate, minSpread, maxSpread)
	return min(maxRetryAfter, wait+time.Duration(jitter.Fraction(request.ID)*float64(drainTime)))
}
