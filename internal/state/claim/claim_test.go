package claim

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/standin/property"
	"github.com/chicoryrock/chicoryrock/internal/state/memory"
)

var (
	clock      = time.Date(2026, time.March, 1, 4, 0, 0, 0, time.UTC)
	background = context.Background()
)

// claimedCall is a call that an entry has claimed or tried to claim, with the
// operation that records its end.
type claimedCall struct {
	key       int
	op        Op
	claimedAt time.Time
}

// machine simulates entries that compete for a few keys of one shard. Its oracle
// is the list of times at which the backend server ran each key.
type machine struct {
	store      *memory.Store
	now        time.Time
	ids        int
	claimed    []claimedCall // claimed, not yet run
	unrecorded []claimedCall // what the entries have yet to write
	runs       map[int][]time.Time
}

const testShard = Prefix + "00"

func (m *machine) call(t *rapid.T) {
	key := rapid.IntRange(0, 1).Draw(t, "key")
	m.ids++
	op := Op{Action: ActionAcquire, Key: fmt.Sprint(key), RequestDigest: "b", RequestID: fmt.Sprint("r", m.ids)}
	results, err := Commit(background, m.now, m.store, testShard, []Op{op})
	switch {
	case errors.Is(err, chicoryrock.ErrUnknownOutcome):
		op.Action = ActionRelease
		m.unrecorded = append(m.unrecorded, claimedCall{key, op, m.now})
	case err != nil:
		require.ErrorIs(t, err, chicoryrock.ErrUnavailable)
	case results[0].Outcome == OutcomeOK:
		m.claimed = append(m.claimed, claimedCall{key, op, m.now})
	default:
		require.Equal(t, OutcomeHeld, results[0].Outcome)
	}
}

func (m *machine) race(t *rapid.T) { m.store.BeforePut = func() { m.call(t) } }

// removeAny removes and returns an element of a list. It returns false if the list
// is empty; the action then does nothing.
func (m *machine) removeAny(t *rapid.T, list *[]claimedCall) (claimedCall, bool) {
	if len(*list) == 0 {
		return claimedCall{}, false
	}
	at := rapid.IntRange(0, len(*list)-1).Draw(t, "which")
	one := (*list)[at]
	*list = append((*list)[:at:at], (*list)[at+1:]...)
	return one, true
}

// run runs a claimed call on the backend server, or lets it fail to get there. A
// claim that is no longer usable, as after a long pause of its entry, is released.
func (m *machine) run(t *rapid.T) {
	one, found := m.removeAny(t, &m.claimed)
	if !found {
		return
	}
	one.op.Action = rapid.SampledFrom([]Action{ActionMarkDone, ActionMarkUnknown, ActionRelease}).Draw(t, "end")
	if !Usable(m.now, one.claimedAt) {
		one.op.Action = ActionRelease
	}
	if one.op.Action != ActionRelease {
		m.runs[one.key] = append(m.runs[one.key], m.now)
	}
	m.unrecorded = append(m.unrecorded, one)
}

func (m *machine) recordEnd(t *rapid.T) {
	one, found := m.removeAny(t, &m.unrecorded)
	if !found {
		return
	}
	if _, err := Commit(background, m.now, m.store, testShard, []Op{one.op}); err != nil {
		m.unrecorded = append(m.unrecorded, one)
	}
}

func (m *machine) fail(t *rapid.T) {
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		m.store.Down = true
	case 1:
		m.store.LostPutAnswers = rapid.IntRange(1, maxAttempts).Draw(t, "lost")
	case 2:
		m.store.LostReads = 1
	default:
		m.store.DelayedPuts = rapid.SampledFrom([]int{1, maxAttempts}).Draw(t, "late")
	}
}

// advanceTime advances the clock, sometimes by the whole life of a claim.
func (m *machine) advanceTime(t *rapid.T) {
	spans := []time.Duration{time.Second, RunLimit / 2, RunLimit, TTL - RunLimit, TTL}
	m.now = m.now.Add(rapid.SampledFrom(spans).Draw(t, "passes"))
}

// check requires that a key runs once for as long as its claim is kept. It may run
// again only after that, under a new claim.
func (m *machine) check(t *rapid.T) {
	for key, runs := range m.runs {
		for i := 1; i < len(runs); i++ {
			require.Greater(t, runs[i].Sub(runs[i-1]), TTL-RunLimit, "key %d", key)
		}
	}
}

func TestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{store: &memory.Store{}, now: clock, runs: map[int][]time.Time{}}
		t.Repeat(map[string]func(*rapid.T){
			"call": m.call,
			"race": m.race,
			"run":  m.run,
			"note": m.recordEnd,
			"fail": m.fail,
			"heal": func(*rapid.T) {
				m.store.Down, m.store.LostPutAnswers, m.store.DelayedPuts, m.store.LostReads = false, 0, 0, 0
			},
			"land":  func(*rapid.T) { m.store.DeliverDelayedPuts() },
			"crash": func(t *rapid.T) { m.removeAny(t, &m.claimed) },
			"die":   func(t *rapid.T) { m.removeAny(t, &m.unrecorded) },
			"wait":  m.advanceTime,
			"":      m.check,
		})
	})
}

func acquireOp(key, body, id string) Op {
	return Op{Action: ActionAcquire, Key: key, RequestDigest: body, RequestID: id}
}

func expectOutcome(t *testing.T, store *memory.Store, now time.Time, op Op, outcome Outcome, state State) {
	t.Helper()
	results, err := Commit(background, now, store, testShard, []Op{op})
	require.NoError(t, err)
	require.Equal(t, outcome, results[0].Outcome)
	if state != "" {
		require.Equal(t, state, results[0].Claim.StateAt(now))
	}
}

func TestSecondCallOutcome(t *testing.T) {
	store := &memory.Store{}
	expectOutcome(t, store, clock, acquireOp("k", "b", "r1"), OutcomeOK, StateOpen)
	expectOutcome(t, store, clock, acquireOp("k", "b", "r2"), OutcomeHeld, StateOpen)
	expectOutcome(t, store, clock, acquireOp("k", "other", "r2"), OutcomeRequestMismatch, "")
	expectOutcome(t, store, clock.Add(RunLimit+1), acquireOp("k", "b", "r2"), OutcomeHeld, StateUnknown)
	expectOutcome(t, store, clock, Op{Action: ActionMarkDone, Key: "k", RequestID: "r1", Status: 201}, OutcomeOK, "")
	expectOutcome(t, store, clock, acquireOp("k", "b", "r2"), OutcomeHeld, StateDone)
	expectOutcome(t, store, clock.Add(TTL-1), acquireOp("k", "b", "r2"), OutcomeHeld, StateDone)
	expectOutcome(t, store, clock.Add(TTL), acquireOp("k", "b", "r2"), OutcomeOK, StateOpen)
}

// A delayed write of a claim must not take effect after the claim's release.
func TestReleaseStopsLateClaim(t *testing.T) {
	store := &memory.Store{}
	store.DelayedPuts = maxAttempts
	_, err := Commit(background, clock, store, testShard, []Op{acquireOp("k", "b", "r1")})
	require.ErrorIs(t, err, chicoryrock.ErrUnknownOutcome)
	expectOutcome(t, store, clock, Op{Action: ActionRelease, Key: "k", RequestID: "r1"}, OutcomeOK, "")
	store.DeliverDelayedPuts()
	expectOutcome(t, store, clock, acquireOp("k", "b", "r2"), OutcomeOK, StateOpen)
}

func TestFullShardClaimsNothing(t *testing.T) {
	store := &memory.Store{}
	var ops []Op
	for i := range MaxClaimsPerShard {
		ops = append(ops, acquireOp(fmt.Sprintf("%022d", i), fmt.Sprintf("%022d", i), fmt.Sprintf("%026d", i)))
	}
	_, err := Commit(background, clock, store, testShard, ops)
	require.NoError(t, err)
	require.EqualValues(t, 1, store.Revision, "one write for the whole group")
	require.Less(t, len(store.Entries[testShard].Value), 512<<10)
	expectOutcome(t, store, clock, acquireOp("k", "b", "r"), OutcomeShardFull, "")
}

func TestDigestsKeepPartsApart(t *testing.T) {
	require.NotEqual(t, KeyDigest("a", "bc", "d"), KeyDigest("ab", "c", "d"))
	require.NotEqual(t, KeyDigest("a", "b", "c"), KeyDigest("b", "a", "c"))
	require.NotContains(t, KeyDigest("a", "b", "secret-key"), "secret")
}

func TestDuplicateFilter(t *testing.T) {
	filter := &DuplicateFilter{}
	require.True(t, filter.AddIfNew(clock, "a"))
	require.False(t, filter.AddIfNew(clock, "a"))
	filter.Remove("a")
	require.True(t, filter.AddIfNew(clock.Add(time.Second), "a"))
	require.False(t, filter.AddIfNew(clock.Add(TTL), "a"), "the newer entry counts")
	require.True(t, filter.AddIfNew(clock.Add(TTL+time.Second), "a"))
	for i := range 2 * maxTrackedCalls {
		filter.AddIfNew(clock.Add(TTL), fmt.Sprint(i))
	}
	require.LessOrEqual(t, len(filter.calls), maxTrackedCalls)
}

func TestMain(m *testing.M) { property.Run(m, property.Size{Checks: 1500, Steps: 60}) }
