// Package sequence decides which events of a backend server's answer are the next ones of
// the stream that its caller has, and whether the end of the answer is the end of the stream
// (event streams: WHATWG HTML, section 9.2).
//
// A stream may consist of several answers: the first one, and others that go on after it
// broke off. Each is held against what the caller has, whichever server it comes from. An
// answer that is no part of the stream is a failed attempt. Stream is for numbered events,
// Completion for the chunks of streamed completions, which bear no numbers.
package sequence

import (
	"bytes"

	"github.com/pkg/errors"
)

// ErrForeign is for what is no part of the stream. The errors below match it.
var ErrForeign = errors.New("not a part of the stream")

// The reasons for which an answer, or the rest of one, is no part of the stream.
var (
	// ErrHead is for an answer whose head isn't that of a stream, or not like that of the
	// stream's first answer.
	ErrHead = errors.WithMessage(ErrForeign, "head")
	// ErrMalformed is for lines that are no part of an event.
	ErrMalformed = errors.WithMessage(ErrForeign, "malformed event")
	// ErrUnplaced is for an event of which it isn't known whether it is the next one.
	ErrUnplaced = errors.WithMessage(ErrForeign, "event without a place")
	// ErrOrder is for an event that doesn't come after the one before it.
	ErrOrder = errors.WithMessage(ErrForeign, "event out of order")
	// ErrEmpty is for an answer that is to go on with a stream and has no event.
	ErrEmpty = errors.WithMessage(ErrForeign, "no event")
)

// ErrBroken is for an end that may as well be a break.
var ErrBroken = errors.New("the answer ends before the stream is complete")

// Head is what the head of an answer says of its body.
type Head struct {
	Type   string // media type, in lowercase and without parameters; empty if it isn't stated
	Framed bool   // it states where the body ends, by a length or in chunks
}

// mediaType is that of event streams.
const mediaType = "text/event-stream"

// Streams reports whether the body may hold events. One without a type may.
func (h Head) Streams() bool { return h.Type == "" || h.Type == mediaType }

// Stream is what the caller of one request has of a stream. The zero value is a stream from
// its start.
type Stream struct {
	// After is the ID of the last event that the caller had before; empty for none.
	After string

	begun   bool   // an event has passed
	events  int    // that have passed
	last    string // ID of the last event that had one; empty for none
	counted bool   // an event had a number
	number  uint64 // the last one
	placed  bool   // the last event had a number, so that the place of the next one can be checked
	cut     bool   // an answer broke off within an event
	typed   bool   // the first answer of which an event passed stated its type
	answer  answer
}

// answer is the one under way.
type answer struct {
	Part

	head Head
	read bool // a block of it has come
}

// Part is what one answer brings of a stream.
type Part struct {
	After    string // ID of the last event before; empty for none
	From, To string // the first and the last ID; empty for none
	Events   int
}

// byteOrderMark may stand before the first line of a stream.
var byteOrderMark = []byte("\ufeff")

// Begin takes in the head of the next answer. Errors: ErrHead; ErrUnplaced if no answer may
// go on with the stream.
func (s *Stream) Begin(head Head) error {
	s.answer = answer{head: head, Part: Part{After: s.Last()}}
	switch {
	case s.begun && !s.placed:
		return errors.Wrapf(ErrUnplaced, "the last one, behind ID %.40q", s.Last())
	case !head.Streams():
		return errors.Wrapf(ErrHead, "type %.40q", head.Type)
	case head.Type == "" && (s.After != "" || s.typed):
		return errors.Wrap(ErrHead, "no type")
	}
	return nil
}

// Next takes in a block of the answer, which may be passed on unless there is an error:
// ErrMalformed, ErrUnplaced or ErrOrder.
func (s *Stream) Next(block []byte) (Event, error) {
	if !s.begun && !s.answer.read {
		block = bytes.TrimPrefix(block, byteOrderMark)
	}
	s.answer.read = true
	event, err := parse(block)
	if err != nil || !event.IsEvent() {
		return event, err
	}
	if err := s.place(event); err != nil {
		return event, err
	}
	if !s.begun {
		s.begun, s.typed = true, s.answer.head.Type != ""
	}
	s.events++
	s.answer.Events++
	return event, nil
}

// place checks that an event comes after the last one. Servers may leave numbers out, so
// nothing is said of gaps.
func (s *Stream) place(event Event) error {
	before, counted := s.number, s.counted
	if !s.begun {
		before, counted = parseNumber(s.After)
	}
	number, numbered := event.number()
	if numbered && counted && number <= before {
		return errors.Wrapf(ErrOrder, "%d after %d", number, before)
	}
	if s.joins() && s.answer.Events == 0 {
		// What a caller names that isn't a number can't be compared.
		named := !counted && event.ID != "" && event.ID != s.After
		if !named && (!numbered || !counted) {
			return errors.Wrapf(ErrUnplaced, "ID %.40q after %.40q", event.ID, s.Last())
		}
	}
	s.placed = numbered
	if numbered {
		s.number, s.counted = number, true
	}
	if event.ID != "" {
		s.last, s.answer.To = event.ID, event.ID
		if s.answer.From == "" {
			s.answer.From = event.ID
		}
	}
	return nil
}

// joins reports whether the answer under way goes on with what the caller has.
func (s *Stream) joins() bool { return s.After != "" || s.resumes() }

// resumes reports whether the answer under way goes on with an answer of this request.
func (s *Stream) resumes() bool { return s.events > s.answer.Events }

// Break takes in that the answer has broken off, within an event or not.
func (s *Stream) Break(within bool) { s.cut = s.cut || within }

// End takes in the end of the answer, which is the end of the stream unless there is an
// error: ErrBroken or ErrEmpty. within says that it ends within an event.
func (s *Stream) End(within bool) error {
	s.Break(within)
	switch {
	case within:
		return errors.Wrap(ErrBroken, "within an event")
	case !s.answer.head.Framed && (s.resumes() || s.answer.Events == 0):
		return errors.Wrap(ErrBroken, "with its connection")
	case s.answer.Events == 0 && (s.resumes() || s.cut):
		return errors.WithStack(ErrEmpty)
	}
	return nil
}

// Events returns how many events have passed.
func (s *Stream) Events() int { return s.events }

// Part returns what the answer under way has brought.
func (s *Stream) Part() Part { return s.answer.Part }

// Last returns the ID of the last event that the caller has; empty for none.
func (s *Stream) Last() string {
	if s.last != "" {
		return s.last
	}
	return s.After
}

// GoesOn reports whether another answer may go on after Last: what the caller has ends with
// an event whose place is known.
func (s *Stream) GoesOn() bool { return s.begun && s.placed }
