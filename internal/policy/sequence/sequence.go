// Package sequence decides which events of a backend server's answer are the next ones of
// the stream that its caller has, and whether the end of the answer is the end of the stream
// (event streams: WHATWG HTML, section 9.2).
//
// A stream may consist of several answers: the first one, and others that go on after it
// broke off. Each is held against what the caller has, whichever server it comes from. An
// answer that is no part of the stream is a failed attempt.
package sequence

import "github.com/pkg/errors"

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
	Type    string // media type, without parameters; empty if it isn't stated
	Encoded bool   // the body has a content encoding
	Framed  bool   // it states where the body ends, by a length or in chunks
}

// mediaType is that of event streams.
const mediaType = "text/event-stream"

// Streams reports whether the body may hold events. One without a type may.
func (h Head) Streams() bool { return !h.Encoded && (h.Type == "" || h.Type == mediaType) }

// Stream is what the caller of one request has of a stream. The zero value is a stream from
// its start.
type Stream struct {
	// After is the ID of the last event that the caller had before; empty for none.
	After string

	begun   bool // an event has passed
	events  int
	last    string // ID of the last event that had one; empty for none
	counted bool   // an event had a number
	number  uint64 // the last one
	placed  bool   // the last event had a number
	typed   bool   // the first answer of which an event passed stated its type
	answer  answer
}

// answer is the one under way.
type answer struct {
	Part

	head   Head
	placed bool // an event of it has shown its place
}

// Part is what one answer brings of a stream.
type Part struct {
	After    string // ID of the last event before; empty for none
	From, To string // the first and the last ID; empty for none
	Events   int
}

// Begin takes in the head of the next answer. Error: ErrHead.
func (s *Stream) Begin(head Head) error {
	s.answer = answer{head: head, Part: Part{After: s.Last()}}
	switch {
	case !head.Streams() || s.After != "" && head.Type == "":
		return errors.Wrapf(ErrHead, "type %q, encoded %t", head.Type, head.Encoded)
	case s.begun && head.Type == "" && s.typed:
		return errors.Wrap(ErrHead, "no type")
	}
	return nil
}

// Next takes in a block of the answer, which may be passed on unless there is an error:
// ErrMalformed, ErrUnplaced or ErrOrder.
func (s *Stream) Next(block []byte) (Event, error) {
	event, err := Parse(block)
	if err != nil || !event.Passes() {
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
	if numbered && counted && number <= before || event.ID != "" && event.ID == s.Last() {
		return errors.Wrapf(ErrOrder, "%q after %q", event.ID, s.Last())
	}
	if s.joins() && !s.answer.placed {
		// What a caller names that isn't a number can't be compared.
		opaque := !s.begun && !counted && event.ID != ""
		if !opaque && (!numbered || !counted) {
			return errors.Wrapf(ErrUnplaced, "ID %q after %q", event.ID, s.Last())
		}
	}
	s.answer.placed = true
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
func (s *Stream) joins() bool { return s.After != "" || s.events > s.answer.Events }

// End takes in the end of the answer, which is the end of the stream unless there is an
// error: ErrBroken or ErrEmpty. partial says that it ends within a block.
func (s *Stream) End(partial bool) error {
	resumes := s.events > s.answer.Events // it goes on with events of an answer before
	switch {
	case partial:
		return errors.Wrap(ErrBroken, "within an event")
	case !s.answer.head.Framed && (resumes || s.answer.Events == 0):
		return errors.Wrap(ErrBroken, "with its connection")
	case resumes && s.answer.Events == 0:
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
