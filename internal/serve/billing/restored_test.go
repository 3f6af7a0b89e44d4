package billing

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/serve/duty"
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

// Guards against sealing a window with what the store had when it was copied: its answer is
// the first to say that it has come back, and the counts have not been written again yet.
func TestCountsOfACopyAreNotSealed(t *testing.T) {
	server := &store.Server{Listen: host.Loopback()}
	require.NoError(t, server.Start())
	t.Cleanup(server.Close)
	client := &platform.Store{Address: server.Addr(), Timeout: 10 * time.Second}
	write := func(counts string) {
		other := &platform.Store{Address: server.Addr(), Timeout: 10 * time.Second}
		_, err := other.Commit(t.Context(), []chicoryrock.Change{{Key: tally.CountPrefix + "7/a", Value: []byte(counts), Unconditional: true}})
		require.NoError(t, err)
	}
	write(`{}`)
	server.Copy()
	write(`{"w1":5}`)
	reporter := &Reporter{Length: time.Second, Store: client, Log: event.NewNop(), Clock: &Clock{}, Era: client.Era}
	reporter.keepUp(t.Context(), time.Now())
	server.Restore()
	required := tally.RequiredCounts{Alive: []string{"a"}}
	_, err := reporter.seal(t.Context(), 7, required)
	require.ErrorIs(t, err, tally.ErrCountsMissing)
	reporter.Restored(t.Context(), time.Now())
	_, err = reporter.seal(t.Context(), 7, required)
	require.ErrorIs(t, err, tally.ErrCountsMissing, "the processes have had no time to write again")
	write(`{"w1":5}`)
	reporter.Restored(t.Context(), time.Now().Add(-rewriteTime))
	sum, err := reporter.seal(t.Context(), 7, required)
	require.NoError(t, err)
	require.EqualValues(t, 5, sum["w1"])
}

// Guards against a rest of writePause after a write that failed because the store came back
// from a copy: windows would be sealed before the counts are written again.
func TestCountsAreWrittenAgainAtOnce(t *testing.T) {
	book := &Book{Process: "a", Length: time.Second, Log: event.NewNop(), Clock: &Clock{}}
	book.Began(time.Now(), "w1")
	last := tally.WindowAt(time.Now(), book.Length) + 2
	written := 0
	failing := func(_ context.Context, changes []chicoryrock.Change) error {
		written += len(changes)
		book.Restored()
		return chicoryrock.ErrUnknownOutcome
	}
	require.False(t, book.flushBy(t.Context(), last, failing))
	require.Equal(t, 1, written)
	require.True(t, book.flushBy(t.Context(), last, func(_ context.Context, changes []chicoryrock.Change) error {
		written += len(changes)
		return nil
	}))
	require.Equal(t, 2, written)
}

// Guards against sealing a window with a part of this process's own counts, which it wrote
// before the window's end, when the write of the rest is late.
func TestOwnCountsAreSealedOnceTheyAreWritten(t *testing.T) {
	book := &Book{Process: "a", Length: time.Second, Log: event.NewNop(), Clock: &Clock{}}
	now := time.Now()
	number := tally.WindowAt(now, book.Length)
	write := func(context.Context, []chicoryrock.Change) error {
		require.True(t, book.Unwritten(number), "the write is under way")
		return nil
	}
	book.Began(now, "w1")
	require.True(t, book.flushBy(t.Context(), number+1, write))
	require.False(t, book.Unwritten(number))
	book.Began(now, "w1")
	require.True(t, book.Unwritten(number))
	late := time.Hour
	reporter := &Reporter{Length: book.Length, Late: late, Clock: &Clock{}, Unwritten: book.Unwritten}
	require.ErrorIs(t, reporter.report(t.Context(), duty.Grant{}, number), tally.ErrCountsMissing)
}
