package origin_test

import (
	"maps"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/internal/state/origin"
)

// world is a store, processes and, as the oracle, what really began each stream. The oracle
// knows nothing of registers and records.
type world struct {
	now       time.Time
	era       uint64
	register  *origin.Register
	wrote     uint64 // writes of the register, for conditions
	records   map[origin.Key]origin.Software
	copied    *world // of the store alone
	serving   map[origin.Software]bool
	processes []*process
	requests  int
	sent      []stream        // requests whose streams have not begun
	late      []origin.Record // whose writes are carried out later
	streams   []stream
}

// process is one front with what it has read of the list of servers.
type process struct {
	book   origin.Book
	listed []origin.Software
	cut    bool   // from the store
	late   *reply // an answer of the store that has not been taken in yet
}

// reply is the register as the store answered it in an era.
type reply struct {
	register origin.Register
	era      uint64
}

// arrive has a late answer taken in, which others may have overtaken.
func (w *world) arrive(p *process) {
	if p.late != nil {
		p.book.SetRegister(w.now, p.late.register, p.late.era)
		p.late = nil
	}
}

type stream struct {
	key      origin.Key
	software origin.Software
	at       time.Time
	by       *process
}

func newWorld(processes int) *world {
	w := &world{now: start, records: map[origin.Key]origin.Software{}, serving: map[origin.Software]bool{{Service: "s", Version: "v1"}: true}}
	for range processes {
		w.processes = append(w.processes, &process{})
	}
	return w
}

func (w *world) list(p *process) {
	p.listed = slices.Collect(maps.Keys(w.serving))
	p.book.SetListed(w.now, p.listed)
}

// stored returns the register as the store has it.
func (w *world) stored() origin.Register {
	if w.register == nil {
		return origin.Register{}
	}
	stored := *w.register
	stored.Revision = w.wrote
	return stored
}

// complete is a process's turn to read and write the register. Between both, others may
// write it; an answer may be lost.
func (w *world) complete(p *process, between func(), lost bool) {
	if p.cut || !p.book.Incomplete(w.now, w.era) {
		return
	}
	stored, wrote, era := w.stored(), w.wrote, w.era
	p.book.SetRegister(w.now, stored, era)
	next, changed := p.book.Amend(w.now, stored, era)
	between()
	if !changed || wrote != w.wrote || era != w.era {
		return
	}
	w.register, w.wrote = &next, w.wrote+1
	if next.Revision = w.wrote; !lost {
		p.book.SetRegister(w.now, next, era)
	}
}

// save has a process write its records. Where the answer is lost, the store may carry the
// write out later.
func (w *world) save(p *process, lost, late bool) {
	if p.cut {
		return
	}
	records := p.book.Unsaved(w.now, 8)
	if late {
		w.late = append(w.late, records...)
		return
	}
	w.write(records)
	if !lost {
		p.book.Saved(records)
	}
}

func (w *world) write(records []origin.Record) {
	for i := range records {
		value, err := records[i].Value()
		if err != nil {
			panic(err)
		}
		if w.records[records[i].Key], err = origin.ParseValue(value); err != nil {
			panic(err)
		}
	}
}

// send has a process send a request to a server of some software, or to one at which its
// stream was recorded if there is one.
func (w *world) send(s stream, at origin.Software) {
	s.software = s.by.book.Send(w.now, s.key, at, s.software)
	if s.software != at && !slices.Contains(s.by.listed, s.software) {
		if s.by.cut || !s.by.book.MayMove(s.key) {
			return
		}
		w.write([]origin.Record{{Key: s.key, Software: at}})
		if !s.by.book.Moved(s.key, at) {
			panic("a record that may be moved isn't")
		}
		s.software = at
	}
	w.sent = append(w.sent, s)
}

// open returns the software at which a process may begin streams.
func (p *process) open() []origin.Software {
	var open []origin.Software
	for _, listed := range p.listed {
		if p.book.MayBegin(listed) {
			open = append(open, listed)
		}
	}
	slices.SortFunc(open, compareSoftware)
	return open
}

// kill has a process begin anew.
func (w *world) kill(p *process) {
	w.sent = slices.DeleteFunc(w.sent, func(s stream) bool { return s.by == p })
	*p = process{}
}

// lookup plays a lookup of a process for a service; during the wait others save.
func (w *world) lookup(p *process, key origin.Key, service string, during func()) (origin.Software, bool) {
	l := origin.Lookup{Book: &p.book, Key: key, Service: service}
	for range 20 {
		switch step := l.Next(w.now); {
		case step == origin.GoOn:
			return l.Software(), true
		case step == origin.Refuse:
			return origin.Software{}, false
		case step == origin.AwaitRecords:
			w.now = w.now.Add(400 * time.Millisecond)
			during()
		case p.cut:
			l.Failed()
		case step == origin.ReadRegister:
			p.book.SetRegister(w.now, w.stored(), w.era)
			l.Read()
			w.arrive(p)
		default:
			if software, found := w.records[key]; found {
				l.Found(w.now, software)
			} else {
				l.Missed()
			}
		}
	}
	panic("a lookup without end")
}

// taken checks one take-up. It must not join two versions, and succeeds where everybody is
// in touch.
func (w *world) taken(t require.TestingT, p *process, s stream, during func(), calm bool) {
	software, goes := w.lookup(p, s.key, s.software.Service, during)
	if goes {
		require.Equal(t, s.software, software, "the stream began at another version")
	}
	if calm {
		require.True(t, goes, "the stream could go on")
	}
}
