package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
)

// relayStream passes events on as they come. The answer's header goes out with
// the first event, so that a stream that breaks before it can start elsewhere.
func (c *call) relayStream(replica *chicoryrock.Replica, stream io.Reader) error {
	c.completion.Begin()
	events := wire.NewEventReader(stream)
	events.Heard = func(load chicoryrock.Load) {
		c.entry.gate.Heard(time.Now(), replica.Pool, replica.Name, load)
	}
	for {
		data, err := events.Next()
		if errors.Is(err, io.EOF) {
			if err := c.completion.End(); err != nil {
				return errors.Wrap(chicoryrock.ErrTruncated, err.Error())
			}
			return c.endStream()
		}
		if err != nil {
			return c.classify(err)
		}
		if err := c.relayEvent(replica, data); err != nil {
			return err
		}
	}
}

// errSlow ends an attempt whose stream leaves a straggler to go on elsewhere.
var errSlow = errors.New("the stream leaves a straggler")

func (c *call) relayEvent(replica *chicoryrock.Replica, data []byte) error {
	chunk, err := wire.ParseChunk(data)
	if err != nil {
		return errors.Wrap(chicoryrock.ErrTruncated, err.Error())
	}
	if err := c.completion.Next(chunk.Place()); err != nil {
		return errors.Wrapf(chicoryrock.ErrTruncated, "%s: %.200q", err, data)
	}
	moves := false
	if tokens := chunk.Tokens(); tokens > 0 {
		now := time.Now()
		c.sent += tokens
		c.used.counts.OutputTokens += int64(tokens)
		c.progress.tokens(now, tokens)
		if c.timing.justSettled(now) && len(c.parts) > 0 {
			c.entry.Suspects.ranWell(now, c)
		}
		if seen, due := c.timing.token(now); due {
			c.entry.gate.Observe(now, replica, seen)
			moves = c.moves(now, replica, &chunk)
		}
		c.charge(now, tokens)
	}
	if chunk.Usage != nil {
		c.progress.prompt = chunk.Usage.Prompt
		c.used.counts.PromptTokens = int64(chunk.Usage.Prompt)
	}
	if isUsageOnly(&chunk) && !c.wantsUsage {
		return nil
	}
	if c.sent > 0 {
		c.request.Version = c.build
	}
	c.startStream()
	if err := wire.WriteEvent(c.w, data); err != nil {
		return errors.WithStack(err)
	}
	c.flush()
	if moves {
		return errors.WithStack(errSlow)
	}
	return nil
}

// moves says whether the stream goes on elsewhere after a chunk. One that has come
// to its end doesn't, although the event that says so may still be to come.
func (c *call) moves(now time.Time, replica *chicoryrock.Replica, chunk *wire.Chunk) bool {
	for i := range chunk.Choices {
		if chunk.Choices[i].FinishReason != nil {
			return false
		}
	}
	return c.pool.Save && c.build != "" && c.entry.gate.Moves(now, c.request, replica.Name)
}

// isUsageOnly says whether a chunk only carries the usage that the entry itself
// asked for.
func isUsageOnly(chunk *wire.Chunk) bool {
	return chunk.Usage != nil && len(chunk.Choices) == 0
}

func (c *call) startStream() {
	if c.started {
		return
	}
	c.started = true
	c.status = http.StatusOK
	header := c.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	c.w.WriteHeader(http.StatusOK)
}

func (c *call) endStream() error {
	c.used.counts.Requests = 1
	c.startStream()
	if err := wire.WriteDone(c.w); err != nil {
		return errors.WithStack(err)
	}
	c.flush()
	return nil
}

// breakStream ends a stream that cannot be completed: an error event in the
// usual shape, then a cut connection, so that no caller takes it for whole.
func (c *call) breakStream(refusal wire.Refusal) {
	if c.stream {
		// The error body always has a JSON form, and the caller may be gone.
		data, _ := json.Marshal(refusal.Body())
		_ = wire.WriteEvent(c.w, data)
		c.flush()
	}
	panic(http.ErrAbortHandler)
}

func (c *call) flush() {
	// A writer that cannot flush delivers at the end of the answer.
	_ = http.NewResponseController(c.w).Flush()
}
