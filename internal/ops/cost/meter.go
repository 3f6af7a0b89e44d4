// Package cost reports what was paid for backend servers against the service they
// gave. Processes meter; their readings are merged for a report.
package cost

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/cell"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

const (
	// maxCells is how many cells a process keeps. With 60 pairs of pool and data
	// centre it reaches back for a day.
	maxCells = 17280
	// maxUnseen is the longest time between two lists of VMs for which the first
	// is taken to hold until the second. A longer time counts as not seen.
	maxUnseen = 5 * time.Minute
	// roleAgent marks the VMs of backend servers in the platform's list.
	roleAgent = "agent"
)

// Served is what one request took and gave on a backend server.
type Served struct {
	Pool   string
	Centre string
	Busy   time.Duration // how long it held a slot
	Good   bool          // it met its class's targets
	Output int           // tokens
	Wasted int           // tokens of the output that no caller got in time
}

// Cell is the reading of a pool and data centre within cell.Span from Start.
// Durations are in nanoseconds.
type Cell struct {
	Start  time.Time     `json:"start"`
	Pool   string        `json:"pool"`
	Centre string        `json:"centre"`
	Paid   time.Duration `json:"paid"` // of all backend servers on the list together
	Busy   time.Duration `json:"busy"` // of all slots together, for this process's requests
	Good   int64         `json:"good"`
	Bad    int64         `json:"bad"`
	Output int64         `json:"output"`
	Wasted int64         `json:"wasted"`
}

// Snapshot is what one process has metered.
type Snapshot struct {
	Process string    `json:"process"`
	Whole   time.Time `json:"whole"` // nothing from before is complete; zero when all is
	Cells   []Cell    `json:"cells"`
}

// key names the cell of a pool and data centre.
type key struct {
	start  int64
	pool   string
	centre string
}

// Begins returns the beginning of the cell.
func (k key) Begins() time.Time { return time.Unix(k.start, 0).UTC() }

func keyAt(moment time.Time, pool, centre string) key {
	return key{moment.Truncate(cell.Span).Unix(), pool, centre}
}

// place is a pool in a data centre.
type place struct {
	pool   string
	centre string
}

// Meter reads the cost and the service that one process sees. Set the exported
// field before the first call. It is safe for concurrent use.
type Meter struct {
	// Process is unique to this run of the process.
	Process string

	mutex sync.Mutex
	table cell.Table[key, Cell]
	seen  time.Time     // of the last list
	list  map[place]int // backend servers on the last list
}

// Observe takes the platform's list of VMs as read now. A leaving VM is paid for
// until it is gone from the list. The time since the last list counts with the
// servers of that list.
func (m *Meter) Observe(now time.Time, vms []chicoryrock.VM) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if now.Sub(m.seen) <= maxUnseen {
		for at, servers := range m.list {
			m.pay(at, servers, m.seen, now)
		}
	}
	m.seen = now
	m.list = make(map[place]int)
	for i := range vms {
		if vms[i].Role == roleAgent {
			m.list[place{vms[i].Pool, vms[i].Centre}]++
		}
	}
}

// Serve counts a request that has ended now.
func (m *Meter) Serve(now time.Time, served Served) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	value := m.at(now, place{served.Pool, served.Centre})
	value.Busy += served.Busy
	value.Output += int64(served.Output)
	value.Wasted += int64(served.Wasted)
	if served.Good {
		value.Good++
	} else {
		value.Bad++
	}
}

// Hold counts the time that a request held a slot without an end that says good
// or bad: it was taken back, or its caller hung up.
func (m *Meter) Hold(now time.Time, pool, centre string, busy time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.at(now, place{pool, centre}).Busy += busy
}

// Snapshot returns what has been metered from since on, sorted.
func (m *Meter) Snapshot(since time.Time) Snapshot {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	snapshot := Snapshot{Process: m.Process, Whole: m.table.Whole()}
	for key, value := range m.table.All() {
		if !key.Begins().Before(since.Truncate(cell.Span)) {
			snapshot.Cells = append(snapshot.Cells, *value)
		}
	}
	slices.SortFunc(snapshot.Cells, func(a, b Cell) int {
		return cmp.Or(a.Start.Compare(b.Start), cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Centre, b.Centre))
	})
	return snapshot
}

// pay adds the time of some servers from one moment to another, split where one
// cell ends and the next begins.
func (m *Meter) pay(at place, servers int, from, to time.Time) {
	for from.Before(to) {
		until := from.Truncate(cell.Span).Add(cell.Span)
		if until.After(to) {
			until = to
		}
		m.at(from, at).Paid += time.Duration(servers) * until.Sub(from)
		from = until
	}
}

func (m *Meter) at(moment time.Time, at place) *Cell {
	m.table.Limit = maxCells
	key := keyAt(moment, at.pool, at.centre)
	value := m.table.At(key)
	value.Start, value.Pool, value.Centre = key.Begins(), at.pool, at.centre
	return value
}

// Reading is what a process answers when it is asked what it has metered: this,
// and the pools of the configuration that it has in force.
type Reading struct {
	Revision uint64        `json:"revision"`
	Pools    []object.Pool `json:"pools"`
	Snapshot Snapshot      `json:"snapshot"`
}
