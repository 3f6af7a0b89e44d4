package entry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/need"
)

const (
	// firstGuess is taken for the time of a request before any has ended.
	firstGuess = time.Second
	// guessWeight is the weight of a new request in the usual time.
	guessWeight = 0.05
)

// Needs counts the slot-seconds that this entry's requests needed. It is safe for
// concurrent use.
type Needs struct {
	Entry string // name of this entry

	mu    sync.Mutex
	cells map[needKey]*needCell
}

type needKey struct {
	pool string
	tier int
}

type needCell struct {
	total float64 // slot-seconds
	usual float64 // seconds that a request holds its slot
}

// held counts the time for which a request held a slot.
func (n *Needs) held(request *chicoryrock.Request, span time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	cell := n.cell(request)
	cell.total += span.Seconds()
	cell.usual += guessWeight * (span.Seconds() - cell.usual)
}

// refused counts a request that there was no room for.
func (n *Needs) refused(request *chicoryrock.Request, reason chicoryrock.Reason) {
	switch reason {
	case chicoryrock.ReasonLate, chicoryrock.ReasonQueueFull, chicoryrock.ReasonNoServer:
	default:
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	cell := n.cell(request)
	cell.total += cell.usual
}

func (n *Needs) cell(request *chicoryrock.Request) *needCell {
	key := needKey{pool: request.Pool, tier: request.Tier}
	if n.cells == nil {
		n.cells = make(map[needKey]*needCell)
	}
	if n.cells[key] == nil {
		n.cells[key] = &needCell{usual: firstGuess.Seconds()}
	}
	return n.cells[key]
}

// State returns what to tell the other entries.
func (n *Needs) State() need.Statement {
	n.mu.Lock()
	defer n.mu.Unlock()
	statement := need.Statement{Entry: n.Entry}
	for key, cell := range n.cells {
		statement.Cells = append(statement.Cells, need.Cell{Pool: key.pool, Tier: key.tier, Time: cell.total})
	}
	slices.SortFunc(statement.Cells, func(a, b need.Cell) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Tier, b.Tier))
	})
	return statement
}
