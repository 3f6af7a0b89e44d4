package replay

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"
)

// Record is one call of a recorded trace.
type Record struct {
	At            time.Duration // since the trace began
	Workspace     string
	Class         string
	PromptTokens  int    // tokens
	OutputTokens  int    // tokens that the engine will produce; no policy sees it
	Entry         int    // which entry the caller came to
	PrefixHash    uint64 // hash of the prompt's beginning; zero when unlike all others
	CallerRetries int    // how often the caller comes again after a refusal
	Poison        bool   // crashes the engine that runs it
}

// line is a record as it stands in a file, one JSON object a line.
type line struct {
	At        int64  `json:"at"` // milliseconds
	Workspace string `json:"workspace"`
	Class     string `json:"class"`
	Prompt    int    `json:"prompt"`
	Output    int    `json:"output"`
	Entry     int    `json:"entry,omitempty"`
	Prefix    uint64 `json:"prefix,omitempty"`
	Again     int    `json:"again,omitempty"`
	Poison    bool   `json:"poison,omitempty"`
}

// ReadTrace reads a trace. Errors: those of the reader, and of a line that is
// not a record.
func ReadTrace(source io.Reader) ([]Record, error) {
	var records []Record
	scanner := bufio.NewScanner(source)
	for scanner.Scan() {
		var l line
		if err := json.Unmarshal(scanner.Bytes(), &l); err != nil {
			return nil, errors.Wrapf(err, "line %d of the trace", len(records)+1)
		}
		records = append(records, l.record())
	}
	return records, errors.Wrap(scanner.Err(), "read a trace")
}

// WriteTrace writes a trace in the form that ReadTrace reads. Times are cut to
// whole milliseconds.
func WriteTrace(target io.Writer, records []Record) error {
	encoder := json.NewEncoder(target)
	for i := range records {
		if err := encoder.Encode(lineOf(&records[i])); err != nil {
			return errors.Wrap(err, "write a trace")
		}
	}
	return nil
}

func (l *line) record() Record {
	return Record{
		At:            time.Duration(l.At) * time.Millisecond,
		Workspace:     l.Workspace,
		Class:         l.Class,
		PromptTokens:  l.Prompt,
		OutputTokens:  l.Output,
		Entry:         l.Entry,
		PrefixHash:    l.Prefix,
		CallerRetries: l.Again,
		Poison:        l.Poison,
	}
}

func lineOf(r *Record) line {
	return line{
		At:        r.At.Milliseconds(),
		Workspace: r.Workspace,
		Class:     r.Class,
		Prompt:    r.PromptTokens,
		Output:    r.OutputTokens,
		Entry:     r.Entry,
		Prefix:    r.PrefixHash,
		Again:     r.CallerRetries,
		Poison:    r.Poison,
	}
}
