// Package replay runs a recorded trace in virtual time through the real dispatch
// cores of several entries, against fake engines with faults, and reports what
// came of it. It is one small event loop without input or output: the same trace
// and policy give the same report.
package replay

import (
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/retry"
)

// Class is the service level that a scenario gives to a class of calls.
type Class struct {
	Name   string
	Pool   string
	Tier   int           // 1 is the highest
	First  time.Duration // target for the first token
	Token  time.Duration // target between tokens, as the mean over an answer
	Floor  float64       // share of the pool's slots that the class always gets
	Repeat bool          // calls are idempotent
}

// Site is where an entry stands.
type Site struct {
	Centre string
	Region string
}

// Engine is one fake backend server with its agent.
type Engine struct {
	Name    string
	Pool    string
	Centre  string
	Region  string
	Slots   int
	Token   time.Duration // between two tokens of a stream
	Prefill time.Duration // for each prompt token
	Restart time.Duration // from a crash to the next start
	Resume  bool          // goes on with a stream that broke elsewhere
}

// FaultKind says what a fault does.
type FaultKind string

// The kinds of fault.
const (
	// Slow multiplies every time of an engine by Factor.
	Slow FaultKind = "slow"
	// Crash ends an engine and all that it runs; it is back after its Restart.
	Crash FaultKind = "crash"
	// Cut makes an engine unreachable: its streams break, and dials time out.
	Cut FaultKind = "cut"
)

// Fault happens to the engines whose name or centre is Target.
type Fault struct {
	Kind   FaultKind
	Target string
	From   time.Duration
	Until  time.Duration
	Factor float64
}

// Scenario is a trace and the machines that it is replayed against.
type Scenario struct {
	Name    string
	Trace   []Record
	Classes []Class
	Shares  map[string]float64 // of a workspace; 1 when missing
	Entries []Site
	Engines []Engine
	Faults  []Fault
	Lag     time.Duration // age of the load that agents report
}

// Retrier decides on retries, as *retry.Retrier does.
type Retrier interface {
	RecordCall(now time.Time)
	Decide(now time.Time, attempt retry.Attempt) retry.Decision
}

// Policy makes the decisions that are measured.
type Policy struct {
	Name    string
	Queue   func(scenario *Scenario, pool string) chicoryrock.Queue
	Picker  func(scenario *Scenario, entry int) chicoryrock.Picker
	Retrier func() Retrier
	// Suspects says whether requests that crash engines are looked for.
	Suspects bool
	// Depth is how many requests may wait at an engine's agent, as a share of its
	// slots; zero for agents that only count slots.
	Depth float64
	// Riding is how often an agent states its load inside a stream; zero when only
	// at the end of an answer.
	Riding time.Duration
}

func (s *Scenario) class(name string) *Class {
	for i := range s.Classes {
		if s.Classes[i].Name == name {
			return &s.Classes[i]
		}
	}
	return nil
}

func (s *Scenario) share(workspace string) float64 {
	if share := s.Shares[workspace]; share > 0 {
		return share
	}
	return 1
}
