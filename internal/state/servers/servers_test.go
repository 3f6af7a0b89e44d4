package servers

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
)

var start = time.Date(2026, 5, 1, 8, 0, 0, 0, time.UTC)

// step is something that happens to the list at a time after start.
type step struct {
	at     time.Duration
	heard  bool
	lost   bool
	put    string
	drain  string
	remove string
	reset  []string
	want   []string // the servers that are known afterwards
}

func run(t *testing.T, steps []step) {
	t.Helper()
	var list List
	for i, s := range steps {
		now := start.Add(s.at)
		if s.heard {
			list.StoreAnswered(now)
		}
		if s.lost {
			list.StoreFailed()
		}
		if s.put != "" {
			list.Put(chicoryrock.Server{ID: s.put})
		}
		if s.drain != "" {
			list.Put(chicoryrock.Server{ID: s.drain, Leaving: true})
		}
		if s.remove != "" {
			list.Remove(now, s.remove)
		}
		if s.reset != nil {
			var all []chicoryrock.Server
			for _, id := range s.reset {
				all = append(all, chicoryrock.Server{ID: id})
			}
			list.ReplaceFromStore(now, all)
		}
		list.Expire(now)
		names := []string{}
		for _, one := range list.Servers() {
			names = append(names, one.ID)
		}
		require.Equal(t, s.want, names, "step %d", i)
	}
}

// A watch may wait for seconds without a change: an entry that vanishes then has
// left, as the store was never away.
func TestVanishedEntryIsGoneAtOnce(t *testing.T) {
	run(t, []step{
		{heard: true, reset: []string{"a", "b"}, want: []string{"a", "b"}},
		{at: 1500 * time.Millisecond, heard: true, remove: "a", want: []string{"b"}},
		{at: 9 * time.Second, heard: true, remove: "b", want: []string{}},
	})
}

func TestLapsedEntryMayComeBack(t *testing.T) {
	run(t, []step{
		{heard: true, reset: []string{"a", "b", "c"}, want: []string{"a", "b", "c"}},
		{at: time.Second, lost: true, want: []string{"a", "b", "c"}},
		{at: 5 * time.Second, heard: true, reset: []string{"c"}, want: []string{"a", "b", "c"}},
		{at: 6 * time.Second, heard: true, put: "a", want: []string{"a", "b", "c"}},
		{at: 7*time.Second + time.Millisecond, heard: true, want: []string{"a", "c"}},
	})
}

// A server that said that it leaves does not get the time to come back.
func TestLeavingEntryDoesNotLapse(t *testing.T) {
	run(t, []step{
		{heard: true, reset: []string{"a", "b"}, want: []string{"a", "b"}},
		{drain: "a", want: []string{"a", "b"}},
		{at: time.Second, lost: true, want: []string{"a", "b"}},
		{at: 5 * time.Second, heard: true, reset: []string{"b"}, want: []string{"b"}},
	})
}

// One failed read is no outage in which entries could have lapsed.
func TestShortOutageLapsesNothing(t *testing.T) {
	run(t, []step{
		{heard: true, reset: []string{"a", "b"}, want: []string{"a", "b"}},
		{at: time.Second, lost: true, want: []string{"a", "b"}},
		{at: 1500 * time.Millisecond, heard: true, reset: []string{"b"}, want: []string{"b"}},
	})
}

func TestRestartIsTold(t *testing.T) {
	var list List
	require.Equal(t, Added, list.Put(chicoryrock.Server{ID: "a", StartedMs: 1}).Kind)
	require.Equal(t, Unchanged, list.Put(chicoryrock.Server{ID: "a", StartedMs: 1, Heartbeat: 2}).Kind)
	require.Equal(t, Restarted, list.Put(chicoryrock.Server{ID: "a", StartedMs: 2}).Kind)
	require.Equal(t, Leaving, list.Put(chicoryrock.Server{ID: "a", StartedMs: 2, Leaving: true}).Kind)
}
