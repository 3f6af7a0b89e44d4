package loader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const millisecond = time.Millisecond

func TestTallySeparatesWaysAndKeepsFaultsOutOfLatencies(t *testing.T) {
	var tally Tally
	tally.Add(Outcome{Way: System, Key: "a", Status: 200, Ref: "1", First: 10 * millisecond, Whole: 30 * millisecond, Tokens: 2, Met: true})
	tally.Add(Outcome{Way: System, Key: "a", Status: 200, Ref: "2", First: 900 * millisecond, Whole: time.Second, Err: ErrLost})
	tally.Add(Outcome{Way: System, Key: "b", Status: 503, Reason: "late"})
	tally.Add(Outcome{Way: Direct, Key: "a", Status: 200, Ref: "1", First: 4 * millisecond, Whole: 25 * millisecond})
	report := tally.Report()
	require.Len(t, report.Sections, 5, "three by key and way, two by way")
	all := report.Sections[3]
	require.Equal(t, System, all.Way)
	require.Equal(t, 3, all.Calls)
	require.Equal(t, 1, all.Whole)
	require.Equal(t, 2, all.Tokens)
	require.Equal(t, 2, all.Good)
	require.Equal(t, "33.33%", all.share(), "refused calls count against the system")
	require.Zero(t, report.Sections[4].Met, "whole but too late")
	require.Equal(t, map[string]int{"200": 2, "503 late": 1}, all.Counts)
	require.Equal(t, map[string]int{"lost": 1}, all.Faults)
	require.Equal(t, 1, report.Faults())
	require.InDelta(t, 6*millisecond, report.Added.First.P99, float64(millisecond)/10)
	require.InDelta(t, 5*millisecond, report.Added.End.P50, float64(millisecond)/10)
}

func TestTallyNoticesAReferenceGivenTwice(t *testing.T) {
	var tally Tally
	tally.Add(Outcome{Way: System, Status: 200, Ref: "1", Whole: 1})
	tally.Add(Outcome{Way: System, Status: 200, Ref: "1", Whole: 1})
	require.Equal(t, 1, tally.Report().Faults())
}

func TestMeets(t *testing.T) {
	streamed := Outcome{Status: 200, First: 10 * millisecond, Gaps: []time.Duration{1 * millisecond, 5 * millisecond}, Whole: time.Second}
	broken, whole := streamed, streamed
	broken.Err = ErrLost
	whole.First, whole.Gaps = 0, nil
	for _, test := range []struct {
		outcome      Outcome
		first, token time.Duration
		want         bool
	}{
		{streamed, 0, 0, true},
		{streamed, 10 * millisecond, 3 * millisecond, true},
		{streamed, 9 * millisecond, 3 * millisecond, false},
		{streamed, 10 * millisecond, 2 * millisecond, false},
		{broken, 0, 0, false},
		{whole, time.Second, millisecond, true},
		{whole, 10 * millisecond, 0, false},
		{Outcome{Status: 503}, 0, 0, false},
	} {
		require.Equal(t, test.want, test.outcome.meets(Call{First: test.first, Token: test.token}))
	}
}
