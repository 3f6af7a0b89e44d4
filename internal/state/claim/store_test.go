package claim

import (
	"context"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// memory is a key-value service in memory with switches for its failures, each
// for as many writes as the number says.
type memory struct {
	revision uint64
	entries  map[string]chicoryrock.Entry

	down  bool   // every call fails before it takes effect
	blind int    // reads that fail
	lost  int    // writes that take effect, but whose answer is lost
	late  int    // writes without an answer, which may take effect later
	race  func() // runs once, just before the next write

	inFlight []chicoryrock.Change
}

func newMemory() *memory { return &memory{entries: map[string]chicoryrock.Entry{}} }

func (m *memory) Get(_ context.Context, key string) (chicoryrock.Entry, error) {
	if m.down {
		return chicoryrock.Entry{}, chicoryrock.ErrUnavailable
	}
	if m.blind > 0 {
		m.blind--
		return chicoryrock.Entry{}, chicoryrock.ErrUnknownOutcome
	}
	entry, found := m.entries[key]
	if !found {
		return chicoryrock.Entry{}, chicoryrock.ErrNotFound
	}
	return entry, nil
}

func (m *memory) Put(_ context.Context, change chicoryrock.Change) (uint64, error) {
	if race := m.race; race != nil {
		m.race = nil
		race()
	}
	if m.down {
		return 0, chicoryrock.ErrUnavailable
	}
	if m.late > 0 {
		m.late--
		m.inFlight = append(m.inFlight, change)
		return 0, chicoryrock.ErrUnknownOutcome
	}
	revision, err := m.swap(change)
	if m.lost > 0 {
		m.lost--
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

// land lets all writes in flight arrive.
func (m *memory) land() {
	for _, change := range m.inFlight {
		_, _ = m.swap(change)
	}
	m.inFlight = nil
}

func (m *memory) List(context.Context, string) ([]chicoryrock.Entry, error) { return nil, nil }

func (m *memory) Delete(context.Context, string, uint64) error { return nil }

func (m *memory) Watch(ctx context.Context, key string, _ uint64, _ time.Duration) (chicoryrock.Entry, error) {
	return m.Get(ctx, key)
}
