package front

import (
	"bufio"
	"bytes"
	"io"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/policy/memory"
	"github.com/chicoryrock/chicoryrock/internal/serve/upstream"
	"github.com/chicoryrock/chicoryrock/platform"
)

// maxEvent is the longest event that is relayed, bytes, with all its lines.
const maxEvent = 128 << 10

// idField begins the line with an event's ID.
var idField = []byte("id:")

// relayStream passes events on as they come, each whole. The answer's header goes
// out with the first one, so that a stream that breaks before can start elsewhere.
func (c *call) relayStream(answer *upstream.Answer) error {
	reader := bufio.NewReaderSize(answer.Body, 4<<10)
	var pending []byte
	held := int64(firstKept) // is part of each request's room
	defer func() { c.hold.Shrink(held - firstKept) }()
	for {
		line, err := reader.ReadSlice('\n')
		pending = append(pending, line...)
		if len(pending) > maxEvent {
			return errors.Wrapf(upstream.ErrBadAnswer, "an event of more than %d bytes", maxEvent)
		}
		if grown := int64(cap(pending)) - held; grown > 0 {
			if err := c.hold.Grow(c.ctx, grown, 0); err != nil {
				return errors.Wrap(errFailed, err.Error())
			}
			held += grown
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) {
			return c.endStream(answer, pending)
		}
		if err != nil {
			return truncated(err)
		}
		if !blank(line) {
			continue
		}
		if err := c.event(answer, pending); err != nil {
			return err
		}
		pending = pending[:0]
	}
}

// answered notes what an answer was to the stream: where it began and ended, and how.
func (c *call) answered(now time.Time, answer *upstream.Answer, after string, events int, err error) {
	if err == nil && after == "" {
		return
	}
	c.trail.Write(event.StreamAnswer, now, zap.String("server", c.granted), zap.String("type", answer.Header.Get("Content-Type")),
		zap.Bool("sealed", platform.Sealed(answer.Header)), zap.Bool("framed", answer.Framed), zap.String("after", after),
		zap.String("from", c.firstID), zap.String("to", c.lastID), zap.Int("events", c.events-events))
}

// truncated returns the error of an answer that broke off.
func truncated(cause error) error {
	return upstream.MarkClosed(errors.Wrapf(chicoryrock.ErrTruncated, "%v", cause), cause)
}

func blank(line []byte) bool { return len(bytes.TrimRight(line, "\r\n")) == 0 }

// event passes one event on.
func (c *call) event(answer *upstream.Answer, text []byte) error {
	now := time.Now()
	if !c.got {
		c.got = true
		c.gotAt = now
		c.front.suspects.setSafe(c)
		c.front.first(now, c.request)
	} else {
		pause := now.Sub(c.last)
		if c.request.MaxTokenGap > 0 && pause > c.request.MaxTokenGap && c.pause <= c.request.MaxTokenGap {
			c.front.latePause(c.request)
		}
		c.pause = max(c.pause, pause)
	}
	if c.started {
		c.longest = max(c.longest, now.Sub(c.last))
		c.front.Metrics.Gap(c.route.Name, now.Sub(c.last))
	}
	c.last = now
	c.ranOn(now)
	if !c.started {
		c.streamBegan(now)
		c.started = true
		c.status = answer.Status
		c.first = now.Sub(c.begin)
		platform.Answered(c.w.Header(), answer.Header)
		c.w.WriteHeader(answer.Status)
		c.dropBody(answer)
	}
	if err := c.deliver(text, memory.Stream); err != nil {
		return err
	}
	c.events++
	if id := eventID(text); id != "" {
		c.lastID = id
		if c.firstID == "" {
			c.firstID = id
		}
	}
	return nil
}

// eventID returns the ID that an event states, or nothing.
func eventID(text []byte) string {
	for line := range bytes.Lines(text) {
		if value, found := bytes.CutPrefix(line, idField); found {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// endStream takes in the end of a stream. What follows the last whole event is
// part of one that the backend server did not finish.
func (c *call) endStream(answer *upstream.Answer, rest []byte) error {
	if len(bytes.TrimSpace(rest)) > 0 {
		return upstream.MarkClosed(errors.Wrap(chicoryrock.ErrTruncated, "the stream ends within an event"), io.ErrUnexpectedEOF)
	}
	if !answer.Framed && !c.got {
		return upstream.MarkClosed(errors.Wrap(chicoryrock.ErrTruncated, "the connection ends before the first event"), io.ErrUnexpectedEOF)
	}
	c.endKnown = answer.Framed
	if !c.started {
		c.front.first(time.Now(), c.request)
		return c.write(answer.Status, answer.Header, nil)
	}
	return nil
}
