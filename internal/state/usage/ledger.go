package usage

import (
	"cmp"
	"maps"
	"slices"
)

// Ledger merges the cells of all ends and knows what the seals have billed. It is
// not safe for concurrent use.
type Ledger struct {
	merged map[Key]Counts
	billed map[Key]Counts
	sealed Window // the newest seal taken in; zero before the first
}

// LastSealed returns the newest window whose seal was taken in.
func (l *Ledger) LastSealed() Window { return l.sealed }

// Merge takes in cells. It returns the places in the list of those that seals in
// the store have already, which their sender need not send again. A cell beyond
// the horizon is neither taken nor billed.
func (l *Ledger) Merge(cells []Cell) (billed []int) {
	if l.merged == nil {
		l.merged = make(map[Key]Counts)
	}
	for i := range cells {
		key, counts := cells[i].Key, cells[i].Counts
		switch {
		case l.beyond(key):
		case l.billed[key].max(counts) == l.billed[key]:
			billed = append(billed, i)
		default:
			l.merged[key] = l.merged[key].max(counts)
		}
	}
	return billed
}

// PendingCount returns how many cells wait for a seal.
func (l *Ledger) PendingCount() int { return len(l.merged) }

func (l *Ledger) beyond(key Key) bool { return l.sealed-key.Window >= MaxLateWindows }

// close returns the seal of a window: all that was merged and not billed, of the
// window itself and of earlier ones.
func (l *Ledger) close(window Window, fence uint64) Seal {
	seal := Seal{Window: window, Fence: fence}
	for key, counts := range l.merged {
		// The ends of a pair may lead in unlike figures: the greater of each is
		// billed, and what was billed is never taken back.
		total := counts.max(l.billed[key])
		if key.Window <= window && !l.beyond(key) && total != l.billed[key] {
			seal.Cells = append(seal.Cells, Cell{Key: key, Counts: total})
		}
	}
	slices.SortFunc(seal.Cells, func(a, b Cell) int { return compareKeys(a.Key, b.Key) })
	seal.Lines = l.lines(window, seal.Cells)
	return seal
}

// lines adds up what the cells have more than was billed, by workspace.
func (l *Ledger) lines(window Window, cells []Cell) []Line {
	byName := make(map[string]*Line)
	for i := range cells {
		more := cells[i].minus(l.billed[cells[i].Key])
		line := byName[cells[i].Workspace]
		if line == nil {
			line = &Line{Workspace: cells[i].Workspace}
			byName[cells[i].Workspace] = line
		}
		line.Counts = line.plus(more)
		if cells[i].Window != window {
			line.Late = line.Late.plus(more)
		}
	}
	lines := make([]Line, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		lines = append(lines, *byName[name])
	}
	return lines
}

// take notes a seal that stands in the store, and forgets what is beyond the
// horizon.
func (l *Ledger) take(seal Seal) {
	if l.billed == nil {
		l.billed = make(map[Key]Counts)
	}
	for _, cell := range seal.Cells {
		l.billed[cell.Key] = l.billed[cell.Key].max(cell.Counts)
	}
	l.sealed = seal.Window
	maps.DeleteFunc(l.merged, func(key Key, counts Counts) bool {
		return l.beyond(key) || l.billed[key].max(counts) == l.billed[key]
	})
	maps.DeleteFunc(l.billed, func(key Key, _ Counts) bool { return l.beyond(key) })
}

func compareKeys(a, b Key) int {
	return cmp.Or(
		cmp.Compare(a.Workspace, b.Workspace),
		cmp.Compare(a.Window, b.Window),
		cmp.Compare(a.Entry, b.Entry),
		cmp.Compare(a.Agent, b.Agent))
}
