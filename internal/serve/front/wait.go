package front

import (
	"net/http"
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/jitter"
)

const (
	// soonest is the least time that a refused caller is sent away: some chunks of
	// prompts later the engines' state has changed.
	soonest = 100 * time.Millisecond
	// spreadShare is by how much of that time callers who are refused together are
	// spread out.
	spreadShare = 0.5
	// returnPart is the part of the time that is left in which callers return; one that
	// is sent away for longer has given up.
	returnPart = 3
	// lookAgain is when to come back where the records of streams couldn't be read.
	lookAgain = 500 * time.Millisecond
)

// wait returns when a refused caller should come back: when there will be room, as
// far as the placer knows, and spread out by its ID, so that those who were refused
// together don't return together.
func (c *call) wait(now time.Time, reason chicoryrock.Reason) time.Duration {
	if reason.Status() != http.StatusServiceUnavailable && reason.Status() != http.StatusTooManyRequests {
		return 0
	}
	longest := min(c.front.Bounds().Return, max(c.until.Sub(now)/returnPart, soonest))
	switch reason {
	case chicoryrock.ReasonCrashPart, chicoryrock.ReasonRegion, chicoryrock.ReasonEvacuated:
		return longest // only an operator changes the latter two
	case chicoryrock.ReasonCrashRequest:
		return max(c.verdict(now).Wait, soonest) // until it may be tried
	case chicoryrock.ReasonNoRoom:
		return min(c.front.roomAgain(c.request.ID), longest)
	case chicoryrock.ReasonVersionGone:
		return 0 // coming back is in vain
	case chicoryrock.ReasonShutdown:
		return 0 // other processes take it at once
	case chicoryrock.ReasonResting:
		if end, found := c.front.Gate.RestEnd(now, c.request); found {
			return max(end.Sub(now), soonest)
		}
	case chicoryrock.ReasonVersionUnknown:
		return min(lookAgain, longest)
	}
	room, known := c.front.returns(now, c.request)
	if !known {
		return min(c.front.Gate.After(now, c.request), longest)
	}
	room = max(room, soonest)
	return min(room+time.Duration(spreadShare*jitter.Fraction(c.request.ID)*float64(room)), longest)
}
