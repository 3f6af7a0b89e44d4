package admit

import (
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// maxWasteFraction bounds the cost of preemption: the tokens to compute again, as a
// fraction of all tokens computed by this backend server. Each preemption takes the
// slot of one request for another, so without a bound a busy tier would make the
// engines compute the prompts of lower tiers over and over.
const maxWasteFraction = 0.01

// belowWasteLimit reports whether preemption has cost no more than its limit so far.
func (c *Controller) belowWasteLimit() bool {
	return float64(c.wasted.Preempted) <= maxWasteFraction*float64(c.computedTokens)
}

// preempt appends a Preempt action for a running request if the next waiting one is
// of a higher tier and would otherwise be too late. It preempts one request at a
// time: the freed slot goes to the next in the queue anyway, and a burst of a high
// tier must not stop all other requests at once.
func (c *Controller) preempt(now time.Time, actions []Action) []Action {
	if c.preempting > 0 || !c.belowWasteLimit() || len(c.running) < c.Slots {
		return actions
	}
	next, found := c.Queue.Peek(now)
	if !found || !c.Queue.Urgent(now, next) {
		return actions
	}
	victim := c.chooseVictim(next.Tier)
	if victim == nil {
		return actions
	}
	c.running[victim].preempted = true
	c.preempting++
	return append(actions, Action{Kind: Preempt, Request: victim})
}

// chooseVictim returns the running request to preempt for one of the given tier, or
// nil: of the lowest tier below it, the one with the fewest tokens to compute again.
// It never returns a request that is not idempotent, because what the backend server
// has done for it so far is unknown, or one whose class would fall below its floor.
func (c *Controller) chooseVictim(tier int) *chicoryrock.Request {
	if !c.CanResume || !c.belowWasteLimit() {
		return nil
	}
	var victim *chicoryrock.Request
	running := c.runningByClass()
	for request, r := range c.running {
		if request.Tier <= tier || !request.Idempotent || r.preempted || r.cancelled {
			continue
		}
		if float64(running[request.Class]-1) < c.Queue.Floors[request.Class]*float64(c.Slots) {
			continue
		}
		if victim == nil || c.preferred(request, victim) {
			victim = request
		}
	}
	return victim
}

// preferred reports whether request is a better victim than other.
func (c *Controller) preferred(request, other *chicoryrock.Request) bool {
	if request.Tier != other.Tier {
		return request.Tier > other.Tier
	}
	tokens := request.PromptTokens + c.running[request].outputTokens
	otherTokens := other.PromptTokens + c.running[other].outputTokens
	if tokens != otherTokens {
		return tokens < otherTokens
	}
	return request.ID < other.ID
}

// runningByClass counts the running requests of each class that are not being
// preempted.
func (c *Controller) runningByClass() map[string]int {
	counts := make(map[string]int)
	for request, r := range c.running {
		if !r.preempted {
			counts[request.Class]++
		}
	}
	return counts
}
