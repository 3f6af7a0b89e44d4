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

func request(repeat bool) *chicoryrock.Request {
	return &chicoryrock.Request{Arrived: start, Deadline: start.Add(400 * time.Millisecond), Idempotent: repeat}
}

// A stream of ten tokens in 400 ms, broken off at that time, with 50 ms between
// tokens allowed: twenty may take a second, and ten more need 400 ms of that.
func TestResumeIsDue(t *testing.T) {
	now := start.Add(400 * time.Millisecond)
	attempt := retry.Attempt{Request: request(true), Err: chicoryrock.ErrTruncated, Sent: 1, Tokens: 10, Started: true, Resumable: true, FirstTokenAt: start, TokenIntervalTarget: 50 * time.Millisecond}
	verdict := (&retry.Retrier{}).Decide(now, attempt)
	assert.Equal(t, start.Add(600*time.Millisecond), verdict.ResumeBy)
	attempt.TokenIntervalTarget = 0
	assert.Zero(t, (&retry.Retrier{}).Decide(now, attempt).ResumeBy)
}

func TestDecide(t *testing.T) {
	soon, late := start.Add(100*time.Millisecond), start.Add(500*time.Millisecond)
	notRun, cut := chicoryrock.ErrNotRun, chicoryrock.ErrTruncated
	tests := []struct {
		name    string
		now     time.Time
		repeat  bool
		attempt retry.Attempt
		action  retry.Action
		reason  chicoryrock.Reason
	}{
		{"not run, even once only", soon, false, retry.Attempt{Err: notRun, Sent: 1}, retry.Resend, 0},
		{"not run, too often", soon, true, retry.Attempt{Err: notRun, Sent: 4}, retry.Fail, chicoryrock.ReasonRetries},
		{"not run, too late", late, true, retry.Attempt{Err: notRun, Sent: 1}, retry.Fail, chicoryrock.ReasonLate},
		{"turned away, often", soon, false, retry.Attempt{Err: notRun, NoCapacity: true, Rejections: 20}, retry.Resend, 0},
		{"began, once only", soon, false, retry.Attempt{Err: chicoryrock.ErrUnknownOutcome, Sent: 1}, retry.Fail, chicoryrock.ReasonUnknownOutcome},
		{"began, once only, with tokens", soon, false, retry.Attempt{Err: cut, Sent: 1, Tokens: 5, Started: true, Resumable: true}, retry.Fail, chicoryrock.ReasonBroken},
		{"began, idempotent", soon, true, retry.Attempt{Err: chicoryrock.ErrUnknownOutcome, Sent: 1}, retry.Resend, 0},
		{"began, idempotent, too late", late, true, retry.Attempt{Err: chicoryrock.ErrUnknownOutcome, Sent: 1}, retry.Fail, chicoryrock.ReasonUnknownOutcome},
		{"began, idempotent, usually too slow", soon, true, retry.Attempt{Err: cut, Sent: 1, UsualTimeToFirstToken: 350 * time.Millisecond}, retry.Fail, chicoryrock.ReasonUnknownOutcome},
		{"stream broke", late, true, retry.Attempt{Err: cut, Sent: 1, Tokens: 5, Started: true, Resumable: true}, retry.Resume, 0},
		{"stream broke, no resume", soon, true, retry.Attempt{Err: cut, Sent: 1, Tokens: 5, Started: true}, retry.Fail, chicoryrock.ReasonBroken},
		{"resumed stream not run", soon, true, retry.Attempt{Err: notRun, Sent: 2, Tokens: 5, Started: true, Resumable: true}, retry.Resume, 0},
	}
	for _, test := range tests {
		test.attempt.Request = request(test.repeat)
		verdict := (&retry.Retrier{}).Decide(test.now, test.attempt)
		assert.Equal(t, test.action, verdict.Action, test.name)
		assert.Equal(t, test.reason, verdict.Reason, test.name)
		if verdict.Action == retry.Resume {
			assert.Equal(t, test.attempt.Tokens, verdict.ResumeAfter, test.name)
		}
		if verdict.Action != retry.Fail {
			assert.True(t, verdict.Deadline.After(test.now), test.name)
		}
	}
}

// When a whole pool is down, retries stay a tenth of the fresh calls, once what
// was saved up is gone.
func TestNoStormWhenPoolIsDown(t *testing.T) {
	r := &retry.Retrier{Budget: retry.Budget{Burst: 10}}
	const fresh = 1000
	retries := 0
	for i := range fresh {
		now := start.Add(time.Duration(i) * time.Millisecond)
		r.Budget.Deposit(now)
		call := &chicoryrock.Request{Arrived: now, Deadline: now.Add(time.Second), Idempotent: true}
		for sent := 1; ; sent++ {
			verdict := r.Decide(now, retry.Attempt{Request: call, Err: chicoryrock.ErrNotRun, Sent: sent})
			if verdict.Action == retry.Fail {
				assert.Equal(t, chicoryrock.ReasonRetries, verdict.Reason)
				break
			}
			retries++
		}
	}
	assert.LessOrEqual(t, retries, fresh/10+10+1)
}

func TestHedge(t *testing.T) {
	tests := []struct {
		name    string
		repeat  bool
		attempt retry.Attempt
		elapsed time.Duration
		burst   float64
		want    bool
	}{
		{"slow and idempotent", true, retry.Attempt{UsualTimeToFirstToken: 20 * time.Millisecond}, 80 * time.Millisecond, 10, true},
		{"may not be repeated", false, retry.Attempt{UsualTimeToFirstToken: 20 * time.Millisecond}, 80 * time.Millisecond, 10, false},
		{"not slow yet", true, retry.Attempt{UsualTimeToFirstToken: 20 * time.Millisecond}, 40 * time.Millisecond, 10, false},
		{"has tokens", true, retry.Attempt{UsualTimeToFirstToken: 20 * time.Millisecond, Tokens: 1}, 80 * time.Millisecond, 10, false},
		{"budget is low", true, retry.Attempt{UsualTimeToFirstToken: 20 * time.Millisecond}, 80 * time.Millisecond, 1, false},
	}
	for _, test := range tests {
		r := &retry.Retrier{Budget: retry.Budget{Burst: test.burst}}
		if test.burst == 1 {
			r.Budget.TryWithdraw(start)
		}
		test.attempt.Request = request(test.repeat)
		assert.Equal(t, test.want, r.Hedge(start.Add(test.elapsed), test.attempt, test.elapsed), test.name)
	}
}

// Whatever the order of failures: a call that may have begun and may not be
// repeated is never sent again, retries are never more than the budget allows,
// and a stream resumes exactly after the tokens that the caller has.
func TestDecideKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &retry.Retrier{Budget: retry.Budget{Burst: 5, Ratio: 0.2, BaseRate: 0.5}}
		now, fresh, spent := start, 0.0, 0.0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "fresh") {
				r.Budget.Deposit(now)
				fresh++
			}
			attempt := retry.Attempt{
				Request:   &chicoryrock.Request{Arrived: now, Deadline: now.Add(time.Second), Idempotent: rapid.Bool().Draw(t, "repeat")},
				Err:       rapid.SampledFrom([]error{chicoryrock.ErrNotRun, chicoryrock.ErrTruncated, chicoryrock.ErrUnknownOutcome}).Draw(t, "err"),
				Sent:      rapid.IntRange(1, 5).Draw(t, "sent"),
				Tokens:    rapid.IntRange(0, 3).Draw(t, "tokens"),
				Resumable: rapid.Bool().Draw(t, "save"),
			}
			attempt.Started = attempt.Tokens > 0
			verdict := r.Decide(now, attempt)
			if verdict.Action == retry.Fail {
				continue
			}
			spent++
			began := attempt.Started || attempt.Err != chicoryrock.ErrNotRun //nolint:errorlint // never wrapped here
			if began && !attempt.Request.Idempotent {
				t.Fatal("a call that may not be repeated was sent again")
			}
			if attempt.Started != (verdict.Action == retry.Resume) || verdict.ResumeAfter != attempt.Tokens {
				t.Fatal("a gap or a repeat in the stream")
			}
			if allowed := 5 + 0.2*fresh + 0.5*now.Sub(start).Seconds(); spent > allowed {
				t.Fatalf("%v retries where %v are allowed", spent, allowed)
			}
		}
	})
}
