package admit

import (
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// wastePart is the most that preemption may cost: tokens to compute again, as a
// part of all tokens computed here. Each preemption helps one request and costs
// another its place, so without a bound a busy tier would have the engines compute
// the lower tiers' prompts over and over.
const wastePart = 0.01

// affordable says whether preemption has cost less than its part so far.
func (a *Controller) affordable() bool {
	return float64(a.waste.Preempted) <= wastePart*float64(a.computed)
}

// preempt stops a running request for the next waiting one, if that is of a
// higher tier and would otherwise be too late. One at a time: the slot of the one
// being stopped goes to the next in the queue anyway, and a burst of a high tier
// doesn't stop everything else in one moment.
func (a *Controller) preempt(now time.Time, actions []Action) []Action {
	if a.stopping > 0 || !a.affordable() || len(a.running) < a.Slots {
		return actions
	}
	next, found := a.Queue.Peek(now)
	if !found || !a.Queue.Urgent(now, next) {
		return actions
	}
	victim := a.victim(next.Tier)
	if victim == nil {
		return actions
	}
	a.running[victim].stopping = true
	a.stopping++
	return append(actions, Action{Kind: Preempt, Request: victim})
}

// victim returns the running request that is stopped first for one of the given
// tier, or nil: of the lowest tier below it, the one with the fewest tokens to
// compute again. Never one that may not be repeated, as nobody can say what its
// backend server has done so far.
func (a *Controller) victim(tier int) *chicoryrock.Request {
	if !a.CanResume || !a.affordable() {
		return nil
	}
	var victim *chicoryrock.Request
	classes := a.classes()
	for request, r := range a.running {
		if request.Tier <= tier || !request.Idempotent || r.stopping || r.cancelled {
			continue
		}
		if float64(classes[request.Class]-1) < a.Queue.Floors[request.Class]*float64(a.Slots) {
			continue
		}
		if victim == nil || a.goesBefore(request, victim) {
			victim = request
		}
	}
	return victim
}

func (a *Controller) goesBefore(request, other *chicoryrock.Request) bool {
	if request.Tier != other.Tier {
		return request.Tier > other.Tier
	}
	spent := request.PromptTokens + a.running[request].output
	otherSpent := other.PromptTokens + a.running[other].output
	if spent != otherSpent {
		return spent < otherSpent
	}
	return request.ID < other.ID
}

// classes counts the running requests of each class that are not being stopped.
func (a *Controller) classes() map[string]int {
	counts := make(map[string]int)
	for request, r := range a.running {
		if !r.stopping {
			counts[request.Class]++
		}
	}
	return counts
}
