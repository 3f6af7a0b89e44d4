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
	copies      map[uint64]uint64 // numbers of the copies that eras began with
}

func newStoreModel() *storeModel {
	return &storeModel{present: map[string]Written{}, copied: map[string]Written{}, copies: map[uint64]uint64{}, at: map[Version]map[string]Written{0: {}}}
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
	s.copies[s.era] = s.copiedAt
	s.present = maps.Clone(s.copied)
	for id, entry := range s.present {
		s.present[id] = Written{entry.Server, VersionOf(chicoryrock.RevisionIn(s.era, entry.Version.number()))}
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
	call     int  // number of its last call to the store
	asking   bool // that one is under way
	// beyond is the end of the latest read that its list rests on: a read's pages are no
	// snapshot, so that until then the list may hold what was written later, and lack what
	// has gone later.
	beyond Version
	ended  bool
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
}

func (n *network) send(m message) { n.messages = append(n.messages, m) }

// ask has a front ask the store: for everything, or for what has changed. What is lost or
// no longer kept leads to reading everything.
func (n *network) ask(m *member) {
	if m.asking {
		return
	}
	m.call++
	m.asking = true
	call := m.call
	answered := func(read bool, revision uint64) {
		if m.call == call {
			m.asking, m.read, m.revision = false, read, revision
		}
	}
	fail := func() { answered(false, 0) }
	changes, kept := n.store.changedAfter(m.revision)
	if !m.read || !kept {
		n.readPages(m, answered, fail)
		return
	}
	after, through := m.revision, n.store.revision()
	n.send(message{m, func() {
		_, contiguous := m.list.ApplyWatch(start, after, through, changes)
		answered(contiguous, through)
	}, fail})
}

// readPages reads everything in two pages, of which the second one is read later.
func (n *network) readPages(m *member, answered func(bool, uint64), fail func()) {
	half := func(second bool) []Written {
		return slices.DeleteFunc(n.store.list(), func(w Written) bool { return (w.Server.ID >= "s3") != second })
	}
	list, revision := half(false), n.store.revision()
	n.send(message{m, func() {
		if chicoryrock.RevisionEra(revision) != n.store.era {
			fail()
			return
		}
		all, end := slices.Concat(list, half(true)), VersionOf(n.store.revision())
		n.send(message{m, func() {
			m.beyond = max(m.beyond, end)
			m.list.ApplyFullRead(start, revision, all)
			answered(true, revision)
		}, fail})
	}, fail})
}

// fetch has a front ask another one for what it has missed.
func (n *network) fetch(from, by *member) {
	since := by.list.Version()
	n.send(message{from, func() {
		delta, beyond := from.list.DeltaSince(since), from.beyond
		n.send(message{by, func() {
			by.beyond = max(by.beyond, beyond)
			by.list.ApplyDelta(start, since, &delta)
		}, func() {}})
	}, func() {}})
}

// arrive delivers or loses a message on the way, or leaves it there to arrive a second time.
func (n *network) arrive(i int, lost, twice bool) {
	m := n.messages[i]
	if !twice {
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
//     missing, if its entry in the store's copy is older than its departure,
//   - the digest is that of the store's entries then.
//
// A list that rests on a read that ended later is compared from that end on.
func (n *network) check(t *rapid.T, m *member) {
	state, found := n.store.at[m.list.Version().floor()]
	require.True(t, found, "the store never had version %d", m.list.Version())
	if m.list.Version() < m.beyond {
		return
	}
	listed := map[string]bool{}
	for _, server := range m.list.Servers() {
		listed[server.ID] = true
		if state[server.ID].Server != server { // require.Equal takes most of the test's time
			require.Equal(t, state[server.ID].Server, server, "listed as of %d", m.list.Version())
		}
	}
	for id, entry := range state {
		if !listed[id] {
			copied, restored := n.store.copies[entry.Version.era()]
			require.True(t, restored && entry.Version.number() <= copied, "%s is missing as of %d", id, m.list.Version())
		}
	}
	summary, exact := m.list.Summary()
	if sum := digestOf(state); sum != m.list.present.sum || exact && summary.asOf() >= m.beyond && summary.Digest != fold(sum) {
		require.Fail(t, "digest", "as of %d", m.list.Version())
	}
	require.True(t, !exact || m.list.Version() == summary.asOf())
}

// checkDigests compares the digests that a list knows of the past with the store's entries.
func (n *network) checkDigests(t *rapid.T, m *member) {
	for version, state := range n.store.at {
		if digest, known := m.list.digestAt(version); known && version >= m.beyond {
			require.Equal(t, fold(digestOf(state)), digest, "the digest as of %d", version)
		}
	}
}

func digestOf(state map[string]Written) (sum uint64) {
	for id, entry := range state {
		sum ^= hashOf(id, entry.Version)
	}
	return sum
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
				n.checkDigests(t, draw())
				for _, m := range n.members {
					n.check(t, m)
					require.GreaterOrEqual(t, m.list.Version(), stated[m], "the version goes back")
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
	}
	settle()
	for id := range maps.Clone(n.store.present) {
		n.store.write(id)
	}
	for range 4 {
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
