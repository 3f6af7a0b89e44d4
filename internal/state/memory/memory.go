// Package memory is an in-memory key-value service for tests that can inject the
// failures of the platform's service. Programs don't import it.
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

// Always makes a counted failure occur in every call, until the counter is set to 0.
const Always = math.MaxInt

// Store is a chicoryrock.TransactionalStore without leases. The zero value is empty and
// ready for use. The counted failures hold the number of calls that still fail:
// LostPutAnswers: 1 loses one answer. If several goroutines use a store, a test must
// hold its Mutex to change a field.
type Store struct {
	sync.Mutex

	Revision uint64
	Entries  map[string]chicoryrock.KeyValue
	Writes   int // puts and commits that reached the service

	Down           bool // every call fails without taking effect
	LostReads      int  // calls of Get and Watch without an answer
	LostPutAnswers int  // puts and commits that take effect, but whose answer is lost
	DelayedPuts    int  // puts without an answer that take effect in DeliverDelayedPuts, or never
	DuplicatedPuts int  // puts that are sent twice; the second answer is returned

	BeforePut func()                     // runs once, just before the next put or commit
	AfterPut  func(chicoryrock.KeyValue) // runs for each value written, with the mutex held; may be nil

	delayed []chicoryrock.Change
}

// Get reads one key. Errors: ErrNotFound, ErrUnavailable, ErrUnknownOutcome.
func (s *Store) Get(_ context.Context, key string) (chicoryrock.KeyValue, error) {
	s.Lock()
	defer s.Unlock()
	if s.Down {
		return chicoryrock.KeyValue{}, chicoryrock.ErrUnavailable
	}
	if consume(&s.LostReads) {
		return chicoryrock.KeyValue{}, chicoryrock.ErrUnknownOutcome
	}
	entry, found := s.Entries[key]
	if !found {
		return chicoryrock.KeyValue{}, chicoryrock.ErrNotFound
	}
	return entry, nil
}

// List reads all keys with a prefix, in key order. Error: ErrUnavailable.
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
	s.runBeforePut()
	s.Lock()
	defer s.Unlock()
	if s.Down {
		return 0, chicoryrock.ErrUnavailable
	}
	s.Writes++
	if consume(&s.DelayedPuts) {
		s.delayed = append(s.delayed, change)
		return 0, chicoryrock.ErrUnknownOutcome
	}
	revision, err := s.compareAndSwap(change)
	if consume(&s.LostPutAnswers) {
		return 0, chicoryrock.ErrUnknownOutcome
	}
	if consume(&s.DuplicatedPuts) {
		return s.compareAndSwap(change)
	}
	return revision, err
}

// PutWithoutFaults writes one key, subject to no failure but Down. Errors: ErrConflict,
// ErrUnavailable.
func (s *Store) PutWithoutFaults(change chicoryrock.Change) (uint64, error) {
	s.Lock()
	defer s.Unlock()
	if s.Down {
		return 0, chicoryrock.ErrUnavailable
	}
	return s.compareAndSwap(change)
}

// DeliverDelayedPuts makes all delayed puts take effect, even while the service is
// down.
func (s *Store) DeliverDelayedPuts() {
	s.Lock()
	defer s.Unlock()
	for _, change := range s.delayed {
		_, _ = s.compareAndSwap(change)
	}
	s.delayed = nil
}

// Commit applies all changes or none. Of the failures, only Down and LostPutAnswers
// apply, and BeforePut runs. Errors: as Put.
func (s *Store) Commit(_ context.Context, changes []chicoryrock.Change) (uint64, error) {
	s.runBeforePut()
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
		if _, err := s.compareAndSwap(change); err != nil {
			return 0, err
		}
	}
	if consume(&s.LostPutAnswers) {
		return 0, chicoryrock.ErrUnknownOutcome
	}
	return s.Revision, nil
}

// ListWithRevision returns the result of List and the store's revision. Error:
// ErrUnavailable.
func (s *Store) ListWithRevision(ctx context.Context, prefix string) ([]chicoryrock.KeyValue, uint64, error) {
	entries, err := s.List(ctx, prefix)
	s.Lock()
	defer s.Unlock()
	return entries, s.Revision, err
}

// WatchPrefix always returns ErrCompacted, which a store may return at any time.
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

// Watch answers at once, like a watch whose wait has passed. Errors: as Get.
func (s *Store) Watch(ctx context.Context, key string, _ uint64, _ time.Duration) (chicoryrock.KeyValue, error) {
	return s.Get(ctx, key)
}

// runBeforePut runs BeforePut without holding the mutex, because the hook itself uses
// the store.
func (s *Store) runBeforePut() {
	s.Lock()
	hook := s.BeforePut
	s.BeforePut = nil
	s.Unlock()
	if hook != nil {
		hook()
	}
}

func (s *Store) compareAndSwap(change chicoryrock.Change) (uint64, error) {
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

// consume decrements the counter of a failure and reports whether it was above zero.
func consume(count *int) bool {
	if *count == 0 {
		return false
	}
	*count--
	return true
}
