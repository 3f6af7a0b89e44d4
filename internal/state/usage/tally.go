package usage

// Counter is what one end has counted. It is not safe for concurrent use.
type Counter struct {
	cells map[Key]counted
}

// counted is a cell on its way into a seal.
type counted struct {
	counts  Counts
	settled bool // a seal in the store has these counts
}

// Add counts usage. The agent calls it before the answer goes on to the entry, so
// that it has seen whatever the entry has.
func (t *Counter) Add(key Key, counts Counts) {
	if t.cells == nil {
		t.cells = make(map[Key]counted)
	}
	t.cells[key] = counted{counts: t.cells[key].counts.plus(counts)}
}

// Pending returns the cells that are not known to be in a seal, and forgets those
// beyond the horizon.
func (t *Counter) Pending(current Window) []Cell {
	var pending []Cell
	for key, cell := range t.cells {
		switch {
		case current-key.Window > MaxLateWindows+1:
			delete(t.cells, key)
		case !cell.settled:
			pending = append(pending, Cell{Key: key, Counts: cell.counts})
		}
	}
	return pending
}

// MarkSealed notes which of the cells that were sent are in a seal, by their places
// in the list. A cell that has grown since stays pending.
func (t *Counter) MarkSealed(sent []Cell, billed []int) {
	for _, i := range billed {
		if i < 0 || i >= len(sent) {
			continue
		}
		if cell, found := t.cells[sent[i].Key]; found && cell.counts == sent[i].Counts {
			t.cells[sent[i].Key] = counted{counts: cell.counts, settled: true}
		}
	}
}
