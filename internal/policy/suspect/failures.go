package suspect

import (
	"slices"
	"time"
)

const (
	// failureThreshold is the number of failures from which a request is assumed to
	// crash every backend server that runs it. A failure may be a lost connection
	// instead of a crash, so two could be chance.
	failureThreshold = 3
	// initialBackoff is how long a request is refused after failureThreshold
	// failures. After that time, one attempt can show that the failures were chance.
	initialBackoff = 5 * time.Second
	// maxBackoff limits the backoff, which each further failure doubles.
	maxBackoff = 80 * time.Second
	// failureTTL is how long a failure counts.
	failureTTL = 10 * time.Minute
	// maxRequests is how many requests are tracked. The one whose last failure is the
	// oldest is dropped first.
	maxRequests = 1024
)

// Outcome is the result of one attempt of a request. With a Server, the answer from
// that backend server broke off or was lost; without one, the answer was complete.
type Outcome struct {
	Fingerprint Fingerprint `json:"mark"`
	Server      string      `json:"server,omitempty"`
	At          time.Time   `json:"at"`
}

// FailureTracker finds requests that fail on one backend server after another. It
// is for processes that cannot distinguish a crash from a lost connection; Registry
// is for those that get crash reports from an agent. The zero value is ready for
// use. It is not safe for concurrent use.
type FailureTracker struct {
	failures map[Fingerprint][]Outcome // oldest first
}

// Empty reports whether no failures are recorded for any request.
func (t *FailureTracker) Empty() bool { return len(t.failures) == 0 }

// HasFailures reports whether failures of a request are recorded.
func (t *FailureTracker) HasFailures(fingerprint Fingerprint) bool {
	return len(t.failures[fingerprint]) > 0
}

// Record adds an outcome of this process or of another. Recording outcomes twice or
// in another order gives the same result.
func (t *FailureTracker) Record(now time.Time, outcome Outcome) {
	if outcome.Server == "" {
		t.clear(outcome)
		return
	}
	if t.failures == nil {
		t.failures = make(map[Fingerprint][]Outcome)
	}
	failures := slices.DeleteFunc(t.failures[outcome.Fingerprint], func(o Outcome) bool { return now.Sub(o.At) >= failureTTL })
	if !slices.ContainsFunc(failures, outcome.sameFailure) {
		failures = append(failures, outcome)
		slices.SortFunc(failures, func(a, b Outcome) int { return a.At.Compare(b.At) })
	}
	t.failures[outcome.Fingerprint] = failures
	if len(t.failures) > maxRequests {
		t.dropOldest()
	}
}

// sameFailure reports whether two outcomes are the same failure: a backend server
// that crashed does not run again within a second.
func (o Outcome) sameFailure(other Outcome) bool {
	return o.Server == other.Server && o.At.Sub(other.At).Abs() < time.Second
}

// clear drops the failures up to the time of a complete answer.
func (t *FailureTracker) clear(success Outcome) {
	failures := slices.DeleteFunc(t.failures[success.Fingerprint], func(o Outcome) bool { return !o.At.After(success.At) })
	if len(failures) == 0 {
		delete(t.failures, success.Fingerprint)
		return
	}
	t.failures[success.Fingerprint] = failures
}

// dropOldest drops the request whose last failure is the oldest.
func (t *FailureTracker) dropOldest() {
	var oldest Fingerprint
	var oldestTime time.Time
	for fingerprint, failures := range t.failures {
		if last := lastTime(failures); oldestTime.IsZero() || last.Before(oldestTime) {
			oldest, oldestTime = fingerprint, last
		}
	}
	delete(t.failures, oldest)
}

// lastTime returns the time of the last failure, or zero if there is none.
func lastTime(failures []Outcome) time.Time {
	if len(failures) == 0 {
		return time.Time{}
	}
	return failures[len(failures)-1].At
}

// State returns how a request is to be treated. A Suspect may be tried once, on one
// backend server.
func (t *FailureTracker) State(now time.Time, fingerprint Fingerprint) State {
	failures := t.failures[fingerprint]
	count := 0
	for _, failure := range failures {
		if now.Sub(failure.At) < failureTTL {
			count++
		}
	}
	if count < failureThreshold {
		return Clean
	}
	backoff := min(initialBackoff<<min(count-failureThreshold, 8), maxBackoff)
	if now.Sub(lastTime(failures)) < backoff {
		return Refused
	}
	return Suspect
}
