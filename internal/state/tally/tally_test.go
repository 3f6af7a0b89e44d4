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

func write(t require.TestingT, store *memory.Store, changes []chicoryrock.Change, err error) {
	require.NoError(t, err)
	if len(changes) == 0 {
		return
	}
	_, err = store.Commit(context.Background(), changes)
	require.NoError(t, err)
}

// flush writes all that a process has counted and not written.
func flush(t require.TestingT, store *memory.Store, counts *Counter, process string) {
	changes, err := counts.TakeChanges(process, WindowAt(start, length)+1)
	write(t, store, changes, err)
}

func TestWindowIsClosedOnce(t *testing.T) {
	store := &memory.Store{}
	number := WindowAt(start, length)
	one, two := &Counter{WindowLength: length}, &Counter{WindowLength: length}
	one.Add(start, "w1")
	one.Add(start, "w1")
	two.Add(start.Add(time.Second), "w2")
	flush(t, store, one, "one")
	_, err := Seal(t.Context(), store, number, RequiredCounts{Alive: []string{"one", "two"}})
	require.ErrorIs(t, err, ErrCountsMissing, "the counts of two are missing")
	flush(t, store, two, "two")
	sum, err := Seal(t.Context(), store, number, RequiredCounts{Alive: []string{"one", "two"}})
	require.NoError(t, err)
	require.Equal(t, Counts{"w1": 2, "w2": 1}, sum)
	one.Add(start, "w1")
	flush(t, store, one, "one")
	again, err := Seal(t.Context(), store, number, RequiredCounts{})
	require.NoError(t, err)
	require.Equal(t, sum, again, "what comes after the seal changes nothing")
}

// Two holders may seal at the same moment, one of them frozen between its look and
// its write.
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

func TestLostAnswerOfASealIsReadBack(t *testing.T) {
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

// An older state of a process's counts that arrives by way of a peer takes nothing
// back, and is not added either.
func TestCountsThatComeByTwoWaysCountOnce(t *testing.T) {
	store := &memory.Store{}
	number := WindowAt(start, length)
	counts := &Counter{WindowLength: length}
	counts.Add(start, "w1")
	older, err := counts.PendingChanges("one")
	require.NoError(t, err)
	counts.Add(start, "w1")
	flush(t, store, counts, "one")
	write(t, store, RelayedChanges(RelayedChanges(older)), nil)
	sum, err := Seal(t.Context(), store, number, RequiredCounts{Alive: []string{"one"}})
	require.NoError(t, err)
	require.Equal(t, Counts{"w1": 2}, sum)
}

func TestWindowWithoutRequestsCloses(t *testing.T) {
	store := &memory.Store{}
	number := WindowAt(start, length)
	counts := &Counter{WindowLength: length}
	counts.OpenWindow(start)
	flush(t, store, counts, "one")
	sum, err := Seal(t.Context(), store, number, RequiredCounts{Alive: []string{"one"}})
	require.NoError(t, err)
	require.Zero(t, sum.Sum())
}

func TestSentIsRemembered(t *testing.T) {
	store := &memory.Store{}
	require.NoError(t, MarkReported(t.Context(), store, 7))
	require.NoError(t, MarkReported(t.Context(), store, 7))
	sent, err := Reported(t.Context(), store)
	require.NoError(t, err)
	require.Equal(t, map[int64]bool{7: true}, sent)
}

// machine counts by several processes whose writes fail, repeat and are handed on.
type machine struct {
	store  *memory.Store
	own    map[string]*Counter
	kept   map[string][]chicoryrock.Change
	truth  Counts
	number int64
}

func (m *machine) count(t *rapid.T) {
	process := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "process")
	workspace := rapid.SampledFrom([]string{"w1", "w2"}).Draw(t, "workspace")
	m.own[process].Add(start, workspace)
	m.truth[workspace]++
}

func (m *machine) keep(t *rapid.T) {
	process := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "process")
	pending, err := m.own[process].PendingChanges(process)
	require.NoError(t, err)
	m.kept[process] = pending
}

func (m *machine) relay(t *rapid.T) {
	process := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "process")
	write(t, m.store, RelayedChanges(m.kept[process]), nil)
}

func (m *machine) flush(t *rapid.T) {
	process := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "process")
	changes, err := m.own[process].TakeChanges(process, m.number+1)
	require.NoError(t, err)
	if rapid.Bool().Draw(t, "fails") {
		m.own[process].MarkUnwritten(changes)
		return
	}
	write(t, m.store, changes, nil)
}

func TestSumIsTheTruthOnceAllHaveWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{store: &memory.Store{}, own: map[string]*Counter{}, kept: map[string][]chicoryrock.Change{}, truth: Counts{}, number: WindowAt(start, length)}
		for _, process := range []string{"a", "b", "c"} {
			m.own[process] = &Counter{WindowLength: length}
			m.own[process].OpenWindow(start)
		}
		t.Repeat(map[string]func(*rapid.T){"count": m.count, "keep": m.keep, "relay": m.relay, "flush": m.flush})
		for process, own := range m.own {
			flush(t, m.store, own, process)
		}
		sum, err := Seal(context.Background(), m.store, m.number, RequiredCounts{Alive: []string{"a", "b", "c"}})
		require.NoError(t, err)
		require.Equal(t, m.truth, sum, fmt.Sprint(m.store.Entries))
	})
}

// What a peer kept of a process that has gone may lack its last second. The process
// may only be cut off, so its own counts are waited for.
func TestGoneProcessWritesItself(t *testing.T) {
	store := &memory.Store{}
	number := WindowAt(start, length)
	counts := &Counter{WindowLength: length}
	counts.Add(start, "w1")
	kept, err := counts.PendingChanges("one")
	require.NoError(t, err)
	write(t, store, RelayedChanges(kept), nil)
	_, err = Seal(t.Context(), store, number, RequiredCounts{Departed: []string{"one"}})
	require.ErrorIs(t, err, ErrCountsMissing)
	counts.Add(start, "w1")
	flush(t, store, counts, "one")
	sum, err := Seal(t.Context(), store, number, RequiredCounts{Departed: []string{"one"}})
	require.NoError(t, err)
	require.Equal(t, Counts{"w1": 2}, sum)
}
