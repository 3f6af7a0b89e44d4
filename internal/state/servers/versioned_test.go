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

// history holds the store's entries at each revision.
type history struct {
	states  []map[string]chicoryrock.Server // by revision
	changes []Update                        // by revision, the change to the next one
}

func (h *history) revision() uint64 { return uint64(len(h.states) - 1) }

// change adds, updates or removes a server.
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

// written returns the present servers with the versions of their entries.
func (h *history) written() []Written {
	list := unversioned(h.servers(h.revision()))
	for i := range list {
		for _, update := range h.changes {
			if update.Server.ID == list[i].Server.ID {
				list[i].Version = update.Version
			}
		}
	}
	return list
}

// unversioned returns servers of whose entries no versions are known.
func unversioned(servers []chicoryrock.Server) []Written {
	list := make([]Written, len(servers))
	for i := range servers {
		list[i].Server = servers[i]
	}
	return list
}

// watcher is a list that follows the store.
type watcher struct {
	VersionedList

	revision uint64
}

// read applies a complete read of the store.
func (w *watcher) read(now time.Time, h *history) {
	w.ApplyFullRead(now, h.revision(), h.written())
	w.revision = h.revision()
}

// watch takes in an answer with the changes while there are any and more returns true.
func (w *watcher) watch(now time.Time, h *history, more func() bool) {
	through := w.revision
	for through < h.revision() && more() {
		through++
	}
	w.ApplyWatch(now, w.revision, through, h.changes[w.revision:through])
	w.revision = through
}

// put has a list take in that an entry was written at a revision.
func put(list *VersionedList, revision uint64, server chicoryrock.Server) []Change {
	return watched(start, list, Update{Version: VersionOf(revision), Server: server})
}

// remove has a list take in that an entry has gone at a revision.
func remove(now time.Time, list *VersionedList, revision uint64, id string) []Change {
	return watched(now, list, Update{Version: VersionOf(revision), Server: chicoryrock.Server{ID: id}, Removed: true})
}

func watched(now time.Time, list *VersionedList, update Update) []Change {
	changes, _ := list.ApplyWatch(now, uint64(list.Version()>>localChangeBits), uint64(update.Version>>localChangeBits), []Update{update})
	return changes
}

// pass has a list take in what another one has for it.
func pass(now time.Time, from, to *VersionedList) ([]Change, bool) {
	since := to.Version()
	delta := from.DeltaSince(since)
	return to.ApplyDelta(now, since, &delta)
}

func always() bool { return true }

// Several processes watch the store, read it completely, or get deltas from each
// other, in any order. Each list always equals the store's at its version, no delta
// sets a list back, and in the end all lists equal the store's.
func TestListsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{states: []map[string]chicoryrock.Server{{}}}
		all := make([]watcher, 4)
		draw := func() *watcher { return &all[rapid.IntRange(0, len(all)-1).Draw(t, "process")] }
		send := func(from, to *watcher) {
			before := to.Version()
			pass(start, &from.VersionedList, &to.VersionedList)
			require.GreaterOrEqual(t, to.Version(), before)
		}
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) { h.change(t) },
			"read":   func(*rapid.T) { draw().read(start, h) },
			"watch": func(t *rapid.T) {
				if w := draw(); VersionOf(w.revision) == w.Version() {
					w.watch(start, h, func() bool { return rapid.IntRange(0, 3).Draw(t, "more") > 0 })
				}
			},
			"tell": func(*rapid.T) { send(draw(), draw()) },
			"": func(t *rapid.T) {
				for i := range all {
					require.Equal(t, h.servers(uint64(all[i].Version()>>localChangeBits)), all[i].Servers())
				}
			},
		})
		all[0].read(start, h)
		for i := 1; i < len(all); i++ {
			if all[0].LastChange() > all[i].Version() {
				send(&all[0], &all[i])
			}
			require.Equal(t, h.servers(h.revision()), all[i].Servers())
		}
	})
}

// Two processes watch the store. Either may have outages, after which missing entries
// count as lapsed. The others get deltas from any process, and any process may be
// silent at any time. After the last change, once all grace periods are over, all
// lists equal the store's.
func TestListsConvergeAfterOutages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{states: []map[string]chicoryrock.Server{{}}}
		now := start
		all := make([]watcher, 5)
		draw := func(n int) *watcher { return &all[rapid.IntRange(0, n-1).Draw(t, "process")] }
		request := func(from, to *watcher) {
			if from.LastChange() > to.Version() {
				pass(now, &from.VersionedList, &to.VersionedList)
			}
		}
		advance := func(span time.Duration) {
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
				if w := draw(watchers); VersionOf(w.revision) <= w.Version() {
					w.StoreAnswered(now)
					w.watch(now, h, always)
				}
			},
			"outage": func(*rapid.T) {
				w := draw(watchers)
				w.StoreFailed()
				advance(3 * time.Second)
				w.StoreAnswered(now)
				w.read(now, h)
			},
			"pass": func(*rapid.T) { advance(700 * time.Millisecond) },
			"ask":  func(*rapid.T) { request(draw(len(all)), draw(len(all))) },
		})
		for i := range watchers {
			all[i].StoreAnswered(now)
			all[i].watch(now, h, always)
		}
		for range 10 {
			advance(lapseGrace)
			for i := range all {
				for j := range all {
					request(&all[i], &all[j])
				}
			}
		}
		for i := range all {
			require.Equal(t, h.servers(h.revision()), all[i].Servers(), "process %d", i)
		}
	})
}

// A process that requests a delta after a watch has answered and before the changes
// are applied must not get the new version. If it did, it would keep using a removed
// server until the next change.
func TestVersionCoversOnlyAppliedChanges(t *testing.T) {
	var from, to VersionedList
	servers := []chicoryrock.Server{{ID: "a"}, {ID: "b"}}
	from.ApplyFullRead(start, 10, unversioned(servers))
	to.ApplyFullRead(start, 10, unversioned(servers))
	early := from.DeltaSince(to.Version())
	remove(start, &from, 11, "b")
	_, newer := to.ApplyDelta(start, to.Version(), &early)
	require.False(t, newer)
	late := from.DeltaSince(to.Version())
	require.False(t, late.Full)
	changes, newer := to.ApplyDelta(start, to.Version(), &late)
	require.True(t, newer)
	require.Equal(t, []Change{{chicoryrock.Server{ID: "b"}, Removed}}, changes)
	require.Equal(t, from.Servers(), to.Servers())
}

// A process removes a server that has not returned after an outage. Peers receive
// the removal, and later changes of the store still count as newer for them.
func TestRemovalAfterGraceReachesPeers(t *testing.T) {
	var from, to, watching VersionedList
	for _, ledger := range []*VersionedList{&from, &to, &watching} {
		ledger.ApplyFullRead(start, 10, unversioned([]chicoryrock.Server{{ID: "a"}, {ID: "b"}}))
	}
	from.StoreAnswered(start)
	from.StoreFailed()
	restored := start.Add(5 * time.Second)
	from.StoreAnswered(restored)
	require.Equal(t, Lapsed, remove(restored, &from, 11, "b")[0].Kind)
	require.Len(t, from.ExpireLapsed(restored.Add(3*time.Second)), 1)
	require.Greater(t, from.LastChange(), to.Version())
	pass(start, &from, &to)
	require.Len(t, to.Servers(), 1)
	put(&watching, 12, chicoryrock.Server{ID: "a", Leaving: true})
	require.Greater(t, watching.LastChange(), to.Version())
	pass(start, &watching, &to)
	require.True(t, to.Servers()[0].Leaving)
}

// A process that reports a server as lapsed may be killed before it can report the
// removal. Its peers must remove the server by themselves; otherwise they would keep
// it for good, as no later update removes it. Seen in a played day:
// phoolgadi-ho-grown, trouble-1, seed 750070536303.
func TestPeersRemoveLapsedServersThemselves(t *testing.T) {
	restored := start.Add(5 * time.Second)
	cases := []struct {
		name    string
		lapse   func(from *VersionedList)
		version Version // of the receiving list; zero if it is empty
	}{
		{"in an update", func(from *VersionedList) {
			remove(restored, from, 11, "b")
		}, VersionOf(10)},
		{"in the full list", func(from *VersionedList) {
			remove(restored, from, 11, "b")
		}, 0},
		{"by a full read", func(from *VersionedList) {
			from.ApplyFullRead(restored, 11, unversioned([]chicoryrock.Server{{ID: "a"}}))
		}, VersionOf(10)},
	}
	for _, c := range cases {
		for _, returns := range []bool{false, true} {
			var from, to VersionedList
			from.ApplyFullRead(start, 10, unversioned([]chicoryrock.Server{{ID: "a"}, {ID: "b"}}))
			if c.version > 0 {
				to.ApplyFullRead(start, 10, unversioned(from.Servers()))
			}
			from.StoreAnswered(start)
			from.StoreFailed()
			from.StoreAnswered(restored)
			c.lapse(&from)
			require.Greater(t, from.LastChange(), to.Version(), c.name)
			pass(restored, &from, &to)
			require.Len(t, to.Servers(), 2, "%s: it may return", c.name)
			require.Empty(t, to.ExpireLapsed(restored.Add(lapseGrace/2)), c.name)
			if returns {
				put(&from, 12, chicoryrock.Server{ID: "b"})
				pass(restored.Add(lapseGrace/2), &from, &to)
			}
			removed := to.ExpireLapsed(restored.Add(lapseGrace))
			require.Equal(t, returns, len(removed) == 0, c.name)
		}
	}
}

// A process that has missed more updates than are kept gets the full list.
func TestMissedHistoryGetsFullList(t *testing.T) {
	var from, to VersionedList
	from.ApplyFullRead(start, 1, nil)
	to.ApplyFullRead(start, 1, nil)
	for i := range uint64(maxUpdates + 50) {
		put(&from, i+2, chicoryrock.Server{ID: fmt.Sprint("s", i%7), Slots: int(i)})
	}
	delta := from.DeltaSince(to.Version())
	require.True(t, delta.Full)
	require.Empty(t, delta.Updates)
	to.ApplyDelta(start, to.Version(), &delta)
	require.Equal(t, from.Servers(), to.Servers())
	require.Len(t, from.updates, maxUpdates)
}

// A read that shows the same servers as the one before says nothing of the time in between. A
// process that has taken the later version from the reader knows no more of it, and one that
// has reached a version in between isn't brought up to date by what changed for the reader.
func TestGapsInHistoryArePassedOn(t *testing.T) {
	server := chicoryrock.Server{ID: "a", StartedMs: 5}
	between := chicoryrock.Server{ID: "b", StartedMs: 5}
	var reader, peer, late VersionedList
	for _, list := range []*VersionedList{&reader, &peer, &late} {
		list.ApplyFullRead(start, 10, []Written{{server, VersionOf(9)}})
	}
	since := late.Version()
	reader.ApplyFullRead(start, 14, []Written{{server, VersionOf(9)}}) // b came at 11 and went at 13
	early := reader.DeltaSince(since)
	put(&late, 11, between)
	_, newer := late.ApplyDelta(start, since, &early)
	require.False(t, newer)
	_, newer = pass(start, &reader, &peer)
	require.True(t, newer)
	_, newer = pass(start, &peer, &late)
	require.True(t, newer)
	require.Equal(t, []chicoryrock.Server{server}, late.Servers())
}

// If a watch silently skips a change, its process advances to a version without it.
// A later full read shows the change, and peers at that version must get it too.
func TestFullReadRepairsSilentWatch(t *testing.T) {
	var from, to VersionedList
	from.ApplyFullRead(start, 10, unversioned([]chicoryrock.Server{{ID: "a"}}))
	from.ApplyWatch(start, 10, 12, nil)
	pass(start, &from, &to)
	from.ApplyFullRead(start, 12, unversioned([]chicoryrock.Server{{ID: "b"}}))
	require.Greater(t, from.LastChange(), to.Version())
	pass(start, &from, &to)
	require.Equal(t, from.Servers(), to.Servers())
}
