// Package explain keeps the decisions taken on each request and tells them in
// plain sentences. Memory is bounded: old records make room for new ones, and
// counts per class, workspace and five minutes stay for longer.
package explain

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

// Sentinel errors of Find and Summary.
var (
	// ErrExpired says that a record was kept here and has made room for newer ones.
	ErrExpired = errors.New("record expired")
	// ErrEmpty says that nothing is known of a span.
	ErrEmpty = errors.New("nothing in the span")
)

// MissingError says in a sentence why a request cannot be explained. It matches
// chicoryrock.ErrNotFound, or ErrExpired when the record was once here.
type MissingError struct {
	Ref     string
	Expired bool
}

// Error returns a sentence for the operator.
func (e *MissingError) Error() string {
	if e.Expired {
		return fmt.Sprintf("The record of request %s was kept here but has made room for newer ones; "+
			"ask for its class and the span of time instead.", e.Ref)
	}
	return fmt.Sprintf("No request %s is known here: check the reference for typing errors, "+
		"or ask the process that answered the request.", e.Ref)
}

// Is reports whether target is the sentinel that fits.
func (e *MissingError) Is(target error) bool {
	if e.Expired {
		return target == ErrExpired
	}
	return target == chicoryrock.ErrNotFound
}

// Action is what was decided in a step. The list is closed.
type Action string

// The actions.
const (
	ActionQueue  Action = "queue"  // wait; the wait lasts until the next step
	ActionSend   Action = "send"   // Choice is the backend server
	ActionRetry  Action = "retry"  // Choice is the backend server that failed
	ActionResume Action = "resume" // Choice is the backend server that goes on
	ActionToken  Action = "token"  // the first token has gone to the caller
)

// Cause is why a step was taken. The list is closed.
type Cause string

// The causes.
const (
	CauseNone     Cause = ""
	CauseCapacity Cause = "capacity" // every slot was in use
	CauseTier     Cause = "tier"     // requests of a higher tier went first
	CauseFloor    Cause = "floor"    // slots were kept for another class's floor
	CauseShare    Cause = "share"    // other workspaces had used less
	CauseLimit    Cause = "limit"    // the workspace's limit
	CauseLoad     Cause = "load"     // the least loaded
	CausePrefix   Cause = "prefix"   // it knew the beginning of the prompt
	CauseRegion   Cause = "region"   // nothing nearer could meet the target
	CauseBusy     Cause = "busy"     // the backend servers that were tried took no more
	CauseFailure  Cause = "failure"  // the backend server failed
	CauseLeaving  Cause = "leaving"  // the backend server is shutting down
)

// Object is the operator's object that set the rule for a step.
type Object struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	File string `json:"file,omitempty"`
}

// Known is what was known when a step was taken. Zero fields were not looked at.
// Durations are in nanoseconds.
type Known struct {
	Ahead    int           `json:"ahead,omitempty"`    // requests that go first
	Running  int           `json:"running,omitempty"`  // streams
	Slots    int           `json:"slots,omitempty"`    // streams
	Tries    int           `json:"tries,omitempty"`    // times a backend server took no more
	Servers  int           `json:"servers,omitempty"`  // backend servers that came into question
	Expected time.Duration `json:"expected,omitempty"` // wait until the first token
	Age      time.Duration `json:"age,omitempty"`      // of the load reports
}

// Step is one decision.
type Step struct {
	Time   time.Time `json:"time"`
	Action Action    `json:"action"`
	Choice string    `json:"choice,omitempty"`
	Cause  Cause     `json:"cause,omitempty"`
	Known  Known     `json:"known"`
	Rule   Object    `json:"rule"`
}

// Result is how a request ended.
type Result struct {
	Outcome chicoryrock.Outcome `json:"outcome"`
	Reason  chicoryrock.Reason  `json:"reason"`
	Known   Known               `json:"known"` // what a refusal rests on
	Rule    Object              `json:"rule"`  // the object that set the rule for a refusal
	Output  int                 `json:"output,omitempty"`
}

// Record is the story of one request. Ended and First are zero while they have
// not happened.
type Record struct {
	Ref       string    `json:"ref"`
	Workspace string    `json:"workspace,omitempty"`
	Class     string    `json:"class,omitempty"`
	Route     string    `json:"route,omitempty"`
	Pool      string    `json:"pool,omitempty"`
	Tier      int       `json:"tier,omitempty"`
	Prompt    int       `json:"prompt,omitempty"`
	Once      bool      `json:"once,omitempty"` // may not be repeated
	Arrived   time.Time `json:"arrived"`
	Deadline  time.Time `json:"deadline"`
	First     time.Time `json:"first"`
	Ended     time.Time `json:"ended"`
	Steps     []Step    `json:"steps"`
	Omitted   int       `json:"omitted,omitempty"` // steps that found no room
	Result    Result    `json:"result"`
}

// begun returns when the caller got the first of the answer: the first token, or
// the end of a request that has none, such as a call of a plain service.
func (r *Record) begun() time.Time {
	if r.First.IsZero() {
		return r.Ended
	}
	return r.First
}

// Late says whether the answer began after the deadline.
func (r *Record) Late() bool {
	return !r.Deadline.IsZero() && r.begun().After(r.Deadline)
}

// waits calls add for every span that the request waited, with its cause.
func (r *Record) waits(add func(cause Cause, span time.Duration)) {
	for i := range r.Steps {
		if r.Steps[i].Action != ActionQueue {
			continue
		}
		until := r.Ended
		if i+1 < len(r.Steps) {
			until = r.Steps[i+1].Time
		}
		if span := until.Sub(r.Steps[i].Time); span > 0 {
			add(r.Steps[i].Cause, span)
		}
	}
}
