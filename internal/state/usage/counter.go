package usage

// Counter holds the cells that one process has counted. It is not safe for
// concurrent use.
type Counter struct {
	cells map[Key]countedCell
}

// countedCell is the content of a cell, and whether it is in a seal.
type countedCell struct {
	counts Counts
	sealed bool // a seal in the store has these counts
}

// Add adds usage to a cell. The agent calls it before it forwards the answer to the
// entry, so that it has counted everything that the entry counts.
func (c *Counter) Add(key Key, counts Counts) {
	if c.cells == nil {
		c.cells = make(map[Key]countedCell)
	}
	c.cells[key] = countedCell{counts: c.cells[key].counts.plus(counts)}
}

// Pending returns the cells that are not marked as sealed. It drops cells that are
// more than MaxLateWindows+1 windows older than the current one.
func (c *Counter) Pending(current Window) []Cell {
	var pending []Cell
	for key, cell := range c.cells {
		switch {
		case current-key.Window > MaxLateWindows+1:
			delete(c.cells, key)
		case !cell.sealed:
			pending = append(pending, Cell{Key: key, Counts: cell.counts})
		}
	}
	return pending
}

// MarkSealed marks cells as sealed. Billed holds indexes into sent, the cells that
// were sent to the collector. A cell that has grown since stays pending.
func (c *Counter) MarkSealed(sent []Cell, billed []int) {
	for _, i := range billed {
		if i < 0 || i >= len(sent) {
			continue
		}
		if cell, found := c.cells[sent[i].Key]; found && cell.counts == sent[i].Counts {
			c.cells[sent[i].Key] = countedCell{counts: cell.counts, sealed: true}
		}
	}
}
