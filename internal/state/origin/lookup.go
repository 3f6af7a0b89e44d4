package origin

import "time"

// Lookup finds out at which version a stream goes on that a caller takes up. Step says what
// to do; the shell does it and says what came of it.
type Lookup struct {
	Book    *Book
	Key     Key
	Service string // that serves the stream's route
	Model   string // that the stream is of; empty if not known

	read       bool // the register was read since the lookup began
	missed     bool // the store had no record
	waited     bool // for records that were under way then
	record     Record
	unreadable bool
}

// Step is what a lookup needs next.
type Step int

// Steps of a lookup.
const (
	// ReadRegister asks for SetRegister of the book and then Read.
	ReadRegister Step = iota
	// ReadRecord asks for Found or Missed.
	ReadRecord
	// AwaitRecords asks to wait for as long as processes take to save records.
	AwaitRecords
	// GoOn is the end: the stream goes on at the software of Record.
	GoOn
	// Refuse is the end: it isn't known which version began the stream, or several wrote it.
	Refuse
)

// Next returns the next step.
func (l *Lookup) Next(now time.Time) Step {
	if l.record.Version == "" {
		known, found := l.Book.Find(now, l.Key)
		if found && !known.Mixed && !l.missed && !l.unreadable {
			return ReadRecord // in which another process may have marked the stream as mixed
		}
		l.record = known
	}
	switch {
	case l.record.Mixed:
		return Refuse
	case l.record.Version != "":
		return GoOn
	case l.unreadable:
		return Refuse
	}
	only, single := l.Book.registrar.known.Only(l.Service, l.Model)
	switch {
	case single && !l.read:
		// Another process may have begun streams at a version that is not known here.
		return ReadRegister
	case single:
		l.record = Record{Key: l.Key, Software: Software{l.Service, only}}
		return GoOn
	case !l.missed:
		return ReadRecord
	case !l.read:
		// It may be the only one again, or be in use since.
		return ReadRegister
	case !l.waited:
		l.waited, l.missed = true, false
		return AwaitRecords
	}
	return Refuse
}

// Read says that the register has been read.
func (l *Lookup) Read() { l.read = true }

// Found says that the store has a record of the stream.
func (l *Lookup) Found(now time.Time, record Record) {
	l.Book.Learn(now, &record)
	l.record = record
	if known, found := l.Book.Find(now, l.Key); found {
		l.record = known
	}
}

// Knows reports whether the process can do without the store.
func (l *Lookup) Knows(now time.Time) bool {
	_, known := l.Book.Find(now, l.Key)
	return known
}

// Missed says that the store has no record of the stream.
func (l *Lookup) Missed() { l.missed = true }

// Failed says that the store could not be read.
func (l *Lookup) Failed() { l.unreadable = true }

// Record returns what began the stream, after GoOn. It has no attempts where any server could.
func (l *Lookup) Record() Record { return l.record }
