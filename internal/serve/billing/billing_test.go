package billing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/internal/state/tally"
)

var start = time.Date(2026, 5, 1, 8, 0, 0, 0, time.UTC)

// A window is sealed as soon as all that may have counted in it have written, which
// is what leaves time when the store is about to go away. It is not sealed before a
// process that was only cut off can have written the last of its counts.
func TestWindowWaitsForThoseThatMayHaveCounted(t *testing.T) {
	late := 10 * time.Second
	alive := []string{"a", "b", "c"}
	r := &Reporter{Late: late, Alive: func(time.Time) []string { return alive }}
	at := func(seconds float64) time.Time { return start.Add(duration(seconds)) }
	r.look(at(0))
	require.Equal(t, late/2, r.settle(at(1)), "those that are heard may not be all yet")
	r.look(at(2))
	require.Equal(t, settleTime, r.settle(at(2)))
	require.Equal(t, tally.RequiredCounts{Alive: alive, Departed: nil}, r.wanted(time.Second))
	alive = []string{"a", "c"}
	r.look(at(3))
	require.Equal(t, settleTime, r.settle(at(3)))
	require.Equal(t, tally.RequiredCounts{Alive: alive, Departed: []string{"b"}}, r.wanted(time.Second))
	require.Equal(t, tally.RequiredCounts{Alive: alive}, r.wanted(late/2))
	require.Equal(t, tally.RequiredCounts{}, r.wanted(late*9/10))
	alive = []string{"a", "b", "c"}
	r.look(at(6))
	require.Empty(t, r.wanted(time.Second).Departed, "it was only cut off")
	alive = []string{"a", "c"}
	r.look(at(7))
	r.look(at(17))
	require.Empty(t, r.wanted(time.Second).Departed, "it has counted in no open window")
}

func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
