package explain

import (
	"slices"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

const (
	// maxCells is how many cells of classes and workspaces are kept, and how many of
	// classes over all workspaces, which bounds their memory to a few megabytes. A
	// day has room for 30 pairs of the former and, whatever the number of
	// workspaces, 30 classes of the latter.
	maxCells = 8640
	// reasonCount is the length of a table with one place for each reason.
	reasonCount = int(chicoryrock.ReasonUnknownOutcome) + 1
)

// waitCauses are the causes of waiting that are told apart in summaries.
var waitCauses = [...]Cause{CauseNone, CauseCapacity, CauseTier, CauseFloor, CauseShare, CauseLimit, CauseBusy, CauseFailure}

// tally counts the requests of a class and workspace that came in a span.
type tally struct {
	outcomes [5]int32 // by the order of outcomes
	late     int32    // served, but later than the target
	reasons  [reasonCount]int32
	waits    [len(waitCauses)]time.Duration
	slowest  string // reference of the request that began the longest after its deadline
	delay    time.Duration
}

var outcomes = [...]chicoryrock.Outcome{
	chicoryrock.OutcomeServed,
	chicoryrock.OutcomeRefused,
	chicoryrock.OutcomeFailed,
	chicoryrock.OutcomeUnknown,
	chicoryrock.OutcomeCancelled,
}

// add counts a request that has ended.
func (t *tally) add(record *Record) {
	if i := slices.Index(outcomes[:], record.Result.Outcome); i >= 0 {
		t.outcomes[i]++
	}
	if record.Result.Reason != chicoryrock.ReasonNone {
		t.reasons[record.Result.Reason]++
	}
	record.waits(func(cause Cause, span time.Duration) {
		t.waits[max(0, slices.Index(waitCauses[:], cause))] += span
	})
	if record.Result.Outcome == chicoryrock.OutcomeServed && record.Late() {
		t.late++
		t.slow(record)
	}
}

func (t *tally) slow(record *Record) {
	if delay := record.begun().Sub(record.Deadline); delay > t.delay {
		t.delay = delay
		t.slowest = record.Ref
	}
}
