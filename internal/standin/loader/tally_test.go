package loader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const millisecond = time.Millisecond

func TestTallySeparatesWaysAndKeepsFaultsOutOfLatencies(t *testing.T) {
	var tally Tally
	tally.Add(Outcome{Way: System, Key: "a", Status: 200, Ref: "1", First: 10 * millisecond, Whole: 30 * millisecond, Tokens: 2})
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
