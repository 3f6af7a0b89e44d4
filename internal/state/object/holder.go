package object

import (
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

// Holder keeps the configuration in force in this process. Readers on the way of
// a request never wait for a writer. The zero Holder holds nothing.
type Holder struct {
	table atomic.Pointer[Table]
}

// Table returns the configuration in force, or nil before the first.
func (h *Holder) Table() *Table { return h.table.Load() }

// Revision returns the revision in force, or zero before the first.
func (h *Holder) Revision() uint64 {
	if table := h.table.Load(); table != nil {
		return table.Revision
	}
	return 0
}

// Take puts a newer configuration in force. Error: chicoryrock.ErrStale when one
// at least as new is in force already, so that no process ever goes back.
func (h *Holder) Take(table *Table) error {
	for {
		old := h.table.Load()
		if old != nil && old.Revision >= table.Revision {
			return errors.Wrapf(chicoryrock.ErrStale, "revision %d is in force, %d was offered", old.Revision, table.Revision)
		}
		if h.table.CompareAndSwap(old, table) {
			return nil
		}
	}
}
