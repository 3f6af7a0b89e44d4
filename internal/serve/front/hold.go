package front

import (
	"bytes"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock/internal/policy/sequence"
	"github.com/chicoryrock/chicoryrock/internal/serve/upstream"
	"github.com/chicoryrock/chicoryrock/platform"
)

// heldBody is a body of which the beginning has been read.
type heldBody struct {
	io.Reader // all of the body
	io.Closer
}

// failedReader returns an error that has come up before.
type failedReader struct{ err error }

// Read implements io.Reader.
func (r failedReader) Read([]byte) (int, error) { return 0, r.err }

// hold reads as much of an answer as is needed to know whether it can be passed on: a
// stream's first event, or the whole of what is held. It reports whether it can. The body
// begins anew afterwards.
func hold(answer *upstream.Answer, stream bool) bool {
	if platform.NotRun(answer.Status, answer.Header) || !platform.Identified(answer.Status, answer.Header) || !platform.Proven(answer.Status, answer.Header) {
		return false
	}
	if head := headOf(answer); stream && answer.Status < http.StatusMultipleChoices {
		switch {
		case answer.Status == http.StatusOK && head.Streams():
			return holdEvent(answer, head)
		case !head.Framed:
			return false
		}
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxHeld+1))
	rest := io.Reader(answer.Body)
	if err != nil {
		rest = failedReader{err}
	}
	answer.Body = heldBody{io.MultiReader(bytes.NewReader(body), rest), answer.Body}
	return err == nil && answer.Status < http.StatusInternalServerError && !platform.Promises(answer.Status)
}

// holdEvent reads a stream up to the end of its first event, and reports whether that is one
// that can be passed on.
func holdEvent(answer *upstream.Answer, head sequence.Head) bool {
	var first sequence.Stream
	if first.Begin(head) != nil {
		return false
	}
	blocks := newBlockReader(answer.Body)
	var held []byte
	block := 0 // where the block under way begins in held
	for {
		var whole bool
		var err error
		held, whole, err = blocks.read(held)
		rest, good := io.Reader(blocks.reader), false
		switch {
		case len(held) > maxEvent:
		case err == nil && !whole:
			continue
		case err == nil:
			event, foreign := first.Next(held[block:])
			if foreign == nil && !event.IsEvent() {
				block = len(held)
				continue
			}
			good = foreign == nil
		case errors.Is(err, io.EOF):
			good = first.End(len(bytes.TrimSpace(held[block:])) > 0) == nil
			rest = failedReader{io.EOF}
		default:
			rest = failedReader{err}
		}
		answer.Body = heldBody{io.MultiReader(bytes.NewReader(held), rest), answer.Body}
		return good
	}
}
