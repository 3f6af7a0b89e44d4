package explain

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
)

var start = time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

func quote(ref string) *chicoryrock.Request {
	return &chicoryrock.Request{ID: ref, Workspace: "hanoi", Class: "quote", Tier: 2, Deadline: at(400 * time.Millisecond)}
}

// moment is a step at a time after the start.
type moment struct {
	after time.Duration
	step  Step
}

var quoteClass = Object{Kind: "class", Name: "quote", File: "classes.yaml"}

func tell(t *testing.T, moments []moment, end time.Duration, result Result) string {
	t.Helper()
	recorder := &Recorder{Capacity: 4}
	recorder.Begin(start, quote("r1"))
	for _, m := range moments {
		recorder.Step(at(m.after), "r1", m.step)
	}
	if end > 0 {
		recorder.End(at(end), "r1", result)
	}
	record, err := recorder.Find("r1")
	require.NoError(t, err)
	return strings.Join(record.Story(time.UTC), "\n")
}

func TestStory(t *testing.T) {
	wait := moment{0, Step{Action: ActionQueue, Cause: CauseCapacity, Known: Known{Running: 16, Slots: 16, Ahead: 3}}}
	send := moment{300 * time.Millisecond, Step{Action: ActionSend, Choice: "lens-3", Cause: CausePrefix}}
	first := func(after time.Duration) moment { return moment{after, Step{Action: ActionToken}} }
	cases := []struct {
		name    string
		moments []moment
		end     time.Duration
		result  Result
		wants   []string
	}{
		{"open", nil, 0, Result{}, []string{"Request r1 came in at 09:00:00 from workspace hanoi and belongs to class quote (tier 2), " +
			"whose answers should begin within 400 milliseconds.", "It has not ended yet."}},
		{"served", []moment{wait, send, first(350 * time.Millisecond)}, time.Second, Result{Outcome: chicoryrock.OutcomeServed}, []string{
			"It had to wait 300 milliseconds because every place on the backend servers was in use (16 of 16 places); 3 requests went first.",
			"At 09:00:00 it was sent to backend server lens-3 because it had already read the beginning of this request.",
			"The answer began 350 milliseconds after", "It was served whole, in time, at 09:00:01."}},
		{"delayed by waiting", []moment{wait, send, first(600 * time.Millisecond)}, 2 * time.Second, Result{Outcome: chicoryrock.OutcomeServed}, []string{
			"began 200 milliseconds later than its class's target", "Without the 300 milliseconds of waiting it would have been in time"}},
		{"delayed by the server", []moment{send, first(5 * time.Second)}, 9 * time.Second, Result{Outcome: chicoryrock.OutcomeServed}, []string{
			"began 4.6 seconds later", "late without any waiting too"}},
		{"delayed plain service", []moment{wait, send}, time.Second, Result{Outcome: chicoryrock.OutcomeServed}, []string{
			"began 600 milliseconds later", "late without any waiting too"}},
		{"refused", nil, 1, Result{Outcome: chicoryrock.OutcomeRefused, Reason: chicoryrock.ReasonLate, Known: Known{Expected: 2 * time.Second}, Rule: quoteClass}, []string{
			"was not run", "Why: The answer could not have begun within", "expected to be 2.0 seconds",
			"The rule was set by class quote in classes.yaml.", "What would have changed it: More backend servers"}},
		{"retried", []moment{send, {time.Second, Step{Action: ActionRetry, Choice: "lens-3", Cause: CauseFailure}}, {time.Second, Step{Action: ActionResume, Choice: "lens-4"}}},
			2 * time.Second, Result{Outcome: chicoryrock.OutcomeFailed, Reason: chicoryrock.ReasonBroken}, []string{
				"taken back from backend server lens-3 to be tried elsewhere because that backend server failed",
				"went on from the same place on backend server lens-4", "It failed at 09:00:02 after it had begun."}},
		{"cancelled", nil, time.Second, Result{Outcome: chicoryrock.OutcomeCancelled}, []string{"the caller hung up"}},
		{"unknown", nil, time.Second, Result{Outcome: chicoryrock.OutcomeUnknown, Reason: chicoryrock.ReasonUnknownOutcome}, []string{"not known whether it ran"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			story := tell(t, c.moments, c.end, c.result)
			for _, want := range c.wants {
				require.Contains(t, story, want)
			}
		})
	}
}

// TestBusySpellIsOneSentence sends a request that is turned away again and again,
// oftener than a record has steps.
func TestBusySpellIsOneSentence(t *testing.T) {
	pool := Object{Kind: "pool", Name: "lens", File: "pools.yaml"}
	moments := []moment{{0, Step{Action: ActionQueue, Cause: CauseCapacity}}}
	for i := range 20 {
		at, name := time.Duration(100+10*i)*time.Millisecond, fmt.Sprint("lens-", i%3)
		moments = append(moments,
			moment{at, Step{Action: ActionSend, Choice: name, Cause: CauseLoad}},
			moment{at + time.Millisecond, Step{Action: ActionRetry, Choice: name, Cause: CauseBusy, Rule: pool}})
	}
	moments = append(moments,
		moment{350 * time.Millisecond, Step{Action: ActionSend, Choice: "lens-7"}},
		moment{360 * time.Millisecond, Step{Action: ActionRetry, Choice: "lens-7", Cause: CauseFailure}})
	story := tell(t, moments, time.Second, Result{Outcome: chicoryrock.OutcomeServed})
	require.Contains(t, story, "It had to wait 100 milliseconds because every place")
	require.Contains(t, story, "It had to wait 250 milliseconds because the backend servers that were tried could take no more "+
		"(tried 20 times), as set by pool lens in pools.yaml.")
	require.Contains(t, story, "taken back from backend server lens-7")
	require.NotContains(t, story, "lens-1")
	require.NotContains(t, story, "not recorded")
}

func TestOnlyFittingRulesAreNamed(t *testing.T) {
	cases := []struct {
		reason chicoryrock.Reason
		kind   string
		named  bool
	}{
		{chicoryrock.ReasonLate, "class", true},
		{chicoryrock.ReasonLimit, "workspace", true},
		{chicoryrock.ReasonLimit, "class", false},
		{chicoryrock.ReasonShutdown, "class", false},
	}
	for _, c := range cases {
		result := Result{Outcome: chicoryrock.OutcomeRefused, Reason: c.reason, Rule: Object{Kind: c.kind, Name: "x"}}
		require.Equal(t, c.named, strings.Contains(tell(t, nil, 1, result), "The rule was set by"), "%v", c)
	}
}

func TestEveryReasonAndCauseHasWords(t *testing.T) {
	for _, reason := range chicoryrock.Reasons() {
		require.NotEmpty(t, advice[reason], reason)
		story := tell(t, nil, 1, Result{Outcome: chicoryrock.OutcomeRefused, Reason: reason})
		require.Contains(t, story, reason.Sentence())
	}
	for _, cause := range waitCauses[1:] {
		require.NotEmpty(t, causePhrases[cause], cause)
	}
}

func TestRecordsExpire(t *testing.T) {
	recorder := &Recorder{Capacity: 2}
	expect := func(ref string, want error) {
		t.Helper()
		_, err := recorder.Find(ref)
		require.ErrorIs(t, err, want)
	}
	expect("a", chicoryrock.ErrNotFound)
	recorder.Begin(start, quote("a"))
	recorder.Begin(start, quote("b"))
	recorder.End(start, "b", Result{})
	recorder.Begin(start, quote("c"))
	expect("a", nil)
	expect("b", ErrExpired)
	expect("c", nil)
	expect("d", chicoryrock.ErrNotFound)
	recorder.Begin(start, quote("e")) // All are open: the one looked at after maxProbes goes.
	require.Len(t, recorder.index, 2)
	recorder.Step(start, "b", Step{Action: ActionSend})
	recorder.End(start, "b", Result{})
	expect("b", ErrExpired)
}

func TestReferenceUsedAgain(t *testing.T) {
	recorder := &Recorder{Capacity: 2}
	recorder.Begin(start, quote("a"))
	recorder.End(start, "a", Result{Output: 1})
	recorder.Begin(start, quote("a"))
	recorder.End(start, "a", Result{Output: 2})
	recorder.Begin(start, quote("b")) // Takes the place of the first a.
	record, err := recorder.Find("a")
	require.NoError(t, err)
	require.Equal(t, 2, record.Result.Output)
}

func TestRecordIsBoundedClosedAndCopied(t *testing.T) {
	recorder := &Recorder{Capacity: 1}
	recorder.Begin(start, quote("a"))
	for range maxSteps + 3 {
		recorder.Step(start, "a", Step{Action: ActionSend, Choice: "one"})
	}
	record, err := recorder.Find("a")
	require.NoError(t, err)
	require.Len(t, record.Steps, maxSteps)
	require.Contains(t, strings.Join(record.Story(time.UTC), "\n"), "3 further steps")
	recorder.End(start, "a", Result{})
	recorder.Step(start, "a", Step{Action: ActionToken})
	recorder.End(start, "a", Result{Outcome: chicoryrock.OutcomeServed})
	closed, err := recorder.Find("a")
	require.NoError(t, err)
	require.Equal(t, Result{}, closed.Result, "the first end stands")
	require.True(t, closed.First.IsZero())
	recorder.Begin(start, quote("b"))
	recorder.Step(start, "b", Step{Action: ActionSend, Choice: "two"})
	require.Equal(t, "one", record.Steps[0].Choice, "the copy does not share the reused steps")
}

func TestRecordSurvivesJSON(t *testing.T) {
	record := Record{Ref: "a", Arrived: start, Steps: []Step{{Time: start, Action: ActionSend, Rule: quoteClass, Known: Known{Age: 3}}},
		Result: Result{Outcome: chicoryrock.OutcomeRefused, Reason: chicoryrock.ReasonLate}}
	text, err := json.Marshal(record)
	require.NoError(t, err)
	require.Contains(t, string(text), `"reason":"late"`)
	var back Record
	require.NoError(t, json.Unmarshal(text, &back))
	require.Equal(t, record, back)
}

func TestConcurrentUse(t *testing.T) {
	recorder := &Recorder{Capacity: 8}
	var group sync.WaitGroup
	for worker := range 4 {
		group.Go(func() {
			for i := range 200 {
				ref := fmt.Sprint(worker, "-", i)
				recorder.Begin(start, quote(ref))
				recorder.Step(start, ref, Step{Action: ActionSend})
				if record, err := recorder.Find(ref); err == nil {
					_ = record.Story(time.UTC)
				}
				recorder.End(start, ref, Result{Outcome: chicoryrock.OutcomeServed})
				_, _ = recorder.Summary(start, start.Add(1), "", "")
			}
		})
	}
	group.Wait()
	require.Len(t, recorder.ring, 8)
	require.Len(t, recorder.index, 8)
}

func BenchmarkRecord(b *testing.B) {
	recorder := &Recorder{Capacity: 4096}
	requests := make([]*chicoryrock.Request, 8192)
	for i := range requests {
		requests[i] = quote(fmt.Sprint("request-", i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		request := requests[i%len(requests)]
		recorder.Begin(start, request)
		recorder.Step(start, request.ID, Step{Action: ActionQueue, Cause: CauseCapacity, Known: Known{Ahead: 3}})
		recorder.Step(start, request.ID, Step{Action: ActionSend, Choice: "lens-3", Rule: quoteClass})
		recorder.Step(start, request.ID, Step{Action: ActionToken})
		recorder.End(start, request.ID, Result{Outcome: chicoryrock.OutcomeServed})
	}
}

// BenchmarkMemory reports what a full recorder holds for each record.
func BenchmarkMemory(b *testing.B) {
	const count = 4096
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		recorder := &Recorder{Capacity: count}
		for i := range count {
			run(recorder, fmt.Sprint("request-", i), "quote", "hanoi", start, time.Second, served)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(recorder)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/count, "B/record")
}
