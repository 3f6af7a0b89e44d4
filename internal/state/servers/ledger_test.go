package servers

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/standin/property"
)

func TestMain(m *testing.M) { property.Run(m, property.Size{Checks: 5000}) }

// history is what the store went through: its entries at each revision.
type history struct {
	states  []map[string]chicoryrock.Server // by revision
	changes []Update                        // by revision, of the state before
}

func (h *history) revision() uint64 { return uint64(len(h.states) - 1) }

// change puts a server in, alters it or takes it out.
func (h *history) change(t *rapid.T) {
	next := maps.Clone(h.states[len(h.states)-1])
	id := fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "server"))
	update := Update{Version: VersionOf(h.revision() + 1), Server: chicoryrock.Server{ID: id}}
	if _, found := next[id]; found && rapid.Bool().Draw(t, "vanishes") {
		update.Removed = true
		delete(next, id)
	} else {
		update.Server.Leaving = found
		update.Server.Slots = rapid.IntRange(1, 3).Draw(t, "slots")
		next[id] = update.Server
	}
	h.states = append(h.states, next)
	h.changes = append(h.changes, update)
}

func (h *history) servers(revision uint64) []chicoryrock.Server {
	state := h.states[revision]
	list := make([]chicoryrock.Server, 0, len(state))
	for _, id := range slices.Sorted(maps.Keys(state)) {
		list = append(list, state[id])
	}
	return list
}

// watcher is a ledger that follows the store.
type watcher struct {
	VersionedList

	at uint64
}

// read takes in all entries as they are.
func (w *watcher) read(now time.Time, h *history) {
	w.ApplyFullRead(now, h.revision(), h.servers(h.revision()))
	w.at = h.revision()
}

// watch takes in changes as long as there are any and it goes on, and says that it
// has.
func (w *watcher) watch(now time.Time, h *history, on func() bool) {
	for w.at < h.revision() && on() {
		update := h.changes[w.at]
		w.at++
		if update.Removed {
			w.ApplyRemoval(now, w.at, update.Server.ID)
		} else {
			w.ApplyPut(w.at, update.Server)
		}
	}
	w.AdvanceTo(w.at)
}

func always() bool { return true }

// Several processes follow the store, read it anew, or live on what the others
// tell. Whatever the order, a list is always one that the store had at its point,
// no process goes back to an older one by what it is told, and in the end all have
// the newest.
func TestListsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{states: []map[string]chicoryrock.Server{{}}}
		all := make([]watcher, 4)
		some := func() *watcher { return &all[rapid.IntRange(0, len(all)-1).Draw(t, "process")] }
		told := func(from, to *watcher) {
			point := to.Version()
			news := from.DeltaSince(point)
			to.ApplyDelta(start, &news)
			require.GreaterOrEqual(t, to.Version(), point)
		}
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) { h.change(t) },
			"read":   func(*rapid.T) { some().read(start, h) },
			"watch": func(t *rapid.T) {
				if w := some(); VersionOf(w.at) == w.Version() {
					w.watch(start, h, func() bool { return rapid.IntRange(0, 3).Draw(t, "more") > 0 })
				}
			},
			"tell": func(*rapid.T) { told(some(), some()) },
			"": func(t *rapid.T) {
				for i := range all {
					require.Equal(t, h.servers(uint64(all[i].Version()>>bumpBits)), all[i].Servers())
				}
			},
		})
		all[0].read(start, h)
		for i := 1; i < len(all); i++ {
			if all[0].LastChange() > all[i].Version() {
				told(&all[0], &all[i])
			}
			require.Equal(t, h.servers(h.revision()), all[i].Servers())
		}
	})
}

// Two processes watch, of which either may lose the store for a while and then takes
// what is missing for lapsed; the others live on what they are told, by whom they
// hear, and anybody may be silent at any time. Once nothing happens any more and all
// that lapsed has had its time, everybody's list is the store's.
func TestListsAgreeAfterOutages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{states: []map[string]chicoryrock.Server{{}}}
		now := start
		all := make([]watcher, 5)
		some := func(n int) *watcher { return &all[rapid.IntRange(0, n-1).Draw(t, "process")] }
		ask := func(from, to *watcher) {
			if from.LastChange() > to.Version() {
				news := from.DeltaSince(to.Version())
				to.ApplyDelta(now, &news)
			}
		}
		pass := func(span time.Duration) {
			now = now.Add(span)
			for i := range all {
				all[i].ExpireLapsed(now)
			}
		}
		const watchers = 2
		for i := range watchers {
			all[i].StoreAnswered(now)
			all[i].read(now, h)
		}
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) { h.change(t) },
			"watch": func(t *rapid.T) {
				if w := some(watchers); VersionOf(w.at) <= w.Version() {
					w.StoreAnswered(now)
					w.watch(now, h, always)
				}
			},
			"outage": func(*rapid.T) {
				w := some(watchers)
				w.StoreFailed()
				pass(3 * time.Second)
				w.StoreAnswered(now)
				w.read(now, h)
			},
			"pass": func(*rapid.T) { pass(700 * time.Millisecond) },
			"ask":  func(*rapid.T) { ask(some(len(all)), some(len(all))) },
		})
		for i := range watchers {
			all[i].StoreAnswered(now)
			all[i].watch(now, h, always)
		}
		for range 10 {
			pass(returnTime)
			for i := range all {
				for j := range all {
					ask(&all[i], &all[j])
				}
			}
		}
		for i := range all {
			require.Equal(t, h.servers(h.revision()), all[i].Servers(), "process %d", i)
		}
	})
}

// Whoever asks between a watch's answer and the taking in of its changes would get
// a list that says it stands for them. The server that left then stayed in use
// there until the next change.
func TestListStandsForWhatItHolds(t *testing.T) {
	var from, to VersionedList
	servers := []chicoryrock.Server{{ID: "a"}, {ID: "b"}}
	from.ApplyFullRead(start, 10, servers)
	to.ApplyFullRead(start, 10, servers)
	early := from.DeltaSince(to.Version())
	from.ApplyRemoval(start, 11, "b")
	from.AdvanceTo(11)
	_, newer := to.ApplyDelta(start, &early)
	require.False(t, newer)
	late := from.DeltaSince(to.Version())
	require.False(t, late.Full)
	notices, newer := to.ApplyDelta(start, &late)
	require.True(t, newer)
	require.Equal(t, []Change{{chicoryrock.Server{ID: "b"}, Removed}}, notices)
	require.Equal(t, from.Servers(), to.Servers())
}

// A server that has not come back after an outage is dropped by a process of its
// own accord. The others are told, and a change of the store after that is still
// news to those who were.
func TestLapsedServersAreTold(t *testing.T) {
	var from, to, watching VersionedList
	for _, ledger := range []*VersionedList{&from, &to, &watching} {
		ledger.ApplyFullRead(start, 10, []chicoryrock.Server{{ID: "a"}, {ID: "b"}})
	}
	from.StoreAnswered(start)
	from.StoreFailed()
	back := start.Add(5 * time.Second)
	from.StoreAnswered(back)
	require.Equal(t, Lapsed, from.ApplyRemoval(back, 11, "b").Kind)
	from.AdvanceTo(11)
	require.Len(t, from.ExpireLapsed(back.Add(3*time.Second)), 1)
	require.Greater(t, from.LastChange(), to.Version())
	news := from.DeltaSince(to.Version())
	to.ApplyDelta(start, &news)
	require.Len(t, to.Servers(), 1)
	watching.ApplyPut(12, chicoryrock.Server{ID: "a", Leaving: true})
	watching.AdvanceTo(12)
	require.Greater(t, watching.LastChange(), to.Version())
	news = watching.DeltaSince(to.Version())
	to.ApplyDelta(start, &news)
	require.True(t, to.Servers()[0].Leaving)
}

// Whoever told that a server's entry has lapsed may be killed before it can tell that
// the server did not come back. Those who were told find that out by themselves: one
// kept such a server for good, as nothing later said that it was gone
// (phoolgadi-ho-grown, trouble-1, seed 750070536303).
func TestLapsedServerGoesWithoutAWord(t *testing.T) {
	back := start.Add(5 * time.Second)
	cases := []struct {
		name  string
		lapse func(from *VersionedList)
		known Version // point of the one that is told
	}{
		{"told as a change", func(from *VersionedList) {
			from.ApplyRemoval(back, 11, "b")
			from.AdvanceTo(11)
		}, VersionOf(10)},
		{"told as the whole list", func(from *VersionedList) {
			from.ApplyRemoval(back, 11, "b")
			from.AdvanceTo(11)
		}, 0},
		{"found by reading all", func(from *VersionedList) { from.ApplyFullRead(back, 11, []chicoryrock.Server{{ID: "a"}}) }, VersionOf(10)},
	}
	for _, c := range cases {
		for _, returns := range []bool{false, true} {
			var from, to VersionedList
			from.ApplyFullRead(start, 10, []chicoryrock.Server{{ID: "a"}, {ID: "b"}})
			if c.known > 0 {
				to.ApplyFullRead(start, 10, from.Servers())
			}
			from.StoreAnswered(start)
			from.StoreFailed()
			from.StoreAnswered(back)
			c.lapse(&from)
			require.Greater(t, from.LastChange(), to.Version(), c.name)
			news := from.DeltaSince(to.Version())
			to.ApplyDelta(back, &news)
			require.Len(t, to.Servers(), 2, "%s: it may come back", c.name)
			require.Empty(t, to.ExpireLapsed(back.Add(returnTime/2)), c.name)
			if returns {
				from.ApplyPut(12, chicoryrock.Server{ID: "b"})
				from.AdvanceTo(12)
				news = from.DeltaSince(to.Version())
				to.ApplyDelta(back.Add(returnTime/2), &news)
			}
			gone := to.ExpireLapsed(back.Add(returnTime))
			require.Equal(t, returns, len(gone) == 0, c.name)
		}
	}
}

// A process that has missed more than is kept gets the whole list.
func TestLongAbsenceGetsTheWholeList(t *testing.T) {
	var from, to VersionedList
	from.ApplyFullRead(start, 1, nil)
	to.ApplyFullRead(start, 1, nil)
	for i := range uint64(maxHistory + 50) {
		from.ApplyPut(i+2, chicoryrock.Server{ID: fmt.Sprint("s", i%7), Slots: int(i)})
		from.AdvanceTo(i + 2)
	}
	news := from.DeltaSince(to.Version())
	require.True(t, news.Full)
	require.Empty(t, news.Updates)
	to.ApplyDelta(start, &news)
	require.Equal(t, from.Servers(), to.Servers())
	require.Len(t, from.updates, maxHistory)
}

// A watch passed over a change in silence, and its process said that it stands for
// that. When the whole list shows the change, those who were told get it too.
func TestSilentWatchIsMadeUpFor(t *testing.T) {
	var from, to VersionedList
	from.ApplyFullRead(start, 10, []chicoryrock.Server{{ID: "a"}})
	from.AdvanceTo(12)
	news := from.DeltaSince(to.Version())
	to.ApplyDelta(start, &news)
	from.ApplyFullRead(start, 12, []chicoryrock.Server{{ID: "b"}})
	require.Greater(t, from.LastChange(), to.Version())
	news = from.DeltaSince(to.Version())
	to.ApplyDelta(start, &news)
	require.Equal(t, from.Servers(), to.Servers())
}
