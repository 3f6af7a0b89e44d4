package origin_test

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
	"github.com/chicoryrock/chicoryrock/internal/state/origin"
)

func TestMain(m *testing.M) { property.Run(m, property.Size{Checks: 8000, Steps: 60}) }

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// Streams never go on at a version other than the one that began them, whatever the
// processes, the store and the servers do in between.
func TestStreamsKeepToTheVersionThatBeganThem(t *testing.T) {
	software := rapid.Custom(func(t *rapid.T) origin.Software {
		return origin.Software{
			Service: rapid.SampledFrom([]string{"s", "s", "s", "other"}).Draw(t, "service"),
			Version: rapid.SampledFrom([]string{"v1", "v2", "v3", ""}).Draw(t, "version"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(1, 4).Draw(t, "processes"))
		one := func(label string) *process { return rapid.SampledFrom(w.processes).Draw(t, label) }
		tick := func() { w.now = w.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond) }
		turn := func() {
			p := one("turn of")
			w.complete(p, func() {}, rapid.Bool().Draw(t, "lost"))
			w.save(p, rapid.Bool().Draw(t, "lost"), rapid.Bool().Draw(t, "late"))
		}
		// restart draws the version as which a server has started again; mostly none.
		restart := func(t *rapid.T) string {
			return rapid.SampledFrom([]string{"", "", "", "v1", "v2", "v3"}).Draw(t, "started again as")
		}
		t.Repeat(map[string]func(*rapid.T){
			"a version starts": func(t *rapid.T) { w.serving[software.Draw(t, "software")] = true },
			"servers that started again are listed": func(*rapid.T) {
				for _, server := range w.restarted {
					server.listed = true
					w.serving[server.software] = true
				}
			},
			"a version leaves": func(t *rapid.T) { delete(w.serving, software.Draw(t, "software")) },
			"a list is read": func(t *rapid.T) {
				p := one("reader")
				if p.cut {
					return
				}
				w.list(p)
			},
			"a register is completed": func(t *rapid.T) {
				between := func() {}
				if rapid.Bool().Draw(t, "another between") {
					between = turn
				}
				w.complete(one("writer"), between, rapid.Bool().Draw(t, "lost"))
			},
			"records are saved": func(t *rapid.T) {
				w.save(one("writer"), rapid.Bool().Draw(t, "lost"), rapid.Bool().Draw(t, "late"))
			},
			"late writes are carried out": func(*rapid.T) {
				w.write(w.late)
				w.late = nil
			},
			"a process is cut": func(*rapid.T) {
				p := one("process")
				if p.cut = !p.cut; p.cut {
					p.book.ListLost(w.now)
					return
				}
				w.list(p)
				p.book.ListHeard(w.now)
			},
			"a read begins": func(*rapid.T) {
				if p := one("reader"); !p.cut && p.late == nil {
					p.late = &reply{w.stored(), w.era}
				}
			},
			"a late answer arrives": func(*rapid.T) { w.arrive(one("reader")) },
			"one hears": func(*rapid.T) {
				one("hearer").book.Hear(one("teller").book.Begins())
			},
			"one is killed": func(*rapid.T) {
				w.kill(one("killed"))
			},
			"all are killed": func(*rapid.T) {
				for _, p := range w.processes {
					w.kill(p)
				}
			},
			"the store is copied": func(*rapid.T) {
				w.copied = &world{records: maps.Clone(w.records), register: w.register}
			},
			"the store is restored": func(t *rapid.T) {
				if w.copied == nil {
					return
				}
				w.era, w.records, w.register, w.wrote = w.era+1, maps.Clone(w.copied.records), w.copied.register, w.wrote+1
				for _, p := range w.processes {
					if !p.cut {
						p.book.Restored(w.now)
					}
				}
			},
			"a request is sent": func(t *rapid.T) {
				tick()
				p := one("at")
				if open := p.open(); len(open) > 0 {
					w.requests++
					s := stream{key: origin.KeyOf("w", fmt.Sprint(w.requests)), at: w.now, by: p}
					w.send(s, rapid.SampledFrom(open).Draw(t, "server"), restart(t), turn)
				}
			},
			"an attempt fails": func(t *rapid.T) {
				tick()
				if len(w.sent) == 0 {
					return
				}
				n := rapid.IntRange(0, len(w.sent)-1).Draw(t, "request")
				s := w.sent[n]
				w.sent = slices.Delete(w.sent, n, n+1)
				if open := s.by.open(); len(open) > 0 {
					w.send(s, rapid.SampledFrom(open).Draw(t, "server"), restart(t), turn)
				}
			},
			"a stream begins": func(t *rapid.T) {
				tick()
				if len(w.sent) == 0 {
					return
				}
				n := rapid.IntRange(0, len(w.sent)-1).Draw(t, "request")
				s := w.sent[n]
				w.sent = slices.Delete(w.sent, n, n+1)
				s.by.book.Begin(w.now, s.key, s.software, s.attempt)
				if rapid.Bool().Draw(t, "whole") {
					s.by.book.End(w.now, s.key)
				}
				w.streams = append(w.streams, s)
			},
			"a stream is taken up": func(t *rapid.T) {
				tick()
				if len(w.streams) == 0 {
					return
				}
				s := rapid.SampledFrom(w.streams).Draw(t, "stream")
				if w.now.Sub(s.at) < origin.Retention-time.Second {
					w.taken(t, one("at"), s, turn, false)
				}
			},
			"minutes pass": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "long") > 0 {
					return
				}
				for _, p := range w.processes {
					// Servers end within seconds of leaving the list.
					p.listed = slices.DeleteFunc(p.listed, func(s origin.Software) bool { return !w.serving[s] })
					if !p.cut {
						w.list(p)
					}
				}
				w.now = w.now.Add(origin.Retention)
			},
		})
	})
}

func compareSoftware(a, b origin.Software) int {
	if a.Service+"\n"+a.Version < b.Service+"\n"+b.Version {
		return -1
	}
	return 1
}

// In touch, streams go on: at any process, while one version or several serve, and after all
// processes were killed once records are saved.
func TestStreamsGoOnWhereProcessesAreInTouch(t *testing.T) {
	cases := []struct {
		name     string
		versions int
		kill     bool
		wait     bool // records are written only while the lookup waits
	}{
		{"one version", 1, false, false},
		{"one version, all killed", 1, true, false},
		{"two versions", 2, false, false},
		{"two versions, written during the lookup", 2, false, true},
		{"three versions, all killed", 3, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(3)
			for i := range c.versions {
				w.serving[origin.Software{Service: "s", Version: fmt.Sprintf("v%d", i+1)}] = true
			}
			ready := func() {
				for _, p := range w.processes {
					w.list(p)
					w.complete(p, func() {}, false)
				}
			}
			ready()
			save := func() {
				for _, p := range w.processes {
					for range 10 {
						w.save(p, false, false)
					}
				}
			}
			for n := range 30 {
				p := w.processes[n%3]
				at := origin.Software{Service: "s", Version: fmt.Sprintf("v%d", n%c.versions+1)}
				require.True(t, p.book.MayBegin(at))
				key := origin.KeyOf("w", fmt.Sprint(n))
				p.book.Begin(w.now, key, at, origin.Attempt{})
				w.streams = append(w.streams, stream{key: key, software: at, at: w.now, by: p})
			}
			if !c.wait {
				save()
			}
			if c.kill {
				for i := range w.processes {
					w.processes[i] = &process{}
				}
				ready()
			}
			for n, s := range w.streams {
				w.taken(t, w.processes[(n+1)%3], s, save, true)
			}
		})
	}
}

// Guards against a record that names another version than the one that began its stream.
func TestRecordedRequestsBeginAtTheirVersion(t *testing.T) {
	v1, v2 := origin.Software{Service: "s", Version: "v1"}, origin.Software{Service: "s", Version: "v2"}
	cases := []struct {
		name   string
		handed bool // the first attempt's version has been handed out to be written
		begins origin.Software
	}{
		{"recorded", true, v1},
		{"not yet", false, v2},
	}
	for _, c := range cases {
		w := newWorld(2)
		w.serving[v2] = true
		for _, p := range w.processes {
			w.list(p)
			w.complete(p, func() {}, false)
		}
		first, key := w.processes[0], origin.KeyOf("w", "r")
		require.Equal(t, v1, first.book.Send(w.now, key, v1, origin.Software{}, origin.Attempt{}))
		if c.handed {
			w.save(first, true, true)
		}
		require.Equal(t, c.begins, first.book.Send(w.now, key, v2, v1, origin.Attempt{}), c.name)
		first.book.Begin(w.now, key, c.begins, origin.Attempt{})
		w.save(first, false, false)
		w.write(w.late)
		got, goes := w.lookup(w.processes[1], key, "s", func() {})
		require.True(t, goes, c.name)
		require.Equal(t, c.begins, got.Software, c.name)
	}
}

// Guards against a record that changes as a process forgets that it has handed it out.
func TestFullBookChangesNoRecord(t *testing.T) {
	var book origin.Book
	v1, v2 := origin.Software{Service: "s", Version: "v1"}, origin.Software{Service: "s", Version: "v2"}
	book.SetRegister(start, origin.Register{Services: map[string][]string{"s": {"v1", "v2"}}, Revision: 1}, 0)
	key := origin.KeyOf("w", "r")
	book.Send(start, key, v1, origin.Software{}, origin.Attempt{})
	require.Len(t, book.Unsaved(start, 8), 1)
	for i := range 1 << 16 {
		book.Send(start.Add(time.Second), origin.KeyOf("w", fmt.Sprint(i)), v1, origin.Software{}, origin.Attempt{})
	}
	require.Equal(t, v1, book.Send(start.Add(2*time.Second), key, v2, v1, origin.Attempt{}))
}

// Streams that began before a second version came are known too: those under way, and those
// that broke off.
func TestSecondVersionHasEarlierStreamsSaved(t *testing.T) {
	w := newWorld(2)
	first, second := w.processes[0], w.processes[1]
	v1 := origin.Software{Service: "s", Version: "v1"}
	for _, p := range w.processes {
		w.list(p)
		w.complete(p, func() {}, false)
	}
	open, ended := origin.KeyOf("w", "open"), origin.KeyOf("w", "ended")
	first.book.Begin(w.now, open, v1, origin.Attempt{})
	first.book.Begin(w.now, ended, v1, origin.Attempt{})
	first.book.End(w.now, ended)
	w.save(first, false, false)
	require.Empty(t, w.records, "one version needs no records")
	w.now = w.now.Add(time.Minute)
	w.serving[origin.Software{Service: "s", Version: "v2"}] = true
	for _, p := range w.processes {
		w.list(p)
		require.False(t, p.book.MayBegin(origin.Software{Service: "s", Version: "v2"}), "not before others know of it")
		w.complete(p, func() {}, false)
	}
	w.save(first, false, false)
	require.Len(t, w.records, 1, "not those that ended long ago")
	got, goes := w.lookup(second, open, "s", func() {})
	require.True(t, goes)
	require.Equal(t, v1, got.Software)
}

// A version that has had no server for minutes is dropped, so that records need no longer
// be written.
func TestVersionWithoutServersIsDropped(t *testing.T) {
	w := newWorld(2)
	v2 := origin.Software{Service: "s", Version: "v2"}
	w.serving[v2] = true
	for _, p := range w.processes {
		w.list(p)
		w.complete(p, func() {}, false)
	}
	delete(w.serving, origin.Software{Service: "s", Version: "v1"})
	for _, p := range w.processes {
		w.list(p)
	}
	w.now = w.now.Add(origin.Retention - time.Second)
	require.False(t, w.processes[0].book.Incomplete(w.now, 0))
	w.now = w.now.Add(time.Second)
	for _, p := range w.processes {
		require.True(t, p.book.Incomplete(w.now, 0))
		w.complete(p, func() {}, false)
		require.False(t, p.book.Incomplete(w.now, 0))
		only, single := w.register.Only("s", "")
		require.True(t, single)
		require.Equal(t, "v2", only)
	}
}

// A register of an earlier era of the store, or one that can't be read, may lack versions.
func TestRegisterThatMayLackVersionsNamesNoOnlyOne(t *testing.T) {
	cases := []struct {
		name   string
		stored origin.Register
		era    uint64
	}{
		{"written before the store came back from a copy", origin.Register{Services: map[string][]string{"s": {"v1"}}}, 1},
		{"unreadable", origin.Unreadable(), 0},
		{"lost with the copy", origin.Register{}, 2},
	}
	for _, c := range cases {
		var book origin.Book
		book.SetListed(start, []origin.Software{{Service: "s", Version: "v1"}})
		book.SetRegister(start, c.stored, c.era)
		next, changed := book.Amend(start, c.stored, c.era)
		require.True(t, changed, c.name)
		book.SetRegister(start, next, c.era)
		_, single := next.Only("s", "")
		require.False(t, single, c.name)
		require.True(t, book.MayBegin(origin.Software{Service: "s", Version: "v1"}), c.name)
		require.False(t, book.Incomplete(start, c.era), c.name)
	}
	for _, text := range []string{"", "[]", `{"services":[]}`, `{"services":{"s":[1]}}`} {
		_, err := origin.ParseRegister([]byte(text))
		require.ErrorIs(t, err, chicoryrock.ErrInvalid, text)
	}
	for _, text := range []string{"", "{}", `{"service":"s"}`, `{"service":"s","version":2}`} {
		_, err := origin.ParseValue(origin.Key{}, []byte(text))
		require.ErrorIs(t, err, chicoryrock.ErrInvalid, text)
	}
}

// A stream that two versions wrote goes on nowhere, though earlier writes of its record are
// carried out late or the store loses it for a while.
func TestMixedStreamGoesOnNowhere(t *testing.T) {
	v1, v2 := origin.Software{Service: "s", Version: "v1"}, origin.Software{Service: "s", Version: "v2"}
	cases := []struct {
		name   string
		before func(w *world, p *process) // before it is mixed
		after  func(w *world, p *process)
	}{
		{"its record is written already", func(w *world, p *process) { w.save(p, false, false) }, func(*world, *process) {}},
		{"it has none yet", func(*world, *process) {}, func(*world, *process) {}},
		{"an earlier write is late", func(w *world, p *process) { w.save(p, false, true) }, func(w *world, p *process) {
			w.write(w.late)
			w.save(p, false, false)
		}},
		{"the store has lost it", func(w *world, p *process) { w.save(p, false, false) }, func(w *world, p *process) {
			clear(w.records)
			p.book.Restored(w.now)
			w.save(p, false, false)
		}},
	}
	for _, c := range cases {
		w := newWorld(3)
		w.serving[v2] = true
		for _, p := range w.processes {
			w.list(p)
			w.complete(p, func() {}, false)
		}
		first, key := w.processes[0], origin.KeyOf("w", "r")
		first.book.Send(w.now, key, v1, origin.Software{}, origin.Attempt{Server: "a"})
		c.before(w, first)
		first.book.Begin(w.now, key, v1, origin.Attempt{Server: "a"})
		w.write([]origin.Record{first.book.Mix(w.now, key, v1)})
		c.after(w, first)
		for n, p := range w.processes {
			_, goes := w.lookup(p, key, "s", func() {})
			require.False(t, goes, "%s: process %d", c.name, n)
		}
	}
	p := newWorld(1).processes[0]
	p.book.Mix(start, origin.KeyOf("w", "taken up"), v1)
	_, known := p.book.Find(start, origin.KeyOf("w", "taken up"))
	require.True(t, known, "one that began elsewhere")
}

// Guards against a process that knows a stream itself and misses that another one has marked it.
func TestMarkOfAnotherProcessIsSeen(t *testing.T) {
	v1 := origin.Software{Service: "s", Version: "v1"}
	cases := []struct {
		name  string
		cut   bool // the process that began the stream can't read the store
		early bool // the store has a record of an attempt that failed
		mixed bool
		goes  bool
	}{
		{"not marked", false, false, false, true},
		{"not marked, written too early", false, true, false, true},
		{"marked", false, false, true, false},
		{"marked, and the store can't be read", true, false, true, true},
	}
	for _, c := range cases {
		w := newWorld(2)
		for _, p := range w.processes { // the register has one version, and the first process reads it no more
			w.list(p)
			w.complete(p, func() {}, false)
		}
		first, other, key := w.processes[0], w.processes[1], origin.KeyOf("w", "r")
		first.book.Send(w.now, key, v1, origin.Software{}, origin.Attempt{Server: "a"})
		first.book.Begin(w.now, key, v1, origin.Attempt{Server: "a"})
		if c.early {
			w.write([]origin.Record{{Key: key, Software: v1, Attempts: []origin.Attempt{{Server: "failed"}}}})
		}
		if c.mixed {
			w.write([]origin.Record{other.book.Mix(w.now, key, v1)})
		}
		first.cut = c.cut
		record, goes := w.lookup(first, key, "s", func() {})
		require.Equal(t, c.goes, goes, c.name)
		if goes {
			require.Equal(t, v1, record.Software, c.name)
			require.Equal(t, []origin.Attempt{{Server: "a"}}, record.Attempts, c.name)
		}
		first.cut = false
		_, goes = w.lookup(first, key, "s", func() {})
		require.Equal(t, !c.mixed, goes, "%s: once the store is back", c.name)
	}
}
