package cost

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock/internal/ops/cell"
	"github.com/chicoryrock/chicoryrock/internal/ops/layout"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

// perThousand is the number of good requests that a price is given for.
const perThousand = 1000

// DefaultPeriod is the span that a report covers unless it is told another.
const DefaultPeriod = 24 * time.Hour

// ErrEmpty says that nothing was paid or served in the period.
var ErrEmpty = errors.New("nothing metered in the period")

// source names the cell of one process.
type source struct {
	process string
	key     key
}

// Book merges the snapshots of many processes. Readings only grow, so merging a
// snapshot twice, or an older one after a newer, changes nothing. It is not safe
// for concurrent use.
type Book struct {
	cells map[source]Cell
	whole map[string]time.Time // by process
}

// Terms says what a report covers. A period of zero stands for the default.
type Terms struct {
	Pools   []object.Pool
	Period  time.Duration
	Missing []string // processes that did not answer
}

// Line is the cost and service of one pool in one data centre. Durations are in
// nanoseconds, money is in the unit of the pool's cost.
type Line struct {
	Pool   string        `json:"pool"`
	Centre string        `json:"centre"`
	Paid   time.Duration `json:"paid"` // of all backend servers together
	Money  float64       `json:"money"`
	Used   float64       `json:"used"` // share of the paid slots that held a request
	Good   int64         `json:"good"`
	Bad    int64         `json:"bad"`
	Output int64         `json:"output"` // tokens
	Wasted int64         `json:"wasted"` // tokens
	Price  float64       `json:"price"`  // money for a thousand good requests; 0 when there were none
}

// Report is the cost of every pool.
type Report struct {
	Now       time.Time     `json:"now"`
	Period    time.Duration `json:"period"`
	Processes int           `json:"processes"` // whose readings are in the report
	Missing   []string      `json:"missing"`   // processes whose readings are not
	Whole     time.Time     `json:"whole"`     // readings from before are not complete; zero when all are
	Lines     []Line        `json:"lines"`     // the most money first
	Total     Line          `json:"total"`
}

// Merge takes a snapshot in.
func (b *Book) Merge(snapshot Snapshot) {
	if b.cells == nil {
		b.cells = make(map[source]Cell)
		b.whole = make(map[string]time.Time)
	}
	if known, found := b.whole[snapshot.Process]; !found || snapshot.Whole.After(known) {
		b.whole[snapshot.Process] = snapshot.Whole
	}
	for _, c := range snapshot.Cells {
		key := source{snapshot.Process, keyAt(c.Start, c.Pool, c.Centre)}
		known := b.cells[key]
		c.Paid = max(c.Paid, known.Paid)
		c.Busy = max(c.Busy, known.Busy)
		c.Good = max(c.Good, known.Good)
		c.Bad = max(c.Bad, known.Bad)
		c.Output = max(c.Output, known.Output)
		c.Wasted = max(c.Wasted, known.Wasted)
		b.cells[key] = c
	}
}

// Report reckons cost against service at now. Error: ErrEmpty together with the
// report when nothing was metered.
func (b *Book) Report(now time.Time, terms Terms) (*Report, error) {
	terms.Period = cmp.Or(terms.Period, DefaultPeriod)
	report := &Report{
		Now:       now,
		Period:    terms.Period,
		Processes: len(b.whole),
		Missing:   terms.Missing,
		Whole:     slices.MaxFunc(append(slices.Collect(maps.Values(b.whole)), time.Time{}), time.Time.Compare),
	}
	pools := make(map[string]*object.Pool)
	for i := range terms.Pools {
		pools[terms.Pools[i].Name] = &terms.Pools[i]
	}
	var slots, busy time.Duration
	for at, sum := range b.places(now, terms.Period) {
		line, paidSlots := newLine(at, sum, pools[at.pool])
		report.Lines = append(report.Lines, line)
		report.Total.add(line)
		slots += paidSlots
		busy += sum.Busy
	}
	report.Total.Used = ratio(busy, slots)
	report.Total.price()
	slices.SortFunc(report.Lines, func(a, b Line) int {
		return cmp.Or(cmp.Compare(b.Money, a.Money), cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Centre, b.Centre))
	})
	if len(report.Lines) == 0 {
		return report, errors.Wrapf(ErrEmpty, "%d processes answered, and none has metered anything in the last %s", report.Processes, terms.Period)
	}
	return report, nil
}

// places adds the readings up by pool and data centre. What is paid is the same
// fact seen by every process, so the largest reading of a cell counts, which is
// that of the process that watched the longest. It falls short by a part of one
// cell when no process watched throughout. Service adds up.
func (b *Book) places(now time.Time, period time.Duration) map[place]Cell {
	paid := make(map[key]time.Duration)
	sums := make(map[place]Cell)
	for source, c := range b.cells {
		if now.Sub(c.Start)-cell.Span >= period {
			continue
		}
		paid[source.key] = max(paid[source.key], c.Paid)
		at := place{c.Pool, c.Centre}
		sum := sums[at]
		sum.Busy += c.Busy
		sum.Good += c.Good
		sum.Bad += c.Bad
		sum.Output += c.Output
		sum.Wasted += c.Wasted
		sums[at] = sum
	}
	for key, span := range paid {
		sum := sums[place{key.pool, key.centre}]
		sum.Paid += span
		sums[place{key.pool, key.centre}] = sum
	}
	return sums
}

// newLine prices a sum and returns the slot time paid for besides. A pool that is
// no longer configured has no cost and no slots.
func newLine(at place, sum Cell, pool *object.Pool) (Line, time.Duration) {
	if pool == nil {
		pool = &object.Pool{}
	}
	slots := sum.Paid * time.Duration(pool.Slots)
	line := Line{
		Pool:   at.pool,
		Centre: at.centre,
		Paid:   sum.Paid,
		Money:  sum.Paid.Hours() * pool.Cost,
		Used:   ratio(sum.Busy, slots),
		Good:   sum.Good,
		Bad:    sum.Bad,
		Output: sum.Output,
		Wasted: sum.Wasted,
	}
	line.price()
	return line, slots
}

func (l *Line) add(other Line) {
	l.Paid += other.Paid
	l.Money += other.Money
	l.Good += other.Good
	l.Bad += other.Bad
	l.Output += other.Output
	l.Wasted += other.Wasted
}

func (l *Line) price() {
	if l.Good > 0 {
		l.Price = l.Money / float64(l.Good) * perThousand
	}
}

func ratio(part, whole time.Duration) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// WriteJSON writes the report as one JSON object.
func (r *Report) WriteJSON(w io.Writer) error {
	return layout.JSON(w, r)
}

// WriteTable writes the report for a terminal.
func (r *Report) WriteTable(w io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "Cost of backend servers at %s over %s, from %d processes\n", r.Now.Format(time.RFC3339), r.Period, r.Processes)
	if len(r.Missing) > 0 {
		fmt.Fprintf(&text, "The report is partial: no answer came from %s.\n", strings.Join(r.Missing, ", "))
	}
	if r.Now.Add(-r.Period).Before(r.Whole) {
		fmt.Fprintf(&text, "Readings from before %s are not complete.\n", r.Whole.Format(time.RFC3339))
	}
	return layout.Table(w, text.String(), r.rows())
}

// rows returns the table's lines, with a tab between two columns.
func (r *Report) rows() string {
	var rows strings.Builder
	rows.WriteString("POOL\tCENTRE\tSERVER HOURS\tPAID\tSLOTS USED\tGOOD\tBAD\tTOKENS\tWASTED\tPAID PER 1000 GOOD\n")
	total := r.Total
	total.Pool = "total"
	for _, line := range append(slices.Clone(r.Lines), total) {
		fmt.Fprintf(&rows, "%s\t%s\t%.1f\t%.2f\t%.1f%%\t%d\t%d\t%d\t%d\t%.2f\n", line.Pool, line.Centre, line.Paid.Hours(),
			line.Money, 100*line.Used, line.Good, line.Bad, line.Output, line.Wasted, line.Price)
	}
	return rows.String()
}
