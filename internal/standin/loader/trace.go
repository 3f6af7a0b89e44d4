// Package loader sends an open load to the system: calls go out when the trace
// says, however late the earlier answers are. It checks that each answer is
// whole and belongs to its call, and reports latencies and counts.
package loader

import (
	"bufio"
	"cmp"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

// Limits of a trace.
const (
	MaxCalls  = 1_000_000
	MaxPrompt = 1_000_000 // tokens
	MaxOutput = 100_000   // tokens
	maxLine   = 64 << 10  // bytes
)

// Call is one line of a trace.
type Call struct {
	At     time.Duration // from the start of the run
	Key    string        // name of the key that the call comes with
	Model  string
	Prompt int // tokens
	Output int // tokens
	Stream bool
	First  time.Duration // target for the first token; zero means none
	Token  time.Duration // target for the mean time between tokens; zero means none
}

// line is a Call as a trace file has it.
type line struct {
	At     string `json:"at"` // e.g. "1.25s"
	Key    string `json:"key"`
	Model  string `json:"model"`
	Prompt int    `json:"prompt"`
	Output int    `json:"output"`
	Stream bool   `json:"stream"`
	First  string `json:"first"` // e.g. "400ms"; may be absent
	Token  string `json:"token"` // e.g. "50ms"; may be absent
}

// Read reads a trace, one JSON object a line, in order of time. Error:
// ErrInvalid.
func Read(reader io.Reader) ([]Call, error) {
	lines := bufio.NewScanner(reader)
	lines.Buffer(nil, maxLine)
	var calls []Call
	for lines.Scan() {
		if len(lines.Bytes()) == 0 {
			continue
		}
		call, err := parse(lines.Bytes())
		if err != nil {
			return nil, invalid(len(calls), err.Error())
		}
		calls = append(calls, call)
	}
	if err := lines.Err(); err != nil {
		return nil, invalid(len(calls), err.Error())
	}
	return calls, Check(calls)
}

func parse(encoded []byte) (Call, error) {
	var read line
	if err := json.Unmarshal(encoded, &read); err != nil {
		return Call{}, errors.WithStack(err)
	}
	call := Call{Key: read.Key, Model: read.Model, Prompt: read.Prompt, Output: read.Output, Stream: read.Stream}
	times := []struct {
		text string
		into *time.Duration
	}{
		{read.At, &call.At},
		{cmp.Or(read.First, "0"), &call.First},
		{cmp.Or(read.Token, "0"), &call.Token},
	}
	for _, field := range times {
		span, err := time.ParseDuration(field.text)
		if err != nil {
			return Call{}, errors.WithStack(err)
		}
		*field.into = span
	}
	return call, nil
}

// Check tells whether a trace is within its limits and in order of time. Error:
// ErrInvalid.
func Check(calls []Call) error {
	if len(calls) > MaxCalls {
		return invalid(MaxCalls, "too many calls")
	}
	last := time.Duration(0)
	for i, call := range calls {
		switch {
		case call.At < last:
			return invalid(i, "earlier than the call before it")
		case call.Prompt < 1 || call.Prompt > MaxPrompt:
			return invalid(i, "prompt out of range")
		case call.Output < 1 || call.Output > MaxOutput:
			return invalid(i, "output out of range")
		}
		last = call.At
	}
	return nil
}

// Constant repeats a call count times, one every interval.
func Constant(call Call, interval time.Duration, count int) []Call {
	calls := make([]Call, count)
	for i := range calls {
		calls[i] = call
		calls[i].At = call.At + time.Duration(i)*interval
	}
	return calls
}

func invalid(index int, text string) error {
	return errors.Wrapf(chicoryrock.ErrInvalid, "call %d: %s", index, text)
}
