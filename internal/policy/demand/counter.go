package demand

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

const (
	// firstGuess is taken for the time of a request before any has ended.
	firstGuess = time.Second
	// guessWeight is the weight of a new request in the usual time.
	guessWeight = 0.05
)

// Counter counts the slot-seconds that the requests of one process needed. It is
// safe for concurrent use.
type Counter struct {
	Entry string // name of the process

	mu    sync.Mutex
	cells map[flow]*held
}

// held is what the requests of one flow have needed.
type held struct {
	total float64 // slot-seconds
	usual float64 // seconds that a request holds its slot
}

// RecordSlotTime counts the time for which a request held a slot.
func (c *Counter) RecordSlotTime(request *chicoryrock.Request, span time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cell := c.cell(request)
	cell.total += span.Seconds()
	cell.usual += guessWeight * (span.Seconds() - cell.usual)
}

// RecordRefusal counts a request that there was no room for.
func (c *Counter) RecordRefusal(request *chicoryrock.Request, reason chicoryrock.Reason) {
	switch reason {
	case chicoryrock.ReasonLate, chicoryrock.ReasonQueueFull, chicoryrock.ReasonNoServer:
	default:
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	cell := c.cell(request)
	cell.total += cell.usual
}

func (c *Counter) cell(request *chicoryrock.Request) *held {
	key := flow{pool: request.Pool, tier: request.Tier}
	if c.cells == nil {
		c.cells = make(map[flow]*held)
	}
	if c.cells[key] == nil {
		c.cells[key] = &held{usual: firstGuess.Seconds()}
	}
	return c.cells[key]
}

// Report returns what to tell the other processes.
func (c *Counter) Report() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	statement := Report{Entry: c.Entry}
	for key, cell := range c.cells {
		statement.Totals = append(statement.Totals, Total{Pool: key.pool, Tier: key.tier, SlotSeconds: cell.total})
	}
	slices.SortFunc(statement.Totals, func(a, b Total) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Tier, b.Tier))
	})
	return statement
}
