package sequence

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"
)

// Event is what a block of an event stream, the lines up to a blank one, says of its place
// in the stream.
type Event struct {
	ID   string // empty without one
	Data bool   // the block has data
}

// IsEvent reports whether callers see the block as an event. Others hold comments and
// settings of the connection only.
func (e Event) IsEvent() bool { return e.Data || e.ID != "" }

// number returns the event's number, if its ID is one.
func (e Event) number() (uint64, bool) { return parseNumber(e.ID) }

// parseNumber reads an ID of decimal digits.
func parseNumber(id string) (uint64, bool) {
	number, err := strconv.ParseUint(id, 10, 64)
	return number, err == nil
}

// parse reads one block, with or without the blank line at its end. Lines hold comments, the
// fields id, data, event and retry, and, beside an ID or data, fields that servers add: a
// name, a colon and a value. That is stricter than the specification, by which clients ignore
// all other lines: text that isn't from the stream shows by them. Error: ErrMalformed.
func parse(block []byte) (Event, error) {
	var event Event
	extended := false
	for line := range bytes.Lines(block) {
		line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
		if bytes.IndexByte(line, '\r') >= 0 {
			return Event{}, errors.Wrap(ErrMalformed, "a carriage return within a line")
		}
		if err := CheckLine(line); err != nil {
			return Event{}, err
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch string(name) {
		case "id":
			event.ID = string(bytes.TrimSpace(value))
		case "data":
			event.Data = true
		case "", "event", "retry":
		default:
			extended = true
		}
	}
	if extended && !event.IsEvent() {
		return Event{}, errors.Wrap(ErrMalformed, "fields without an event")
	}
	return event, nil
}

// CheckLine checks that a line may stand in a stream of events: a blank one, a comment, a
// field of events, or one that servers add. Error: ErrMalformed.
func CheckLine(line []byte) error {
	name, _, found := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "", "id", "data", "event", "retry":
		return nil
	}
	if !found || !isFieldName(name) {
		return errors.Wrapf(ErrMalformed, "a line that is no field: %.40q", line)
	}
	return nil
}

// isFieldName reports whether a name is one that servers may add.
func isFieldName(name []byte) bool {
	for _, c := range name {
		switch {
		case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9', c == '-', c == '_':
		default:
			return false
		}
	}
	return true
}
