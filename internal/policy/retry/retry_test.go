package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/retry"
	"github.com/chicoryrock/chicoryrock/internal/standin/property"
)

var start = time.Date(2026, time.January, 5, 6, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) { property.Run(m, property.Size{}) }

func request(idempotent bool) *chicoryrock.Request {
	return &chicoryrock.Request{Arrived: start, Deadline: start.Add(400 * time.Millisecond), Idempotent: idempotent}
}

// A stream breaks off after ten tokens in 400 ms, with 50 ms allowed for each token.
// Twenty tokens may take one second, and ten more take 400 ms of that.
func TestResumeBy(t *testing.T) {
	now := start.Add(400 * time.Millisecond)
	attempt := retry.Attempt{Request: request(true), Err: chicoryrock.ErrTruncated, Sent: 1, Tokens: 10, Started: true, Resumable: true, FirstTokenAt: start, TokenIntervalTarget: 50 * time.Millisecond}
	decision := (&retry.Retrier{}).Decide(now, attempt)
	assert.Equal(t, start.Add(600*time.Millisecond), decision.ResumeBy)
	attempt.TokenIntervalTarget = 0
	assert.Zero(t, (&retry.Retrier{}).Decide(now, attempt).ResumeBy)
}

func TestDecide(t *testing.T) {
	soon, late := start.Add(100*time.Millisecond), start.Add(500*time.Millisecond)
	notRun, cut := chicoryrock.ErrNotRun, chicoryrock.ErrTruncated
	tests := []struct {
		name       string
		now        time.Time
		idempotent bool
		attempt    retry.Attempt
		action     retry.Action
		reason     chicoryrock.Reason
	}{
		{"not run, not idempotent", soon, false, retry.Attempt{Err: notRun, Sent: 1}, retry.Resend, 0},
		{"not run, too often", soon, true, retry.Attempt{Err: notRun, Sent: 4}, retry.Fail, chicoryrock.ReasonRetries},
		{"not run, too late", late, true, retry.Attempt{Err: notRun, Sent: 1}, retry.Fail, chicoryrock.ReasonLate},
		{"rejected, often", soon, false, retry.Attempt{Err: notRun, NoCapacity: true, Rejections: 20}, retry.Resend, 0},
		{"began, not idempotent", soon, false, retry.Attempt{Err: chicoryrock.ErrUnknownOutcome, Sent: 1}, retry.Fail, chicoryrock.ReasonUnknownOutcome},
		{"began, not idempotent, with tokens", soon, false, retry.Attempt{Err: cut, Sent: 1, Tokens: 5, Started: true, Resumable: true}, retry.Fail, chicoryrock.ReasonBroken},
		{"began, idempotent", soon, true, retry.Attempt{Err: chicoryrock.ErrUnknownOutcome, Sent: 1}, retry.Resend, 0},
		{"began, idempotent, too late", late, true, retry.Attempt{Err: chicoryrock.ErrUnknownOutcome, Sent: 1}, retry.Fail, chicoryrock.ReasonUnknownOutcome},
		{"began, idempotent, usual time too long", soon, true, retry.Attempt{Err: cut, Sent: 1, UsualTimeToFirstToken: 350 * time.Millisecond}, retry.Fail, chicoryrock.ReasonUnknownOutcome},
		{"stream broke", late, true, retry.Attempt{Err: cut, Sent: 1, Tokens: 5, Started: true, Resumable: true}, retry.Resume, 0},
		{"stream broke, no resume", soon, true, retry.Attempt{Err: cut, Sent: 1, Tokens: 5, Started: true}, retry.Fail, chicoryrock.ReasonBroken},
		{"resumed stream not run", soon, true, retry.Attempt{Err: notRun, Sent: 2, Tokens: 5, Started: true, Resumable: true}, retry.Resume, 0},
	}
	for _, test := range tests {
		test.attempt.Request = request(test.idempotent)
		decision := (&retry.Retrier{}).Decide(test.now, test.attempt)
		assert.Equal(t, test.action, decision.Action, test.name)
		assert.Equal(t, test.reason, decision.Reason, test.name)
		if decision.Action == retry.Resume {
			assert.Equal(t, test.attempt.Tokens, decision.ResumeAfter, test.name)
		}
		if decision.Action != retry.Fail {
			assert.True(t, decision.Deadline.After(test.now), test.name)
		}
	}
}

// When a whole pool is down, retries are at most a tenth of the new calls, plus the
// burst.
func TestNoRetryStormWhenPoolIsDown(t *testing.T) {
	r := &retry.Retrier{Budget: retry.Budget{Burst: 10}}
	const calls = 1000
	retries := 0
	for i := range calls {
		now := start.Add(time.Duration(i) * time.Millisecond)
		r.Budget.Deposit(now)
		call := &chicoryrock.Request{Arrived: now, Deadline: now.Add(time.Second), Idempotent: true}
		for sent := 1; ; sent++ {
			decision := r.Decide(now, retry.Attempt{Request: call, Err: chicoryrock.ErrNotRun, Sent: sent})
			if decision.Action == retry.Fail {
				assert.Equal(t, chicoryrock.ReasonRetries, decision.Reason)
				break
			}
			retries++
		}
	}
	assert.LessOrEqual(t, retries, calls/10+10+1)
}

// In any order of failures, a call that may have run and is not idempotent is never
// sent again, there are never more retries than the budget allows, and a stream
// resumes exactly after the tokens that the caller has.
func TestDecideInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &retry.Retrier{Budget: retry.Budget{Burst: 5, Ratio: 0.2, BaseRate: 0.5}}
		now, calls, retries := start, 0.0, 0.0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "fresh") {
				r.Budget.Deposit(now)
				calls++
			}
			attempt := retry.Attempt{
				Request:   &chicoryrock.Request{Arrived: now, Deadline: now.Add(time.Second), Idempotent: rapid.Bool().Draw(t, "repeat")},
				Err:       rapid.SampledFrom([]error{chicoryrock.ErrNotRun, chicoryrock.ErrTruncated, chicoryrock.ErrUnknownOutcome}).Draw(t, "err"),
				Sent:      rapid.IntRange(1, 5).Draw(t, "sent"),
				Tokens:    rapid.IntRange(0, 3).Draw(t, "tokens"),
				Resumable: rapid.Bool().Draw(t, "save"),
			}
			attempt.Started = attempt.Tokens > 0
			decision := r.Decide(now, attempt)
			if decision.Action == retry.Fail {
				continue
			}
			retries++
			mayHaveRun := attempt.Started || attempt.Err != chicoryrock.ErrNotRun //nolint:errorlint // never wrapped here
			if mayHaveRun && !attempt.Request.Idempotent {
				t.Fatal("a call that is not idempotent was sent again")
			}
			if attempt.Started != (decision.Action == retry.Resume) || decision.ResumeAfter != attempt.Tokens {
				t.Fatal("missing or repeated tokens in the stream")
			}
			if allowed := 5 + 0.2*calls + 0.5*now.Sub(start).Seconds(); retries > allowed {
				t.Fatalf("%v retries where %v are allowed", retries, allowed)
			}
		}
	})
}
