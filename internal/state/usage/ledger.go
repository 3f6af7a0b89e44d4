package usage

import (
	"cmp"
	"maps"
	"slices"
)

// Ledger merges the cells of all processes and holds what the seals have billed.
// It is not safe for concurrent use.
type Ledger struct {
	pending    map[Key]Counts // merged cells that wait for a seal
	billed     map[Key]Counts // cells that seals contain
	lastSealed Window         // window of the newest seal applied; zero before Load
}

// LastSealed returns the newest window whose seal was applied.
func (l *Ledger) LastSealed() Window { return l.lastSealed }

// Merge merges the cells of a process. It returns the indexes of the cells that
// seals in the store already contain, which the sender need not send again. It
// ignores cells that are MaxLateWindows or more older than the last sealed window:
// they are not billed.
func (l *Ledger) Merge(cells []Cell) (billed []int) {
	if l.pending == nil {
		l.pending = make(map[Key]Counts)
	}
	for i := range cells {
		key, counts := cells[i].Key, cells[i].Counts
		switch {
		case l.tooLate(key):
		case l.billed[key].max(counts) == l.billed[key]:
			billed = append(billed, i)
		default:
			l.pending[key] = l.pending[key].max(counts)
		}
	}
	return billed
}

// PendingCount returns the number of cells that wait for a seal.
func (l *Ledger) PendingCount() int { return len(l.pending) }

func (l *Ledger) tooLate(key Key) bool { return l.lastSealed-key.Window >= MaxLateWindows }

// buildSeal returns the seal of a window, with all cells of that window and of
// earlier ones that were merged and not yet billed.
func (l *Ledger) buildSeal(window Window, fence uint64) Seal {
	seal := Seal{Window: window, Fence: fence}
	for key, counts := range l.pending {
		// Of a pair of cells, each may be ahead in another figure: the greater value
		// of each figure is billed, and what was billed is never taken back.
		total := counts.max(l.billed[key])
		if key.Window <= window && !l.tooLate(key) && total != l.billed[key] {
			seal.Cells = append(seal.Cells, Cell{Key: key, Counts: total})
		}
	}
	slices.SortFunc(seal.Cells, func(a, b Cell) int { return compareKeys(a.Key, b.Key) })
	seal.Lines = l.buildLines(window, seal.Cells)
	return seal
}

// buildLines sums, by workspace, the cells' counts that were not billed before.
func (l *Ledger) buildLines(window Window, cells []Cell) []Line {
	byWorkspace := make(map[string]*Line)
	for i := range cells {
		unbilled := cells[i].minus(l.billed[cells[i].Key])
		line := byWorkspace[cells[i].Workspace]
		if line == nil {
			line = &Line{Workspace: cells[i].Workspace}
			byWorkspace[cells[i].Workspace] = line
		}
		line.Counts = line.plus(unbilled)
		if cells[i].Window != window {
			line.Late = line.Late.plus(unbilled)
		}
	}
	lines := make([]Line, 0, len(byWorkspace))
	for _, name := range slices.Sorted(maps.Keys(byWorkspace)) {
		lines = append(lines, *byWorkspace[name])
	}
	return lines
}

// applySeal records the cells of a seal in the store as billed. It drops the cells
// that are now billed, and those that have become too late.
func (l *Ledger) applySeal(seal Seal) {
	if l.billed == nil {
		l.billed = make(map[Key]Counts)
	}
	for _, cell := range seal.Cells {
		l.billed[cell.Key] = l.billed[cell.Key].max(cell.Counts)
	}
	l.lastSealed = seal.Window
	maps.DeleteFunc(l.pending, func(key Key, counts Counts) bool {
		return l.tooLate(key) || l.billed[key].max(counts) == l.billed[key]
	})
	maps.DeleteFunc(l.billed, func(key Key, _ Counts) bool { return l.tooLate(key) })
}

func compareKeys(a, b Key) int {
	return cmp.Or(
		cmp.Compare(a.Workspace, b.Workspace),
		cmp.Compare(a.Window, b.Window),
		cmp.Compare(a.Entry, b.Entry),
		cmp.Compare(a.Agent, b.Agent))
}
