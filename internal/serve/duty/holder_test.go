package duty

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/state/memory"
)

// waitTime ends a test that hangs; no test waits for it.
const waitTime = 20 * time.Second

// holding starts a holder and returns it with what its work was given.
func holding(t *testing.T, suspended func() time.Duration, work func(ctx context.Context, grant Grant)) (*Holder, Grant) {
	t.Helper()
	grants := make(chan Grant, 16)
	holder := &Holder{
		Duty: "usage", Process: "a", Store: &memory.Store{}, Log: event.NewNop(), TTL: time.Minute, Renew: time.Hour,
		Candidate: func() bool { return true }, Suspended: suspended,
		Work: func(ctx context.Context, grant Grant) {
			grants <- grant
			work(ctx, grant)
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- holder.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-ended)
	})
	select {
	case grant := <-grants:
		return holder, grant
	case <-time.After(waitTime):
		t.Fatal("the duty is not taken")
		return nil, Grant{}
	}
}

// While its VM is suspended a holder's steady clock stands still, and the store lets
// another process have the duty. What wakes must not act on the old lease.
func TestSuspendedHolderHasNoDuty(t *testing.T) {
	var suspended atomic.Int64
	holder, grant := holding(t, func() time.Duration { return time.Duration(suspended.Load()) }, func(ctx context.Context, _ Grant) { <-ctx.Done() })
	require.True(t, grant.Valid(time.Now()))
	require.True(t, holder.Status(time.Now()).Held)
	suspended.Store(int64(time.Minute))
	require.False(t, grant.Valid(time.Now()))
	require.False(t, holder.Status(time.Now()).Held)
}

// A duty whose work fails unexpectedly is carried on, under the same lease.
func TestDutyOutlivesAPanic(t *testing.T) {
	var runs atomic.Int64
	holder, _ := holding(t, nil, func(ctx context.Context, _ Grant) {
		if runs.Add(1) == 1 {
			panic("unexpected")
		}
		<-ctx.Done()
	})
	require.Eventually(t, func() bool { return runs.Load() == 2 }, waitTime, time.Millisecond)
	require.True(t, holder.Status(time.Now()).Held)
}
