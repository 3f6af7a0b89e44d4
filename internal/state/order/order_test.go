package order

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/standin/property"
	"github.com/chicoryrock/chicoryrock/internal/state/memory"
)

var (
	clock      = time.Date(2026, time.March, 1, 4, 0, 0, 0, time.UTC)
	background = context.Background()
	place      = PoolCentre{Pool: "garland", Centre: "jamalpur"}
)

// receiver is the platform's service that receives orders. It may or may not check
// fencing numbers.
type receiver struct {
	checksFences bool
	accepted     []chicoryrock.Order
}

func (r *receiver) order(order chicoryrock.Order) error {
	if r.checksFences && len(r.accepted) > 0 && order.Fence < r.accepted[len(r.accepted)-1].Fence {
		return chicoryrock.ErrFenced
	}
	r.accepted = append(r.accepted, order)
	return nil
}

// holder is a process that holds the duty, or has lost it without noticing.
type holder struct {
	intents Intents
	wanted  int
	pending []chicoryrock.Order // to be sent without another check, perhaps much later
}

type machine struct {
	store     *memory.Store
	intents   []chicoryrock.Order // every order that was ever an intent
	receiver  receiver
	holders   []*holder
	inTransit []chicoryrock.Order // sent, not yet arrived
}

func newMachine() *machine {
	m := &machine{store: &memory.Store{}}
	m.store.AfterPut = m.recordIntent
	return m
}

// recordIntent records the order of each intent that the store has written.
func (m *machine) recordIntent(entry chicoryrock.KeyValue) {
	if _, found, err := decode(entry); err == nil {
		m.intents = append(m.intents, found.intent.Order)
	}
}

func (m *machine) changeHolder(t *rapid.T) {
	m.store.Revision += 2
	h := &holder{intents: Intents{Store: m.store, Fence: m.store.Revision, HeldSince: clock}}
	if h.intents.Load(background) == nil {
		m.holders = append(m.holders, h)
	}
}

// pick returns one of the holders, or nil if there is none; the action then does
// nothing.
func (m *machine) pick(t *rapid.T) *holder {
	if len(m.holders) == 0 {
		return nil
	}
	// Mostly the newest two holders act; older ones do occasionally.
	at := min(rapid.IntRange(0, 3).Draw(t, "age"), len(m.holders)-1)
	return m.holders[len(m.holders)-1-at]
}

func (m *machine) writeIntent(t *rapid.T) {
	h := m.pick(t)
	if h == nil {
		return
	}
	wanted := rapid.IntRange(0, 5).Draw(t, "wanted")
	order, err := h.intents.WriteIntent(background, place, wanted)
	if err == nil {
		h.wanted = wanted
		h.pending = append(h.pending, order)
	}
}

func (m *machine) send(t *rapid.T) {
	h := m.pick(t)
	if h == nil || len(h.pending) == 0 {
		return
	}
	order := h.pending[0]
	h.pending = h.pending[1:]
	switch rapid.IntRange(0, 2).Draw(t, "link") {
	case 0:
		m.inTransit = append(m.inTransit, order)
	case 1:
		_ = m.receiver.order(order) // its answer is lost
	default:
		if m.receiver.order(order) == nil {
			_ = h.intents.MarkDelivered(background, clock, order)
		}
	}
}

func (m *machine) deliver(*rapid.T) {
	for _, order := range m.inTransit {
		_ = m.receiver.order(order)
	}
	m.inTransit = nil
}

func (m *machine) check(t *rapid.T) {
	for i, order := range m.receiver.accepted {
		require.True(t, slices.Contains(m.intents, order), "an order without an intent")
		if i > 0 && m.receiver.checksFences {
			require.GreaterOrEqual(t, order.Fence, m.receiver.accepted[i-1].Fence)
		}
	}
}

// checkRecovery lets a new holder take over after all failures. The receiver must
// end with the count of the last intent, even if the holder that wrote it did not
// send it.
func (m *machine) checkRecovery(t *rapid.T) {
	m.store.Down, m.store.LostPutAnswers, m.store.DelayedPuts = false, 0, 0
	m.store.DeliverDelayedPuts()
	m.deliver(t)
	m.changeHolder(t)
	last := m.holders[len(m.holders)-1]
	for _, due := range last.intents.Due(clock) {
		wanted, found := last.intents.Replicas(due)
		require.True(t, found)
		order, err := last.intents.WriteIntent(background, due, wanted)
		require.NoError(t, err)
		require.NoError(t, m.receiver.order(order))
		require.NoError(t, last.intents.MarkDelivered(background, clock, order))
	}
	require.Empty(t, last.intents.Due(clock), "nothing is open any more")
	if len(m.intents) > 0 {
		newest := m.intents[len(m.intents)-1]
		require.Equal(t, newest.Replicas, m.receiver.accepted[len(m.receiver.accepted)-1].Replicas)
	}
	m.check(t)
}

// failuresWhile returns how many calls fail for as long as a failure lasts.
func failuresWhile(failing bool) int {
	if failing {
		return memory.Always
	}
	return 0
}

func TestOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		m.receiver.checksFences = rapid.Bool().Draw(t, "checks")
		t.Repeat(map[string]func(*rapid.T){
			"change": m.changeHolder,
			"intend": m.writeIntent,
			"send":   m.send,
			"resend": m.send,
			"arrive": m.deliver,
			"fail": func(t *rapid.T) {
				m.store.Down = rapid.Bool().Draw(t, "down")
				m.store.LostPutAnswers = failuresWhile(rapid.Bool().Draw(t, "lost"))
				m.store.DelayedPuts = failuresWhile(rapid.Bool().Draw(t, "late"))
			},
			"heal": func(*rapid.T) { m.store.Down, m.store.LostPutAnswers, m.store.DelayedPuts = false, 0, 0 },
			"":     m.check,
		})
		m.checkRecovery(t)
	})
}

// A holder must not write an intent after its successor has written one.
func TestOldHolderIsFenced(t *testing.T) {
	m := newMachine()
	old := &Intents{Store: m.store, Fence: 1, HeldSince: clock}
	require.NoError(t, old.Load(background))
	_, err := old.WriteIntent(background, place, 3)
	require.NoError(t, err)
	successor := &Intents{Store: m.store, Fence: 7, HeldSince: clock}
	require.NoError(t, successor.Load(background))
	require.False(t, successor.Ready(clock.Add(SendTimeout-1)))
	require.True(t, successor.Ready(clock.Add(SendTimeout)))
	_, err = successor.WriteIntent(background, place, 3)
	require.NoError(t, err)
	_, err = old.WriteIntent(background, place, 9)
	require.ErrorIs(t, err, chicoryrock.ErrConflict)
	_, err = old.WriteIntent(background, place, 9)
	require.ErrorIs(t, err, chicoryrock.ErrFenced)
	require.ErrorIs(t, old.Load(background), chicoryrock.ErrFenced)
}

func TestMain(m *testing.M) { property.Run(m, property.Size{Checks: 1000, Steps: 40}) }
