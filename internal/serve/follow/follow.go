// Package follow keeps a process up to date with prefixes of the platform's store:
// it reads them whole, then watches what changes, and reads them again whenever
// it can't be sure that a watch has told everything.
package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/serve/pause"
)

const (
	// defaultWait is how long a watch waits for a change. It is short, as a watch
	// that has gone silent looks like one without changes.
	defaultWait = time.Second
	// settleInterval is how often a process that has just started looks whether others
	// follow the prefix.
	settleInterval = 100 * time.Millisecond
	// failurePause is the mean wait before the store is asked again after a failure.
	failurePause = 150 * time.Millisecond
	// restInterval is how often a process that leaves the watching to others looks
	// whether they still do.
	restInterval = 200 * time.Millisecond
	// longestPause bounds the waits after failures in a row.
	longestPause = 800 * time.Millisecond
	// patientPause bounds them for a process that others will tell.
	patientPause = 4 * time.Second
)

// Changes are the entries that have changed after a revision through another one, in the
// order of their revisions.
type Changes struct {
	After, Through uint64
	Entries        []chicoryrock.KeyValue
}

// Follower follows one prefix. Set the exported fields, then call Run. The
// functions are called one at a time.
type Follower struct {
	Store  chicoryrock.TransactionalStore
	Prefix string
	Log    *event.Log
	Wait   time.Duration // of a watch; 0 means a second
	// Reset takes in all entries, Changed a whole answer of a watch, Heard that the store
	// has answered, Lost that it hasn't.
	Reset   func(now time.Time, entries []chicoryrock.KeyValue, revision uint64)
	Changed func(now time.Time, changes *Changes)
	Heard   func(now time.Time)
	Lost    func(now time.Time)
	// Cut is told that a watch has failed, before the store is asked again; nil for nobody.
	Cut func(now time.Time)
	// Again says, once, that everything is to be read again although no watch has failed;
	// nil for never.
	Again func() bool
	// Patient says that others look for the store's return, so that this process
	// asks it seldom while it does not answer; nil for never.
	Patient func(now time.Time) bool
	// Resume has what has changed since the last revision read after a failed watch or a rest,
	// instead of everything, where the store still knows it: for prefixes with large values.
	Resume bool
	// Settled says that this process need not wait any more to hear whether others follow
	// the prefix: it does not know at its start. Nil for always.
	Settled func(now time.Time) bool
	// Rest says that others follow the prefix and tell this process; nil for never.
	Rest func(now time.Time) bool

	lost     bool
	failures int
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	read, resumes := false, false
	revision := uint64(0) // through which everything has been taken in
	for ctx.Err() == nil {
		if read && f.rests() {
			pause.For(ctx, restInterval)
			continue
		}
		var err error
		resumes = f.Resume && resumes
		if resumes {
			revision, err = f.resume(ctx, revision)
		}
		if !resumes || errors.Is(err, chicoryrock.ErrCompacted) {
			revision, err = f.list(ctx, revision)
		}
		if err != nil {
			f.failed(ctx, err)
			// The store may answer one of the two while it doesn't answer the other.
			resumes = read && !resumes
			continue
		}
		for !read && !f.settled() && !f.rests() && ctx.Err() == nil {
			pause.For(ctx, settleInterval)
		}
		read = true
		revision, resumes = f.watch(ctx, revision)
	}
	return nil
}

// list takes in all entries, and returns the revision through which they are.
func (f *Follower) list(ctx context.Context, revision uint64) (uint64, error) {
	entries, listed, err := f.Store.ListWithRevision(ctx, f.Prefix)
	if err != nil {
		return revision, err
	}
	now := time.Now()
	f.heard(now)
	f.Reset(now, entries, listed)
	return listed, nil
}

// resume takes in what has changed after a revision, and returns the one through which that is.
func (f *Follower) resume(ctx context.Context, revision uint64) (uint64, error) {
	changes, next, err := f.Store.WatchPrefix(ctx, f.Prefix, revision, 0)
	if errors.Is(err, chicoryrock.ErrCompacted) {
		f.Log.Write(event.HistoryGone, zap.String("prefix", f.Prefix), zap.Uint64("revision", revision))
	}
	if err != nil {
		return revision, err
	}
	now := time.Now()
	f.heard(now)
	f.Changed(now, &Changes{revision, next, changes})
	return max(revision, next), nil
}

func (f *Follower) settled() bool { return f.Settled == nil || f.Settled(time.Now()) }

func (f *Follower) rests() bool { return f.Rest != nil && f.Rest(time.Now()) }

// watch follows changes until a watch fails or everything is due to be read again. It returns
// the revision through which everything has been taken in, and whether a watch may go on there.
func (f *Follower) watch(ctx context.Context, revision uint64) (uint64, bool) {
	wait := f.Wait
	if wait == 0 {
		wait = defaultWait
	}
	for ctx.Err() == nil && !f.rests() {
		changes, next, err := f.Store.WatchPrefix(ctx, f.Prefix, revision, wait)
		now := time.Now()
		switch {
		case errors.Is(err, chicoryrock.ErrCompacted):
			f.Log.Write(event.HistoryGone, zap.String("prefix", f.Prefix), zap.Uint64("revision", revision))
			return revision, false
		case err != nil:
			// A watch that was cut or is silent says nothing of the store.
			if f.Cut != nil && ctx.Err() == nil {
				f.Cut(now)
			}
			return revision, true
		}
		f.heard(now)
		f.Changed(now, &Changes{revision, next, changes})
		revision = max(revision, next)
		if f.Again != nil && f.Again() {
			return revision, false
		}
	}
	return revision, true
}

func (f *Follower) heard(now time.Time) {
	if f.lost {
		f.lost = false
		f.Log.Write(event.StoreBack, zap.String("prefix", f.Prefix), zap.Int("failures", f.failures))
	}
	f.failures = 0
	if f.Heard != nil {
		f.Heard(now)
	}
}

func (f *Follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if !f.lost {
		f.lost = true
		f.Log.Write(event.StoreLost, zap.String("prefix", f.Prefix), zap.Error(err))
	}
	f.failures++
	if f.Lost != nil {
		f.Lost(time.Now())
	}
	longest := longestPause
	if f.Patient != nil && f.Patient(time.Now()) {
		longest = patientPause
	}
	wait := min(failurePause*time.Duration(f.failures*f.failures), longest)
	pause.For(ctx, wait/2+rand.N(wait))
}
