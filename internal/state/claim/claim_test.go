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

// held is a call that an entry may run, or a finding that it has yet to write.
type held struct {
	key int
	op  Op
	at  time.Time // when it was claimed
}

// machine lets entries race for a few keys of one shard. Its oracle knows when the
// backend server ran each key.
type machine struct {
	store *memory.Store
	now   time.Time
	ids   int
	ready []held // claimed, not yet run
	ended []held // what the entries have yet to write
	runs  map[int][]time.Time
}

const shard = Prefix + "00"

func (m *machine) call(t *rapid.T) {
	key := rapid.IntRange(0, 1).Draw(t, "key")
	m.ids++
	op := Op{Action: ActionAcquire, Key: fmt.Sprint(key), RequestDigest: "b", RequestID: fmt.Sprint("r", m.ids)}
	results, err := Commit(background, m.now, m.store, shard, []Op{op})
	switch {
	case errors.Is(err, chicoryrock.ErrUnknownOutcome):
		op.Action = ActionRelease
		m.ended = append(m.ended, held{key, op, m.now})
	case err != nil:
		require.ErrorIs(t, err, chicoryrock.ErrUnavailable)
	case results[0].Outcome == OutcomeOK:
		m.ready = append(m.ready, held{key, op, m.now})
	default:
		require.Equal(t, OutcomeHeld, results[0].Outcome)
	}
}

func (m *machine) race(t *rapid.T) { m.store.BeforePut = func() { m.call(t) } }

// take removes one of a list, or says that there is none and the action does nothing.
func (m *machine) take(t *rapid.T, list *[]held) (held, bool) {
	if len(*list) == 0 {
		return held{}, false
	}
	at := rapid.IntRange(0, len(*list)-1).Draw(t, "which")
	one := (*list)[at]
	*list = append((*list)[:at:at], (*list)[at+1:]...)
	return one, true
}

// run lets the backend server run a claimed call, or never reach it. An entry that
// was frozen for too long finds its claim too old to be used.
func (m *machine) run(t *rapid.T) {
	one, found := m.take(t, &m.ready)
	if !found {
		return
	}
	one.op.Action = rapid.SampledFrom([]Action{ActionMarkDone, ActionMarkUnknown, ActionRelease}).Draw(t, "end")
	if !Usable(m.now, one.at) {
		one.op.Action = ActionRelease
	}
	if one.op.Action != ActionRelease {
		m.runs[one.key] = append(m.runs[one.key], m.now)
	}
	m.ended = append(m.ended, one)
}

func (m *machine) note(t *rapid.T) {
	one, found := m.take(t, &m.ended)
	if !found {
		return
	}
	if _, err := Commit(background, m.now, m.store, shard, []Op{one.op}); err != nil {
		m.ended = append(m.ended, one)
	}
}

func (m *machine) fail(t *rapid.T) {
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		m.store.Down = true
	case 1:
		m.store.LostPutAnswers = rapid.IntRange(1, attempts).Draw(t, "lost")
	case 2:
		m.store.LostReads = 1
	default:
		m.store.DelayedPuts = rapid.SampledFrom([]int{1, attempts}).Draw(t, "late")
	}
}

// pass lets a while pass, at times the whole life of a claim.
func (m *machine) pass(t *rapid.T) {
	spans := []time.Duration{time.Second, RunLimit / 2, RunLimit, TTL - RunLimit, TTL}
	m.now = m.now.Add(rapid.SampledFrom(spans).Draw(t, "passes"))
}

// check holds that a key runs once for as long as its claim is kept. Only then,
// and by a claim of that time, it may run again.
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
			"note": m.note,
			"fail": m.fail,
			"heal": func(*rapid.T) {
				m.store.Down, m.store.LostPutAnswers, m.store.DelayedPuts, m.store.LostReads = false, 0, 0, 0
			},
			"land":  func(*rapid.T) { m.store.DeliverDelayedPuts() },
			"crash": func(t *rapid.T) { m.take(t, &m.ready) },
			"die":   func(t *rapid.T) { m.take(t, &m.ended) },
			"wait":  m.pass,
			"":      m.check,
		})
	})
}

func take(key, body, id string) Op {
	return Op{Action: ActionAcquire, Key: key, RequestDigest: body, RequestID: id}
}

func expectVerdict(t *testing.T, store *memory.Store, now time.Time, op Op, verdict Outcome, state State) {
	t.Helper()
	results, err := Commit(background, now, store, shard, []Op{op})
	require.NoError(t, err)
	require.Equal(t, verdict, results[0].Outcome)
	if state != "" {
		require.Equal(t, state, results[0].Claim.StateAt(now))
	}
}

func TestSecondCallIsTold(t *testing.T) {
	store := &memory.Store{}
	expectVerdict(t, store, clock, take("k", "b", "r1"), OutcomeOK, StateOpen)
	expectVerdict(t, store, clock, take("k", "b", "r2"), OutcomeHeld, StateOpen)
	expectVerdict(t, store, clock, take("k", "other", "r2"), OutcomeRequestMismatch, "")
	expectVerdict(t, store, clock.Add(RunLimit+1), take("k", "b", "r2"), OutcomeHeld, StateUnknown)
	expectVerdict(t, store, clock, Op{Action: ActionMarkDone, Key: "k", RequestID: "r1", Status: 201}, OutcomeOK, "")
	expectVerdict(t, store, clock, take("k", "b", "r2"), OutcomeHeld, StateDone)
	expectVerdict(t, store, clock.Add(TTL-1), take("k", "b", "r2"), OutcomeHeld, StateDone)
	expectVerdict(t, store, clock.Add(TTL), take("k", "b", "r2"), OutcomeOK, StateOpen)
}

// A claim still on its way to the store must not take effect after its release.
func TestReleaseStopsLateClaim(t *testing.T) {
	store := &memory.Store{}
	store.DelayedPuts = attempts
	_, err := Commit(background, clock, store, shard, []Op{take("k", "b", "r1")})
	require.ErrorIs(t, err, chicoryrock.ErrUnknownOutcome)
	expectVerdict(t, store, clock, Op{Action: ActionRelease, Key: "k", RequestID: "r1"}, OutcomeOK, "")
	store.DeliverDelayedPuts()
	expectVerdict(t, store, clock, take("k", "b", "r2"), OutcomeOK, StateOpen)
}

func TestFullShardClaimsNothing(t *testing.T) {
	store := &memory.Store{}
	var ops []Op
	for i := range MaxClaimsPerShard {
		ops = append(ops, take(fmt.Sprintf("%022d", i), fmt.Sprintf("%022d", i), fmt.Sprintf("%026d", i)))
	}
	_, err := Commit(background, clock, store, shard, ops)
	require.NoError(t, err)
	require.EqualValues(t, 1, store.Revision, "one write for the whole group")
	require.Less(t, len(store.Entries[shard].Value), 512<<10)
	expectVerdict(t, store, clock, take("k", "b", "r"), OutcomeShardFull, "")
}

func TestDigestsKeepPartsApart(t *testing.T) {
	require.NotEqual(t, KeyDigest("a", "bc", "d"), KeyDigest("ab", "c", "d"))
	require.NotEqual(t, KeyDigest("a", "b", "c"), KeyDigest("b", "a", "c"))
	require.NotContains(t, KeyDigest("a", "b", "secret-key"), "secret")
}

func TestSeen(t *testing.T) {
	seen := &DuplicateFilter{}
	require.True(t, seen.AddIfNew(clock, "a"))
	require.False(t, seen.AddIfNew(clock, "a"))
	seen.Remove("a")
	require.True(t, seen.AddIfNew(clock.Add(time.Second), "a"))
	require.False(t, seen.AddIfNew(clock.Add(TTL), "a"), "the newer entry counts")
	require.True(t, seen.AddIfNew(clock.Add(TTL+time.Second), "a"))
	for i := range 2 * maxSeen {
		seen.AddIfNew(clock.Add(TTL), fmt.Sprint(i))
	}
	require.LessOrEqual(t, len(seen.calls), maxSeen)
}

func TestMain(m *testing.M) { property.Run(m, property.Size{Checks: 1500, Steps: 60}) }
