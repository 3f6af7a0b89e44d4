package burn

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/cell"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

const (
	// DefaultPeriod is the span over which a budget is reckoned.
	DefaultPeriod = 24 * time.Hour
	// DefaultLong is the long span of burn, which says that a fault matters.
	DefaultLong = 6 * time.Hour
	// DefaultShort is the short span of burn, which says that a fault goes on.
	DefaultShort = 30 * time.Minute
	// AlarmBurn is the burn at which someone should act. Kept up, it uses up the
	// budget of 30 days in 5.
	AlarmBurn = 6
	// minAllowed is the smallest share of bad requests that a goal is taken to
	// allow, so that a goal of 1 leaves burn a finite number.
	minAllowed = 0.0001
)

// ErrEmpty says that no process counted anything in the period.
var ErrEmpty = errors.New("nothing counted in the period")

// source names the cell of one process.
type source struct {
	process string
	key     cell.Key
}

// Book merges the snapshots of many processes. Counts of a process only grow, so
// the larger of two counts of the same cell is the newer: merging a snapshot
// twice, or an older one after a newer, changes nothing. It is not safe for
// concurrent use.
type Book struct {
	counts map[source]count     // a key without a workspace is a total
	whole  map[string]time.Time // by process
	traced time.Time            // of all processes together
}

// Terms says what a report covers. Zero spans stand for the defaults.
type Terms struct {
	Classes []object.Class
	Period  time.Duration
	Long    time.Duration
	Short   time.Duration
	Missing []string // processes that did not answer
}

// Merge takes a snapshot in.
func (b *Book) Merge(snapshot Snapshot) {
	if b.counts == nil {
		b.counts = make(map[source]count)
		b.whole = make(map[string]time.Time)
	}
	if known, found := b.whole[snapshot.Process]; !found || snapshot.Whole.After(known) {
		b.whole[snapshot.Process] = snapshot.Whole
	}
	if snapshot.Traced.After(b.traced) {
		b.traced = snapshot.Traced
	}
	for _, c := range slices.Concat(snapshot.Totals, snapshot.Cells) {
		key := source{snapshot.Process, cell.KeyAt(c.Start, c.Class, c.Workspace)}
		known := b.counts[key]
		b.counts[key] = count{max(known.good, c.Good), max(known.bad, c.Bad)}
	}
}

// Report reckons every class's burn at now. Errors: chicoryrock.ErrInvalid for
// spans that are not short <= long <= period; ErrEmpty together with the report
// when nothing was counted.
func (b *Book) Report(now time.Time, terms Terms) (*Report, error) {
	terms = terms.withDefaults()
	if terms.Short <= 0 || terms.Short > terms.Long || terms.Long > terms.Period {
		return nil, errors.Wrapf(chicoryrock.ErrInvalid, "spans must grow from short (%s) over long (%s) to period (%s)",
			terms.Short, terms.Long, terms.Period)
	}
	report := &Report{
		Now:       now,
		Period:    terms.Period,
		Long:      terms.Long,
		Short:     terms.Short,
		Processes: len(b.whole),
		Missing:   terms.Missing,
		Whole:     slices.MaxFunc(append(slices.Collect(maps.Values(b.whole)), time.Time{}), time.Time.Compare),
		Traced:    b.traced,
	}
	ledgers := b.ledgers(now, terms)
	for i := range terms.Classes {
		class := &terms.Classes[i]
		report.Classes = append(report.Classes, ledgers[class.Name].level(class))
		delete(ledgers, class.Name)
	}
	report.Removed = slices.Sorted(maps.Keys(ledgers))
	slices.SortFunc(report.Classes, func(a, b Level) int {
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Class, b.Class))
	})
	if report.total() == 0 {
		return report, errors.Wrapf(ErrEmpty, "%d processes answered, and none has counted a request in the last %s",
			report.Processes, terms.Period)
	}
	return report, nil
}

func (t Terms) withDefaults() Terms {
	t.Period = cmp.Or(t.Period, DefaultPeriod)
	t.Long = cmp.Or(t.Long, DefaultLong)
	t.Short = cmp.Or(t.Short, DefaultShort)
	return t
}

// ledgers adds the counts of all processes up by class: totals to the class's
// spans, and the cells of workspaces to its users.
func (b *Book) ledgers(now time.Time, terms Terms) map[string]*ledger {
	ledgers := make(map[string]*ledger)
	for source, value := range b.counts {
		// A cell belongs to a span when any part of it does.
		age := now.Sub(source.key.Begins()) - cell.Span
		if age >= terms.Period {
			continue
		}
		book := ledgers[source.key.Class]
		if book == nil {
			book = &ledger{users: make(map[string]count), trend: make(map[int64]count)}
			ledgers[source.key.Class] = book
		}
		if workspace := source.key.Workspace; workspace != "" {
			book.users[workspace] = book.users[workspace].plus(value)
			continue
		}
		book.period = book.period.plus(value)
		if age < terms.Long {
			book.long = book.long.plus(value)
		}
		if age < terms.Short {
			book.short = book.short.plus(value)
		}
		book.trend[source.key.Start] = book.trend[source.key.Start].plus(value)
	}
	return ledgers
}

func (c count) plus(other count) count {
	return count{c.good + other.good, c.bad + other.bad}
}

// attainment returns the share of good requests, 1 when there were none.
func (c count) attainment() float64 {
	if c.good+c.bad == 0 {
		return 1
	}
	return float64(c.good) / float64(c.good+c.bad)
}

// burn returns how many times faster than allowed the budget is used.
func (c count) burn(goal float64) float64 {
	return (1 - c.attainment()) / max(1-goal, minAllowed)
}
