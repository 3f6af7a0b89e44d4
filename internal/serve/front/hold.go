package front

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"github.com/pkg/errors"

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
	if platform.NotRun(answer.Status, answer.Header) {
		return false
	}
	if stream && answer.Status == http.StatusOK {
		return holdEvent(answer)
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxHeld+1))
	rest := io.Reader(answer.Body)
	if err != nil {
		rest = failedReader{err}
	}
	answer.Body = heldBody{io.MultiReader(bytes.NewReader(body), rest), answer.Body}
	return err == nil && answer.Status < http.StatusInternalServerError && !platform.Promises(answer.Status)
}

// holdEvent reads a stream up to the end of its first event.
func holdEvent(answer *upstream.Answer) bool {
	reader := bufio.NewReaderSize(answer.Body, 4<<10)
	var held []byte
	for {
		line, err := reader.ReadSlice('\n')
		held = append(held, line...)
		rest := io.Reader(reader)
		whole := err == nil && blank(line)
		switch {
		case whole || len(held) > maxEvent:
		case err == nil || errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF):
			whole = answer.Framed && len(bytes.TrimSpace(held)) == 0
			rest = failedReader{io.EOF}
		default:
			rest = failedReader{err}
		}
		answer.Body = heldBody{io.MultiReader(bytes.NewReader(held), rest), answer.Body}
		return whole && len(held) <= maxEvent
	}
}
