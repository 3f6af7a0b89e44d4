package publish

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// memory is a key-value service in memory with switches for its failures. The
// failures of puts concern the head only, each for as many puts as the number.
type memory struct {
	revision uint64
	entries  map[string]chicoryrock.Entry

	down  bool // every call fails before it takes effect
	blind bool // every read fails
	lost  int  // takes effect, but the answer is lost
	late  int  // no answer; the write waits in flight and may take effect later
	twice int  // the transport sends the write twice, and the second answer arrives

	race     func() // runs once, just before the next put of the head
	written  func() // runs once, just before the next put of a chunk
	listed   func() // runs once, after the next list was made and before its answer
	inFlight []chicoryrock.Change
	stale    *chicoryrock.Entry // answered in place of the head
}

func newMemory() *memory { return &memory{entries: map[string]chicoryrock.Entry{}} }

func (m *memory) Get(_ context.Context, key string) (chicoryrock.Entry, error) {
	if m.down || m.blind {
		return chicoryrock.Entry{}, chicoryrock.ErrUnavailable
	}
	if key == HeadKey && m.stale != nil {
		return *m.stale, nil
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
	if written := m.written; written != nil && change.Key != HeadKey {
		m.written = nil
		written()
	}
	if change.Key != HeadKey {
		return m.swap(change)
	}
	if race := m.race; race != nil {
		m.race = nil
		race()
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
	if m.twice > 0 {
		m.twice--
		return m.swap(change)
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

func (m *memory) List(_ context.Context, prefix string) ([]chicoryrock.Entry, error) {
	if m.down || m.blind {
		return nil, chicoryrock.ErrUnavailable
	}
	var found []chicoryrock.Entry
	for key, entry := range m.entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, entry)
		}
	}
	if listed := m.listed; listed != nil && len(found) > 0 {
		m.listed = nil
		listed()
	}
	slices.SortFunc(found, func(a, b chicoryrock.Entry) int { return strings.Compare(a.Key, b.Key) })
	return found, nil
}

func (m *memory) Delete(_ context.Context, key string, prior uint64) error {
	if m.down {
		return chicoryrock.ErrUnavailable
	}
	entry, found := m.entries[key]
	if !found {
		return chicoryrock.ErrNotFound
	}
	if entry.Revision != prior {
		return chicoryrock.ErrConflict
	}
	delete(m.entries, key)
	return nil
}

func (m *memory) Watch(ctx context.Context, key string, _ uint64, _ time.Duration) (chicoryrock.Entry, error) {
	return m.Get(ctx, key)
}
