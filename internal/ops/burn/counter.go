// Package burn reports how fast each class uses up its error budget, and who uses
// it. Processes count good and bad requests; their counts are merged for a report.
package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/chicoryrock/chicoryrock/internal/ops/cell"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

const (
	// maxCells is how many cells of classes and workspaces a process keeps. With 60
	// such pairs in use they reach back for a day.
	maxCells = 17280
	// maxTotals is how many cells of classes over all workspaces a process keeps
	// besides. With 30 classes they reach back for a day, however many workspaces
	// there are: a class's burn must not be lost with the detail of who used it.
	maxTotals = 8640
)

// Cell counts the requests of a class and workspace that ended within cell.Span
// from Start. An empty Workspace stands for all.
type Cell struct {
	Start     time.Time `json:"start"`
	Class     string    `json:"class"`
	Workspace string    `json:"workspace"`
	Good      int64     `json:"good"`
	Bad       int64     `json:"bad"`
}

// Snapshot is what one process has counted.
type Snapshot struct {
	Process string    `json:"process"`
	Whole   time.Time `json:"whole"`  // totals from before are not complete; zero when all are
	Traced  time.Time `json:"traced"` // cells from before are not complete; zero when all are
	Totals  []Cell    `json:"totals"` // by class
	Cells   []Cell    `json:"cells"`  // by class and workspace
}

// count is the value of a cell.
type count struct {
	good, bad int64
}

// Counter counts the requests of one process. Set the exported field before the
// first call. It is safe for concurrent use.
type Counter struct {
	// Process is unique to this run of the process: a restarted process begins
	// to count from zero, and its counts must not be taken for the earlier run's.
	Process string

	mutex  sync.Mutex
	table  cell.Table[cell.Key, count]
	totals cell.Table[cell.Key, count]
}

// Add counts a request that has ended now.
func (c *Counter) Add(now time.Time, class, workspace string, verdict Verdict) {
	if verdict == VerdictVoid {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.table.Limit = maxCells
	c.totals.Limit = maxTotals
	c.table.At(cell.KeyAt(now, class, workspace)).add(verdict)
	c.totals.At(cell.KeyAt(now, class, "")).add(verdict)
}

func (c *count) add(verdict Verdict) {
	if verdict == VerdictGood {
		c.good++
	} else {
		c.bad++
	}
}

// Snapshot returns what has been counted from since on, sorted.
func (c *Counter) Snapshot(since time.Time) Snapshot {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return Snapshot{
		Process: c.Process,
		Whole:   c.totals.Whole(),
		Traced:  c.table.Whole(),
		Totals:  cellsOf(&c.totals, since),
		Cells:   cellsOf(&c.table, since),
	}
}

func cellsOf(table *cell.Table[cell.Key, count], since time.Time) []Cell {
	var cells []Cell
	for key, value := range table.All() {
		if start := key.Begins(); !start.Before(since.Truncate(cell.Span)) {
			cells = append(cells, Cell{start, key.Class, key.Workspace, value.good, value.bad})
		}
	}
	slices.SortFunc(cells, func(a, b Cell) int {
		return cmp.Or(a.Start.Compare(b.Start), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Workspace, b.Workspace))
	})
	return cells
}

// Reading is what a process answers when it is asked for its counts: these, and
// the classes of the configuration that it has in force.
type Reading struct {
	Revision uint64         `json:"revision"`
	Classes  []object.Class `json:"classes"`
	Snapshot Snapshot       `json:"snapshot"`
}
