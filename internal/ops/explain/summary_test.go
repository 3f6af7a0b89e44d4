package explain

import (
	"encoding/json"
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/cell"
)

// run records a request that waits, begins and ends after the given times.
func run(recorder *Recorder, ref, class, workspace string, arrived time.Time, wait time.Duration, result Result) {
	recorder.Begin(arrived, &chicoryrock.Request{ID: ref, Class: class, Workspace: workspace, Deadline: arrived.Add(time.Second)})
	recorder.Step(arrived, ref, Step{Action: ActionQueue, Cause: CauseCapacity})
	recorder.Step(arrived.Add(wait), ref, Step{Action: ActionSend})
	recorder.Step(arrived.Add(wait), ref, Step{Action: ActionToken})
	recorder.End(arrived.Add(wait), ref, result)
}

var (
	served  = Result{Outcome: chicoryrock.OutcomeServed}
	refused = Result{Outcome: chicoryrock.OutcomeRefused, Reason: chicoryrock.ReasonLate}
)

func filled() *Recorder {
	recorder := &Recorder{Capacity: 2}
	run(recorder, "early", "quote", "hanoi", start, 0, served)
	run(recorder, "slow", "quote", "hanoi", start, 3*time.Second, served)
	run(recorder, "slower", "quote", "saigon", start, 5*time.Second, served)
	run(recorder, "no", "quote", "hanoi", at(time.Minute), 0, refused)
	run(recorder, "other", "book", "hanoi", start, 0, served)
	run(recorder, "later", "quote", "hanoi", at(5*time.Minute), 0, served)
	return recorder
}

func TestSummarySelects(t *testing.T) {
	recorder := filled()
	cases := []struct {
		from, to         time.Duration
		class, workspace string
		served, late     int
		refused          int
		slowest          string
	}{
		{0, 5 * time.Minute, "quote", "", 3, 2, 1, "slower"},
		{0, 5 * time.Minute, "quote", "hanoi", 2, 1, 1, "slow"},
		{0, 5 * time.Minute, "", "", 4, 2, 1, "slower"},
		{time.Minute, 2 * time.Minute, "quote", "saigon", 1, 1, 0, "slower"},
		{0, 5*time.Minute + 1, "quote", "", 4, 2, 1, "slower"},
		{5 * time.Minute, 10 * time.Minute, "quote", "", 1, 0, 0, ""},
	}
	for _, c := range cases {
		summary, err := recorder.Summary(at(c.from), at(c.to), c.class, c.workspace)
		require.NoError(t, err)
		got := []any{summary.Served, summary.Late, summary.Refused, summary.Slowest}
		require.Equal(t, []any{c.served, c.late, c.refused, c.slowest}, got, "%v", c)
	}
	_, err := recorder.Summary(at(time.Hour), at(2*time.Hour), "quote", "")
	require.ErrorIs(t, err, ErrEmpty)
	require.ErrorContains(t, err, "class quote")
}

func TestSummaryStory(t *testing.T) {
	summary, err := filled().Summary(start, at(time.Minute), "quote", "")
	require.NoError(t, err)
	story := strings.Join(summary.Story(time.UTC), "\n")
	for _, want := range []string{
		"Between 09:00:00 and 09:05:00, 4 requests of class quote ended: 3 served, 1 refused.",
		"Of those served, 2 of 3 began later than their target; the slowest was slower, by 4.0 seconds.",
		"They waited 2.0 seconds on average", "100% of the waiting was because every place",
		"1 request ended so: The answer could not have begun within the class's target. More backend servers",
	} {
		require.Contains(t, story, want)
	}
}

func TestSummaryMergesLikeOneProcess(t *testing.T) {
	whole := &Recorder{Capacity: 100}
	parts := []*Recorder{{Capacity: 100}, {Capacity: 100}}
	for i := range 60 {
		result := served
		if i%3 == 0 {
			result = Result{Outcome: chicoryrock.OutcomeRefused, Reason: chicoryrock.Reasons()[i%7]}
		}
		for _, recorder := range []*Recorder{whole, parts[i%2]} {
			run(recorder, fmt.Sprint(i), "quote", "hanoi", start, time.Duration(i)*time.Second, result)
		}
	}
	want, err := whole.Summary(start, at(time.Minute), "", "")
	require.NoError(t, err)
	got, err := parts[0].Summary(start, at(time.Minute), "", "")
	require.NoError(t, err)
	other, err := parts[1].Summary(start, at(time.Minute), "", "")
	require.NoError(t, err)
	text, err := json.Marshal(other)
	require.NoError(t, err)
	var received Summary
	require.NoError(t, json.Unmarshal(text, &received))
	got.Merge(received)
	require.Equal(t, want, got)
}

func TestCellsAreBounded(t *testing.T) {
	recorder := &Recorder{Capacity: 1}
	for i := range maxCells + 2 {
		run(recorder, "x", fmt.Sprint("class", i%3), "hanoi", at(time.Duration(i/3)*cell.Span), 0, served)
	}
	require.Len(t, maps.Collect(recorder.cells.All()), maxCells)
	summary, err := recorder.Summary(start, at(cell.Span), "class2", "")
	require.NoError(t, err, "the third of the first span is still kept")
	require.Contains(t, strings.Join(summary.Story(time.UTC), "\n"), "What came before 09:05:00 is no longer counted in full.")
	_, err = recorder.Summary(start, at(cell.Span), "class1", "")
	require.ErrorIs(t, err, ErrEmpty)
}

// TestManyWorkspacesLeaveClassesWhole sums up the first span of a day after more
// pairs of class and workspace than there is room for.
func TestManyWorkspacesLeaveClassesWhole(t *testing.T) {
	recorder := &Recorder{Capacity: 1}
	const workspaces, spans = 570, 24
	for i := range spans {
		for w := range workspaces {
			run(recorder, "x", "quote", fmt.Sprint(w), at(time.Duration(i)*cell.Span), 0, served)
		}
	}
	require.Len(t, maps.Collect(recorder.cells.All()), maxCells)
	summary, err := recorder.Summary(start, at(cell.Span), "quote", "")
	require.NoError(t, err)
	require.Equal(t, workspaces, summary.Served)
	require.True(t, summary.Whole.IsZero())
	_, err = recorder.Summary(start, at(cell.Span), "quote", "0")
	require.ErrorIs(t, err, ErrEmpty, "by workspace it has made room")
}
