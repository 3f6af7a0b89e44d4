// Package retry decides whether a call whose attempt on a backend server failed is
// sent again. A call that certainly did not run may be sent again; one that may have
// run, only if it is idempotent. A stream that broke off is resumed after the last
// token that the caller has.
package retry

import (
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

const (
	// maxSent limits the attempts of a call that fail for reasons other than lack of
	// capacity.
	maxSent = 4
	// maxRejections limits the attempts of a call that end for lack of capacity. Its
	// deadline ends the call earlier in most cases.
	maxRejections = 64
	// minResumeTimeout is the least time that a broken stream may wait for another
	// replica.
	minResumeTimeout = 5 * time.Second
)

// Action is what to do with a call after a failed attempt.
type Action int

// The actions.
const (
	// Fail ends the call with the decision's reason.
	Fail Action = iota
	// Resend sends the call again from its start.
	Resend
	// Resume sends the call again, to continue after Decision.ResumeAfter tokens.
	Resume
)

// Attempt describes a call and its attempt that has just failed.
type Attempt struct {
	Request               *chicoryrock.Request
	Err                   error         // why it failed; wraps chicoryrock.ErrNotRun if it certainly did not run
	NoCapacity            bool          // the agent had no room, or preempted the stream for a higher tier
	Sent                  int           // attempts so far, without Rejections
	Rejections            int           // attempts so far that ended for lack of capacity
	Tokens                int           // output tokens that the caller has
	Started               bool          // the caller has the beginning of the answer
	FirstTokenAt          time.Time     // when the caller got the first token
	TokenIntervalTarget   time.Duration // target for the mean time between tokens; zero for none
	Resumable             bool          // the pool's engines can resume a stream
	UsualTimeToFirstToken time.Duration // from sending to the first token; zero when unknown
}

// Decision is what to do after a failed attempt.
type Decision struct {
	Action      Action
	ResumeAfter int                // tokens that the caller has, for Resume
	Deadline    time.Time          // new deadline of the request, unless the action is Fail
	ResumeBy    time.Time          // new ResumeBy of the request, for Resume; zero without a target
	Reason      chicoryrock.Reason // for Fail
}

// Retrier decides on retries within a budget. It is not safe for concurrent use.
type Retrier struct {
	Budget Budget
}

// RecordCall credits the budget for one new call from a caller.
func (r *Retrier) RecordCall(now time.Time) { r.Budget.Deposit(now) }

// Decide returns what to do with a call after a failed attempt.
func (r *Retrier) Decide(now time.Time, attempt Attempt) Decision {
	if errors.Is(attempt.Err, chicoryrock.ErrNotRun) && !attempt.Started {
		return r.decideNotRun(now, &attempt)
	}
	switch {
	case !attempt.Request.Idempotent:
		return fail(&attempt)
	case attempt.Started:
		return r.decideResume(now, &attempt)
	case !canMeetDeadline(now, &attempt) || attempt.Sent >= maxSent || !r.Budget.TryWithdraw(now):
		return fail(&attempt)
	default:
		return Decision{Action: Resend, Deadline: attempt.Request.Deadline}
	}
}

// decideNotRun decides on calls that certainly did not run. A rejection by a full
// agent costs only a message, so it uses no budget, and the call queues again. An
// unreachable replica may be one of many: trying one after another for each call
// would be the retry storm that the budget prevents.
func (r *Retrier) decideNotRun(now time.Time, attempt *Attempt) Decision {
	resend := Decision{Action: Resend, Deadline: attempt.Request.Deadline}
	switch {
	case !now.Before(attempt.Request.Deadline):
		return Decision{Reason: chicoryrock.ReasonLate}
	case attempt.NoCapacity && attempt.Rejections < maxRejections:
		return resend
	case attempt.NoCapacity || attempt.Sent >= maxSent || !r.Budget.TryWithdraw(now):
		return Decision{Reason: chicoryrock.ReasonRetries}
	default:
		return resend
	}
}

// decideResume decides on streams that broke off. The target for the first token is
// already met or missed, so the stream gets the same time again to continue, and at
// least minResumeTimeout, as giving up wastes the part of the answer that was sent.
// A stream that an agent preempted for a higher tier has not failed and uses no
// budget.
func (r *Retrier) decideResume(now time.Time, attempt *Attempt) Decision {
	if !attempt.Resumable || attempt.Tokens == 0 {
		return fail(attempt)
	}
	interrupted := !errors.Is(attempt.Err, chicoryrock.ErrNotRun)
	resume := Decision{Action: Resume, ResumeAfter: attempt.Tokens, Deadline: attempt.Request.Deadline, ResumeBy: resumeBy(now, attempt)}
	if interrupted {
		target := attempt.Request.Deadline.Sub(attempt.Request.Arrived)
		resume.Deadline = now.Add(max(target, minResumeTimeout))
	}
	switch {
	case attempt.NoCapacity && attempt.Rejections < maxRejections:
		return resume
	case attempt.NoCapacity || attempt.Sent >= maxSent || !r.Budget.TryWithdraw(now):
		return fail(attempt)
	default:
		return resume
	}
}

// resumeBy returns when a stream has to continue to meet the target for its mean
// time between tokens over the whole answer; zero without a target. The length of
// the answer is unknown: the rest is assumed to have as many tokens as the caller
// has, and to take as long.
func resumeBy(now time.Time, attempt *Attempt) time.Time {
	if attempt.TokenIntervalTarget == 0 || attempt.FirstTokenAt.IsZero() {
		return time.Time{}
	}
	allowed := time.Duration(2*attempt.Tokens) * attempt.TokenIntervalTarget
	return attempt.FirstTokenAt.Add(allowed - now.Sub(attempt.FirstTokenAt))
}

// canMeetDeadline reports whether the first token of a call sent now is expected
// before its deadline.
func canMeetDeadline(now time.Time, attempt *Attempt) bool {
	return now.Add(attempt.UsualTimeToFirstToken).Before(attempt.Request.Deadline)
}

// fail returns the decision to fail a call that may have run.
func fail(attempt *Attempt) Decision {
	if attempt.Started {
		return Decision{Reason: chicoryrock.ReasonBroken}
	}
	return Decision{Reason: chicoryrock.ReasonUnknownOutcome}
}
