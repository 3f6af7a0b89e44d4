package servers

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chicoryrock/chicoryrock"
)

// exchange is a network whose messages take no time, with reports between the fronts.
type exchange struct {
	network

	now      time.Time
	watchers int // how many of the fronts the store answers; the others rest
	reported []Summary
	again    []bool // the front is to read the store again
}

func newExchange(fronts, watchers int) *exchange {
	e := &exchange{network: network{store: newStoreModel()}, now: start, watchers: watchers, reported: make([]Summary, fronts), again: make([]bool, fronts)}
	e.store.write("s0")
	e.store.write("s1")
	for range fronts {
		m := &member{}
		m.list.ApplyFullRead(e.now, e.store.revision(), e.store.list())
		m.revision = e.store.revision()
		e.members = append(e.members, m)
	}
	return e
}

// watch takes in what has changed, without one of the changes if skip is set.
func (e *exchange) watch(m *member, skip bool) {
	changes, _ := e.store.changedAfter(m.revision)
	if skip && len(changes) > 0 {
		changes = changes[1:]
	}
	m.list.ApplyWatch(e.now, m.revision, e.store.revision(), changes)
	m.revision = e.store.revision()
}

// watchWrongRemoval is watch with the removal of a server that nobody has removed.
func (e *exchange) watchWrongRemoval(m *member, id string) {
	e.store.number++ // of another key
	e.store.commit()
	changes, _ := e.store.changedAfter(m.revision)
	changes = append(changes, Update{Version: VersionOf(e.store.revision()), Server: chicoryrock.Server{ID: id}, Removed: true})
	m.list.ApplyWatch(e.now, m.revision, e.store.revision(), changes)
	m.revision = e.store.revision()
}

// report has a front tell the others of its list.
func (e *exchange) report(i int) {
	if summary, exact := e.members[i].list.Summary(); exact {
		summary.Process = fmt.Sprint(i)
		e.reported[i] = summary
	}
}

// round has each front do what it does five times a second.
func (e *exchange) round() {
	e.now = e.now.Add(200 * time.Millisecond)
	for i, m := range e.members {
		if i < e.watchers {
			e.watch(m, false)
			if e.again[i] {
				e.again[i] = false
				m.list.ApplyFullRead(e.now, e.store.revision(), e.store.list())
			}
		}
		var others []Summary
		for j, from := range e.members {
			if i == j || e.reported[j].Process == "" {
				continue
			}
			others = append(others, e.reported[j])
			if e.reported[j].LastChange > m.list.Version() {
				pass(e.now, &from.list, &m.list)
			}
		}
		repair, of := m.list.Compare(e.now, others, i < e.watchers)
		switch repair {
		case ReadStore:
			e.again[i] = true
		case AskPeers:
			for _, process := range of[:min(len(of), 3)] {
				var from int
				_, _ = fmt.Sscan(process, &from)
				since := m.list.RepairSince()
				delta := e.members[from].list.DeltaSince(since)
				m.list.ApplyRepair(e.now, since, &delta)
			}
		}
	}
}

func (e *exchange) rounds(n int) {
	for range n {
		for i := range e.members {
			e.report(i)
		}
		e.round()
	}
}

// equal reports whether all lists are the same: the store's, if it answers any front.
func (e *exchange) equal(t require.TestingT) {
	want := e.members[0].list.Servers()
	if e.watchers > 0 {
		want = []chicoryrock.Server{}
		for _, entry := range e.store.list() {
			want = append(want, entry.Server)
		}
	}
	for i, m := range e.members {
		require.Equal(t, want, m.list.Servers(), "front %d", i)
	}
}

// Watches skip changes in silence or tell of removals that never happened, reports are lost, and
// the store may answer some of the fronts or none. The first front hears all and nothing wrong
// while the store answers: what all have missed no comparison can show. From the last fault on,
// all lists are the same after the longest pause between two repairs and two seconds more.
func TestMissedUpdatesAreRepaired(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fronts := rapid.IntRange(2, 8).Draw(t, "fronts")
		e := newExchange(fronts, rapid.IntRange(0, min(fronts, 3)).Draw(t, "watchers"))
		draw := func() int { return rapid.IntRange(0, fronts-1).Draw(t, "front") }
		id := func() string { return fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "server")) }
		t.Repeat(map[string]func(*rapid.T){
			"write":  func(*rapid.T) { e.store.write(id()) },
			"remove": func(*rapid.T) { e.store.remove(id()) },
			"watch": func(t *rapid.T) {
				i := draw()
				e.watch(e.members[i], (i > 0 || e.watchers == 0) && rapid.Bool().Draw(t, "skips"))
			},
			"wrong removal": func(*rapid.T) {
				if i := draw(); i > 0 || e.watchers == 0 {
					e.watchWrongRemoval(e.members[i], id())
				}
			},
			"report": func(*rapid.T) { e.report(draw()) },
			"round":  func(*rapid.T) { e.round() },
		})
		for range int((longestRepairPause + 2*time.Second) / (200 * time.Millisecond)) {
			e.rounds(1)
			if e.same() {
				break
			}
		}
		e.equal(t)
		e.rounds(5)
		e.equal(t)
	})
}

// same reports whether all fronts list as many servers as the store has, or each other.
func (e *exchange) same() bool {
	want := len(e.members[0].list.Servers())
	if e.watchers > 0 {
		want = len(e.store.present)
	}
	for _, m := range e.members {
		if len(m.list.servers) != want || m.list.present.sum != e.members[0].list.present.sum {
			return false
		}
	}
	return true
}

// One update that has been missed is repaired within two seconds.
func TestOneMissedUpdateIsRepairedSoon(t *testing.T) {
	cases := []struct {
		name     string
		watchers int
		missed   []int // the fronts that miss it
	}{
		{"one of those that watch", 3, []int{0}},
		{"most of those that watch, and all that rest", 3, []int{0, 1, 3, 4, 5, 6, 7}},
		{"one that rests", 3, []int{5}},
		{"all but one that watches", 1, []int{1, 2, 3, 4, 5, 6, 7}},
		{"one, while the store answers no one", 0, []int{4}},
		{"half, while the store answers no one", 0, []int{4, 5, 6, 7}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newExchange(8, c.watchers)
			e.store.remove("s1")
			missed := make(map[int]bool)
			for _, i := range c.missed {
				missed[i] = true
			}
			for i, m := range e.members {
				e.watch(m, missed[i])
			}
			e.rounds(10)
			e.equal(t)
		})
	}
}

// Lists that go on to differ are repaired less and less often: each time, a full list goes to
// all processes.
func TestRepairsThatDontHelpGetRare(t *testing.T) {
	e := newExchange(2, 2)
	other := Summary{"other", e.members[0].list.LastChange(), 0, 1}
	repairs := 0
	for range 300 {
		e.now = e.now.Add(200 * time.Millisecond)
		if repair, _ := e.members[0].list.Compare(e.now, []Summary{other}, true); repair == ReadStore {
			repairs++
		}
	}
	require.InDelta(t, 10, repairs, 1, "in a minute")
}
