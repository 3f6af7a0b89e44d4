package billing

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/serve/pause"
	"github.com/chicoryrock/chicoryrock/internal/state/tally"
)

const (
	// keptSeals is how many windows back a process remembers what they were sealed with.
	keptSeals = 2 * backlog
	// followInterval is how often a process looks whether its seals are up to date.
	followInterval = 250 * time.Millisecond
	// missedTime is after which pause a process may have missed seals that it was told of.
	missedTime = time.Second
	// rereadTime is how often a mark is read that may still come to name an earlier window.
	rereadTime = 2 * time.Second
)

// errMayBeSealed means that a window may have been sealed, and reported, before the store came
// back from a copy without the seal. It is not sealed again: a report with other figures is
// worse than none.
var errMayBeSealed = errors.New("the window may have been sealed before the store came back from a copy")

// seals is what a process knows of sealed windows, so that none is sealed again with another
// sum when the store comes back from a copy without the seal.
type seals struct {
	mutex    sync.Mutex
	sums     map[int64]tally.Counts // what the last windows were sealed with, as far as known
	informed bool                   // sums has the seals of window first and later; others tell new ones
	attended time.Time              // when this process last looked

	era     uint64    // how often the store has come back from a copy, as last seen
	seen    time.Time // when that was first seen
	written bool      // sums is in the store in this era
	checked bool      // first is valid in this era
	first   int64     // the store has the seals of this window and later ones that were ever made
	read    time.Time // when first was read
}

// attend notes that the process runs, in which era, and whether others tell it of seals.
func (s *seals) attend(now time.Time, era uint64, told bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !told || elapsed(s.attended, now) > missedTime {
		s.informed = false
	}
	if now.After(s.attended) {
		s.attended = now
	}
	if s.seen.IsZero() || era > s.era {
		s.era, s.seen, s.written, s.checked = era, now, era == 0, false
	}
}

// elapsed returns how long ago a time was. The steady clock leaves out suspensions of the VM.
func elapsed(since, now time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}

// valid says whether it is known in an era of which windows the store may lack seals.
func (s *seals) valid(era uint64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return era == 0 || s.checked && s.era == era
}

// known returns what a window was sealed with, and otherwise whether it may have been sealed.
func (s *seals) known(number int64) (counts tally.Counts, found, unsure bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	counts, found = s.sums[number]
	return counts, found, !found && s.era > 0 && number < s.first
}

// hear takes in what a window was sealed with.
func (s *seals) hear(number int64, counts tally.Counts) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.sums == nil {
		s.sums = make(map[int64]tally.Counts)
	}
	if _, found := s.sums[number]; !found {
		s.sums[number] = counts
	}
	newest := slices.Max(slices.Collect(maps.Keys(s.sums)))
	maps.DeleteFunc(s.sums, func(old int64, _ tally.Counts) bool { return old < newest-keptSeals })
}

// stale says whether the mark and the seals are to be read, by a process that is told of
// seals. A mark may come to name an earlier window than the oldest that may be sealed.
func (s *seals) stale(now time.Time, oldest int64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.checked || !s.informed || s.era > 0 && s.first > oldest && now.Sub(s.read) >= rereadTime
}

// settle notes that the store has the seals of a window and later ones in an era, unless it has
// come back once more since.
func (s *seals) settle(now time.Time, era uint64, first int64, informed bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.era == era {
		s.written, s.checked, s.first, s.read, s.informed = true, true, first, now, informed
	}
}

// Follow keeps the seals in the store and what is known of them up to date, until the context
// ends.
func (r *Reporter) Follow(ctx context.Context) error {
	for ctx.Err() == nil {
		r.keepUp(ctx, time.Now())
		pause.For(ctx, followInterval)
	}
	return nil
}

// Attend notes pauses of this process until the context ends, also while calls of Follow to the
// store take long.
func (r *Reporter) Attend(ctx context.Context) error {
	pause.Every(ctx, followInterval, func(now time.Time) { r.attend(now) })
	return nil
}

// attend notes that the process runs, and returns whether others tell it of seals, and in which
// era that is.
func (r *Reporter) attend(now time.Time) (told bool, era uint64) {
	if r.Era != nil {
		era = r.Era()
	}
	told = r.Told == nil || r.Told(now)
	r.seals.attend(now, era, told)
	return told, era
}

// keepUp writes the seals that the store may have lost, or finds out which it may have lost.
func (r *Reporter) keepUp(ctx context.Context, now time.Time) {
	r.following.Lock()
	defer r.following.Unlock()
	told, era := r.attend(now)
	err := r.writeSeals(ctx, now, era)
	if err == nil && told && r.seals.stale(now, tally.WindowAt(r.Clock.True(now), r.Length)-backlog) {
		err = r.readSeals(ctx, now, era)
	}
	if err != nil && ctx.Err() == nil {
		r.Log.Write(event.UsageFailed, zap.Error(err))
	}
}

// writeSeals writes the known seals again, and then the era's mark if they are all.
func (r *Reporter) writeSeals(ctx context.Context, now time.Time, era uint64) error {
	s := &r.seals
	s.mutex.Lock()
	sums, written := maps.Clone(s.sums), s.written
	s.mutex.Unlock()
	if written {
		return nil
	}
	for number, counts := range sums {
		if _, err := tally.SealWith(ctx, r.Store, number, counts); err != nil {
			return errors.Wrapf(err, "window %d", number)
		}
	}
	// The process may have been paused, or the store may have come back once more.
	r.attend(time.Now())
	s.mutex.Lock()
	same, informed, first := s.era == era, s.informed, s.first
	s.written = same && !informed
	s.mutex.Unlock()
	if !same || !informed {
		return nil
	}
	first, err := tally.Mark(ctx, r.Store, era, first)
	if err == nil {
		s.settle(now, era, first, true)
	}
	return err
}

// readSeals reads the era's mark, and then the seals.
func (r *Reporter) readSeals(ctx context.Context, now time.Time, era uint64) error {
	begun, first := time.Now(), int64(0)
	if era > 0 {
		// Windows that hadn't ended when the era was first seen can't have been sealed before.
		r.seals.mutex.Lock()
		since := now.Sub(r.seals.seen)
		r.seals.mutex.Unlock()
		var err error
		if first, err = tally.Mark(ctx, r.Store, era, tally.WindowAt(r.Clock.True(now).Add(-since), r.Length)); err != nil {
			return err
		}
	}
	sums, err := tally.ListSeals(ctx, r.Store)
	if err != nil {
		return err
	}
	for number, counts := range sums {
		r.seals.hear(number, counts)
	}
	ended := time.Now()
	told, _ := r.attend(ended)
	r.seals.settle(now, era, first, told && elapsed(begun, ended) <= missedTime)
	return nil
}
