package entry

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
	"github.com/chicoryrock/chicoryrock/internal/state/claim"
)

// An attempt that may have run is never followed by "not run", whatever ends the
// call then.
func TestNotRunIsTrue(t *testing.T) {
	cases := []struct {
		attempt error
		last    error
		outcome string
	}{
		{notRun("queue-full"), notRun("queue-full"), wire.OutcomeNotRun},
		{notRun("queue-full"), &refusedError{reason: chicoryrock.ReasonLate}, wire.OutcomeNotRun},
		{&refusedError{reason: chicoryrock.ReasonLate}, &refusedError{reason: chicoryrock.ReasonLate}, wire.OutcomeNotRun},
		{chicoryrock.ErrUnknownOutcome, &refusedError{reason: chicoryrock.ReasonLate}, wire.OutcomeUnknown},
		{chicoryrock.ErrUnknownOutcome, &refusedError{reason: chicoryrock.ReasonSuspect}, wire.OutcomeUnknown},
		{chicoryrock.ErrTruncated, notRun("queue-full"), wire.OutcomeUnknown},
		{wire.ErrPreempted, notRun("shutdown"), wire.OutcomeUnknown},
		{&wire.CrashError{}, &refusedError{reason: chicoryrock.ReasonSuspect}, wire.OutcomeUnknown},
	}
	for _, c := range cases {
		made := &call{ctx: context.Background(), granted: true, begun: mayHaveRun(c.attempt)}
		require.Equal(t, c.outcome, made.refusalFor(errors.WithStack(c.last)).Outcome, "%v, then %v", c.attempt, c.last)
	}
}

func TestSecondCallIsRefused(t *testing.T) {
	now := time.Date(2026, time.March, 1, 4, 0, 0, 0, time.UTC)
	cases := []struct {
		result  claim.Result
		reason  chicoryrock.Reason
		outcome string
		detail  string
	}{
		{claim.Result{Outcome: claim.OutcomeShardFull}, chicoryrock.ReasonNoStore, wire.OutcomeNotRun, "room"},
		{claim.Result{Outcome: claim.OutcomeRequestMismatch}, chicoryrock.ReasonClaimed, wire.OutcomeNotRun, "another"},
		{held(claim.StateDone, now), chicoryrock.ReasonClaimed, wire.OutcomeUnknown, "status 201"},
		{held(claim.StateOpen, now), chicoryrock.ReasonClaimed, wire.OutcomeUnknown, "waits or runs"},
		{held(claim.StateOpen, now.Add(-time.Hour)), chicoryrock.ReasonClaimed, wire.OutcomeUnknown, "not known"},
		{held(claim.StateUnknown, now), chicoryrock.ReasonClaimed, wire.OutcomeUnknown, "not known"},
	}
	for _, c := range cases {
		var refused *refusedError
		require.ErrorAs(t, refuseClaim(now, c.result), &refused)
		refusal := refused.refusal()
		require.Equal(t, c.reason, refusal.Reason)
		require.Equal(t, c.outcome, refusal.Outcome)
		require.Contains(t, refusal.Detail, c.detail)
	}
}

func held(state claim.State, since time.Time) claim.Result {
	return claim.Result{Outcome: claim.OutcomeHeld, Claim: claim.Claim{State: state, CreatedAt: since, Status: 201}}
}
