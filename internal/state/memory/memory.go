// Package memory is a key-value service in memory for tests, with switches for
// the failures that the platform's service can have. Programs don't import it.
package memory

import (
	"context"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// Always sets a counted switch until it is set to 0 again.
const Always = math.MaxInt

// Store is a chicoryrock.Store without leases. The zero value is empty and works.
// The numbers count the calls that still fail, so that Lost: 1 loses one answer.
// Where several goroutines use a store, the test holds its Mutex to change a field.
type Store struct {
	sync.Mutex

	Revision uint64
	Entries  map[string]chicoryrock.KeyValue
	Writes   int // puts that reached the service

	Down           bool // every call fails before it takes effect
	LostReads      int  // reads of one key without an answer
	LostPutAnswers int  // puts that take effect, but whose answer is lost
	DelayedPuts    int  // puts without an answer, which take effect at Land or never
	DuplicatedPuts int  // puts that the transport sends twice; the second answer arrives

	BeforePut func()                     // runs once, just before the next put
	AfterPut  func(chicoryrock.KeyValue) // runs in each put that takes effect; may be nil

	inFlight []chicoryrock.Change
}

// Get reads one key. Errors: ErrNotFound, ErrUnavailable, ErrUnknownOutcome.
func (s *Store) Get(_ context.Context, key string) (chicoryrock.KeyValue, error) {
	s.Lock()
	defer s.Unlock()
	if s.Down {
		return chicoryrock.KeyValue{}, chicoryrock.ErrUnavailable
	}
	if spend(&s.LostReads) {
		return chicoryrock.KeyValue{}, chicoryrock.ErrUnknownOutcome
	}
	entry, found := s.Entries[key]
	if !found {
		return chicoryrock.KeyValue{}, chicoryrock.ErrNotFound
	}
	return entry, nil
}

// List reads every key below a prefix, in key order. Error: ErrUnavailable.
func (s *Store) List(_ context.Context, prefix string) ([]chicoryrock.KeyValue, error) {
	s.Lock()
	defer s.Unlock()
	if s.Down {
		return nil, chicoryrock.ErrUnavailable
	}
	var found []chicoryrock.KeyValue
	for key, entry := range s.Entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, entry)
		}
	}
	slices.SortFunc(found, func(a, b chicoryrock.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return found, nil
}

// Put writes one key. Errors: ErrConflict, ErrUnavailable, ErrUnknownOutcome.
func (s *Store) Put(_ context.Context, change chicoryrock.Change) (uint64, error) {
	s.race()
	s.Lock()
	defer s.Unlock()
	if s.Down {
		return 0, chicoryrock.ErrUnavailable
	}
	s.Writes++
	if spend(&s.DelayedPuts) {
		s.inFlight = append(s.inFlight, change)
		return 0, chicoryrock.ErrUnknownOutcome
	}
	revision, err := s.swap(change)
	if spend(&s.LostPutAnswers) {
		return 0, chicoryrock.ErrUnknownOutcome
	}
	if spend(&s.DuplicatedPuts) {
		return s.swap(change)
	}
	return revision, err
}

// PutWithoutFaults is a put that no switch but Down hinders. Errors: ErrConflict, ErrUnavailable.
func (s *Store) PutWithoutFaults(change chicoryrock.Change) (uint64, error) {
	s.Lock()
	defer s.Unlock()
	if s.Down {
		return 0, chicoryrock.ErrUnavailable
	}
	return s.swap(change)
}

// DeliverDelayedPuts lets all late puts arrive, also while the service is down.
func (s *Store) DeliverDelayedPuts() {
	s.Lock()
	defer s.Unlock()
	for _, change := range s.inFlight {
		_, _ = s.swap(change)
	}
	s.inFlight = nil
}

// Commit makes all changes or none, under the switches Down, Lost and Race. Errors: as Put.
func (s *Store) Commit(_ context.Context, changes []chicoryrock.Change) (uint64, error) {
	s.race()
	s.Lock()
	defer s.Unlock()
	if s.Down {
		return 0, chicoryrock.ErrUnavailable
	}
	s.Writes++
	for _, change := range changes {
		if !change.Unconditional && s.Entries[change.Key].Revision != change.PriorRevision {
			return 0, chicoryrock.ErrConflict
		}
	}
	for _, change := range changes {
		if change.Delete {
			s.Revision++
			delete(s.Entries, change.Key)
			continue
		}
		change.PriorRevision = s.Entries[change.Key].Revision
		if _, err := s.swap(change); err != nil {
			return 0, err
		}
	}
	if spend(&s.LostPutAnswers) {
		return 0, chicoryrock.ErrUnknownOutcome
	}
	return s.Revision, nil
}

// Range is List with the store's revision. Error: ErrUnavailable.
func (s *Store) ListWithRevision(ctx context.Context, prefix string) ([]chicoryrock.KeyValue, uint64, error) {
	entries, err := s.List(ctx, prefix)
	s.Lock()
	defer s.Unlock()
	return entries, s.Revision, err
}

// Changes answers that the history is gone, as a store may at any time.
func (s *Store) WatchPrefix(context.Context, string, uint64, time.Duration) ([]chicoryrock.KeyValue, uint64, error) {
	return nil, 0, chicoryrock.ErrCompacted
}

// Delete removes one key. Errors: ErrNotFound, ErrConflict, ErrUnavailable.
func (s *Store) Delete(_ context.Context, key string, prior uint64) error {
	s.Lock()
	defer s.Unlock()
	if s.Down {
		return chicoryrock.ErrUnavailable
	}
	entry, found := s.Entries[key]
	if !found {
		return chicoryrock.ErrNotFound
	}
	if entry.Revision != prior {
		return chicoryrock.ErrConflict
	}
	s.Revision++
	delete(s.Entries, key)
	return nil
}

// Watch answers at once, as a watch whose wait has passed. Errors: as Get.
func (s *Store) Watch(ctx context.Context, key string, _ uint64, _ time.Duration) (chicoryrock.KeyValue, error) {
	return s.Get(ctx, key)
}

// race runs without the mutex, because the other process uses the store too.
func (s *Store) race() {
	s.Lock()
	race := s.BeforePut
	s.BeforePut = nil
	s.Unlock()
	if race != nil {
		race()
	}
}

func (s *Store) swap(change chicoryrock.Change) (uint64, error) {
	if s.Entries[change.Key].Revision != change.PriorRevision {
		return 0, chicoryrock.ErrConflict
	}
	if s.Entries == nil {
		s.Entries = make(map[string]chicoryrock.KeyValue)
	}
	s.Revision++
	entry := chicoryrock.KeyValue{Key: change.Key, Value: change.Value, Revision: s.Revision}
	s.Entries[change.Key] = entry
	if s.AfterPut != nil {
		s.AfterPut(entry)
	}
	return s.Revision, nil
}

// spend uses up one call of a counted switch and says whether it was set.
func spend(count *int) bool {
	if *count == 0 {
		return false
	}
	*count--
	return true
}
