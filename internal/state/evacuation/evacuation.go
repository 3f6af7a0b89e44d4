// Package evacuation holds which data centres are being evacuated, as far as a process knows
// from the store and from other processes.
//
// For each data centre that was ever evacuated it keeps the newest fact: that it was, or was
// no longer, evacuated at a revision of the store. For all others it is known that they were
// not evacuated at the revision of the list. Facts only give way to later ones, in whatever
// order they arrive. The era in the upper bits of a revision makes facts of a store that has
// come back from an older copy later than all of those before.
//
// The package does no I/O and takes the present time as an argument. It is not safe for
// concurrent use.
package evacuation

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

const (
	// FormatVersion is the first byte of an encoded state. It differs from that of the other
	// datagrams between processes.
	FormatVersion = 0x45
	// maxCentres is how many data centres are kept, so that a state fits into a datagram.
	maxCentres = 64
	// maxName is the longest name of a data centre, bytes.
	maxName = 128
	// lostTime is how long an evacuation stays in force that a store which has come back
	// from a copy has lost. Until then it can be written again.
	lostTime = time.Minute
)

// Fact states whether a data centre was evacuated at a revision of the store.
type Fact struct {
	Centre    string `json:"centre"`
	Revision  uint64 `json:"revision"`
	Evacuated bool   `json:"evacuated,omitempty"`
}

// isLost reports whether the fact is an evacuation from before a return of the store from a
// copy, which the store has lost by a revision.
func (f *Fact) isLost(revision uint64) bool {
	return f.Evacuated && chicoryrock.RevisionEra(f.Revision) < chicoryrock.RevisionEra(revision)
}

// State is all that a process knows: the facts, sorted by data centre, and that no other data
// centre was evacuated at a revision.
type State struct {
	Revision uint64 `json:"revision"`
	Facts    []Fact `json:"facts,omitempty"`
}

// Append appends the encoded state to data.
func (s *State) Append(data []byte) []byte {
	encoded, _ := json.Marshal(s) // never fails
	return append(append(data, FormatVersion), encoded...)
}

// Parse decodes a state. Error: chicoryrock.ErrInvalid.
func Parse(data []byte) (State, error) {
	if len(data) == 0 || data[0] != FormatVersion {
		return State{}, errors.Wrap(chicoryrock.ErrInvalid, "no state of evacuations")
	}
	var state State
	if err := json.Unmarshal(data[1:], &state); err != nil {
		return State{}, errors.Wrapf(chicoryrock.ErrInvalid, "state of evacuations: %v", err)
	}
	return state, nil
}

// factOf returns the fact on a data centre, one without an evacuation if there is none.
func (s *State) factOf(centre string) Fact {
	for _, fact := range s.Facts {
		if fact.Centre == centre {
			return fact
		}
	}
	return Fact{Centre: centre}
}

// revisionOf returns the revision up to which a state tells of a data centre. That is the
// revision of a fact which the store may have lost since.
func (s *State) revisionOf(centre string) uint64 {
	fact := s.factOf(centre)
	if fact.isLost(s.Revision) {
		return fact.Revision
	}
	return max(fact.Revision, s.Revision)
}

// evacuates reports whether a data centre is evacuated by a state, and not only because the
// store may have lost that.
func (s *State) evacuates(centre string) bool {
	fact := s.factOf(centre)
	return fact.Evacuated && !fact.isLost(s.Revision)
}

// List is what a process knows. The zero value knows nothing.
type List struct {
	revision  uint64
	facts     map[string]*fact // by data centre
	changes   int              // facts learned
	changedAt time.Time        // of the last of them
}

// fact is a Fact of the list's own.
type fact struct {
	Fact

	lostAt time.Time // since when the store, after its return from a copy, lacks it; zero otherwise
}

// Known reports whether the store or another process has told anything yet.
func (l *List) Known() bool { return l.revision > 0 }

// Changes returns how many facts have been learned, and when the last one was.
func (l *List) Changes() (count int, last time.Time) { return l.changes, l.changedAt }

// Evacuated returns the data centres that are being evacuated, sorted.
func (l *List) Evacuated() []string {
	var centres []string
	for _, centre := range slices.Sorted(maps.Keys(l.facts)) {
		if l.facts[centre].Evacuated {
			centres = append(centres, centre)
		}
	}
	return centres
}

// State returns all that is known, for other processes.
func (l *List) State() State {
	state := State{Revision: l.revision}
	for _, centre := range slices.Sorted(maps.Keys(l.facts)) {
		state.Facts = append(state.Facts, l.facts[centre].Fact)
	}
	return state
}

// Learn takes in one fact, such as an event of a watch.
func (l *List) Learn(now time.Time, learned Fact) {
	if learned.Centre == "" || len(learned.Centre) > maxName {
		return
	}
	present := l.facts[learned.Centre]
	switch {
	case learned.Revision <= l.revision && !learned.isLost(l.revision):
		return // all up to the list's revision is known
	case present != nil && learned.Revision <= present.Revision:
		return
	case present == nil && !l.makeRoom():
		return
	case present == nil:
		if l.facts == nil {
			l.facts = make(map[string]*fact)
		}
		present = &fact{}
		l.facts[learned.Centre] = present
	}
	*present = fact{Fact: learned}
	l.record(now)
}

func (l *List) record(now time.Time) {
	l.changes++
	l.changedAt = now
}

// makeRoom reports whether there is room for one more data centre, after dropping the oldest
// fact on one that is not evacuated if necessary.
func (l *List) makeRoom() bool {
	if len(l.facts) < maxCentres {
		return true
	}
	over := slices.DeleteFunc(slices.Collect(maps.Values(l.facts)), func(f *fact) bool { return f.Evacuated })
	if len(over) == 0 {
		return false
	}
	oldest := slices.MinFunc(over, func(a, b *fact) int { return cmp.Compare(a.Revision, b.Revision) })
	delete(l.facts, oldest.Centre)
	return true
}

// CaughtUp takes in that all changes of the store up to a revision have been learned.
func (l *List) CaughtUp(revision uint64) { l.revision = max(l.revision, revision) }

// Read takes in a complete read of the store at a revision, or what another process knows.
func (l *List) Read(now time.Time, state *State) {
	for _, learned := range state.Facts {
		l.Learn(now, learned)
	}
	l.CaughtUp(state.Revision)
	for centre, present := range l.facts {
		switch {
		case present.isLost(l.revision):
			if present.lostAt.IsZero() {
				present.lostAt = now
			}
		case present.Evacuated && present.Revision < state.Revision && !state.evacuates(centre):
			l.end(now, present, state.Revision)
		}
	}
}

// end takes in that a data centre is no longer evacuated at a revision.
func (l *List) end(now time.Time, present *fact, revision uint64) {
	*present = fact{Fact: Fact{Centre: present.Centre, Revision: revision}}
	l.record(now)
}

// Expire ends the evacuations that the store lost some time ago.
func (l *List) Expire(now time.Time) {
	for _, present := range l.facts {
		if !present.lostAt.IsZero() && now.Sub(present.lostAt) >= lostTime {
			l.end(now, present, l.revision)
		}
	}
}

// Exceeds reports whether a process with a state lacks something that is known here, so that
// it believes otherwise or will.
func (l *List) Exceeds(state *State) bool {
	own := l.State()
	return own.corrects(state, own.Facts) || own.corrects(state, state.Facts)
}

// corrects reports whether a state is newer than another one on one of the data centres of
// some facts, and different.
func (s *State) corrects(other *State, facts []Fact) bool {
	return slices.ContainsFunc(facts, func(f Fact) bool {
		if s.revisionOf(f.Centre) <= other.revisionOf(f.Centre) {
			return false
		}
		theirs := other.factOf(f.Centre)
		return s.factOf(f.Centre).Evacuated != theirs.Evacuated || theirs.isLost(other.Revision)
	})
}
