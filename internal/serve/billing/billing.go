// Package billing carries out the reporting of usage on a platform: every process
// writes what it has counted to the store, and the holder of the duty seals each
// window and reports it.
package billing

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/serve/duty"
	"github.com/chicoryrock/chicoryrock/internal/serve/pause"
	"github.com/chicoryrock/chicoryrock/internal/state/tally"
)

const (
	// flushInterval is how often counts go to a peer while they grow: what a killed
	// process has counted since is lost.
	flushInterval = time.Second
	// workInterval is how often the holder looks for windows to seal and report.
	workInterval = 500 * time.Millisecond
	// settleTime is when a window is sealed at the earliest, after its end: all that
	// live have written their counts by then.
	settleTime = 500 * time.Millisecond
	// changedShare is when it is sealed although a process that has gone lately has
	// not written its counts itself, as a share of the time until its report is due:
	// peers write the counts of the dead by then.
	changedShare = 0.5
	// stableTime is how long no process must have come for those that are heard to be
	// all: in large fleets each is heard about once a second.
	stableTime = 2 * time.Second
	// lastShare is when it is sealed although counts are missing: early enough to
	// send the report twice.
	lastShare = 0.8
	// endMargin is how long after a window's end its counts are written.
	endMargin = 50 * time.Millisecond
	// closePause is the wait between two tries to write what is left at the end.
	closePause = 100 * time.Millisecond
	// writePause is the wait after a write that the store did not take: a peer keeps
	// the counts meanwhile.
	writePause = 2 * time.Second
	// callTimeout bounds one write of counts.
	callTimeout = 1500 * time.Millisecond
	// backlog is how many windows back a new holder looks for unsent ones.
	backlog = 6
	// rewriteTime is how long after the store's return from a copy nothing is sealed: the
	// processes write their counts again meanwhile.
	rewriteTime = 2 * time.Second
)

// Book counts this process's requests. A window's counts go to the store when it
// has ended; until then a peer keeps them too, and writes them if this process
// dies. Set the exported fields, then call Run.
type Book struct {
	Process string // this process's name, never used by another one before
	Length  time.Duration
	Store   chicoryrock.TransactionalStore
	Log     *event.Log
	Clock   *Clock
	// Relay writes changes that the store would not take from this process by way
	// of another; nil for none.
	Relay func(ctx context.Context, changes []chicoryrock.Change) error
	// Collect has changes written together with those of other processes; nil for none.
	Collect func(ctx context.Context, changes []chicoryrock.Change) error
	// Keep has a peer keep a process's changes; nil when they go to the store at once.
	Keep func(ctx context.Context, process string, changes []chicoryrock.Change) error
	// Alive says whether another process lives; nil for always.
	Alive func(now time.Time, process string) bool

	mutex sync.Mutex
	tally tally.Counter
	again time.Time                       // when the store is asked again after it took nothing
	times int                             // that Restored was called
	open  int                             // writes of counts under way
	kept  map[string][]chicoryrock.Change // by process, what this one keeps for others
}

// Began counts a request that began to run.
func (b *Book) Began(now time.Time, workspace string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tally.WindowLength = b.Length
	b.tally.Add(b.Clock.True(now), workspace)
}

// Restored has all counts written again: the store has come back from a copy in which the
// last ones may be missing.
func (b *Book) Restored() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tally.MarkAllUnwritten()
	b.again = time.Time{}
	b.times++
}

// Unwritten says whether the store may lack counts of this process of a window.
func (b *Book) Unwritten(number int64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.open > 0 || b.tally.HasUnwritten(number)
}

// Run writes counts until the context ends.
func (b *Book) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		now := time.Now()
		present := b.Clock.True(now)
		end := tally.WindowEnd(tally.WindowAt(present, b.Length), b.Length).Sub(present) + endMargin
		pause.For(ctx, min(flushInterval, end))
		b.step(ctx, time.Now())
	}
	return nil
}

// step writes the counts of windows that have ended, and has a peer keep those of
// the present one.
func (b *Book) step(ctx context.Context, now time.Time) {
	b.inherit(ctx, now)
	b.mutex.Lock()
	b.tally.WindowLength = b.Length
	b.tally.OpenWindow(b.Clock.True(now))
	b.mutex.Unlock()
	present := tally.WindowAt(b.Clock.True(now), b.Length)
	if b.Keep == nil {
		b.flush(ctx, present+1)
		return
	}
	b.flushBy(ctx, present, b.together)
	b.mutex.Lock()
	changes, err := b.tally.PendingChanges(b.Process)
	b.mutex.Unlock()
	if err != nil {
		b.Log.Write(event.UsageFailed, zap.Error(err))
		return
	}
	if len(changes) > 0 && b.Keep(ctx, b.Process, changes) != nil {
		b.flush(ctx, present+1)
	}
}

// Hold keeps another process's counts in case it dies.
func (b *Book) Hold(process string, changes []chicoryrock.Change) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.kept == nil {
		b.kept = make(map[string][]chicoryrock.Change)
	}
	b.kept[process] = changes
}

// inherit writes the counts of processes that have died.
func (b *Book) inherit(ctx context.Context, now time.Time) {
	if b.Alive == nil {
		return
	}
	b.mutex.Lock()
	dead := make(map[string][]chicoryrock.Change)
	for process, changes := range b.kept {
		if !b.Alive(now, process) {
			dead[process] = changes
			delete(b.kept, process)
		}
	}
	b.mutex.Unlock()
	for process, changes := range dead {
		if err := b.write(ctx, tally.RelayedChanges(changes)); err != nil {
			b.Log.Write(event.UsageKept, zap.String("of", process), zap.Error(err))
			b.Hold(process, changes)
		}
	}
}

// Close hands on all counts that have grown, and those kept for others, for a
// process that ends: to the store, or else to a peer. It tries until the context
// ends.
func (b *Book) Close(ctx context.Context) {
	for !b.flush(ctx, tally.WindowAt(b.Clock.True(time.Now()), b.Length)+1) {
		b.mutex.Lock()
		changes, err := b.tally.PendingChanges(b.Process)
		b.mutex.Unlock()
		if err == nil && b.Keep != nil && b.Keep(ctx, b.Process, changes) == nil || ctx.Err() != nil {
			break
		}
		pause.For(ctx, closePause)
	}
	b.mutex.Lock()
	kept := b.kept
	b.kept = nil
	b.mutex.Unlock()
	for process, changes := range kept {
		err := b.write(ctx, tally.RelayedChanges(changes))
		if err != nil && b.Keep != nil {
			err = b.Keep(ctx, process, changes)
		}
		if err != nil {
			b.Log.Write(event.UsageKept, zap.String("of", process), zap.Error(err))
		}
	}
}

// flush writes the counts that have grown, of the windows before one, and says
// whether the store has all of them.
func (b *Book) flush(ctx context.Context, before int64) bool { return b.flushBy(ctx, before, b.write) }

// flushBy is flush by one way of writing.
func (b *Book) flushBy(ctx context.Context, before int64, write func(context.Context, []chicoryrock.Change) error) bool {
	now := time.Now()
	b.mutex.Lock()
	if now.Before(b.again) {
		b.mutex.Unlock()
		return false
	}
	times := b.times
	changes, err := b.tally.TakeChanges(b.Process, before)
	b.open++
	b.mutex.Unlock()
	defer func() {
		b.mutex.Lock()
		b.open--
		b.mutex.Unlock()
	}()
	if err != nil {
		b.Log.Write(event.UsageFailed, zap.Error(err))
		return false
	}
	if len(changes) == 0 {
		return true
	}
	if err := write(ctx, changes); err != nil {
		b.Log.Write(event.UsageKept, zap.Int("windows", len(changes)), zap.Error(err))
		b.mutex.Lock()
		b.tally.MarkUnwritten(changes)
		if times == b.times {
			// Else it may have failed as the store came back from a copy, and is made again
			// before windows are sealed, within rewriteTime.
			b.again = now.Add(writePause)
		}
		b.mutex.Unlock()
		return false
	}
	for _, change := range changes {
		b.Log.Write(event.UsageCounted, zap.String("key", change.Key), zap.Int("bytes", len(change.Value)))
	}
	return true
}

// together writes the counts of windows that have ended, with those of other processes
// if one collects them. The counts grow no more, so that it does no harm when the store
// carries out a write late that has been made again in another way.
func (b *Book) together(ctx context.Context, changes []chicoryrock.Change) error {
	if b.Collect != nil && b.Collect(ctx, changes) == nil {
		return nil
	}
	return b.write(ctx, changes)
}

// write makes changes in the store, or by way of another process. Counts only
// grow, and each way has a key of its own, so that a late write takes nothing back.
func (b *Book) write(ctx context.Context, changes []chicoryrock.Change) error {
	direct, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := b.Store.Commit(direct, changes)
	if err == nil || b.Relay == nil {
		return err
	}
	if b.Relay(ctx, tally.RelayedChanges(changes)) == nil {
		return nil
	}
	return err
}

// Reporter seals and reports windows while its process has the duty.
type Reporter struct {
	Length time.Duration
	Late   time.Duration // a report is due so long after its window
	Store  chicoryrock.TransactionalStore
	Biller chicoryrock.Biller
	Log    *event.Log
	Clock  *Clock
	Alive  func(now time.Time) []string // the processes that count
	Sent   func(late bool)              // told of each window that was reported; nil for nobody
	// Share tells other processes what a window was sealed with, before it is reported; nil
	// for none. The store may lose the seal when it comes back from a copy.
	Share func(ctx context.Context, number int64, counts tally.Counts)
	// Unwritten says whether the store may lack this process's own counts of a window: a front
	// without peers also writes a part of them before the window's end. Nil for never.
	Unwritten func(number int64) bool
	// Era says how often the store has come back from a copy, by its last answer; nil for
	// never. It is known before Restored is called.
	Era func() uint64

	// Told says whether other processes tell this one what they seal; nil for always.
	Told func(now time.Time) bool

	seals     seals
	following sync.Mutex // held while seals are written or read

	mutex    sync.Mutex
	era      uint64    // of the last call of Restored
	restored time.Time // when the store last came back from a copy

	alive []string
	came  time.Time            // when a process last came
	gone  map[string]time.Time // when each of those went that are not heard any more
}

// Restored writes the seals again that the store may have lost when it came back from a
// copy, so that whoever has the duty sends the same figures.
func (r *Reporter) Restored(ctx context.Context, now time.Time) {
	r.mutex.Lock()
	r.restored = now
	if r.Era != nil {
		r.era = r.Era()
	}
	r.mutex.Unlock()
	r.keepUp(ctx, now)
}

// rewritten says whether the processes have had time to write again what the store has lost,
// and it is known of which windows it may lack seals.
func (r *Reporter) rewritten(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.Era == nil {
		return r.restored.IsZero() || now.Sub(r.restored) >= rewriteTime
	}
	era := r.Era()
	return era == r.era && r.seals.valid(era) && (r.restored.IsZero() || now.Sub(r.restored) >= rewriteTime)
}

// seal seals a window, with the same sum as before if it is known to have been sealed, and tells
// others, who may not know of a seal that this process has read from the store.
func (r *Reporter) seal(ctx context.Context, number int64, required tally.RequiredCounts) (tally.Counts, error) {
	counts, found, unsure := r.seals.known(number)
	if unsure {
		return nil, errMayBeSealed
	}
	var err error
	if found {
		counts, err = tally.SealWith(ctx, r.Store, number, counts)
	} else {
		required.Current = func() bool { return r.rewritten(time.Now()) }
		counts, err = tally.Seal(ctx, r.Store, number, required)
	}
	if err != nil {
		return nil, err
	}
	r.Hear(number, counts)
	if r.Share != nil {
		r.Share(ctx, number, counts)
	}
	return counts, nil
}

// Hear takes in what a window was sealed with, here or by another process.
func (r *Reporter) Hear(number int64, counts tally.Counts) { r.seals.hear(number, counts) }

// Work is the duty's work.
func (r *Reporter) Work(ctx context.Context, grant duty.Grant) {
	sent, err := tally.Reported(ctx, r.Store)
	for err != nil && ctx.Err() == nil {
		r.Log.Write(event.UsageFailed, zap.Error(err))
		pause.For(ctx, workInterval)
		sent, err = tally.Reported(ctx, r.Store)
	}
	unsure := make(map[int64]bool)
	for ctx.Err() == nil {
		now := time.Now()
		r.look(now)
		r.keepUp(ctx, now)
		if !r.rewritten(now) {
			pause.For(ctx, workInterval)
			continue
		}
		newest := tally.WindowAt(r.Clock.True(now).Add(-r.settle(now)), r.Length) - 1
		for number := newest - backlog; number <= newest; number++ {
			if sent[number] {
				continue
			}
			err := r.report(ctx, grant, number)
			if errors.Is(err, tally.ErrCountsMissing) {
				break
			}
			if errors.Is(err, errMayBeSealed) {
				// A process that knows of its seal may still write it again.
				if !unsure[number] {
					r.Log.Write(event.UsageUnsure, zap.Int64("window", number), zap.Error(err))
				}
				unsure[number] = true
				continue
			}
			if err != nil {
				r.Log.Write(event.UsageFailed, zap.Int64("window", number), zap.Uint64("fence", grant.Fence), zap.Error(err))
				if errors.Is(err, chicoryrock.ErrFenced) {
					return
				}
				break
			}
			sent[number] = true
		}
		pause.For(ctx, workInterval)
	}
}

// look notes which processes have come or gone.
func (r *Reporter) look(now time.Time) {
	alive := r.Alive(now)
	if r.gone == nil {
		r.gone = make(map[string]time.Time)
	}
	for _, process := range r.alive {
		if !slices.Contains(alive, process) {
			r.gone[process] = now
		}
	}
	for _, process := range alive {
		if !slices.Contains(r.alive, process) {
			r.came = now
		}
		delete(r.gone, process)
	}
	maps.DeleteFunc(r.gone, func(_ string, since time.Time) bool { return now.Sub(since) >= r.Late })
	r.alive = alive
}

// settle returns how long after its end a window may be sealed at the earliest.
func (r *Reporter) settle(now time.Time) time.Duration {
	if now.Sub(r.came) < stableTime {
		return time.Duration(changedShare * float64(r.Late))
	}
	return settleTime
}

// wanted returns the processes without whose counts a window is not sealed yet, by
// how long ago it ended.
func (r *Reporter) wanted(age time.Duration) tally.RequiredCounts {
	switch {
	case age >= time.Duration(lastShare*float64(r.Late)):
		return tally.RequiredCounts{}
	case age >= time.Duration(changedShare*float64(r.Late)):
		return tally.RequiredCounts{Alive: r.alive}
	}
	return tally.RequiredCounts{Alive: r.alive, Departed: slices.Sorted(maps.Keys(r.gone))}
}

// report seals a window and sends it. A window in which nothing began is no news.
func (r *Reporter) report(ctx context.Context, grant duty.Grant, number int64) error {
	age := r.Clock.True(time.Now()).Sub(tally.WindowEnd(number, r.Length))
	if r.Unwritten != nil && age < time.Duration(lastShare*float64(r.Late)) && r.Unwritten(number) {
		return tally.ErrCountsMissing
	}
	counts, err := r.seal(ctx, number, r.wanted(age))
	if err != nil {
		return err
	}
	if len(counts) == 0 {
		return nil
	}
	r.Log.Write(event.UsageSealed, zap.Int64("window", number), zap.Int("workspaces", len(counts)), zap.Int64("requests", counts.Sum()))
	if !grant.Valid(time.Now()) || ctx.Err() != nil {
		return errors.Wrap(chicoryrock.ErrUnavailable, "the duty has ended")
	}
	if err := r.Biller.Bill(ctx, chicoryrock.WindowUsage{Window: number, Requests: counts, Fence: grant.Fence}); err != nil {
		return err
	}
	age = r.Clock.True(time.Now()).Sub(tally.WindowEnd(number, r.Length))
	r.Log.Write(event.UsageSent, zap.Int64("window", number), zap.Uint64("fence", grant.Fence),
		zap.Int("workspaces", len(counts)), zap.Duration("age", age))
	if r.Sent != nil {
		r.Sent(age > r.Late)
	}
	if err := tally.MarkReported(ctx, r.Store, number); err != nil {
		// A successor sends the same figures again, which changes nothing.
		r.Log.Write(event.UsageKept, zap.Int64("window", number), zap.Error(err))
	}
	return nil
}
