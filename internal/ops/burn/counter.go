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

// maxCells is how many cells a process keeps. With 60 pairs of class and
// workspace it reaches back for a day.
const maxCells = 17280

// Cell counts the requests of a class and workspace that ended within cell.Span
// from Start.
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
	Whole   time.Time `json:"whole"` // nothing from before is complete; zero when all is
	Cells   []Cell    `json:"cells"`
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

	mutex sync.Mutex
	table cell.Table[cell.Key, count]
}

// Add counts a request that has ended now.
func (c *Counter) Add(now time.Time, class, workspace string, verdict Verdict) {
	if verdict == VerdictVoid {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.table.Limit = maxCells
	value := c.table.At(cell.KeyAt(now, class, workspace))
	if verdict == VerdictGood {
		value.good++
	} else {
		value.bad++
	}
}

// Snapshot returns what has been counted from since on, sorted.
func (c *Counter) Snapshot(since time.Time) Snapshot {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	snapshot := Snapshot{Process: c.Process, Whole: c.table.Whole()}
	for key, value := range c.table.All() {
		if start := key.Begins(); !start.Before(since.Truncate(cell.Span)) {
			snapshot.Cells = append(snapshot.Cells, Cell{start, key.Class, key.Workspace, value.good, value.bad})
		}
	}
	slices.SortFunc(snapshot.Cells, func(a, b Cell) int {
		return cmp.Or(a.Start.Compare(b.Start), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Workspace, b.Workspace))
	})
	return snapshot
}

// Reading is what a process answers when it is asked for its counts: these, and
// the classes of the configuration that it has in force.
type Reading struct {
	Revision uint64         `json:"revision"`
	Classes  []object.Class `json:"classes"`
	Snapshot Snapshot       `json:"snapshot"`
}
