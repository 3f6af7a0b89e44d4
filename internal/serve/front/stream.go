package front

import (
	"bytes"
	"io"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/policy/memory"
	"github.com/chicoryrock/chicoryrock/internal/policy/sequence"
	"github.com/chicoryrock/chicoryrock/internal/serve/upstream"
	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
	"github.com/chicoryrock/chicoryrock/platform"
)

// maxEvent is the longest event that is relayed, bytes, with all its lines.
const maxEvent = 128 << 10

// headOf returns what the head of an answer says of the events in its body.
func headOf(answer *upstream.Answer) sequence.Head {
	return sequence.Head{Type: wire.MediaType(answer.Header), Framed: answer.Framed}
}

// relayStream passes events on as they come, each whole. The answer's header goes
// out with the first one, so that a stream that breaks before can start elsewhere.
func (c *call) relayStream(answer *upstream.Answer, head sequence.Head) error {
	if err := c.checkWeights(answer); err != nil {
		return err
	}
	if err := c.stream.Begin(head); err != nil {
		return c.foreign(err)
	}
	blocks := newBlockReader(answer.Body)
	// pending is what came since the last event that was passed on. The block under way
	// begins at block.
	var pending []byte
	block := 0
	held := int64(firstKept) // is part of each request's room
	defer func() { c.hold.Shrink(held - firstKept) }()
	for {
		read, whole, err := blocks.read(pending)
		pending = read
		if len(pending) > maxEvent {
			return errors.Wrapf(upstream.ErrBadAnswer, "an event of more than %d bytes", maxEvent)
		}
		if grown := int64(cap(pending)) - held; grown > 0 {
			if err := c.hold.Grow(c.ctx, grown, 0); err != nil {
				return errors.Wrap(errFailed, err.Error())
			}
			held += grown
		}
		within := len(bytes.TrimSpace(pending[block:])) > 0
		switch {
		case errors.Is(err, io.EOF):
			return c.endStream(answer, pending[:block], within)
		case err != nil:
			c.stream.Break(within)
			return truncated(err)
		case !whole:
			continue
		}
		next, err := c.stream.Next(pending[block:])
		if err != nil {
			return c.foreign(err)
		}
		if !next.IsEvent() && !c.got {
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

// logAnswer logs what an answer was to its stream, unless it is all of it.
func (c *call) logAnswer(now time.Time, answer *upstream.Answer, head sequence.Head, err error) {
	part := c.stream.Part()
	if err == nil && part.After == "" {
		return
	}
	c.trail.Write(event.StreamAnswer, now, zap.String("server", c.granted), zap.String("type", clip(head.Type)), zap.Bool("framed", head.Framed),
		zap.String("weights", clip(platform.Weights(answer.Header))),
		zap.String("after", clip(part.After)), zap.String("from", clip(part.From)), zap.String("to", clip(part.To)), zap.Int("events", part.Events))
}

// clip bounds a text of a server's or a caller's for the log.
func clip(text string) string { return text[:min(len(text), 64)] }

// foreign returns the error of an answer that is no part of the stream. Where it only
// contradicts what the caller says that it has, it doesn't speak against the server.
func (c *call) foreign(err error) error {
	c.front.Metrics.Foreign(c.route.Name)
	if c.stream.After != "" && c.stream.Events() == 0 {
		return errors.Wrap(errFailed, err.Error())
	}
	return errors.Wrap(upstream.ErrBadAnswer, err.Error())
}

// truncated returns the error of an answer that broke off.
func truncated(cause error) error {
	return upstream.MarkClosed(errors.Wrapf(chicoryrock.ErrTruncated, "%v", cause), cause)
}

// event passes one event on, or a comment, with what came before it.
func (c *call) event(answer *upstream.Answer, text []byte, next sequence.Event) error {
	if next.IsEvent() {
		c.eventCame(answer)
		if weights, changes := platform.ChangedWeights(text); changes {
			c.weightsChanged(weights)
		}
	}
	return c.deliver(text, memory.Stream)
}

// eventCame takes in that an event has come, and sends the answer's header before the first one.
func (c *call) eventCame(answer *upstream.Answer) {
	now := time.Now()
	if !c.got {
		c.got = true
		c.gotAt = now
		c.front.suspects.setSafe(c, true)
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
		c.streamBegan(now, answer)
		c.started = true
		c.status = answer.Status
		c.first = now.Sub(c.begin)
		platform.Answered(c.w.Header(), answer.Header)
		c.w.WriteHeader(answer.Status)
		c.dropBody(answer)
	}
}

// endStream takes in the end of an answer, within an event or not. Comments have not been
// passed on yet.
func (c *call) endStream(answer *upstream.Answer, comments []byte, within bool) error {
	err := c.stream.End(within)
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
