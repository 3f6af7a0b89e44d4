package suspect_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chicoryrock/chicoryrock/internal/policy/suspect"
	"github.com/chicoryrock/chicoryrock/internal/standin/property"
)

var start = time.Date(2026, time.January, 5, 6, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) { property.Run(m, property.Size{}) }

// crashReport returns a report on a workspace's request, identified by its body.
func crashReport(workspace, body, crash string, alone bool) suspect.CrashReport {
	return suspect.CrashReport{
		Workspace:   workspace,
		Fingerprint: suspect.FingerprintOf(workspace, []byte(body)),
		Crash:       suspect.CrashID(crash),
		Alone:       alone,
	}
}

func assertState(t *testing.T, r *suspect.Registry, now time.Time, body string, want suspect.State) {
	t.Helper()
	assert.Equal(t, want, r.State(now, "a", suspect.FingerprintOf("a", []byte(body))), body)
}

func TestTwoCrashesRefuseAtAllEntries(t *testing.T) {
	var first, second suspect.Registry
	assertState(t, &first, start, "x", suspect.Clean)
	second.Merge(start, first.ReportCrash(start, crashReport("a", "x", "vm-1/1", false)))
	assertState(t, &first, start, "x", suspect.Suspect)
	assertState(t, &second, start, "x", suspect.Suspect)
	first.Merge(start, second.ReportCrash(start.Add(time.Second), crashReport("a", "x", "vm-2/1", true)))
	assertState(t, &first, start.Add(time.Second), "x", suspect.Refused)
	assertState(t, &second, start.Add(time.Second), "x", suspect.Refused)
	assertState(t, &second, start.Add(time.Second), "y", suspect.Clean)
	assert.Equal(t, suspect.Clean, second.State(start.Add(time.Second), "b", suspect.FingerprintOf("b", []byte("x"))), "another workspace's call with the same body")
	assert.NotEqual(t, suspect.FingerprintOf("a", []byte("bx")), suspect.FingerprintOf("ab", []byte("x")))
}

func TestOneCrashCountsOnce(t *testing.T) {
	var r suspect.Registry
	r.ReportCrash(start, crashReport("a", "x", "vm-1/1", false))
	r.ReportCrash(start.Add(time.Second), crashReport("a", "x", "vm-1/1", false))
	assertState(t, &r, start.Add(time.Second), "x", suspect.Suspect)
}

func TestCleanRunAloneClears(t *testing.T) {
	var r, other suspect.Registry
	r.ReportCrash(start, crashReport("a", "x", "vm-1/1", false))
	other.Merge(start, r.Export())
	other.Merge(start, r.ReportCleanRun(start.Add(time.Second), "a", suspect.FingerprintOf("a", []byte("x"))))
	assertState(t, &other, start.Add(time.Second), "x", suspect.Clean)
	r.ReportCrash(start.Add(time.Minute), crashReport("a", "x", "vm-1/2", false))
	assertState(t, &r, start.Add(time.Minute), "x", suspect.Suspect)
}

// Once a request is proven to crash engines, those in flight at the same crash are
// clean.
func TestProvenCulpritClearsOthers(t *testing.T) {
	var r suspect.Registry
	for _, body := range []string{"bad", "x", "y"} {
		r.ReportCrash(start, crashReport("a", body, "vm-1/1", false))
	}
	r.ReportCrash(start.Add(time.Second), crashReport("a", "bad", "vm-2/1", true))
	assertState(t, &r, start.Add(time.Second), "bad", suspect.Refused)
	assertState(t, &r, start.Add(time.Second), "x", suspect.Clean)
	assertState(t, &r, start.Add(time.Second), "y", suspect.Clean)
}

// A request past its probation at a crash stays clean. It is a suspect after the
// second such crash, and refused after a crash where it had just started.
func TestCrashesPastProbationWeighLess(t *testing.T) {
	var r suspect.Registry
	pastProbation := func(crash string) suspect.CrashReport {
		report := crashReport("a", "x", crash, false)
		report.PastProbation = true
		return report
	}
	r.ReportCrash(start, pastProbation("vm-1/1"))
	assertState(t, &r, start, "x", suspect.Clean)
	r.ReportCrash(start, pastProbation("vm-1/1"))
	assertState(t, &r, start, "x", suspect.Clean)
	r.ReportCrash(start.Add(time.Second), pastProbation("vm-2/1"))
	assertState(t, &r, start.Add(time.Second), "x", suspect.Suspect)
	r.ReportCrash(start.Add(2*time.Second), crashReport("a", "x", "vm-3/1", true))
	assertState(t, &r, start.Add(2*time.Second), "x", suspect.Refused)
}

// A stream that crashes its first engine late crashes the next ones as soon as it is
// resumed, and is refused after the third crash. The requests beside it are never
// refused.
func TestLateCulpritIsRefusedAfterThreeCrashes(t *testing.T) {
	var r suspect.Registry
	now := start
	for crash := range 3 {
		name := fmt.Sprint("vm-", crash, "/1")
		for _, body := range []string{"bad", "x", "y"} {
			state := r.State(now, "a", suspect.FingerprintOf("a", []byte(body)))
			if body != "bad" && crash == 2 {
				require.NotEqual(t, suspect.Refused, state, body)
				continue // runs on another replica, as suspects do not run together
			}
			require.NotEqual(t, suspect.Refused, state, body)
			report := crashReport("a", body, name, crash == 2)
			report.PastProbation = crash == 0
			r.ReportCrash(now, report)
		}
		now = now.Add(time.Second)
	}
	assertState(t, &r, now, "bad", suspect.Refused)
	assertState(t, &r, now, "x", suspect.Clean)
	assertState(t, &r, now, "y", suspect.Clean)
}

// A workspace that keeps crashing engines cannot get another's request refused for
// longer than crash reports count.
func TestNobodyIsRefusedForGood(t *testing.T) {
	var r suspect.Registry
	r.ReportCrash(start, crashReport("a", "x", "vm-1/1", false))
	r.ReportCrash(start.Add(time.Second), crashReport("a", "x", "vm-2/1", false))
	r.ReportCrash(start, crashReport("a", "y", "vm-1/1", false))
	assertState(t, &r, start.Add(9*time.Minute), "x", suspect.Refused)
	assertState(t, &r, start.Add(9*time.Minute), "y", suspect.Suspect) // x is not proven
	assertState(t, &r, start.Add(11*time.Minute), "x", suspect.Clean)
	r.Merge(start.Add(2*time.Hour), suspect.Update{})
	assert.False(t, r.HasRecords("a"), "nothing is kept")
}

func TestWorkspaceCannotEvictAnothersRecords(t *testing.T) {
	var r suspect.Registry
	r.ReportCrash(start, crashReport("a", "x", "vm-1/1", false))
	for i := range 2000 {
		now := start.Add(time.Duration(i+1) * time.Millisecond)
		r.ReportCrash(now, crashReport("flood", fmt.Sprint(i), "vm-1/2", false))
	}
	assertState(t, &r, start.Add(3*time.Second), "x", suspect.Suspect)
	assert.LessOrEqual(t, len(r.Export().Crashes), 513)
}

func TestUpdateJSONRoundTrip(t *testing.T) {
	var r, other suspect.Registry
	r.ReportCrash(start, crashReport("a", "x", "vm-1/1", false))
	r.ReportCleanRun(start, "a", suspect.FingerprintOf("a", []byte("y")))
	data, err := json.Marshal(r.Export())
	require.NoError(t, err)
	var update suspect.Update
	require.NoError(t, json.Unmarshal(data, &update))
	other.Merge(start, update)
	assert.Equal(t, r.Export(), other.Export())
	assert.Error(t, json.Unmarshal([]byte(`{"seen":[{"print":"zz"}]}`), &update))
}

// Entries that receive the same updates, in any order and with repetitions, hold the
// same records.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var updates []suspect.Update
		for range rapid.IntRange(1, 12).Draw(t, "updates") {
			body := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "body")
			at := start.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "at")) * time.Second)
			if rapid.IntRange(0, 3).Draw(t, "clear") == 0 {
				updates = append(updates, suspect.Update{CleanRuns: []suspect.CleanRun{{Workspace: "a", Fingerprint: suspect.FingerprintOf("a", []byte(body)), At: at}}})
				continue
			}
			report := crashReport("a", body, rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "crash"), rapid.Bool().Draw(t, "alone"))
			report.At = at
			report.PastProbation = rapid.Bool().Draw(t, "settled")
			updates = append(updates, suspect.Update{Crashes: []suspect.CrashReport{report}})
		}
		var one, two suspect.Registry
		for _, update := range updates {
			one.Merge(start, update)
		}
		for _, update := range rapid.Permutation(append(updates, updates...)).Draw(t, "order") {
			two.Merge(start, update)
		}
		assert.Equal(t, one.Export(), two.Export())
		for _, body := range []string{"x", "y"} {
			fingerprint := suspect.FingerprintOf("a", []byte(body))
			now := start.Add(2 * time.Minute)
			assert.Equal(t, one.State(now, "a", fingerprint), two.State(now, "a", fingerprint))
		}
	})
}

// fleet simulates three entries that send requests to engines as their states allow.
// The request with the body "poison" crashes every engine that runs it.
type fleet struct {
	entries [3]suspect.Registry
	now     time.Time
	engines int
	crashes int
}

func (f *fleet) mergeEverywhere(update suspect.Update) {
	for i := range f.entries {
		f.entries[i].Merge(f.now, update)
	}
}

// runOnNewEngine runs the clean requests, and at most one suspect, on an engine of
// their own.
func (f *fleet) runOnNewEngine(entry *suspect.Registry, suspected string, clean []string) {
	f.engines++
	all := clean
	if suspected != "" {
		all = append([]string{suspected}, clean...)
	}
	if !slices.Contains(all, "poison") {
		if suspected != "" {
			f.mergeEverywhere(entry.ReportCleanRun(f.now, "a", suspect.FingerprintOf("a", []byte(suspected))))
		}
		return
	}
	f.crashes++
	for _, body := range all {
		f.mergeEverywhere(entry.ReportCrash(f.now, crashReport("a", body, fmt.Sprint(f.engines), len(all) == 1)))
	}
}

// For any calls at any entries, the poison request crashes at most two engines and is
// then refused. No other request is ever refused.
func TestCulpritIsRefusedAfterTwoCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{}
		for round := range rapid.IntRange(1, 20).Draw(t, "rounds") {
			f.now = start.Add(time.Duration(round) * time.Second)
			entry := &f.entries[rapid.IntRange(0, 2).Draw(t, "entry")]
			var clean, suspects []string
			for _, body := range rapid.Permutation([]string{"poison", "b", "c", "d", "e"}).Draw(t, "called")[:rapid.IntRange(1, 5).Draw(t, "count")] {
				switch entry.State(f.now, "a", suspect.FingerprintOf("a", []byte(body))) {
				case suspect.Clean:
					clean = append(clean, body)
				case suspect.Suspect:
					suspects = append(suspects, body)
				case suspect.Refused:
					if body != "poison" {
						t.Fatalf("%s is refused", body)
					}
				}
			}
			together := rapid.IntRange(0, len(clean)).Draw(t, "together")
			for i, body := range suspects {
				if i == 0 {
					f.runOnNewEngine(entry, body, clean[:together])
				} else {
					f.runOnNewEngine(entry, body, nil)
				}
			}
			if len(suspects) == 0 {
				together = 0
			}
			f.runOnNewEngine(entry, "", clean[together:])
			if f.crashes > 2 {
				t.Fatal("a third crash")
			}
		}
	})
}
