package servers

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
)

var start = time.Date(2026, 5, 1, 8, 0, 0, 0, time.UTC)

// step is a list of events at a time after start, and the result.
type step struct {
	at       time.Duration
	answered bool
	failed   bool
	put      string
	leave    string
	remove   string
	replace  []string
	want     []string // IDs of the servers afterwards
}

func runSteps(t *testing.T, steps []step) {
	t.Helper()
	var list List
	for i, s := range steps {
		now := start.Add(s.at)
		if s.answered {
			list.StoreAnswered(now)
		}
		if s.failed {
			list.StoreFailed()
		}
		if s.put != "" {
			list.Put(0, chicoryrock.Server{ID: s.put})
		}
		if s.leave != "" {
			list.Put(0, chicoryrock.Server{ID: s.leave, Leaving: true})
		}
		if s.remove != "" {
			list.Remove(now, 0, s.remove)
		}
		if s.replace != nil {
			var all []chicoryrock.Server
			for _, id := range s.replace {
				all = append(all, chicoryrock.Server{ID: id})
			}
			list.ReplaceFromStore(now, 0, unversioned(all))
		}
		list.Expire(now)
		names := []string{}
		for _, server := range list.Servers() {
			names = append(names, server.ID)
		}
		require.Equal(t, s.want, names, "step %d", i)
	}
}

// A watch can wait for seconds without a change. That is no outage, so a server whose
// entry then disappears is removed at once.
func TestMissingEntryIsRemovedAtOnce(t *testing.T) {
	runSteps(t, []step{
		{answered: true, replace: []string{"a", "b"}, want: []string{"a", "b"}},
		{at: 1500 * time.Millisecond, answered: true, remove: "a", want: []string{"b"}},
		{at: 9 * time.Second, answered: true, remove: "b", want: []string{}},
	})
}

func TestLapsedEntryMayReturn(t *testing.T) {
	runSteps(t, []step{
		{answered: true, replace: []string{"a", "b", "c"}, want: []string{"a", "b", "c"}},
		{at: time.Second, failed: true, want: []string{"a", "b", "c"}},
		{at: 5 * time.Second, answered: true, replace: []string{"c"}, want: []string{"a", "b", "c"}},
		{at: 6 * time.Second, answered: true, put: "a", want: []string{"a", "b", "c"}},
		{at: 7*time.Second + time.Millisecond, answered: true, want: []string{"a", "c"}},
	})
}

// A server that announced that it leaves gets no grace period.
func TestLeavingEntryDoesNotLapse(t *testing.T) {
	runSteps(t, []step{
		{answered: true, replace: []string{"a", "b"}, want: []string{"a", "b"}},
		{leave: "a", want: []string{"a", "b"}},
		{at: time.Second, failed: true, want: []string{"a", "b"}},
		{at: 5 * time.Second, answered: true, replace: []string{"b"}, want: []string{"b"}},
	})
}

// A single failed read is no outage in which entries could have expired.
func TestShortOutageLapsesNothing(t *testing.T) {
	runSteps(t, []step{
		{answered: true, replace: []string{"a", "b"}, want: []string{"a", "b"}},
		{at: time.Second, failed: true, want: []string{"a", "b"}},
		{at: 1500 * time.Millisecond, answered: true, replace: []string{"b"}, want: []string{"b"}},
	})
}

func TestPutReturnsChangeKind(t *testing.T) {
	var list List
	require.Equal(t, Added, list.Put(0, chicoryrock.Server{ID: "a", StartedMs: 1}).Kind)
	require.Equal(t, Unchanged, list.Put(0, chicoryrock.Server{ID: "a", StartedMs: 1, Heartbeat: 2}).Kind)
	require.Equal(t, Restarted, list.Put(0, chicoryrock.Server{ID: "a", StartedMs: 2}).Kind)
	require.Equal(t, Leaving, list.Put(0, chicoryrock.Server{ID: "a", StartedMs: 2, Leaving: true}).Kind)
}
