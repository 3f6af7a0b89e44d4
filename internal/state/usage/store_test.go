package usage

import (
	"context"

	"github.com/chicoryrock/chicoryrock"
)

// memory is a key-value service with switches for its failures.
type memory struct {
	chicoryrock.Store

	revision         uint64
	entries          map[string]chicoryrock.Entry
	writes           int
	down, lost, late bool
	inFlight         []chicoryrock.Change
}

func newMemory() *memory { return &memory{entries: map[string]chicoryrock.Entry{}} }

func (m *memory) Get(_ context.Context, key string) (chicoryrock.Entry, error) {
	if m.down {
		return chicoryrock.Entry{}, chicoryrock.ErrUnavailable
	}
	entry, found := m.entries[key]
	if !found {
		return chicoryrock.Entry{}, chicoryrock.ErrNotFound
	}
	return entry, nil
}

func (m *memory) Put(_ context.Context, change chicoryrock.Change) (uint64, error) {
	if m.down {
		return 0, chicoryrock.ErrUnavailable
	}
	m.writes++
	if m.late {
		m.inFlight = append(m.inFlight, change)
		return 0, chicoryrock.ErrUnknownOutcome
	}
	revision, err := m.swap(change)
	if m.lost {
		return 0, chicoryrock.ErrUnknownOutcome
	}
	return revision, err
}

func (m *memory) swap(change chicoryrock.Change) (uint64, error) {
	if m.entries[change.Key].Revision != change.Prior {
		return 0, chicoryrock.ErrConflict
	}
	m.revision++
	m.entries[change.Key] = chicoryrock.Entry{Key: change.Key, Value: change.Value, Revision: m.revision}
	return m.revision, nil
}

func (m *memory) Delete(_ context.Context, key string, prior uint64) error {
	if m.entries[key].Revision != prior {
		return chicoryrock.ErrConflict
	}
	m.revision++
	delete(m.entries, key)
	return nil
}

func (m *memory) land() {
	for _, change := range m.inFlight {
		_, _ = m.swap(change)
	}
	m.inFlight = nil
}

// intake keeps the reports by ID. A report with other figures is a conflict.
type intake struct {
	taken map[string]chicoryrock.UsageReport
	other bool // a report came with other figures
	down  bool
	lost  bool
}

func (i *intake) Report(_ context.Context, report chicoryrock.UsageReport) error {
	if i.down {
		return chicoryrock.ErrUnavailable
	}
	report.Fence = 0
	if prior, found := i.taken[report.ID]; found && prior != report {
		i.other = true
		return chicoryrock.ErrConflict
	}
	i.taken[report.ID] = report
	if i.lost {
		return chicoryrock.ErrUnknownOutcome
	}
	return nil
}
