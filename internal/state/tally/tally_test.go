package tally

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/standin/property"
	"github.com/chicoryrock/chicoryrock/internal/state/memory"
)

func TestMain(m *testing.M) { property.Run(m, property.Size{}) }

const length = 5 * time.Second

var start = time.Unix(1_767_000_000, 0)

func commit(t require.TestingT, store *memory.Store, changes []chicoryrock.Change, err error) {
	require.NoError(t, err)
	if len(changes) == 0 {
		return
	}
	_, err = store.Commit(context.Background(), changes)
	require.NoError(t, err)
}

// flush writes all unwritten counts of a process.
func flush(t require.TestingT, store *memory.Store, counts *Counter, process string) {
	changes, err := counts.TakeChanges(process, WindowAt(start, length)+1)
	commit(t, store, changes, err)
}

func TestWindowIsSealedOnce(t *testing.T) {
	store := &memory.Store{}
	number := WindowAt(start, length)
	one, two := &Counter{WindowLength: length}, &Counter{WindowLength: length}
	one.Add(start, "w1")
	one.Add(start, "w1")
	two.Add(start.Add(time.Second), "w2")
	flush(t, store, one, "one")
	_, err := Seal(t.Context(), store, number, RequiredCounts{Alive: []string{"one", "two"}})
	require.ErrorIs(t, err, ErrCountsMissing, "the counts of process two are missing")
	flush(t, store, two, "two")
	sum, err := Seal(t.Context(), store, number, RequiredCounts{Alive: []string{"one", "two"}})
	require.NoError(t, err)
	require.Equal(t, Counts{"w1": 2, "w2": 1}, sum)
	one.Add(start, "w1")
	flush(t, store, one, "one")
	again, err := Seal(t.Context(), store, number, RequiredCounts{})
	require.NoError(t, err)
	require.Equal(t, sum, again, "counts written after the seal change nothing")
}

// Two holders of the duty may seal a window concurrently, one of them delayed between
// its read and its write.
func TestRacingSealsAgree(t *testing.T) {
	store := &memory.Store{}
	number := WindowAt(start, length)
	counts := &Counter{WindowLength: length}
	counts.Add(start, "w1")
	flush(t, store, counts, "one")
	var other Counts
	store.BeforePut = func() {
		late := &Counter{WindowLength: length}
		late.Add(start, "w1")
		flush(t, store, late, "two")
		sealed, err := Seal(context.Background(), store, number, RequiredCounts{})
		other = sealed
		require.NoError(t, err)
	}
	sum, err := Seal(t.Context(), store, number, RequiredCounts{})
	require.NoError(t, err)
	require.Equal(t, Counts{"w1": 2}, other)
	require.Equal(t, other, sum)
}

func TestSealAfterLostAnswerReturnsSealedSum(t *testing.T) {
	store := &memory.Store{}
	number := WindowAt(start, length)
	counts := &Counter{WindowLength: length}
	counts.Add(start, "w1")
	flush(t, store, counts, "one")
	store.LostPutAnswers = 1
	_, err := Seal(t.Context(), store, number, RequiredCounts{})
	require.ErrorIs(t, err, chicoryrock.ErrUnknownOutcome)
	sum, err := Seal(t.Context(), store, number, RequiredCounts{})
	require.NoError(t, err)
	require.Equal(t, Counts{"w1": 1}, sum)
}

// Older counts of a process that a peer relays neither replace newer ones nor are added
// to them.
func TestRelayedCountsAreNotAddedTwice(t *testing.T) {
	store := &memory.Store{}
	number := WindowAt(start, length)
	counts := &Counter{WindowLength: length}
	counts.Add(start, "w1")
	older, err := counts.PendingChanges("one")
	require.NoError(t, err)
	counts.Add(start, "w1")
	flush(t, store, counts, "one")
	commit(t, store, RelayedChanges(RelayedChanges(older)), nil)
	sum, err := Seal(t.Context(), store, number, RequiredCounts{Alive: []string{"one"}})
	require.NoError(t, err)
	require.Equal(t, Counts{"w1": 2}, sum)
}

func TestEmptyWindowIsSealed(t *testing.T) {
	store := &memory.Store{}
	number := WindowAt(start, length)
	counts := &Counter{WindowLength: length}
	counts.OpenWindow(start)
	flush(t, store, counts, "one")
	sum, err := Seal(t.Context(), store, number, RequiredCounts{Alive: []string{"one"}})
	require.NoError(t, err)
	require.Zero(t, sum.Sum())
}

func TestReportedReturnsMarkedWindows(t *testing.T) {
	store := &memory.Store{}
	require.NoError(t, MarkReported(t.Context(), store, 7))
	require.NoError(t, MarkReported(t.Context(), store, 7))
	sent, err := Reported(t.Context(), store)
	require.NoError(t, err)
	require.Equal(t, map[int64]bool{7: true}, sent)
}

// machine models several processes that count, and whose writes fail, repeat and are
// relayed.
type machine struct {
	store    *memory.Store
	counters map[string]*Counter
	held     map[string][]chicoryrock.Change
	expected Counts
	number   int64
}

func (m *machine) count(t *rapid.T) {
	process := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "process")
	workspace := rapid.SampledFrom([]string{"w1", "w2"}).Draw(t, "workspace")
	m.counters[process].Add(start, workspace)
	m.expected[workspace]++
}

func (m *machine) keep(t *rapid.T) {
	process := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "process")
	pending, err := m.counters[process].PendingChanges(process)
	require.NoError(t, err)
	m.held[process] = pending
}

func (m *machine) relay(t *rapid.T) {
	process := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "process")
	commit(t, m.store, RelayedChanges(m.held[process]), nil)
}

func (m *machine) flush(t *rapid.T) {
	process := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "process")
	changes, err := m.counters[process].TakeChanges(process, m.number+1)
	require.NoError(t, err)
	if rapid.Bool().Draw(t, "fails") {
		m.counters[process].MarkUnwritten(changes)
		return
	}
	commit(t, m.store, changes, nil)
}

func TestSealedSumEqualsCountedRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{store: &memory.Store{}, counters: map[string]*Counter{}, held: map[string][]chicoryrock.Change{}, expected: Counts{}, number: WindowAt(start, length)}
		for _, process := range []string{"a", "b", "c"} {
			m.counters[process] = &Counter{WindowLength: length}
			m.counters[process].OpenWindow(start)
		}
		t.Repeat(map[string]func(*rapid.T){"count": m.count, "keep": m.keep, "relay": m.relay, "flush": m.flush})
		for process, counter := range m.counters {
			flush(t, m.store, counter, process)
		}
		sum, err := Seal(context.Background(), m.store, m.number, RequiredCounts{Alive: []string{"a", "b", "c"}})
		require.NoError(t, err)
		require.Equal(t, m.expected, sum, fmt.Sprint(m.store.Entries))
	})
}

// The counts that a peer keeps of a departed process may lack its last second. As the
// process may only be disconnected, sealing waits for its own counts.
func TestDepartedProcessMustWriteItsOwnCounts(t *testing.T) {
	store := &memory.Store{}
	number := WindowAt(start, length)
	counts := &Counter{WindowLength: length}
	counts.Add(start, "w1")
	kept, err := counts.PendingChanges("one")
	require.NoError(t, err)
	commit(t, store, RelayedChanges(kept), nil)
	_, err = Seal(t.Context(), store, number, RequiredCounts{Departed: []string{"one"}})
	require.ErrorIs(t, err, ErrCountsMissing)
	counts.Add(start, "w1")
	flush(t, store, counts, "one")
	sum, err := Seal(t.Context(), store, number, RequiredCounts{Departed: []string{"one"}})
	require.NoError(t, err)
	require.Equal(t, Counts{"w1": 2}, sum)
}

// Of two processes that know the seals from different windows on, the mark names the earlier
// window, whoever writes first, and whatever happens between one's read and its write.
func TestMarkNamesTheEarliestWindow(t *testing.T) {
	store := &memory.Store{}
	mark := func(era uint64, window int64) int64 {
		first, err := Mark(t.Context(), store, era, window)
		require.NoError(t, err)
		return first
	}
	require.EqualValues(t, 9, mark(1, 9))
	require.EqualValues(t, 9, mark(1, 12))
	require.EqualValues(t, 4, mark(1, 4))
	require.EqualValues(t, 4, mark(1, 9))
	require.EqualValues(t, 12, mark(2, 12), "each era has a mark of its own")
	store.BeforePut = func() { require.EqualValues(t, 5, mark(3, 5)) }
	require.EqualValues(t, 5, mark(3, 7))
	store.BeforePut = func() { require.EqualValues(t, 6, mark(4, 6)) }
	require.EqualValues(t, 2, mark(4, 2))
	store.Down = true
	_, err := Mark(t.Context(), store, 5, 1)
	require.ErrorIs(t, err, chicoryrock.ErrUnavailable)
}

func TestListedSealsAreThoseOfWindows(t *testing.T) {
	store := &memory.Store{}
	_, err := SealWith(t.Context(), store, 7, Counts{"w1": 2})
	require.NoError(t, err)
	require.NoError(t, MarkReported(t.Context(), store, 7))
	sums, err := ListSeals(t.Context(), store)
	require.NoError(t, err)
	require.Equal(t, map[int64]Counts{7: {"w1": 2}}, sums)
}
