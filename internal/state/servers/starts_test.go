package servers_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/state/servers"
)

// A start is remembered for a while after it was listed, and of many the latest ones are.
func TestStartsAreRemembered(t *testing.T) {
	begin := time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)
	starts := servers.Starts{Lifetime: time.Minute}
	note := func(at time.Duration, id string, startedMs int64) {
		starts.Note(begin.Add(at), chicoryrock.Server{ID: id, StartedMs: startedMs})
	}
	note(0, "a", 1)
	note(0, "b", 1)
	note(50*time.Second, "a", 2)
	cases := []struct {
		at   time.Duration
		id   string
		want []int64
	}{
		{50 * time.Second, "a", []int64{1, 2}},
		{59 * time.Second, "b", []int64{1}},
		{time.Minute, "b", nil},
		{time.Minute, "a", []int64{2}},
		{110 * time.Second, "a", nil},
		{0, "c", nil},
	}
	for _, c := range cases {
		var got []int64
		for _, start := range starts.Of(begin.Add(c.at), c.id) {
			got = append(got, start.StartedMs)
		}
		require.Equal(t, c.want, got, c)
	}
	for n := range int64(100) {
		note(2*time.Minute, "a", 10+n)
	}
	kept := starts.Of(begin.Add(2*time.Minute), "a")
	require.Len(t, kept, 8)
	require.Equal(t, int64(109), kept[7].StartedMs)
}
