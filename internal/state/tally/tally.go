// Package tally counts the requests of workspaces by windows of time, for the
// platform's usage reports: each process keeps its own counts and writes them to
// the store as they grow, one process adds them up, seals the sum with a write that
// only the first can make, and reports what is sealed.
//
// The package does no I/O but through chicoryrock.Journal, and takes the present
// time as an argument.
package tally

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

// Keys in the store.
const (
	CountPrefix = "bill/count/" // and the window and the process: its counts
	SealPrefix  = "bill/seal/"  // and the window: a sum that can only be created
	sentSuffix  = "/sent"       // below a seal: it has been reported
	// RelaySuffix ends the key of counts that came by way of another process.
	RelaySuffix = "@relay"
)

// keepWindows is how many windows a process keeps its counts of.
const keepWindows = 8

// Counts are requests by workspace.
type Counts map[string]int64

// Sum returns the requests of all workspaces.
func (c Counts) Sum() int64 {
	sum := int64(0)
	for _, n := range c {
		sum += n
	}
	return sum
}

// Counter is one process's own counts. It is not safe for concurrent use.
type Counter struct {
	WindowLength time.Duration // of a window

	windows map[int64]*window
}

type window struct {
	counts Counts
	dirty  bool
}

// WindowAt returns the number of the window that a moment of true time lies in.
func WindowAt(at time.Time, length time.Duration) int64 {
	return at.UnixNano() / int64(length)
}

// WindowEnd returns when a window ends.
func WindowEnd(number int64, length time.Duration) time.Time {
	return time.Unix(0, (number+1)*int64(length))
}

// Add counts one request.
func (t *Counter) Add(at time.Time, workspace string) {
	w := t.OpenWindow(at)
	w.counts[workspace]++
	w.dirty = true
}

// OpenWindow begins the window of a moment, if it has not begun. A window without a
// request is told to the store too, so that it can be closed.
func (t *Counter) OpenWindow(at time.Time) *window {
	number := WindowAt(at, t.WindowLength)
	if w := t.windows[number]; w != nil {
		return w
	}
	if t.windows == nil {
		t.windows = make(map[int64]*window)
	}
	w := &window{counts: make(Counts), dirty: true}
	t.windows[number] = w
	for old := range t.windows {
		if old <= number-keepWindows {
			delete(t.windows, old)
		}
	}
	return w
}

// TakeChanges returns the writes that bring the store up to date with this process's
// counts of the windows before one. Unwrote is to be called if they fail.
func (t *Counter) TakeChanges(process string, before int64) ([]chicoryrock.Change, error) {
	changes, err := t.unwritten(process, before)
	if err != nil {
		return nil, err
	}
	for number, w := range t.windows {
		w.dirty = w.dirty && number >= before
	}
	return changes, nil
}

// PendingChanges returns the writes of all counts that the store doesn't have.
func (t *Counter) PendingChanges(process string) ([]chicoryrock.Change, error) {
	return t.unwritten(process, math.MaxInt64)
}

// unwritten returns the writes of the counts that the store doesn't have, of the
// windows before one.
func (t *Counter) unwritten(process string, before int64) ([]chicoryrock.Change, error) {
	var changes []chicoryrock.Change
	for number, w := range t.windows {
		if !w.dirty || number >= before {
			continue
		}
		change, err := w.change(number, process)
		if err != nil {
			return nil, err
		}
		changes = append(changes, change)
	}
	return changes, nil
}

func (w *window) change(number int64, process string) (chicoryrock.Change, error) {
	value, err := json.Marshal(w.counts)
	if err != nil {
		return chicoryrock.Change{}, errors.WithStack(err)
	}
	return chicoryrock.Change{Key: countKey(number, process), Value: value, Unconditional: true}, nil
}

// RelayedChanges returns changes as another process writes them. Counts only grow, and
// each way has a key of its own, so that a late write takes nothing back.
func RelayedChanges(changes []chicoryrock.Change) []chicoryrock.Change {
	relayed := make([]chicoryrock.Change, len(changes))
	for i, change := range changes {
		change.Key = strings.TrimSuffix(change.Key, RelaySuffix) + RelaySuffix
		relayed[i] = change
	}
	return relayed
}

// MarkUnwritten notes that changes may not have reached the store.
func (t *Counter) MarkUnwritten(changes []chicoryrock.Change) {
	for _, change := range changes {
		number, err := parse(change.Key)
		if w := t.windows[number]; err == nil && w != nil {
			w.dirty = true
		}
	}
}

func countKey(number int64, process string) string {
	return fmt.Sprintf("%s%d/%s", CountPrefix, number, process)
}

func sealKey(number int64) string { return fmt.Sprintf("%s%d", SealPrefix, number) }

// parse returns the window of a key of counts.
func parse(key string) (int64, error) {
	number, _, _ := strings.Cut(strings.TrimPrefix(key, CountPrefix), "/")
	value, err := strconv.ParseInt(number, 10, 64)
	return value, errors.Wrapf(err, "key %q", key)
}

// ErrCountsMissing says that a window can't be closed yet, as counts are missing.
var ErrCountsMissing = errors.New("counts of a process are missing")

// RequiredCounts are the processes without whose counts a window stays open.
type RequiredCounts struct {
	Alive    []string // by whatever way their counts came
	Departed []string // that wrote their counts themselves: what a peer kept may lack the last
}

// Seal closes a window with the sum of what the processes have counted, or returns
// the sum that it was closed with before. Errors: the store's; ErrOpen.
func Seal(ctx context.Context, store chicoryrock.TransactionalStore, number int64, wanted RequiredCounts) (Counts, error) {
	sealed, err := ReadSeal(ctx, store, number)
	if err == nil || !errors.Is(err, chicoryrock.ErrNotFound) {
		return sealed, err
	}
	prefix := fmt.Sprintf("%s%d/", CountPrefix, number)
	entries, _, err := store.ListWithRevision(ctx, prefix)
	if err != nil {
		return nil, errors.Wrap(err, "read the counts")
	}
	byProcess, err := read(entries, prefix)
	if err != nil {
		return nil, err
	}
	for _, process := range wanted.Alive {
		if byProcess[process] == nil {
			return nil, errors.Wrap(ErrCountsMissing, process)
		}
	}
	for _, process := range wanted.Departed {
		if !slices.ContainsFunc(entries, func(one chicoryrock.KeyValue) bool { return one.Key == prefix+process }) {
			return nil, errors.Wrap(ErrCountsMissing, process)
		}
	}
	sum := make(Counts)
	for _, counts := range byProcess {
		for workspace, n := range counts {
			sum[workspace] += n
		}
	}
	value, err := json.Marshal(sum)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	_, err = store.Commit(ctx, []chicoryrock.Change{{Key: sealKey(number), Value: value}})
	if errors.Is(err, chicoryrock.ErrConflict) {
		return ReadSeal(ctx, store, number)
	}
	return sum, errors.Wrap(err, "write the seal")
}

// read returns the counts of each process. Of one whose counts came by two ways,
// the greater hold.
func read(entries []chicoryrock.KeyValue, prefix string) (map[string]Counts, error) {
	byProcess := make(map[string]Counts)
	for _, entry := range entries {
		var counts Counts
		if err := json.Unmarshal(entry.Value, &counts); err != nil {
			return nil, errors.Wrapf(chicoryrock.ErrInvalid, "%s: %v", entry.Key, err)
		}
		process := strings.TrimSuffix(strings.TrimPrefix(entry.Key, prefix), RelaySuffix)
		if byProcess[process] == nil {
			byProcess[process] = make(Counts)
		}
		for workspace, n := range counts {
			byProcess[process][workspace] = max(byProcess[process][workspace], n)
		}
	}
	return byProcess, nil
}

// ReadSeal returns what a window was closed with. Errors: the store's;
// chicoryrock.ErrNotFound while it is open.
func ReadSeal(ctx context.Context, store chicoryrock.Store, number int64) (Counts, error) {
	entry, err := store.Get(ctx, sealKey(number))
	if err != nil {
		return nil, errors.Wrap(err, "read the seal")
	}
	var counts Counts
	if err := json.Unmarshal(entry.Value, &counts); err != nil {
		return nil, errors.Wrapf(chicoryrock.ErrInvalid, "seal: %v", err)
	}
	return counts, nil
}

// MarkReported notes that a sealed window has been reported.
func MarkReported(ctx context.Context, store chicoryrock.TransactionalStore, number int64) error {
	_, err := store.Commit(ctx, []chicoryrock.Change{{Key: sealKey(number) + sentSuffix, Value: []byte("1"), Unconditional: true}})
	return errors.Wrap(err, "note that the window was sent")
}

// Reported returns the windows that have been reported, of those the store knows.
func Reported(ctx context.Context, store chicoryrock.TransactionalStore) (map[int64]bool, error) {
	entries, _, err := store.ListWithRevision(ctx, SealPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "read the seals")
	}
	sent := make(map[int64]bool)
	for _, entry := range entries {
		text, found := strings.CutSuffix(strings.TrimPrefix(entry.Key, SealPrefix), sentSuffix)
		if !found {
			continue
		}
		number, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return nil, errors.Wrapf(chicoryrock.ErrInvalid, "key %q", entry.Key)
		}
		sent[number] = true
	}
	return sent, nil
}
