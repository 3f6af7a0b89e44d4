package explain

import (
	"slices"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

const (
	// cellSpan is the length of time that one cell counts.
	cellSpan = 5 * time.Minute
	// maxCells is how many cells are kept, which bounds their memory to a few
	// megabytes. With 30 pairs of class and workspace it reaches back for a day.
	maxCells = 8640
	// reasonCount is the length of a table with one place for each reason.
	reasonCount = int(chicoryrock.ReasonUnknownOutcome) + 1
)

// waitCauses are the causes of waiting that are told apart in summaries.
var waitCauses = [...]Cause{CauseNone, CauseCapacity, CauseTier, CauseFloor, CauseShare, CauseLimit, CauseBusy, CauseFailure}

// cellKey names a cell. Start is the Unix time of its beginning, in seconds.
type cellKey struct {
	start     int64
	class     string
	workspace string
}

// cell counts the requests of a class and workspace that came in a span.
type cell struct {
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

// cells keeps the newest cells. It is not safe for concurrent use.
type cells struct {
	table map[cellKey]*cell
	order []cellKey // in the order of their making
	whole time.Time // from when on nothing has been dropped; zero when nothing ever was
}

func (c *cells) add(record *Record) {
	cell := c.at(cellKey{
		start:     record.Arrived.Truncate(cellSpan).Unix(),
		class:     record.Class,
		workspace: record.Workspace,
	})
	if i := slices.Index(outcomes[:], record.Result.Outcome); i >= 0 {
		cell.outcomes[i]++
	}
	if record.Result.Reason != chicoryrock.ReasonNone {
		cell.reasons[record.Result.Reason]++
	}
	record.waits(func(cause Cause, span time.Duration) {
		cell.waits[max(0, slices.Index(waitCauses[:], cause))] += span
	})
	if record.Result.Outcome == chicoryrock.OutcomeServed && record.Late() {
		cell.late++
		cell.slow(record)
	}
}

func (c *cell) slow(record *Record) {
	if delay := record.begun().Sub(record.Deadline); delay > c.delay {
		c.delay = delay
		c.slowest = record.Ref
	}
}

// at returns the cell of a key and drops the oldest one when there are too many.
func (c *cells) at(key cellKey) *cell {
	if found := c.table[key]; found != nil {
		return found
	}
	if c.table == nil {
		c.table = make(map[cellKey]*cell)
	}
	if len(c.order) == maxCells {
		c.drop()
	}
	fresh := &cell{}
	c.table[key] = fresh
	c.order = append(c.order, key)
	return fresh
}

func (c *cells) drop() {
	oldest := c.order[0]
	c.order = c.order[1:]
	delete(c.table, oldest)
	if end := time.Unix(oldest.start, 0).UTC().Add(cellSpan); end.After(c.whole) {
		c.whole = end
	}
}
