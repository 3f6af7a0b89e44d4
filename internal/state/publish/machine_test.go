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

// publishResult is the result that a publisher got.
type publishResult int

const (
	accepted publishResult = iota
	refused
	unknownResult
)

// publishedRevision is one revision in the oracle.
type publishedRevision struct {
	head Head
	set  *object.Set
}

// machine runs racing publishers against a faulty store. Its oracle is the list of
// published revisions, which may only grow.
type machine struct {
	store      *fakeStore
	revisions  []publishedRevision      // revisions[i] is revision i+1
	results    map[string]publishResult // by publication ID
	withdrawn  map[string]bool          // digests
	lastID     int
	prunedUpTo int // revisions up to this one may have been pruned
	known      Head
	reader     Reader
}

func newMachine() *machine {
	store := newFakeStore()
	return &machine{store: store, results: map[string]publishResult{}, withdrawn: map[string]bool{}, reader: Reader{Store: store}}
}

func (m *machine) publisher() *Publisher { return &Publisher{Store: m.store} }

func (m *machine) next() Publication {
	m.lastID++
	return Publication{ID: fmt.Sprintf("p%d", m.lastID), Author: "rapid"}
}

// recordResult records the result that a publisher got. A head with another ID means
// that the set was already the current one.
func (m *machine) recordResult(t *rapid.T, publication Publication, head Head, err error) {
	switch {
	case err == nil && head.ID == publication.ID:
		m.results[publication.ID] = accepted
	case errors.Is(err, chicoryrock.ErrUnknownOutcome):
		m.results[publication.ID] = unknownResult
	case publication.Retry:
		// The earlier attempt's outcome stays unknown.
	case err == nil,
		errors.Is(err, chicoryrock.ErrConflict),
		errors.Is(err, chicoryrock.ErrUnavailable),
		errors.Is(err, chicoryrock.ErrNotFound),
		errors.Is(err, chicoryrock.ErrInvalid):
		m.results[publication.ID] = refused
	default:
		t.Fatalf("unexpected error: %v", err)
	}
}

// drawSet draws a valid set that differs from the newest one.
func (m *machine) drawSet(t *rapid.T) *object.Set {
	set := &object.Set{}
	for i := range rapid.IntRange(1, 4).Draw(t, "workspaces") {
		name := fmt.Sprintf("w%d", i)
		share := float64(rapid.IntRange(0, 3).Draw(t, "share"))
		set.Workspaces = append(set.Workspaces, object.Workspace{Name: name, Share: share})
		digest := object.Digest(fmt.Sprintf("%s-%d", name, rapid.IntRange(0, 2).Draw(t, "key")))
		if !m.withdrawn[digest] {
			set.Keys = append(set.Keys, object.Key{Name: "k-" + name, Workspace: name, Digest: digest})
		}
	}
	return set
}

func (m *machine) publish(t *rapid.T) {
	publication, set := m.next(), m.drawSet(t)
	head, err := m.publisher().Publish(background, clock, publication, set)
	m.recordResult(t, publication, head, err)
}

// race lets another publisher publish between the reading and the writing of one.
func (m *machine) race(t *rapid.T) {
	other, set := m.next(), m.drawSet(t)
	m.store.BeforePut = func() {
		head, err := m.publisher().Publish(background, clock, other, set)
		m.recordResult(t, other, head, err)
	}
	m.publish(t)
	m.store.BeforePut = nil
}

// prune removes old chunks, alone or at the worst moments of another publication:
// just before it writes its next chunk or the head, or between the listing and the
// removal of chunks.
func (m *machine) prune(t *rapid.T) {
	keep := rapid.IntRange(1, 3).Draw(t, "keep")
	run := func() {
		if len(m.revisions) > 0 {
			m.prunedUpTo = max(m.prunedUpTo, len(m.revisions)-keep)
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
		m.store.beforeChunkPut = run
		m.rollback(t)
	default:
		m.store.afterList = func() { m.publish(t) }
		run()
	}
	m.store.BeforePut, m.store.beforeChunkPut, m.store.afterList = nil, nil, nil
}

func (m *machine) rollback(t *rapid.T) {
	publication := m.next()
	revision := uint64(rapid.IntRange(1, len(m.revisions)+1).Draw(t, "revision"))
	head, _, err := m.publisher().Rollback(background, clock, publication, revision)
	m.recordResult(t, publication, head, err)
}

func (m *machine) withdraw(t *rapid.T) {
	publication := m.next()
	head, err := m.publisher().Withdraw(background, clock, publication, fmt.Sprintf("k-w%d", rapid.IntRange(0, 3).Draw(t, "key")))
	m.recordResult(t, publication, head, err)
}

// retry repeats a publication whose outcome is unknown, with any set: if the
// first attempt took effect, the second must not.
func (m *machine) retry(t *rapid.T) {
	var open []string
	for id, outcome := range m.results {
		if outcome == unknownResult {
			open = append(open, id)
		}
	}
	if len(open) != 1 {
		return
	}
	publication := Publication{ID: open[0], Retry: true}
	head, err := m.publisher().Publish(background, clock, publication, m.drawSet(t))
	m.recordResult(t, publication, head, err)
}

func (m *machine) drawFaults(t *rapid.T) {
	m.store.Down = rapid.Bool().Draw(t, "down") && rapid.Bool().Draw(t, "really")
	m.store.readsFail = rapid.Bool().Draw(t, "blind") && rapid.Bool().Draw(t, "really")
	m.store.LostPutAnswers = rapid.IntRange(0, 4).Draw(t, "lost")
	m.store.DelayedPuts = rapid.IntRange(0, 4).Draw(t, "late")
	m.store.DuplicatedPuts = rapid.IntRange(0, 1).Draw(t, "twice")
}

func (m *machine) clearFaults(*rapid.T) {
	m.store.Down, m.store.readsFail = false, false
	m.store.LostPutAnswers, m.store.DelayedPuts, m.store.DuplicatedPuts = 0, 0, 0
}

func (m *machine) deliverDelayed(*rapid.T) { m.store.DeliverDelayedPuts() }

// read reads the current set with one Reader, sometimes from a store that answers
// with an old head.
func (m *machine) read(t *rapid.T) {
	if len(m.revisions) > 0 && rapid.Bool().Draw(t, "stale") {
		old := m.revisions[rapid.IntRange(0, len(m.revisions)-1).Draw(t, "old")]
		content, err := encodeHead(old.head)
		require.NoError(t, err)
		m.store.staleHead = &chicoryrock.KeyValue{Key: HeadKey, Value: content}
	}
	set, head, err := m.reader.Read(background, m.known)
	m.store.staleHead = nil
	if err != nil {
		return
	}
	require.GreaterOrEqual(t, head.Revision, m.known.Revision, "a reader went back")
	require.Equal(t, m.revisions[head.Revision-1].set, set)
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
			"again":    m.retry,
			"fail":     m.drawFaults,
			"heal":     m.clearFaults,
			"land":     m.deliverDelayed,
			"read":     m.read,
		})
		m.checkKept(t)
	})
}

func TestMain(m *testing.M) { property.Run(m, property.Size{}) }
