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

// Baselines returns the plain policies that others are measured against.
func Baselines() []Policy {
	return []Policy{
		{
			Name:    "round robin",
			Queue:   fifo,
			Picker:  func(*Scenario, int) chicoryrock.Picker { return &baseline.RoundRobin{} },
			Retrier: func() Retrier { return fourTimes{} },
		},
		{
			Name:    "least open",
			Queue:   fifo,
			Picker:  func(*Scenario, int) chicoryrock.Picker { return baseline.LeastOutstanding{} },
			Retrier: func() Retrier { return fourTimes{} },
		},
	}
}

// Picking returns the router's choice of a backend server and its retries behind
// a plain queue, which shows what these two are worth without the queue.
func Picking() Policy {
	return Policy{Name: "pick", Queue: fifo, Picker: newPicker, Retrier: newRetrier}
}

// Router returns the router's own decisions in the entries, with agents that only
// count slots.
func Router() Policy {
	return Policy{Name: "router", Queue: newQueue, Picker: newPicker, Retrier: newRetrier, Suspects: true}
}

// Ended returns the router with a longer queue at the agents, and with their load
// stated at the end of each answer only.
func Ended() Policy {
	policy := Router()
	policy.Name = "ended"
	policy.Depth = endedDepth
	return policy
}

// Wired returns what the processes run: agents with a short queue, which stop
// streams for a higher tier and state their load inside the streams too.
func Wired() Policy {
	policy := Router()
	policy.Name = "wired"
	policy.Depth = wiredDepth
	policy.Riding = ridingInterval
	return policy
}

// All returns every policy, the plain ones first.
func All() []Policy { return append(Baselines(), Picking(), Router(), Ended(), Wired()) }

// newQueue gives an entry's queue the floors and shares of the scenario.
func newQueue(scenario *Scenario, _ string) chicoryrock.Queue {
	floors := make(map[string]float64)
	for i := range scenario.Classes {
		floors[scenario.Classes[i].Name] = scenario.Classes[i].Floor
	}
	return &queue.Queue{Limit: queueLimit, Floors: floors, Shares: scenario.Shares}
}

// queueLimit is the most requests that wait in the shared room of one entry.
const queueLimit = 200

func fifo(*Scenario, string) chicoryrock.Queue { return &baseline.Queue{} }

// newPicker gives each entry a seed of its own.
func newPicker(scenario *Scenario, entry int) chicoryrock.Picker {
	site := scenario.Entries[entry]
	return &pick.Picker{
		Centre: site.Centre,
		Region: site.Region,
		Random: rand.New(rand.NewPCG(uint64(entry), 1)),
	}
}

const (
	// endedDepth and wiredDepth are how many requests may wait at an agent, as a
	// share of its slots.
	endedDepth = 0.5
	wiredDepth = 0.1
	// ridingInterval is how often an agent states its load inside a stream.
	ridingInterval = 100 * time.Millisecond
)

func newRetrier() Retrier { return &retry.Retrier{} }

// fourTimes is the plain rule for retries: up to four attempts, without a budget.
type fourTimes struct{}

// RecordCall implements Retrier.
func (fourTimes) RecordCall(time.Time) {}

// Decide implements Retrier.
func (fourTimes) Decide(_ time.Time, a retry.Attempt) retry.Decision {
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
