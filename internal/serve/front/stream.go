package front

import (
	"bufio"
	"bytes"
	"io"
	"mime"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/policy/memory"
	"github.com/chicoryrock/chicoryrock/internal/policy/sequence"
	"github.com/chicoryrock/chicoryrock/internal/serve/upstream"
	"github.com/chicoryrock/chicoryrock/platform"
)

// maxEvent is the longest event that is relayed, bytes, with all its lines.
const maxEvent = 128 << 10

// headOf returns what the head of an answer says of the events in its body.
func headOf(answer *upstream.Answer) sequence.Head {
	stated := answer.Header.Get("Content-Type")
	mediaType, _, err := mime.ParseMediaType(stated)
	if err != nil {
		mediaType = stated
	}
	encoding := answer.Header.Get("Content-Encoding")
	return sequence.Head{
		Type:    mediaType,
		Encoded: encoding != "" && !strings.EqualFold(encoding, "identity"),
		Framed:  answer.Framed,
	}
}

// relayStream passes events on as they come, each whole. The answer's header goes
// out with the first one, so that a stream that breaks before can start elsewhere.
func (c *call) relayStream(answer *upstream.Answer, head sequence.Head) error {
	if err := c.stream.Begin(head); err != nil {
		return c.foreign(err)
	}
	reader := bufio.NewReaderSize(answer.Body, 4<<10)
	// pending is what came since the last event that was passed on. The block under way
	// begins at block.
	var pending []byte
	block := 0
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
			return c.endStream(answer, pending[:block], pending[block:])
		}
		if err != nil {
			return truncated(err)
		}
		if !blank(line) {
			continue
		}
		next, err := c.stream.Next(pending[block:])
		if err != nil {
			return c.foreign(err)
		}
		if !next.Passes() && !c.got {
			// Comments wait for the event that shows that the answer is a part of the stream.
			block = len(pending)
			continue
		}
		if err := c.event(answer, pending, next); err != nil {
			return err
		}
		pending, block = pending[:0], 0
	}
}

// answered notes what an answer was to the stream: where it began and ended, and how.
func (c *call) answered(now time.Time, head sequence.Head, err error) {
	part := c.stream.Part()
	if err == nil && part.After == "" {
		return
	}
	c.trail.Write(event.StreamAnswer, now, zap.String("server", c.granted), zap.String("type", head.Type), zap.Bool("framed", head.Framed),
		zap.String("after", part.After), zap.String("from", part.From), zap.String("to", part.To), zap.Int("events", part.Events))
}

// foreign returns the error of an answer that is no part of the stream.
func (c *call) foreign(err error) error {
	c.front.Metrics.Foreign(c.route.Name)
	return errors.Wrap(upstream.ErrBadAnswer, err.Error())
}

// truncated returns the error of an answer that broke off.
func truncated(cause error) error {
	return upstream.MarkClosed(errors.Wrapf(chicoryrock.ErrTruncated, "%v", cause), cause)
}

func blank(line []byte) bool { return len(bytes.TrimRight(line, "\r\n")) == 0 }

// event passes one event on, or a comment, with what came before it.
func (c *call) event(answer *upstream.Answer, text []byte, next sequence.Event) error {
	if next.Passes() {
		c.eventCame(answer)
	}
	return c.deliver(text, memory.Stream)
}

// eventCame takes in that an event has come, and sends the answer's header before the first one.
func (c *call) eventCame(answer *upstream.Answer) {
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
}

// endStream takes in the end of a stream: comments that have not been passed on, and what
// follows the last whole block.
func (c *call) endStream(answer *upstream.Answer, comments, rest []byte) error {
	err := c.stream.End(len(bytes.TrimSpace(rest)) > 0)
	switch {
	case errors.Is(err, sequence.ErrForeign):
		return c.foreign(err)
	case err != nil:
		return upstream.MarkClosed(errors.Wrap(chicoryrock.ErrTruncated, err.Error()), io.ErrUnexpectedEOF)
	}
	c.endKnown = answer.Framed
	if !c.started {
		c.front.first(time.Now(), c.request)
		return c.write(answer.Status, answer.Header, comments)
	}
	return nil
}
