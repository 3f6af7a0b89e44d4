package wire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/sequence"
)

// maxEvent is the longest server-sent event that is relayed, in bytes.
const maxEvent = 4 << 20

var (
	dataPrefix    = []byte("data:")
	doneData      = []byte("[DONE]")
	commentPrefix = []byte(":")
	byteOrderMark = []byte("\ufeff") // may begin a stream
)

// eventStream is the media type of streamed answers.
const eventStream = "text/event-stream"

// IsEventStream says whether an answer's header states that its body is a stream of events.
func IsEventStream(header http.Header) bool {
	return MediaType(header) == eventStream
}

// IsJSON says whether an answer's header states that its body is JSON.
func IsJSON(header http.Header) bool {
	kind := MediaType(header)
	return kind == "application/json" || strings.HasSuffix(kind, "+json")
}

// MediaType returns the type that an answer's header states, in lowercase and without its
// parameters, whether or not these make sense; empty for none.
func MediaType(header http.Header) string {
	kind, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(kind))
}

// EventReader reads the data of server-sent events, one event at a time.
type EventReader struct {
	// Heard is told of the loads that an agent states between events; may be nil.
	Heard func(load chicoryrock.Load)

	scanner *bufio.Scanner
	begun   bool // a line has been read
}

// NewEventReader reads events from a stream.
func NewEventReader(stream io.Reader) *EventReader {
	scanner := bufio.NewScanner(stream)
	scanner.Buffer(make([]byte, 0, 4<<10), maxEvent)
	return &EventReader{scanner: scanner}
}

// Next returns the data of the next event; the slice is valid until the next
// call. The end marker gives io.EOF; a stream that ends or breaks before it, or has
// lines that are no part of one, gives chicoryrock.ErrTruncated.
func (r *EventReader) Next() ([]byte, error) {
	for r.scanner.Scan() {
		line := r.scanner.Bytes()
		if !r.begun {
			line, r.begun = bytes.TrimPrefix(line, byteOrderMark), true
		}
		if len(line) == 0 {
			continue
		}
		if bytes.HasPrefix(line, commentPrefix) {
			if err := r.comment(string(line)); err != nil {
				return nil, err
			}
			continue
		}
		if err := sequence.CheckLine(line); err != nil {
			return nil, errors.Wrap(chicoryrock.ErrTruncated, err.Error())
		}
		if !bytes.HasPrefix(line, dataPrefix) {
			continue
		}
		data := bytes.TrimSpace(line[len(dataPrefix):])
		if bytes.Equal(data, doneData) {
			return nil, io.EOF
		}
		return data, nil
	}
	if err := r.scanner.Err(); err != nil {
		return nil, errors.Wrap(chicoryrock.ErrTruncated, err.Error())
	}
	return nil, errors.WithStack(chicoryrock.ErrTruncated)
}

// Chunk is the part of a streamed chunk or a whole answer that the router reads.
type Chunk struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Error   json.RawMessage `json:"error"`
	Choices []struct {
		Index int    `json:"index"`
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *Usage `json:"usage"`
}

// Usage is the token count of one answer as the engine states it.
type Usage struct {
	Prompt int `json:"prompt_tokens"`
	Output int `json:"completion_tokens"`
}

// ParseChunk reads one chunk. Error: chicoryrock.ErrInvalid.
func ParseChunk(data []byte) (Chunk, error) {
	var chunk Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return chunk, errors.Wrap(chicoryrock.ErrInvalid, err.Error())
	}
	return chunk, nil
}

// Place returns what the chunk says of its place in a streamed completion.
func (c Chunk) Place() sequence.Chunk {
	failed := c.Object == "error" || len(c.Error) > 0 && string(c.Error) != "null" && string(c.Error) != `""`
	place := sequence.Chunk{Failed: failed, Body: c.Choices != nil || c.Usage != nil}
	for i := range c.Choices {
		choice := &c.Choices[i]
		place.Choices = append(place.Choices, sequence.Choice{
			Index:    choice.Index,
			Text:     choice.Text != "" || choice.Delta.Content != "",
			Finished: choice.FinishReason != nil && *choice.FinishReason != "",
		})
	}
	return place
}

// Tokens returns how many output tokens the chunk carries: engines send one
// token in each chunk that has text.
func (c Chunk) Tokens() int {
	for i := range c.Choices {
		if c.Choices[i].Text != "" || c.Choices[i].Delta.Content != "" {
			return 1
		}
	}
	return 0
}

// WriteEvent writes one event.
func WriteEvent(w io.Writer, data []byte) error {
	line := make([]byte, 0, len(data)+8)
	line = append(line, "data: "...)
	line = append(line, data...)
	line = append(line, "\n\n"...)
	_, err := w.Write(line)
	return err
}

// WriteDone writes the end marker.
func WriteDone(w io.Writer) error { return WriteEvent(w, doneData) }
