package front

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock/internal/policy/memory"
	"github.com/chicoryrock/chicoryrock/internal/policy/sequence"
	"github.com/chicoryrock/chicoryrock/internal/serve/upstream"
	"github.com/chicoryrock/chicoryrock/internal/state/routing"
	"github.com/chicoryrock/chicoryrock/platform"
)

const (
	// maxHeld is how much of an answer is held, bytes, so that one that breaks off can
	// be replaced by another server's. A longer one is passed on as it comes.
	maxHeld = 256 << 10
	// maxAnswer bounds an answer altogether, bytes.
	maxAnswer = 64 << 20
)

// relay passes an answer on to the caller.
func (c *call) relay(answer *upstream.Answer) error {
	if platform.NotRun(answer.Status, answer.Header) {
		_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, maxTurnedBody))
		return errors.Wrap(errTurned, strconv.Itoa(answer.Status))
	}
	c.begun = true
	c.count()
	if !platform.Proven(answer.Status, answer.Header) {
		return errors.Wrap(upstream.ErrBadAnswer, "a success without the server's proof, or with a content encoding")
	}
	if c.route.Kind == routing.Stream && answer.Status < http.StatusMultipleChoices {
		head := headOf(answer)
		joins := c.started || c.stream.After != "" // the caller has a part of the stream
		switch {
		case joins && answer.Status != http.StatusOK:
			return c.foreign(errors.Wrapf(sequence.ErrHead, "status %d", answer.Status))
		case joins || answer.Status == http.StatusOK && head.Streams():
			err := c.relayStream(answer, head)
			c.logAnswer(time.Now(), answer, head, err)
			return err
		case !head.Framed:
			return errors.Wrap(upstream.ErrBadAnswer, "neither a stream nor an answer that states its end")
		}
	}
	if c.started {
		return errors.Wrapf(errFailed, "status %d", answer.Status)
	}
	body, whole, err := c.keep(answer.Body)
	if err != nil {
		return truncated(err)
	}
	c.endKnown = answer.Framed
	identified := platform.Identified(answer.Status, answer.Header)
	failed := !identified || answer.Status >= http.StatusInternalServerError || platform.Promises(answer.Status)
	if failed && !whole {
		return errors.Wrapf(upstream.ErrBadAnswer, "a failure of more than %d bytes", len(body))
	}
	if identified {
		c.front.first(time.Now(), c.request)
	}
	if failed {
		c.failure = &failure{answer.Status, answer.Header, body}
		return errors.Wrapf(errFailed, "status %d", answer.Status)
	}
	if !whole {
		return c.pass(answer, body)
	}
	return c.write(answer.Status, answer.Header, body)
}

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
	c.dropBody(answer)
	if err := c.deliver(came, memory.Running); err != nil {
		return err
	}
	buffer := came[:cap(came)]
	if len(buffer) > passedAtOnce {
		c.hold.Shrink(int64(len(buffer) - passedAtOnce))
		buffer = make([]byte, passedAtOnce)
	}
	for passed := len(came); passed <= maxAnswer; {
		n, err := answer.Body.Read(buffer)
		passed += n
		if failure := c.deliver(buffer[:n], memory.Running); failure != nil {
			return failure
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

// write sends a whole answer to the caller.
func (c *call) write(status int, header http.Header, body []byte) error {
	c.started = true
	c.status = status
	c.first = time.Since(c.begin)
	platform.Answered(c.w.Header(), header)
	length := strconv.Itoa(len(body))
	if c.r.Method == http.MethodHead {
		// It is that of the body which isn't sent.
		length = header.Get("Content-Length")
	}
	if length != "" {
		c.w.Header().Set("Content-Length", length)
	}
	c.w.WriteHeader(status)
	return c.deliver(body, memory.Running)
}
