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
	At            time.Duration // since the start of the trace
	Workspace     string
	Class         string
	PromptTokens  int
	OutputTokens  int    // that the engine will produce; not visible to policies
	Entry         int    // index of the entry that the caller calls first
	PrefixHash    uint64 // hash of the prompt's beginning; zero if no other call shares it
	CallerRetries int    // times that the caller retries after a refusal
	Poison        bool   // crashes the engine that runs it
}

// traceLine is the JSON form of a record. A trace file has one object per line.
type traceLine struct {
	AtMs          int64  `json:"at"`
	Workspace     string `json:"workspace"`
	Class         string `json:"class"`
	PromptTokens  int    `json:"prompt"`
	OutputTokens  int    `json:"output"`
	Entry         int    `json:"entry,omitempty"`
	PrefixHash    uint64 `json:"prefix,omitempty"`
	CallerRetries int    `json:"again,omitempty"`
	Poison        bool   `json:"poison,omitempty"`
}

// ReadTrace reads a trace. It returns errors of the reader and an error for a line
// that is not a record.
func ReadTrace(source io.Reader) ([]Record, error) {
	var records []Record
	scanner := bufio.NewScanner(source)
	for scanner.Scan() {
		var l traceLine
		if err := json.Unmarshal(scanner.Bytes(), &l); err != nil {
			return nil, errors.Wrapf(err, "line %d of the trace", len(records)+1)
		}
		records = append(records, l.record())
	}
	return records, errors.Wrap(scanner.Err(), "read a trace")
}

// WriteTrace writes a trace in the format that ReadTrace reads. Times are truncated to
// milliseconds.
func WriteTrace(target io.Writer, records []Record) error {
	encoder := json.NewEncoder(target)
	for i := range records {
		if err := encoder.Encode(newTraceLine(&records[i])); err != nil {
			return errors.Wrap(err, "write a trace")
		}
	}
	return nil
}

func (l *traceLine) record() Record {
	return Record{
		At:            time.Duration(l.AtMs) * time.Millisecond,
		Workspace:     l.Workspace,
		Class:         l.Class,
		PromptTokens:  l.PromptTokens,
		OutputTokens:  l.OutputTokens,
		Entry:         l.Entry,
		PrefixHash:    l.PrefixHash,
		CallerRetries: l.CallerRetries,
		Poison:        l.Poison,
	}
}

func newTraceLine(r *Record) traceLine {
	return traceLine{
		AtMs:          r.At.Milliseconds(),
		Workspace:     r.Workspace,
		Class:         r.Class,
		PromptTokens:  r.PromptTokens,
		OutputTokens:  r.OutputTokens,
		Entry:         r.Entry,
		PrefixHash:    r.PrefixHash,
		CallerRetries: r.CallerRetries,
		Poison:        r.Poison,
	}
}
