// Package replay is a discrete-event simulator. It runs a recorded trace in virtual
// time through the production dispatchers of several entries, against simulated
// engines with faults, and reports how many calls met their targets. It does no input
// or output while it runs: the same trace and policy give the same report.
package replay

import (
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/retry"
)

// Class is the service level of a class of calls.
type Class struct {
	Name                string
	Pool                string
	Tier                int           // 1 is the highest
	FirstTokenTarget    time.Duration // from arrival to the first token
	TokenIntervalTarget time.Duration // between tokens, as the mean over an answer
	Floor               float64       // fraction of the pool's slots reserved for the class
	Idempotent          bool          // calls may run more than once
}

// Site is the location of an entry.
type Site struct {
	Centre string
	Region string
}

// Engine is one simulated backend server with its agent.
type Engine struct {
	Name            string
	Pool            string
	Centre          string
	Region          string
	Slots           int           // streams that it runs at once
	TokenInterval   time.Duration // between two tokens of a stream
	PrefillPerToken time.Duration // for each prompt token
	RestartTime     time.Duration // from a crash to the next start
	CanResume       bool          // resumes a stream that broke on another engine
	Version         string        // of its software; streams resume at the same one only. Empty if all have one
}

// FaultKind is the effect of a fault.
type FaultKind string

// The kinds of fault.
const (
	// Slow multiplies all processing times of an engine by Factor.
	Slow FaultKind = "slow"
	// Crash stops an engine and breaks its streams. It restarts after RestartTime.
	Crash FaultKind = "crash"
	// Unreachable cuts an engine off: its streams break, and dials time out.
	Unreachable FaultKind = "cut"
)

// Fault affects the engines whose name or data centre is Target.
type Fault struct {
	Kind   FaultKind
	Target string
	From   time.Duration
	Until  time.Duration // not used for Crash
	Factor float64       // for Slow
}

// Scenario is a trace and the entries, engines and faults that it is replayed against.
type Scenario struct {
	Name          string
	Trace         []Record
	Classes       []Class
	Shares        map[string]float64 // weights of workspaces; 1 if missing
	Entries       []Site
	Engines       []Engine
	Faults        []Fault
	LoadReportAge time.Duration // age of the load that agents report
}

// Retrier decides on retries. *retry.Retrier implements it.
type Retrier interface {
	RecordCall(now time.Time)
	Decide(now time.Time, attempt retry.Attempt) retry.Decision
}

// Policy is how entries queue, place and retry calls, and how agents queue calls and
// report their load.
type Policy struct {
	Name    string
	Queue   func(scenario *Scenario, pool string) chicoryrock.Queue // of an entry
	Picker  func(scenario *Scenario, entry int) chicoryrock.Picker  // of the entry with this index
	Retrier func() Retrier                                          // of an entry
	// TrackSuspects makes entries track requests that may crash engines.
	TrackSuspects bool
	// AgentQueueRatio limits the requests that wait at an agent, as a fraction of its
	// engine's slots. If it is zero, agents have no queue and only count slots.
	AgentQueueRatio float64
	// StreamLoadInterval is the interval at which an agent reports its load inside a
	// stream. If it is zero, the load comes only with refusals and at the end of answers.
	StreamLoadInterval time.Duration
}

// class returns the class with the given name, nil if there is none.
func (s *Scenario) class(name string) *Class {
	for i := range s.Classes {
		if s.Classes[i].Name == name {
			return &s.Classes[i]
		}
	}
	return nil
}

// share returns the weight of a workspace.
func (s *Scenario) share(workspace string) float64 {
	if share := s.Shares[workspace]; share > 0 {
		return share
	}
	return 1
}
