package servers

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chicoryrock/chicoryrock"
)

// storeModel is a store with a history. It may come back from an older copy: then it
// gives numbers out again, in the next era.
type storeModel struct {
	era, number uint64
	beats       uint64
	present     map[string]Written
	events      []Update                       // of this era, after the copy
	since       uint64                         // number of the copy that this era began with
	at          map[Version]map[string]Written // every state that the store has had
	copied      map[string]Written
	copiedAt    uint64
}

func newStoreModel() *storeModel {
	return &storeModel{present: map[string]Written{}, copied: map[string]Written{}, at: map[Version]map[string]Written{0: {}}}
}

func (s *storeModel) revision() uint64 { return chicoryrock.RevisionIn(s.era, s.number) }

// commit ends a change: the store has a new revision.
func (s *storeModel) commit(events ...Update) {
	s.events = append(s.events, events...)
	s.at[VersionOf(s.revision())] = maps.Clone(s.present)
}

func (s *storeModel) write(id string) {
	s.number++
	s.beats++
	server := chicoryrock.Server{ID: id, Heartbeat: s.beats, StartedMs: 1}
	version := VersionOf(s.revision())
	s.present[id] = Written{server, version}
	s.commit(Update{Version: version, Server: server})
}

func (s *storeModel) remove(id string) {
	if _, found := s.present[id]; !found {
		return
	}
	s.number++
	delete(s.present, id)
	s.commit(Update{Version: VersionOf(s.revision()), Server: chicoryrock.Server{ID: id}, Removed: true})
}

func (s *storeModel) copy() { s.copied, s.copiedAt = maps.Clone(s.present), s.number }

func (s *storeModel) restore() {
	s.era++
	s.number, s.since, s.events = s.copiedAt, s.copiedAt, nil
	s.present = maps.Clone(s.copied)
	for id, entry := range s.present {
		number := uint64(entry.Version>>localChangeBits) & (1<<40 - 1)
		s.present[id] = Written{entry.Server, VersionOf(chicoryrock.RevisionIn(s.era, number))}
	}
	s.copied = maps.Clone(s.present)
	s.commit()
}

func (s *storeModel) list() []Written {
	var list []Written
	for _, id := range slices.Sorted(maps.Keys(s.present)) {
		list = append(list, s.present[id])
	}
	return list
}

// changedAfter returns the changes after a revision; false if they are no longer kept.
func (s *storeModel) changedAfter(revision uint64) ([]Update, bool) {
	if chicoryrock.RevisionEra(revision) != s.era || chicoryrock.RevisionNumber(revision) < s.since {
		return nil, false
	}
	var updates []Update
	for _, event := range s.events {
		if event.Version > VersionOf(revision) {
			updates = append(updates, event)
		}
	}
	return updates, true
}

// member is one start of a front.
type member struct {
	list     VersionedList
	revision uint64 // that its next watch asks after
	read     bool
	asking   bool     // a call to the store is under way
	steps    []func() // of a store's answer that it is taking in
	ended    bool
}

// network is several fronts, one store, and the messages on the way.
type network struct {
	store    *storeModel
	members  []*member
	messages []message
}

type message struct {
	to      *member
	deliver func()
	lost    func()
	store   bool // answers of the store to one front stay in order
}

func (n *network) send(m message) { n.messages = append(n.messages, m) }

// ask has a front ask the store: for everything, or for what has changed.
func (n *network) ask(m *member) {
	if m.asking || len(m.steps) > 0 {
		return
	}
	m.asking = true
	fail := func() { m.asking, m.read = false, false }
	changes, kept := n.store.changedAfter(m.revision)
	if !m.read || !kept {
		list, revision := n.store.list(), n.store.revision()
		n.send(message{m, func() {
			m.asking, m.read, m.revision = false, true, revision
			m.list.ApplyFullRead(start, revision, list)
		}, fail, true})
		return
	}
	revision := n.store.revision()
	n.send(message{m, func() {
		m.asking, m.revision = false, revision
		m.watched(changes, revision)
	}, fail, true})
}

// watched takes in the answer to a watch, as the front's wiring does.
func (m *member) watched(changes []Update, through uint64) {
	for _, change := range changes {
		m.steps = append(m.steps, func() {
			if change.Removed {
				m.list.ApplyRemoval(start, uint64(change.Version>>localChangeBits), change.Server.ID)
			} else {
				m.list.ApplyPut(uint64(change.Version>>localChangeBits), change.Server)
			}
		})
	}
	m.steps = append(m.steps, func() { m.list.AdvanceTo(through) })
}

func (m *member) step() {
	if len(m.steps) > 0 {
		m.steps[0]()
		m.steps = m.steps[1:]
	}
}

// fetch has a front ask another one for what it has missed.
func (n *network) fetch(from, by *member) {
	since := by.list.Version()
	n.send(message{from, func() {
		delta := from.list.DeltaSince(since)
		n.send(message{by, func() { by.list.ApplyDelta(start, &delta) }, func() {}, false})
	}, func() {}, false})
}

// arrive delivers or loses a message on the way; one between fronts may stay there, to
// arrive a second time.
func (n *network) arrive(i int, lost, twice bool) {
	m := n.messages[i]
	if !twice || m.store {
		n.messages = slices.Delete(n.messages, i, i+1)
	}
	switch {
	case m.to.ended:
	case lost:
		m.lost()
	default:
		m.deliver()
	}
}

// check compares a list with what the store had at the version that the list states:
//   - each server that the list names was in the store then, with the same entry,
//   - each server that was in the store then is on the list. Only in a later era may one be
//     missing, if its entry in the store's copy is older than its departure.
func (n *network) check(t *rapid.T, m *member) {
	if len(m.steps) > 0 {
		return // in the middle of an answer the list states the version before
	}
	state, found := n.store.at[m.list.Version()]
	require.True(t, found, "the store never had version %d", m.list.Version())
	listed := map[string]bool{}
	for _, server := range m.list.Servers() {
		listed[server.ID] = true
		require.Equal(t, state[server.ID].Server, server, "listed as of %d", m.list.Version())
	}
	for id, entry := range state {
		if !listed[id] {
			require.Positive(t, entry.Version.era(), "%s is missing as of %d", id, m.list.Version())
		}
	}
}

// Fronts start at any time, read the store, watch it, and ask each other for what they have
// missed, while all messages are delayed, lost, repeated and overtaken by others. A list
// holds at all times what the store had at the version that the list states. Versions never
// go back. When everything works again, all lists equal the store's.
func TestListsFollowTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := &network{store: newStoreModel(), members: make([]*member, rapid.IntRange(2, 8).Draw(t, "fronts"))}
		for i := range n.members {
			n.members[i] = &member{}
		}
		draw := func() *member { return n.members[rapid.IntRange(0, len(n.members)-1).Draw(t, "front")] }
		id := func() string { return fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "server")) }
		arrive := func(t *rapid.T) {
			if len(n.messages) > 0 {
				i := rapid.IntRange(0, len(n.messages)-1).Draw(t, "message")
				fate := rapid.IntRange(0, 9).Draw(t, "fate")
				n.arrive(i, fate == 0, fate == 1)
			}
		}
		stated := map[*member]Version{}
		t.Repeat(map[string]func(*rapid.T){
			"write":   func(*rapid.T) { n.store.write(id()) },
			"write 2": func(*rapid.T) { n.store.write(id()) },
			"remove":  func(*rapid.T) { n.store.remove(id()) },
			"ask":     func(*rapid.T) { n.ask(draw()) },
			"ask 2":   func(*rapid.T) { n.ask(draw()) },
			"fetch":   func(*rapid.T) { n.fetch(draw(), draw()) },
			"arrive":  arrive, "arrive 2": arrive, "arrive 3": arrive,
			"step":   func(*rapid.T) { draw().step() },
			"step 2": func(*rapid.T) { draw().step() },
			"start": func(t *rapid.T) {
				i := rapid.IntRange(0, len(n.members)-1).Draw(t, "front")
				n.members[i].ended = true
				n.members[i] = &member{}
			},
			"copy": func(*rapid.T) { n.store.copy() },
			"restore": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "comes back") == 0 {
					n.store.restore()
				}
			},
			"": func(t *rapid.T) {
				for _, m := range n.members {
					n.check(t, m)
					require.GreaterOrEqual(t, m.list.Version(), stated[m])
					stated[m] = m.list.Version()
				}
			},
		})
		n.end(t)
	})
}

// end lets everything on the way arrive, has each server write its entry again and each
// front look at the store once more.
func (n *network) end(t *rapid.T) {
	settle := func() {
		for len(n.messages) > 0 {
			n.arrive(0, false, false)
		}
		for _, m := range n.members {
			for len(m.steps) > 0 {
				m.step()
			}
		}
	}
	settle()
	for id := range maps.Clone(n.store.present) {
		n.store.write(id)
	}
	for range 2 {
		for _, m := range n.members {
			n.ask(m)
		}
		settle()
	}
	want := make([]chicoryrock.Server, 0, len(n.store.present))
	for _, entry := range n.store.list() {
		want = append(want, entry.Server)
	}
	for i, m := range n.members {
		require.Equal(t, want, m.list.Servers(), "front %d", i)
	}
}
