package front

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/internal/policy/place"
	"github.com/chicoryrock/chicoryrock/internal/policy/quota"
	"github.com/chicoryrock/chicoryrock/internal/policy/retry"
	"github.com/chicoryrock/chicoryrock/internal/state/routing"
)

// A process that serves its first request before it has heard of the others takes a large
// part of the budget that all share. Its part shrinks when it hears of them.
func TestRetryBudgetFollowsTheNumberOfProcesses(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	members := 6
	f := &Front{Budget: func() retry.Budget { return retry.Budget{Ratio: 0.1, Burst: 60 / float64(members), BaseRate: 0.01} }}
	require.InDelta(t, 10, f.Left(now, "app"), 0.01)
	members = 60
	require.InDelta(t, 1, f.Left(now, "app"), 0.01)
	members = 6
	require.InDelta(t, 10, f.Left(now, "app"), 0.01)
	f.fresh(now, "app")
	require.InDelta(t, 10, f.Left(now, "app"), 0.01, "a call adds no more than fits")
}

// What others may have open on a server counts also while they can't be heard.
func TestConnectionsAreSharedWithProcessesThatAreCutOff(t *testing.T) {
	f := &Front{Placer: &place.Placer{Quota: &quota.Member{Name: "front"}}}
	table := &routing.Table{Version: 1, Services: []routing.Service{{Name: "app", MaxConns: 600}}}
	table.Build()
	f.Configure(table)
	now := time.Unix(1_000_000, 0)
	f.SetLimitMembers(nil, 6)
	f.SetOthers(now, nil, 6)
	require.Equal(t, 100, f.connections("app"))
	f.SetOthers(now, nil, 1)
	require.Equal(t, 100, f.connections("app"))
}
