package evacuation

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

func TestMain(m *testing.M) { property.Run(m, property.Size{Checks: 3000, Steps: 60}) }

var start = time.Date(2026, 12, 6, 8, 0, 0, 0, time.UTC)

var centres = []string{"a", "b", "c"}

// history is what the store held at each of its revisions, in all eras.
type history struct {
	era, number uint64
	at          map[uint64]map[string]bool // by revision, the evacuated data centres
	written     map[string]uint64          // when each key that exists was written
	ever        map[string]uint64          // by data centre, the first era in which it was evacuated, plus one

	copied     uint64 // number of the copy
	copiedKeys map[string]uint64
}

func (h *history) revision() uint64 { return chicoryrock.RevisionIn(h.era, h.number) }

func (h *history) note() {
	evacuated := map[string]bool{}
	for centre := range h.written {
		evacuated[centre] = true
		if h.ever[centre] == 0 {
			h.ever[centre] = h.era + 1
		}
	}
	h.at[h.revision()] = evacuated
}

// message is an answer of the store or a state of a front, on its way to a front.
type message struct {
	to     int
	state  State             // complete
	events []Fact            // of a watch, up to the state's revision, if it isn't complete
	heard  map[string]uint64 // by data centre, the revision up to which the sender knows the truth
}

// front is a list with what its process has heard, by the oracle.
type front struct {
	List

	heard  map[string]uint64 // by data centre
	cursor uint64            // of its watch; zero for none
}

type world struct {
	history

	now    time.Time
	fronts []front
	way    []message
}

func (w *world) read() State {
	state := State{Revision: w.revision()}
	for _, centre := range slices.Sorted(maps.Keys(w.written)) {
		state.Facts = append(state.Facts, Fact{centre, chicoryrock.RevisionIn(w.era, w.written[centre]), true})
	}
	return state
}

// complete says that all is known up to a revision.
func complete(revision uint64) map[string]uint64 {
	heard := map[string]uint64{}
	for _, centre := range centres {
		heard[centre] = revision
	}
	return heard
}

// deliver hands a message to its front.
func (w *world) deliver(m *message) {
	f := &w.fronts[m.to]
	if m.events == nil {
		f.Read(w.now, &m.state)
	} else {
		for _, fact := range m.events {
			f.Learn(w.now, fact)
		}
		f.CaughtUp(m.state.Revision)
	}
	for centre, revision := range m.heard {
		f.heard[centre] = max(f.heard[centre], revision)
	}
}

// exchange sends a front's state to another one, which answers if that one lacks something.
func (w *world) exchange(from, to int) {
	state := w.fronts[from].State()
	w.deliver(&message{to: to, state: state, heard: w.fronts[from].heard})
	if w.fronts[to].Exceeds(&state) {
		w.deliver(&message{to: from, state: w.fronts[to].State(), heard: w.fronts[to].heard})
	}
}

// check holds each front's belief against the oracle:
//
//   - Of each data centre, a front believes what the store held at the newest revision of
//     which it has heard anything on that data centre, in whatever order it heard it.
//   - Where the store has come back from a copy since an evacuation, and has lost it, the
//     front may believe in it for a while longer.
func (w *world) check(t *rapid.T, settled bool) {
	for i := range w.fronts {
		f := &w.fronts[i]
		for _, centre := range centres {
			want, got := w.at[f.heard[centre]][centre], slices.Contains(f.Evacuated(), centre)
			era := chicoryrock.RevisionEra(f.heard[centre])
			mayHold := !settled && w.ever[centre] > 0 && w.ever[centre] <= era
			if got != want && (want || !mayHold) {
				t.Fatalf("front %d, data centre %s: %t, the store said %t at %x", i, centre, got, want, f.heard[centre])
			}
		}
	}
}

// Several fronts hear of one store by whole reads, watches and each other. All that they are
// told may be late, lost, doubled and out of order; the store may be silent for some, and come
// back from a copy; fronts start anew. Guards against a front that goes back to an older
// belief, and against one that stays with it once it is told.
func TestBeliefsFollowTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: start, history: history{at: map[uint64]map[string]bool{}, written: map[string]uint64{}, ever: map[string]uint64{}}}
		w.note()
		for range rapid.IntRange(2, 6).Draw(t, "fronts") {
			w.fronts = append(w.fronts, front{heard: complete(0)})
		}
		draw := func() int { return rapid.IntRange(0, len(w.fronts)-1).Draw(t, "front") }
		t.Repeat(map[string]func(*rapid.T){
			"evacuate or take back": func(t *rapid.T) {
				centre := rapid.SampledFrom(centres).Draw(t, "centre")
				w.number++
				if _, found := w.written[centre]; found && rapid.Bool().Draw(t, "back") {
					delete(w.written, centre)
				} else {
					w.written[centre] = w.number
				}
				w.note()
			},
			"other write": func(*rapid.T) { w.number++; w.note() },
			"read": func(*rapid.T) {
				to := draw()
				w.fronts[to].cursor = w.revision()
				w.way = append(w.way, message{to: to, state: w.read(), heard: complete(w.revision())})
			},
			"watch": func(*rapid.T) {
				to := draw()
				f := &w.fronts[to]
				// A watch begins with what its process has taken in, in the store's era.
				if f.cursor == 0 || f.heard["a"] < f.cursor || chicoryrock.RevisionEra(f.cursor) != w.era {
					return
				}
				events := []Fact{}
				for revision := f.cursor + 1; revision <= w.revision(); revision++ {
					for _, centre := range centres {
						if w.at[revision][centre] != w.at[revision-1][centre] {
							events = append(events, Fact{centre, revision, w.at[revision][centre]})
						}
					}
				}
				w.way = append(w.way, message{to: to, state: State{Revision: w.revision()}, events: events, heard: complete(w.revision())})
				f.cursor = w.revision()
			},
			"tell": func(t *rapid.T) {
				from := &w.fronts[draw()]
				state := from.State()
				if data := state.Append(nil); from.Known() {
					parsed, err := Parse(data)
					require.NoError(t, err)
					w.way = append(w.way, message{to: draw(), state: parsed, heard: maps.Clone(from.heard)})
				}
			},
			"deliver": func(t *rapid.T) {
				if len(w.way) == 0 {
					return
				}
				i := rapid.IntRange(0, len(w.way)-1).Draw(t, "message")
				w.deliver(&w.way[i])
				if rapid.IntRange(0, 3).Draw(t, "doubled") > 0 {
					w.way = slices.Delete(w.way, i, i+1)
				}
			},
			"lose": func(t *rapid.T) {
				if len(w.way) > 0 {
					i := rapid.IntRange(0, len(w.way)-1).Draw(t, "message")
					w.way = slices.Delete(w.way, i, i+1)
				}
			},
			"start anew": func(*rapid.T) {
				i := draw()
				w.fronts[i] = front{heard: complete(0)}
				w.way = slices.DeleteFunc(w.way, func(m message) bool { return m.to == i })
			},
			"copy": func(*rapid.T) { w.copied, w.copiedKeys = w.number, maps.Clone(w.written) },
			"restore": func(t *rapid.T) {
				if w.copiedKeys != nil && rapid.IntRange(0, 3).Draw(t, "rare") == 0 {
					w.era++
					w.number, w.written = w.copied, maps.Clone(w.copiedKeys)
					w.note()
				}
			},
			"pass": func(*rapid.T) {
				w.now = w.now.Add(lostTime / 3)
				for i := range w.fronts {
					w.fronts[i].Expire(w.now)
				}
			},
			"": func(t *rapid.T) { w.check(t, false) },
		})
		// The store answers one of the fronts, and the others hear of it.
		w.deliver(&message{to: 0, state: w.read(), heard: complete(w.revision())})
		for range 2 {
			for i := 1; i < len(w.fronts); i++ {
				w.exchange(i, 0)
			}
			w.now = w.now.Add(lostTime)
			for i := range w.fronts {
				w.fronts[i].Expire(w.now)
			}
		}
		w.check(t, true)
		for i := range w.fronts {
			require.Equal(t, slices.Sorted(maps.Keys(w.written)), w.fronts[i].Evacuated(), "front %d", i)
		}
	})
}

// Guards against a state that does not fit into a datagram, whatever operators write.
func TestStatesAreBounded(t *testing.T) {
	var list List
	for i := range 1000 {
		centre := fmt.Sprintf("%0*d", maxName, i)
		list.Learn(start, Fact{centre, uint64(2*i + 1), true})
		if i >= maxCentres/2 {
			list.Learn(start, Fact{centre, uint64(2*i + 2), false})
		}
	}
	list.Learn(start, Fact{fmt.Sprintf("%0*d", maxName+1, 0), 5000, true})
	require.Len(t, list.Evacuated(), maxCentres/2)
	state := list.State()
	require.Len(t, state.Facts, maxCentres)
	require.Less(t, len(state.Append(nil)), 16<<10)
}

// Guards against a panic on what is no state.
func FuzzParse(f *testing.F) {
	state := State{7, []Fact{{"a", 5, true}}}
	f.Add(state.Append(nil))
	f.Add([]byte{FormatVersion})
	f.Fuzz(func(t *testing.T, data []byte) {
		parsed, err := Parse(data)
		if err != nil {
			require.ErrorIs(t, err, chicoryrock.ErrInvalid)
			return
		}
		var list List
		list.Read(start, &parsed)
		list.Exceeds(&parsed)
	})
}
