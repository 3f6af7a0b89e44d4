// Package origin knows which software version began each stream. What two versions write
// doesn't fit together, so a stream that broke off goes on only at the version that began
// it, and not at all where that isn't known.
//
// While a service has one version, that one began every stream, and a register in the
// store, which outlives all processes, says so. While it has several, each stream has a
// record in the store, written from when its request is sent: by its first event the record
// is mostly there, and outlives the process. A request that has a record begins its stream at
// the recorded version. The record changes only where no write of it can still be under way.
// It also names the servers that the request was sent to, whose listed versions may have been
// those of former starts.
//
// The package does no I/O and takes the present time as an argument. It is not safe for
// concurrent use.
package origin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

const (
	// Retention is how long after its request was sent a stream may be taken up, and for how
	// long a version without servers stays in the register.
	Retention = 4 * time.Minute
	// unfinished is how long after its end a stream that was passed on whole still counts
	// as one that its caller may lack the end of.
	unfinished = 10 * time.Second
	// maxStreams bounds the streams that a process knows.
	maxStreams = 1 << 16
	// maxAttempts bounds the attempts of a stream that are kept, the latest ones.
	maxAttempts = 8
	// clockTolerance is by how much the clocks of a process and a server may differ.
	clockTolerance = time.Second
)

// Key identifies a stream by its workspace and the ID of the request that brought its first
// event.
type Key [16]byte

// KeyOf returns the key of a stream.
func KeyOf(workspace, id string) Key {
	sum := sha256.Sum256([]byte(workspace + "\n" + id))
	return Key(sum[:16])
}

// String returns the key as the store spells it.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Attempt is an attempt to have a server begin a stream.
type Attempt struct {
	Server    string `json:"server"`
	StartedMs int64  `json:"born,omitempty"` // the server's start as it was listed; milliseconds since 1970, zero if not known
	SentMs    int64  `json:"sent"`           // by the clock of the process
}

// Before reports whether the attempt was sent before a server started, so that this start can't
// have answered it; false if the start isn't known.
func (a *Attempt) Before(startedMs int64) bool {
	return startedMs > a.SentMs+clockTolerance.Milliseconds()
}

// SentTo reports whether the attempt was sent to a start of its server, as far as it was listed;
// false if that isn't known.
func (a *Attempt) SentTo(startedMs int64) bool { return startedMs != 0 && startedMs == a.StartedMs }

// sameStart reports whether two attempts were sent to the same start of a server.
func (a *Attempt) sameStart(other *Attempt) bool {
	return a.Server == other.Server && a.StartedMs == other.StartedMs
}

// stream is what is known of one stream.
type stream struct {
	software Software
	attempts []Attempt // that may have begun it; a server's build is believed as it was listed then
	changed  bool      // its attempts have, since it was handed out
	began    time.Time // when its request was sent
	ended    time.Time // when it was passed on whole; zero before
	fixed    bool      // others may know its software: from its record, or by its first event
	saved    bool      // the store has it
	handed   int       // writes that were handed out and not acknowledged
	lost     bool      // one of these never will be
	begun    bool      // its first event has come
	mixed    bool      // its software has changed within it
	queued   bool      // it stands in Book.unsaved
	moving   bool      // its record is being written for other software
}

// Book is what one process knows. The zero value is empty and ready for use.
type Book struct {
	registrar registrar
	streams   map[Key]*stream
	order     []Key // of streams, by their age
	unsaved   []Key // those that the store lacks, and some that it has since
}

// Send records that a request is sent to a server of some software, which may begin its stream,
// and returns the software at which the stream may begin. That is another one if an attempt
// before was recorded, and then this one isn't. Before is what Send returned for that attempt, if
// there was one: the book may have forgotten it while the store has it still.
func (b *Book) Send(now time.Time, key Key, software, before Software, attempt Attempt) Software {
	if at := b.send(now, key, software, before); at != software {
		return at
	}
	if known := b.streams[key]; known != nil {
		b.note(key, known, attempt)
	}
	return software
}

// note adds an attempt to those of a stream.
func (b *Book) note(key Key, known *stream, attempt Attempt) {
	known.attempts = append(known.attempts, attempt)
	if len(known.attempts) > maxAttempts {
		known.attempts = slices.Clone(known.attempts[1:])
	}
	b.change(key, known)
}

// change has the record of a stream written again.
func (b *Book) change(key Key, known *stream) {
	known.changed = true
	b.queue(key)
}

// queue adds a stream to those whose records are to be written.
func (b *Book) queue(key Key) {
	if known := b.streams[key]; !known.queued {
		known.queued = true
		b.unsaved = append(b.unsaved, key)
	}
}

func (b *Book) send(now time.Time, key Key, software, before Software) Software {
	known := b.streams[key]
	switch {
	case known == nil && before.Version != "":
		b.add(now, key, &stream{software: before, began: now, fixed: true, handed: 1, lost: true})
		b.queue(key)
		return before
	case known == nil && software.Version != "":
		b.add(now, key, &stream{software: software, began: now})
		b.queue(key)
	case known == nil:
	case known.fixed:
		return known.software
	case known.software != software:
		// Attempts at the former one have not begun the stream.
		known.software, known.attempts = software, nil
	}
	return software
}

// StartMove reports whether the record of a request whose stream has not begun may be written
// anew, for other software: the store has acknowledged all writes of it. None is handed out
// until Moved; where the store doesn't acknowledge the move, none ever is.
func (b *Book) StartMove(key Key) bool {
	known := b.streams[key]
	if known == nil || !known.mayMove() || known.changed || known.moving {
		return false
	}
	known.moving = true
	return true
}

func (s *stream) mayMove() bool { return s.saved && s.handed == 0 && !s.begun }

// MayMoveLater reports whether StartMove may be true once the store has acknowledged a write.
func (b *Book) MayMoveLater(key Key) bool {
	known := b.streams[key]
	return known != nil && !known.begun && !known.lost && !known.moving
}

// Moved records that the store has acknowledged a record for other software. It reports false
// where a write of the former one may have been under way besides, as after a restore.
func (b *Book) Moved(record *Record) bool {
	known := b.streams[record.Key]
	if known == nil || !known.moving {
		return false
	}
	known.moving = false
	if !known.mayMove() {
		return false
	}
	known.software, known.attempts = record.Software, record.Attempts
	return true
}

// Begin records that an attempt of this process has brought a stream's first event, from software
// that Send has returned. The other attempts have not begun the stream.
func (b *Book) Begin(now time.Time, key Key, software Software, attempt Attempt) {
	b.send(now, key, software, Software{})
	known := b.streams[key]
	if known == nil {
		return
	}
	known.fixed, known.begun = true, true
	if len(known.attempts) != 1 || !known.attempts[0].sameStart(&attempt) {
		known.attempts = []Attempt{attempt}
		b.change(key, known)
	}
}

// Mix records that the software which writes a stream has changed within it, so that it goes on
// nowhere else. It returns the record that says so.
func (b *Book) Mix(now time.Time, key Key, software Software) Record {
	known := b.streams[key]
	if known == nil {
		known = &stream{software: software, began: now, fixed: true, begun: true}
		b.add(now, key, known)
	}
	known.mixed = true
	b.change(key, known)
	return known.record(key)
}

// End records that a stream was passed on whole.
func (b *Book) End(now time.Time, key Key) {
	if known := b.streams[key]; known != nil && known.ended.IsZero() {
		known.ended = now
	}
}

// Learn records what the store says of a stream. What this process knows itself counts for more,
// but not that nothing was mixed.
func (b *Book) Learn(now time.Time, record *Record) {
	if known := b.streams[record.Key]; known != nil {
		known.mixed = known.mixed || record.Mixed
	} else {
		b.add(now, record.Key, &stream{software: record.Software, attempts: record.Attempts, mixed: record.Mixed, began: now, fixed: true, saved: true, begun: true})
	}
}

func (b *Book) add(now time.Time, key Key, added *stream) {
	if b.streams == nil {
		b.streams = make(map[Key]*stream)
	}
	b.expire(now)
	b.streams[key] = added
	b.order = append(b.order, key)
}

// expire forgets the streams that are not taken up any more, and the oldest ones of too
// many.
func (b *Book) expire(now time.Time) {
	for len(b.order) > 0 {
		oldest := b.order[0]
		if known := b.streams[oldest]; now.Sub(known.began) < Retention && len(b.order) < maxStreams {
			return
		}
		delete(b.streams, oldest)
		b.order = b.order[1:]
	}
}

// Find returns the software that began a stream, if this process knows it.
func (b *Book) Find(now time.Time, key Key) (Record, bool) {
	known := b.streams[key]
	if known == nil || !known.fixed || known.software.Version == "" || now.Sub(known.began) >= Retention {
		return Record{}, false
	}
	return known.record(key), true
}

// Record is a stream as the store keeps it.
type Record struct {
	Key Key `json:"-"`
	Software
	Attempts []Attempt `json:"attempts,omitempty"` // that may have begun it
	Mixed    bool      `json:"mixed,omitempty"`    // its software has changed within it
}

func (s *stream) record(key Key) Record {
	return Record{Key: key, Software: s.software, Attempts: slices.Clone(s.attempts), Mixed: s.mixed}
}

// Unsaved returns up to a number of streams that the store should have and lacks: those of
// services with several versions. It returns the same ones until they are Saved, and their
// software is fixed from then on, as a write that fails may still be carried out.
func (b *Book) Unsaved(now time.Time, most int) []Record {
	b.expire(now)
	if !b.anyRecorded() && len(b.unsaved) <= 2*len(b.streams) {
		return nil
	}
	kept := b.unsaved[:0]
	var records []Record
	for _, key := range b.unsaved {
		known := b.streams[key]
		if known == nil {
			continue
		}
		if known.saved && !known.changed {
			known.queued = false
			continue
		}
		kept = append(kept, key)
		if known.software.Version == "" || known.moving || !b.recorded(known.software.Service) || len(records) == most {
			continue
		}
		if !known.ended.IsZero() && now.Sub(known.ended) >= unfinished {
			continue
		}
		known.fixed = true
		known.saved, known.changed = false, false
		known.lost = known.lost || known.handed > 0 // records are written one batch after another
		known.handed++
		records = append(records, known.record(key))
	}
	b.unsaved = kept
	return records
}

// recorded reports whether the streams of a service have records.
func (b *Book) recorded(service string) bool {
	_, only := b.registrar.known.Only(service, "")
	return !only
}

// anyRecorded reports whether the streams of some service may have records.
func (b *Book) anyRecorded() bool {
	for service := range b.registrar.known.Services {
		if b.recorded(service) {
			return true
		}
	}
	return len(b.registrar.known.Services) == 0
}

// Waits reports whether streams of a service wait to be saved as they are sent.
func (b *Book) Waits(service string) bool { return b.recorded(service) && len(b.unsaved) > 0 }

// Saved records that the store has streams.
func (b *Book) Saved(records []Record) {
	for i := range records {
		if known := b.streams[records[i].Key]; known != nil {
			known.saved = true
			known.handed--
		}
	}
}

// Restored records that the store has come back from a copy, and may lack what it had.
func (b *Book) Restored(now time.Time) {
	b.expire(now)
	b.unsaved = b.unsaved[:0]
	for _, key := range b.order {
		known := b.streams[key]
		known.saved, known.queued = false, true
		b.unsaved = append(b.unsaved, key)
	}
}

// Value returns what the store keeps under a record's key.
func (r *Record) Value() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, errors.WithStack(err)
}

// ParseValue reads what Value has written. Error: chicoryrock.ErrInvalid.
func ParseValue(key Key, data []byte) (Record, error) {
	record := Record{Key: key}
	if err := json.Unmarshal(data, &record); err != nil {
		return record, errors.Wrapf(chicoryrock.ErrInvalid, "record of a stream: %v", err)
	}
	if record.Service == "" || record.Version == "" {
		return record, errors.Wrap(chicoryrock.ErrInvalid, "record of a stream without a version")
	}
	return record, nil
}
