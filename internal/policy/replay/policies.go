package replay

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/baseline"
	"github.com/chicoryrock/chicoryrock/internal/policy/pick"
	"github.com/chicoryrock/chicoryrock/internal/policy/queue"
	"github.com/chicoryrock/chicoryrock/internal/policy/retry"
)

// Baselines returns simple policies to compare the others with.
func Baselines() []Policy {
	return []Policy{
		{
			Name:    "round robin",
			Queue:   newFIFO,
			Picker:  func(*Scenario, int) chicoryrock.Picker { return &baseline.RoundRobin{} },
			Retrier: func() Retrier { return fourAttempts{} },
		},
		{
			Name:    "least open",
			Queue:   newFIFO,
			Picker:  func(*Scenario, int) chicoryrock.Picker { return baseline.LeastOutstanding{} },
			Retrier: func() Retrier { return fourAttempts{} },
		},
	}
}

// RouterWithFIFO returns the router's picker and retries behind a FIFO queue. It shows
// the effect of these two without the router's queue.
func RouterWithFIFO() Policy {
	return Policy{Name: "pick", Queue: newFIFO, Picker: newPicker, Retrier: newRetrier}
}

// Router returns the router's decisions in the entries, with agents that only count
// slots.
func Router() Policy {
	return Policy{Name: "router", Queue: newQueue, Picker: newPicker, Retrier: newRetrier, TrackSuspects: true}
}

// LongAgentQueue returns the router with a longer queue at the agents than Deployed,
// and with their load reported at the end of each answer only.
func LongAgentQueue() Policy {
	policy := Router()
	policy.Name = "ended"
	policy.AgentQueueRatio = longAgentQueueRatio
	return policy
}

// Deployed returns the policy that the processes run: agents with a short queue, which
// preempt streams for a higher tier and also report their load inside the streams.
func Deployed() Policy {
	policy := Router()
	policy.Name = "wired"
	policy.AgentQueueRatio = deployedQueueRatio
	policy.StreamLoadInterval = deployedLoadInterval
	return policy
}

// AllPolicies returns every policy, the baselines first.
func AllPolicies() []Policy {
	return append(Baselines(), RouterWithFIFO(), Router(), LongAgentQueue(), Deployed())
}

// newQueue returns the router's queue with the floors and shares of the scenario.
func newQueue(scenario *Scenario, _ string) chicoryrock.Queue {
	floors := make(map[string]float64)
	for i := range scenario.Classes {
		floors[scenario.Classes[i].Name] = scenario.Classes[i].Floor
	}
	return &queue.Queue{Limit: sharedQueueLimit, Floors: floors, Shares: scenario.Shares}
}

// sharedQueueLimit is the most requests in the shared room of one entry's queue.
const sharedQueueLimit = 200

func newFIFO(*Scenario, string) chicoryrock.Queue { return &baseline.Queue{} }

// newPicker returns the router's picker, with a different seed for each entry.
func newPicker(scenario *Scenario, entry int) chicoryrock.Picker {
	site := scenario.Entries[entry]
	return &pick.Picker{
		Centre: site.Centre,
		Region: site.Region,
		Random: rand.New(rand.NewPCG(uint64(entry), 1)),
	}
}

const (
	// longAgentQueueRatio is the AgentQueueRatio of LongAgentQueue.
	longAgentQueueRatio = 0.5
	// deployedQueueRatio is the AgentQueueRatio of Deployed.
	deployedQueueRatio = 0.1
	// deployedLoadInterval is the StreamLoadInterval of Deployed.
	deployedLoadInterval = 100 * time.Millisecond
)

func newRetrier() Retrier { return &retry.Retrier{} }

// fourAttempts is a simple retry rule: up to four attempts, without a retry budget.
type fourAttempts struct{}

// RecordCall implements Retrier.
func (fourAttempts) RecordCall(time.Time) {}

// Decide implements Retrier.
func (fourAttempts) Decide(_ time.Time, a retry.Attempt) retry.Decision {
	notRun := errors.Is(a.Err, chicoryrock.ErrNotRun)
	switch {
	case a.Sent+a.Rejections >= 4 && notRun && !a.Started:
		return retry.Decision{Reason: chicoryrock.ReasonRetries}
	case a.Sent+a.Rejections < 4 && (notRun || a.Request.Idempotent) && !a.Started:
		return retry.Decision{Action: retry.Resend, Deadline: a.Request.Deadline}
	case a.Sent+a.Rejections < 4 && a.Started && a.Resumable && a.Request.Idempotent:
		return retry.Decision{Action: retry.Resume, ResumeAfter: a.Tokens, Deadline: a.Request.Deadline}
	default:
		return retry.Decision{Reason: chicoryrock.ReasonBroken}
	}
}
