package publish

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
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

var (
	clock      = time.Date(2026, time.March, 1, 4, 0, 0, 0, time.UTC)
	background = context.Background()
)

// outcome is what a publisher was told.
type outcome int

const (
	accepted outcome = iota
	refused
	unsure
)

// accept is one revision as the oracle knows it.
type accept struct {
	head Head
	set  *object.Set
}

// machine drives racing publishers against a failing store. Its oracle is the
// list of accepted revisions, which may only grow.
type machine struct {
	store    *fake
	chain    []accept           // chain[i] is revision i+1
	told     map[string]outcome // by publication
	withdrew map[string]bool    // digests
	ids      int
	floor    int // revisions up to this one may have been pruned
	known    Head
	reader   Reader
}

func newMachine() *machine {
	store := newFake()
	return &machine{store: store, told: map[string]outcome{}, withdrew: map[string]bool{}, reader: Reader{Store: store}}
}

func (m *machine) publisher() *Publisher { return &Publisher{Store: m.store} }

func (m *machine) next() Publication {
	m.ids++
	return Publication{ID: fmt.Sprintf("p%d", m.ids), Author: "rapid"}
}

// note records what a publisher was told. A head with another ID says that the
// set was in force already.
func (m *machine) note(t *rapid.T, publication Publication, head Head, err error) {
	switch {
	case err == nil && head.ID == publication.ID:
		m.told[publication.ID] = accepted
	case errors.Is(err, chicoryrock.ErrUnknownOutcome):
		m.told[publication.ID] = unsure
	case publication.Retry:
		// The earlier attempt stays in doubt.
	case err == nil,
		errors.Is(err, chicoryrock.ErrConflict),
		errors.Is(err, chicoryrock.ErrUnavailable),
		errors.Is(err, chicoryrock.ErrNotFound),
		errors.Is(err, chicoryrock.ErrInvalid):
		m.told[publication.ID] = refused
	default:
		t.Fatalf("unexpected error: %v", err)
	}
}

// edit draws a valid set that differs from the newest one.
func (m *machine) edit(t *rapid.T) *object.Set {
	set := &object.Set{}
	for i := range rapid.IntRange(1, 4).Draw(t, "workspaces") {
		name := fmt.Sprintf("w%d", i)
		share := float64(rapid.IntRange(0, 3).Draw(t, "share"))
		set.Workspaces = append(set.Workspaces, object.Workspace{Name: name, Share: share})
		digest := object.Digest(fmt.Sprintf("%s-%d", name, rapid.IntRange(0, 2).Draw(t, "key")))
		if !m.withdrew[digest] {
			set.Keys = append(set.Keys, object.Key{Name: "k-" + name, Workspace: name, Digest: digest})
		}
	}
	return set
}

func (m *machine) publish(t *rapid.T) {
	publication, set := m.next(), m.edit(t)
	head, err := m.publisher().Publish(background, clock, publication, set)
	m.note(t, publication, head, err)
}

// race lets another publisher go first, between the reading and the writing.
func (m *machine) race(t *rapid.T) {
	other, set := m.next(), m.edit(t)
	m.store.BeforePut = func() {
		head, err := m.publisher().Publish(background, clock, other, set)
		m.note(t, other, head, err)
	}
	m.publish(t)
	m.store.BeforePut = nil
}

// prune removes old chunks, alone or at the worst moments of another's work: just
// before a publisher writes its next chunk or moves the head, or between what it
// listed and what it removes.
func (m *machine) prune(t *rapid.T) {
	keep := rapid.IntRange(1, 3).Draw(t, "keep")
	run := func() {
		if len(m.chain) > 0 {
			m.floor = max(m.floor, len(m.chain)-keep)
		}
		_, _ = m.publisher().prune(background, keep)
	}
	switch rapid.IntRange(0, 3).Draw(t, "moment") {
	case 0:
		run()
	case 1:
		m.store.BeforePut = run
		m.rollback(t)
	case 2:
		m.store.written = run
		m.rollback(t)
	default:
		m.store.listed = func() { m.publish(t) }
		run()
	}
	m.store.BeforePut, m.store.written, m.store.listed = nil, nil, nil
}

func (m *machine) rollback(t *rapid.T) {
	publication := m.next()
	revision := uint64(rapid.IntRange(1, len(m.chain)+1).Draw(t, "revision"))
	head, _, err := m.publisher().Rollback(background, clock, publication, revision)
	m.note(t, publication, head, err)
}

func (m *machine) withdraw(t *rapid.T) {
	publication := m.next()
	head, err := m.publisher().Withdraw(background, clock, publication, fmt.Sprintf("k-w%d", rapid.IntRange(0, 3).Draw(t, "key")))
	m.note(t, publication, head, err)
}

// again repeats a publication whose outcome is unknown, with any set: if the
// first attempt took effect the second must not.
func (m *machine) again(t *rapid.T) {
	var open []string
	for id, told := range m.told {
		if told == unsure {
			open = append(open, id)
		}
	}
	if len(open) != 1 {
		return
	}
	publication := Publication{ID: open[0], Retry: true}
	head, err := m.publisher().Publish(background, clock, publication, m.edit(t))
	m.note(t, publication, head, err)
}

func (m *machine) fail(t *rapid.T) {
	m.store.Down = rapid.Bool().Draw(t, "down") && rapid.Bool().Draw(t, "really")
	m.store.blind = rapid.Bool().Draw(t, "blind") && rapid.Bool().Draw(t, "really")
	m.store.LostPutAnswers = rapid.IntRange(0, 4).Draw(t, "lost")
	m.store.DelayedPuts = rapid.IntRange(0, 4).Draw(t, "late")
	m.store.DuplicatedPuts = rapid.IntRange(0, 1).Draw(t, "twice")
}

func (m *machine) heal(*rapid.T) {
	m.store.Down, m.store.blind = false, false
	m.store.LostPutAnswers, m.store.DelayedPuts, m.store.DuplicatedPuts = 0, 0, 0
}

func (m *machine) land(*rapid.T) { m.store.DeliverDelayedPuts() }

// read lets one process read on, sometimes from a store that answers an old head.
func (m *machine) read(t *rapid.T) {
	if len(m.chain) > 0 && rapid.Bool().Draw(t, "stale") {
		old := m.chain[rapid.IntRange(0, len(m.chain)-1).Draw(t, "old")]
		content, err := encode(old.head)
		require.NoError(t, err)
		m.store.stale = &chicoryrock.KeyValue{Key: HeadKey, Value: content}
	}
	set, head, err := m.reader.Read(background, m.known)
	m.store.stale = nil
	if err != nil {
		return
	}
	require.GreaterOrEqual(t, head.Revision, m.known.Revision, "a reader went back")
	require.Equal(t, m.chain[head.Revision-1].set, set)
	m.known = head
}

func TestPublishMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"":         m.check,
			"publish":  m.publish,
			"race":     m.race,
			"prune":    m.prune,
			"rollback": m.rollback,
			"withdraw": m.withdraw,
			"again":    m.again,
			"fail":     m.fail,
			"heal":     m.heal,
			"land":     m.land,
			"read":     m.read,
		})
		m.checkAll(t)
	})
}

func TestMain(m *testing.M) { property.Run(m, property.Size{}) }
