package origin_test

import (
	"fmt"
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
	records   map[origin.Key]origin.Record
	copied    *world // of the store alone
	serving   map[origin.Software]bool
	processes []*process
	restarted map[string]*restarted
	requests  int
	sent      []stream        // requests whose streams have not begun
	late      []origin.Record // whose writes are carried out later
	streams   []stream
}

// restarted is a server that has started again as another version, which its entry says later.
type restarted struct {
	software  origin.Software
	startedMs int64
	listed    bool
}

// process is one front with what it has read of the list of servers.
type process struct {
	book   origin.Book
	listed []origin.Software
	cut    bool   // from the store
	late   *reply // an answer of the store that has not been taken in yet
	life   int    // how often it was killed
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
	software origin.Software // that its process believes to begin it
	truth    origin.Software // that begins it; zero for software
	server   string          // that has started again; empty for none
	attempt  origin.Attempt  // the latest one
	life     int             // of its process
	at       time.Time
	by       *process
}

func newWorld(processes int) *world {
	w := &world{now: start, records: map[origin.Key]origin.Record{}, serving: map[origin.Software]bool{{Service: "s", Version: "v1"}: true}, restarted: map[string]*restarted{}}
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
		if w.records[records[i].Key], err = origin.ParseValue(records[i].Key, value); err != nil {
			panic(err)
		}
	}
}

// send has a process send a request to a server of some software, or to one at which its
// stream was recorded if there is one. The server may have started again as another version; where
// the record is moved, others act between its write and the answer.
func (w *world) send(s stream, at origin.Software, version string, between func()) {
	attempt := origin.Attempt{Server: "steady", SentMs: w.now.UnixMilli()}
	s.truth, s.server = origin.Software{}, ""
	if version != "" {
		s.truth, s.server = origin.Software{Service: at.Service, Version: version}, fmt.Sprint(len(w.restarted))
		w.restarted[s.server] = &restarted{software: s.truth, startedMs: attempt.SentMs - 10}
		attempt.Server, attempt.StartedMs = s.server, attempt.SentMs-1000
	}
	s.software = s.by.book.Send(w.now, s.key, at, s.software, attempt)
	if s.software != at {
		if slices.Contains(s.by.listed, s.software) {
			// It goes to a server of that version.
			s.truth, s.server = origin.Software{}, ""
			attempt = origin.Attempt{Server: "steady", SentMs: w.now.UnixMilli()}
			s.by.book.Send(w.now, s.key, s.software, s.software, attempt)
		} else {
			if s.by.cut || at.Version == "" || !s.by.book.StartMove(s.key) {
				return
			}
			record := origin.Record{Key: s.key, Software: at, Attempts: []origin.Attempt{attempt}}
			w.write([]origin.Record{record})
			between()
			if !s.by.book.Moved(&record) {
				return
			}
			s.software = at
		}
	}
	s.attempt, s.life = attempt, s.by.life
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
	*p = process{life: p.life + 1}
}

// lookup plays a lookup of a process for a service; during the wait others save.
func (w *world) lookup(p *process, key origin.Key, service string, during func()) (origin.Record, bool) {
	l := origin.Lookup{Book: &p.book, Key: key, Service: service}
	for range 20 {
		switch step := l.Next(w.now); {
		case step == origin.GoOn:
			return l.Record(), true
		case step == origin.Refuse:
			return origin.Record{}, false
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
			if record, found := w.records[key]; found {
				l.Found(w.now, record)
			} else {
				l.Missed()
			}
		}
	}
	panic("a lookup without end")
}

// doubts reports whether a server that may have begun a stream is listed with another version, of
// a start that may have answered.
func (w *world) doubts(record *origin.Record) bool {
	return slices.ContainsFunc(record.Attempts, func(attempt origin.Attempt) bool {
		server := w.restarted[attempt.Server]
		return server != nil && server.listed && server.software != record.Software && !attempt.Before(server.startedMs)
	})
}

// knows reports whether it can be known as which version a server that began a stream has
// started: the store says so, and the record that was found is no earlier one than the attempt.
func (w *world) knows(s stream, found *origin.Record) bool {
	if s.server == "" {
		return true
	}
	stored := w.stored()
	named := slices.ContainsFunc(found.Attempts, func(attempt origin.Attempt) bool { return attempt.Server == s.server })
	return w.restarted[s.server].listed && stored.Has(s.truth) && (found.Attempts == nil || named)
}

// taken checks one take-up. It must not join two versions, and succeeds where everybody is
// in touch.
func (w *world) taken(t require.TestingT, p *process, s stream, during func(), calm bool) {
	truth := s.software
	if s.server != "" {
		truth = s.truth
	}
	record, goes := w.lookup(p, s.key, s.software.Service, during)
	if goes && w.doubts(&record) {
		goes = false
		require.False(t, p == s.by && p.life == s.life && s.server == "", "a stream is doubted for an attempt that failed")
	}
	if goes && w.knows(s, &record) {
		require.Equal(t, truth, record.Software, "the stream began at another version")
	}
	if calm {
		require.True(t, goes, "the stream could go on")
	}
}
