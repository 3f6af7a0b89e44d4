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

// receiver is the platform's ordering, which checks fencing numbers or not.
type receiver struct {
	checks bool
	taken  []chicoryrock.Order
}

func (r *receiver) order(order chicoryrock.Order) error {
	if r.checks && len(r.taken) > 0 && order.Fence < r.taken[len(r.taken)-1].Fence {
		return chicoryrock.ErrFenced
	}
	r.taken = append(r.taken, order)
	return nil
}

// holder is a process that has the duty, or once had it and does not know better.
type holder struct {
	book   Intents
	wanted int
	hand   []chicoryrock.Order // checked and about to be sent, perhaps much later
}

type machine struct {
	store    *memory.Store
	intents  []chicoryrock.Order // every order that was ever an intent
	receiver receiver
	holders  []*holder
	transit  []chicoryrock.Order // sent, not yet arrived
}

func newMachine() *machine {
	m := &machine{store: &memory.Store{}}
	m.store.AfterPut = m.note
	return m
}

// note keeps the order of each intent that the store took.
func (m *machine) note(entry chicoryrock.KeyValue) {
	if _, found, err := decode(entry); err == nil {
		m.intents = append(m.intents, found.intent.Order)
	}
}

func (m *machine) change(t *rapid.T) {
	m.store.Revision += 2
	h := &holder{book: Intents{Store: m.store, Fence: m.store.Revision, HeldSince: clock}}
	if h.book.Load(background) == nil {
		m.holders = append(m.holders, h)
	}
}

// pick returns one of the holders, or nil when there is none and the action does
// nothing.
func (m *machine) pick(t *rapid.T) *holder {
	if len(m.holders) == 0 {
		return nil
	}
	// Mostly the newest two act; older ones now and then.
	at := min(rapid.IntRange(0, 3).Draw(t, "age"), len(m.holders)-1)
	return m.holders[len(m.holders)-1-at]
}

func (m *machine) intend(t *rapid.T) {
	h := m.pick(t)
	if h == nil {
		return
	}
	wanted := rapid.IntRange(0, 5).Draw(t, "wanted")
	order, err := h.book.WriteIntent(background, place, wanted)
	if err == nil {
		h.wanted = wanted
		h.hand = append(h.hand, order)
	}
}

func (m *machine) send(t *rapid.T) {
	h := m.pick(t)
	if h == nil || len(h.hand) == 0 {
		return
	}
	order := h.hand[0]
	h.hand = h.hand[1:]
	switch rapid.IntRange(0, 2).Draw(t, "link") {
	case 0:
		m.transit = append(m.transit, order)
	case 1:
		_ = m.receiver.order(order) // its answer is lost
	default:
		if m.receiver.order(order) == nil {
			_ = h.book.MarkDelivered(background, clock, order)
		}
	}
}

func (m *machine) arrive(*rapid.T) {
	for _, order := range m.transit {
		_ = m.receiver.order(order)
	}
	m.transit = nil
}

func (m *machine) check(t *rapid.T) {
	for i, order := range m.receiver.taken {
		require.True(t, slices.Contains(m.intents, order), "an order without an intent")
		if i > 0 && m.receiver.checks {
			require.GreaterOrEqual(t, order.Fence, m.receiver.taken[i-1].Fence)
		}
	}
}

// settle lets a new holder take over after all failures: the receiver ends with
// the count of the last intent, also when its holder died before sending it.
func (m *machine) settle(t *rapid.T) {
	m.store.Down, m.store.LostPutAnswers, m.store.DelayedPuts = false, 0, 0
	m.store.DeliverDelayedPuts()
	m.arrive(t)
	m.change(t)
	last := m.holders[len(m.holders)-1]
	for _, due := range last.book.Due(clock) {
		wanted, found := last.book.Replicas(due)
		require.True(t, found)
		order, err := last.book.WriteIntent(background, due, wanted)
		require.NoError(t, err)
		require.NoError(t, m.receiver.order(order))
		require.NoError(t, last.book.MarkDelivered(background, clock, order))
	}
	require.Empty(t, last.book.Due(clock), "nothing is open any more")
	if len(m.intents) > 0 {
		newest := m.intents[len(m.intents)-1]
		require.Equal(t, newest.Replicas, m.receiver.taken[len(m.receiver.taken)-1].Replicas)
	}
	m.check(t)
}

// while returns how many calls fail for as long as a failure lasts.
func while(failing bool) int {
	if failing {
		return memory.Always
	}
	return 0
}

func TestOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		m.receiver.checks = rapid.Bool().Draw(t, "checks")
		t.Repeat(map[string]func(*rapid.T){
			"change": m.change,
			"intend": m.intend,
			"send":   m.send,
			"resend": m.send,
			"arrive": m.arrive,
			"fail": func(t *rapid.T) {
				m.store.Down = rapid.Bool().Draw(t, "down")
				m.store.LostPutAnswers = while(rapid.Bool().Draw(t, "lost"))
				m.store.DelayedPuts = while(rapid.Bool().Draw(t, "late"))
			},
			"heal": func(*rapid.T) { m.store.Down, m.store.LostPutAnswers, m.store.DelayedPuts = false, 0, 0 },
			"":     m.check,
		})
		m.settle(t)
	})
}

// A holder whose successor has written must not get another intent in.
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
