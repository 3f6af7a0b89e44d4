package transfer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
)

var start = time.Date(2026, 5, 1, 8, 0, 0, 0, time.UTC)

func TestLagLastsUntilTheNewestIsInForce(t *testing.T) {
	var lag Lag
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	lag.Hear(at(0), 4, 4)
	require.Zero(t, lag.Waited(at(500)))
	lag.Hear(at(500), 4, 6)
	require.Zero(t, lag.Waited(at(400)), "it was in force as this was heard")
	lag.Asked(at(600), chicoryrock.ErrUnavailable)
	lag.Hear(at(700), 4, 7)
	require.Equal(t, []any{uint64(7), 500 * time.Millisecond}, []any{lag.Newest(), lag.Waited(at(1000))})
	require.False(t, lag.Due(at(1400)))
	require.True(t, lag.Due(at(1500)))
	require.False(t, lag.Due(at(1600)), "once a second")
	const patience = 800 * time.Millisecond
	require.False(t, lag.Stuck(at(1200), patience))
	require.True(t, lag.Stuck(at(1300), patience))
	lag.Asked(at(1600), nil)
	require.False(t, lag.Stuck(at(2300), patience))
	require.True(t, lag.Stuck(at(2400), patience))
	asked, failed := lag.Calls()
	require.Equal(t, []int{2, 1}, []int{asked, failed})
	lag.Hear(at(1700), 6, 7)
	require.Equal(t, 1200*time.Millisecond, lag.Waited(at(1700)), "the newest is not in force yet")
	lag.Hear(at(1800), 7, 7)
	require.Zero(t, lag.Waited(at(1800)))
	require.False(t, lag.Stuck(at(9000), patience))
}
