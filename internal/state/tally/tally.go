// Package tally counts the requests of workspaces by time window, for the platform's
// usage reports. Each process writes its own counts to the store as they grow. One
// process adds them up, seals the sum with a write that succeeds only once, and
// reports the sealed sum.
//
// The package does all its I/O through chicoryrock.TransactionalStore, and takes the
// present time as an argument.
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
	// CountPrefix is followed by the window's number and the process in the key of its
	// counts.
	CountPrefix = "bill/count/"
	// SealPrefix is followed by the window's number in the key of a sealed sum. Such a
	// key is created once and never changed.
	SealPrefix = "bill/seal/"
	// reportedSuffix after the key of a sealed sum marks that it has been reported.
	reportedSuffix = "/sent"
	// RelaySuffix ends the key of counts that another process has written.
	RelaySuffix = "@relay"
)

// keptWindows is for how many windows a process keeps its counts.
const keptWindows = 8

// Counts holds the number of requests by workspace.
type Counts map[string]int64

// Sum returns the number of requests of all workspaces.
func (c Counts) Sum() int64 {
	sum := int64(0)
	for _, n := range c {
		sum += n
	}
	return sum
}

// Counter holds the counts of this process. It is not safe for concurrent use.
type Counter struct {
	WindowLength time.Duration

	windows map[int64]*window
}

type window struct {
	counts    Counts
	unwritten bool
}

// WindowAt returns the number of the window that contains a time, counted from 1970.
// The time must be corrected by the fleet's clock offset.
func WindowAt(at time.Time, length time.Duration) int64 {
	return at.UnixNano() / int64(length)
}

// WindowEnd returns the end of a window.
func WindowEnd(number int64, length time.Duration) time.Time {
	return time.Unix(0, (number+1)*int64(length))
}

// Add counts a request.
func (c *Counter) Add(at time.Time, workspace string) {
	w := c.OpenWindow(at)
	w.counts[workspace]++
	w.unwritten = true
}

// OpenWindow returns the window of a time, and creates it if necessary. A window
// without requests is also written to the store, so that it can be sealed.
func (c *Counter) OpenWindow(at time.Time) *window {
	number := WindowAt(at, c.WindowLength)
	if w := c.windows[number]; w != nil {
		return w
	}
	if c.windows == nil {
		c.windows = make(map[int64]*window)
	}
	w := &window{counts: make(Counts), unwritten: true}
	c.windows[number] = w
	for old := range c.windows {
		if old <= number-keptWindows {
			delete(c.windows, old)
		}
	}
	return w
}

// TakeChanges returns the writes of the unwritten counts of the windows before a
// number, and marks these counts as written. If the writes fail, the caller must call
// MarkUnwritten.
func (c *Counter) TakeChanges(process string, before int64) ([]chicoryrock.Change, error) {
	changes, err := c.unwrittenChanges(process, before)
	if err != nil {
		return nil, err
	}
	for number, w := range c.windows {
		w.unwritten = w.unwritten && number >= before
	}
	return changes, nil
}

// HasUnwritten reports whether the counts of a window have grown since they were taken.
func (c *Counter) HasUnwritten(number int64) bool {
	w := c.windows[number]
	return w != nil && w.unwritten
}

// PendingChanges returns the writes of all unwritten counts, which remain unwritten.
func (c *Counter) PendingChanges(process string) ([]chicoryrock.Change, error) {
	return c.unwrittenChanges(process, math.MaxInt64)
}

// unwrittenChanges returns the writes of the unwritten counts of the windows before a
// number.
func (c *Counter) unwrittenChanges(process string, before int64) ([]chicoryrock.Change, error) {
	var changes []chicoryrock.Change
	for number, w := range c.windows {
		if !w.unwritten || number >= before {
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

// RelayedChanges returns changes under the keys for counts that another process writes.
// As counts only grow and relayed ones have keys of their own, a late write never
// replaces higher counts.
func RelayedChanges(changes []chicoryrock.Change) []chicoryrock.Change {
	relayed := make([]chicoryrock.Change, len(changes))
	for i, change := range changes {
		change.Key = strings.TrimSuffix(change.Key, RelaySuffix) + RelaySuffix
		relayed[i] = change
	}
	return relayed
}

// MarkUnwritten records that changes may not have reached the store.
func (c *Counter) MarkUnwritten(changes []chicoryrock.Change) {
	for _, change := range changes {
		number, err := windowOfKey(change.Key)
		if w := c.windows[number]; err == nil && w != nil {
			w.unwritten = true
		}
	}
}

// MarkAllUnwritten records that the store may have lost all counts that it had.
func (c *Counter) MarkAllUnwritten() {
	for _, w := range c.windows {
		w.unwritten = true
	}
}

func countKey(number int64, process string) string {
	return fmt.Sprintf("%s%d/%s", CountPrefix, number, process)
}

func sealKey(number int64) string { return fmt.Sprintf("%s%d", SealPrefix, number) }

// windowOfKey returns the number of the window in a key of counts.
func windowOfKey(key string) (int64, error) {
	number, _, _ := strings.Cut(strings.TrimPrefix(key, CountPrefix), "/")
	value, err := strconv.ParseInt(number, 10, 64)
	return value, errors.Wrapf(err, "key %q", key)
}

// ErrCountsMissing means that a window can't be sealed yet because a process has not
// written its counts.
var ErrCountsMissing = errors.New("counts of a process are missing")

// RequiredCounts names the processes whose counts are required to seal a window.
type RequiredCounts struct {
	Alive    []string // written by the process or relayed
	Departed []string // written by the process, as counts kept by a peer may lack the latest
	// Current says, once the counts have been read, whether the store has come back from no
	// copy that the processes have not written their counts to again; nil if it never does.
	Current func() bool
}

// Seal seals a window with the sum of the counts of all processes, or returns the sum
// that it was sealed with before. Errors: the store's; ErrCountsMissing.
func Seal(ctx context.Context, store chicoryrock.TransactionalStore, number int64, required RequiredCounts) (Counts, error) {
	sealed, err := ReadSeal(ctx, store, number)
	if err == nil || !errors.Is(err, chicoryrock.ErrNotFound) {
		return sealed, err
	}
	prefix := fmt.Sprintf("%s%d/", CountPrefix, number)
	entries, _, err := store.ListWithRevision(ctx, prefix)
	if err != nil {
		return nil, errors.Wrap(err, "read the counts")
	}
	if required.Current != nil && !required.Current() {
		return nil, errors.Wrap(ErrCountsMissing, "the store has come back from a copy")
	}
	byProcess, err := parseCounts(entries, prefix)
	if err != nil {
		return nil, err
	}
	for _, process := range required.Alive {
		if byProcess[process] == nil {
			return nil, errors.Wrap(ErrCountsMissing, process)
		}
	}
	for _, process := range required.Departed {
		if !slices.ContainsFunc(entries, func(kv chicoryrock.KeyValue) bool { return kv.Key == prefix+process }) {
			return nil, errors.Wrap(ErrCountsMissing, process)
		}
	}
	sum := make(Counts)
	for _, counts := range byProcess {
		for workspace, n := range counts {
			sum[workspace] += n
		}
	}
	return SealWith(ctx, store, number, sum)
}

// SealWith seals a window with a sum that it was sealed with before, and that the store may
// have lost, or returns the sum that it has.
func SealWith(ctx context.Context, store chicoryrock.TransactionalStore, number int64, sum Counts) (Counts, error) {
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

// parseCounts returns the counts by process. If a process has direct and relayed counts,
// the greater ones apply.
func parseCounts(entries []chicoryrock.KeyValue, prefix string) (map[string]Counts, error) {
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

// ReadSeal returns the sum that a window was sealed with. Errors: the store's;
// chicoryrock.ErrNotFound if it is not sealed.
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

// MarkReported records in the store that a sealed window has been reported.
func MarkReported(ctx context.Context, store chicoryrock.TransactionalStore, number int64) error {
	_, err := store.Commit(ctx, []chicoryrock.Change{{Key: sealKey(number) + reportedSuffix, Value: []byte("1"), Unconditional: true}})
	return errors.Wrap(err, "mark the window as reported")
}

// Reported returns the numbers of the windows that the store has marked as reported.
func Reported(ctx context.Context, store chicoryrock.TransactionalStore) (map[int64]bool, error) {
	entries, _, err := store.ListWithRevision(ctx, SealPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "read the seals")
	}
	sent := make(map[int64]bool)
	for _, entry := range entries {
		text, found := strings.CutSuffix(strings.TrimPrefix(entry.Key, SealPrefix), reportedSuffix)
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
