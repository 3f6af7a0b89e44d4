// Package retry decides whether a call that failed on one backend server is sent
// to another. A call that certainly did not run may go elsewhere; one that may
// have begun goes elsewhere only when it is idempotent; a stream that broke off
// goes on after the last token that the caller has.
package retry

import (
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

const (
	// maxSent bounds how often a call is sent to a replica that fails it.
	maxSent = 4
	// maxTurned bounds how often a call is turned away by agents that are full.
	// Its deadline ends it earlier in most cases.
	maxTurned = 64
	// leastResume is how long a broken stream may wait for another replica at least.
	leastResume = 5 * time.Second
)

// Action is what becomes of a call after a failed attempt.
type Action int

// The actions.
const (
	// Fail ends the call; the verdict's reason says why.
	Fail Action = iota
	// Resend sends the call again from its start.
	Resend
	// Resume sends the call again, to be continued after the tokens of Verdict.From.
	Resume
)

// Attempt is what is known of a call when an attempt has failed.
type Attempt struct {
	Request               *chicoryrock.Request
	Err                   error         // of which chicoryrock.ErrNotRun is told apart from all others
	NoCapacity            bool          // the agent had no room, or stopped the stream for a higher tier
	Sent                  int           // attempts so far, without those that full agents turned away
	Rejections            int           // attempts that full agents turned away
	Tokens                int           // output tokens that the caller has
	Started               bool          // the caller has the beginning of the answer
	FirstTokenAt          time.Time     // when the caller got the first of them
	TokenIntervalTarget   time.Duration // target for the mean time between tokens; zero for none
	Resumable             bool          // the pool's engines can resume a stream
	UsualTimeToFirstToken time.Duration // usual time from sending to the first token; zero when unknown
}

// Decision is what to do after a failed attempt.
type Decision struct {
	Action      Action
	ResumeAfter int                // tokens that the caller has, for Resume
	Deadline    time.Time          // of the request from now on, unless the action is Fail
	ResumeBy    time.Time          // of the request from now on, for Resume; zero without a target
	Reason      chicoryrock.Reason // for Fail
}

// Retrier decides on retries. It is not safe for concurrent use.
type Retrier struct {
	Budget Budget
}

// RecordCall counts one call that came from a caller.
func (r *Retrier) RecordCall(now time.Time) { r.Budget.Deposit(now) }

// Decide says what becomes of a call after a failed attempt.
func (r *Retrier) Decide(now time.Time, attempt Attempt) Decision {
	if errors.Is(attempt.Err, chicoryrock.ErrNotRun) && !attempt.Started {
		return r.notRun(now, &attempt)
	}
	switch {
	case !attempt.Request.Idempotent:
		return failed(&attempt)
	case attempt.Started:
		return r.resume(now, &attempt)
	case !intime(now, &attempt) || attempt.Sent >= maxSent || !r.Budget.TryWithdraw(now):
		return failed(&attempt)
	default:
		return Decision{Action: Resend, Deadline: attempt.Request.Deadline}
	}
}

// notRun handles calls that never began. To be turned away by a full agent costs
// nothing but a message, so it uses no budget: the call waits its turn again. A
// replica that can't be reached may be one of many, and sending each call to one
// after another of them would be the storm that the budget is there to prevent.
func (r *Retrier) notRun(now time.Time, attempt *Attempt) Decision {
	again := Decision{Action: Resend, Deadline: attempt.Request.Deadline}
	switch {
	case !now.Before(attempt.Request.Deadline):
		return Decision{Reason: chicoryrock.ReasonLate}
	case attempt.NoCapacity && attempt.Rejections < maxTurned:
		return again
	case attempt.NoCapacity || attempt.Sent >= maxSent || !r.Budget.TryWithdraw(now):
		return Decision{Reason: chicoryrock.ReasonRetries}
	default:
		return again
	}
}

// resume continues a stream. The target for its first token has been met or
// missed already, so the stream gets the same time once more to go on, and at
// least leastResume: to give up on half an answer wastes all of it. One that an
// agent stopped for a higher tier is no failure, and uses no budget.
func (r *Retrier) resume(now time.Time, attempt *Attempt) Decision {
	if !attempt.Resumable || attempt.Tokens == 0 {
		return failed(attempt)
	}
	stopped := !errors.Is(attempt.Err, chicoryrock.ErrNotRun)
	verdict := Decision{Action: Resume, ResumeAfter: attempt.Tokens, Deadline: attempt.Request.Deadline, ResumeBy: due(now, attempt)}
	if stopped {
		target := attempt.Request.Deadline.Sub(attempt.Request.Arrived)
		verdict.Deadline = now.Add(max(target, leastResume))
	}
	switch {
	case attempt.NoCapacity && attempt.Rejections < maxTurned:
		return verdict
	case attempt.NoCapacity || attempt.Sent >= maxSent || !r.Budget.TryWithdraw(now):
		return failed(attempt)
	default:
		return verdict
	}
}

// due returns when a stream has to go on to meet its target between tokens as a
// mean over the whole answer. Of its length nothing is known, so what is still to
// come is taken to be as long as what came, at the same pace.
func due(now time.Time, attempt *Attempt) time.Time {
	if attempt.TokenIntervalTarget == 0 || attempt.FirstTokenAt.IsZero() {
		return time.Time{}
	}
	whole := time.Duration(2*attempt.Tokens) * attempt.TokenIntervalTarget
	return attempt.FirstTokenAt.Add(whole - now.Sub(attempt.FirstTokenAt))
}

// Hedge says whether a second copy of a call that has had no answer yet may be
// sent to another replica. Elapsed is the time since it was sent. Hedges are the
// first thing to stop when the budget runs low.
func (r *Retrier) Hedge(now time.Time, attempt Attempt, elapsed time.Duration) bool {
	if !attempt.Request.Idempotent || attempt.Started || attempt.Tokens > 0 || attempt.UsualTimeToFirstToken == 0 {
		return false
	}
	if elapsed < hedgeFactor*attempt.UsualTimeToFirstToken || !intime(now, &attempt) {
		return false
	}
	return r.Budget.Balance(now) > r.Budget.burst()/2 && r.Budget.TryWithdraw(now)
}

// hedgeFactor is how many times the usual time a call waits before it is hedged.
const hedgeFactor = 3

// intime says whether a call sent now can still meet its target.
func intime(now time.Time, attempt *Attempt) bool {
	return now.Add(attempt.UsualTimeToFirstToken).Before(attempt.Request.Deadline)
}

// failed is the verdict on a call that may have begun.
func failed(attempt *Attempt) Decision {
	if attempt.Started {
		return Decision{Reason: chicoryrock.ReasonBroken}
	}
	return Decision{Reason: chicoryrock.ReasonUnknownOutcome}
}
