package billing

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/standin/host"
	"github.com/chicoryrock/chicoryrock/internal/standin/store"
	"github.com/chicoryrock/chicoryrock/internal/state/tally"
	"github.com/chicoryrock/chicoryrock/platform"
)

// The store loses the seal of a window that has been reported, and the counts that one of
// the processes wrote. The next holder of the duty, which has heard of the seal, must report
// the same sum.
func TestLostSealIsMadeAgainWithTheSameSum(t *testing.T) {
	server := &store.Server{Listen: host.Loopback()}
	require.NoError(t, server.Start())
	t.Cleanup(server.Close)
	client := &platform.Store{Address: server.Addr(), Timeout: 10 * time.Second}
	const window = 7
	write := func(process, counts string) {
		_, err := client.Commit(t.Context(), []chicoryrock.Change{{Key: tally.CountPrefix + "7/" + process, Value: []byte(counts), Unconditional: true}})
		require.NoError(t, err)
	}
	write("a", `{"w1":5}`)
	server.Copy()
	write("b", `{"w1":2}`)
	next := &Reporter{Store: client, Log: event.NewNop()}
	first := &Reporter{Store: client, Log: event.NewNop(), Share: func(_ context.Context, number int64, counts tally.Counts) { next.Hear(number, counts) }}
	sum, err := first.seal(t.Context(), window, tally.RequiredCounts{})
	require.NoError(t, err)
	require.EqualValues(t, 7, sum["w1"])
	server.Restore()
	again, err := next.seal(t.Context(), window, tally.RequiredCounts{})
	require.NoError(t, err)
	require.Equal(t, sum, again)
	third := &Reporter{Store: client, Log: event.NewNop()}
	again, err = third.seal(t.Context(), window, tally.RequiredCounts{})
	require.NoError(t, err)
	require.Equal(t, sum, again, "the store has the seal again")
}
