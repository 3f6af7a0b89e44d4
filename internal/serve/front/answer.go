package front

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock/internal/serve/upstream"
	"github.com/chicoryrock/chicoryrock/platform"
)

// pass passes on an answer that is too long to be held: what came of it, and the rest
// as it comes.
func (c *call) pass(answer *upstream.Answer, came []byte) error {
	c.started = true
	c.status = answer.Status
	c.first = time.Since(c.begin)
	platform.Answered(c.w.Header(), answer.Header)
	if length := answer.Header.Get("Content-Length"); length != "" {
		c.w.Header().Set("Content-Length", length)
	}
	c.w.WriteHeader(answer.Status)
	if _, err := c.w.Write(came); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	buffer := make([]byte, passedAtOnce)
	for passed := len(came); passed <= maxAnswer; {
		n, err := answer.Body.Read(buffer)
		passed += n
		if _, failure := c.w.Write(buffer[:n]); failure != nil {
			return errors.Wrap(errCallerGone, failure.Error())
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return truncated(err)
		}
	}
	return errors.Wrapf(upstream.ErrBadAnswer, "an answer of more than %d bytes", maxAnswer)
}

// passedAtOnce is how much of a long answer is read before it is passed on, bytes.
const passedAtOnce = 32 << 10

// maxTurnedBody is how much of a refusal is read so that its connection can serve
// on, bytes.
const maxTurnedBody = 64 << 10

// count puts the request on its workspace's bill, once.
func (c *call) count() {
	if c.counted || c.workspace == nil {
		return
	}
	c.counted = true
	c.front.Began(time.Now(), c.workspace.Name)
}

// write sends a whole answer to the caller.
func (c *call) write(status int, header http.Header, body []byte) error {
	c.started = true
	c.status = status
	c.first = time.Since(c.begin)
	platform.Answered(c.w.Header(), header)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(status)
	if _, err := c.w.Write(body); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	return nil
}
