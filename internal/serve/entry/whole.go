package entry

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
)

// maxWhole is the largest answer that is held until it is complete, in bytes.
const maxWhole = 64 << 20

// relayWhole reads the answer to its end before the caller gets any of it, so
// that a broken one can be asked for again.
func (c *call) relayWhole(response *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxWhole+1))
	if err != nil {
		return c.classify(errors.Wrap(chicoryrock.ErrTruncated, err.Error()))
	}
	if len(data) > maxWhole {
		return errors.Wrap(chicoryrock.ErrUnknownOutcome, "the answer is too large")
	}
	if c.model && response.StatusCode == http.StatusOK {
		if err := c.countWhole(data); err != nil {
			return err
		}
	}
	c.noteWhole(response.StatusCode, data)
	header := c.w.Header()
	header.Set("Content-Type", response.Header.Get("Content-Type"))
	switch stated := response.Header.Get("Content-Length"); {
	case c.r.Method == http.MethodHead && stated != "":
		// It is that of the body which isn't sent.
		header.Set("Content-Length", stated)
	case c.r.Method == http.MethodHead:
	case response.Header.Get(wire.Unframed) == "" || c.model && response.StatusCode == http.StatusOK:
		header.Set("Content-Length", strconv.Itoa(len(data)))
	default:
		// Nothing shows that it is whole, so it ends with the caller's connection, too.
		header.Set("Transfer-Encoding", "identity") //nolint:gosec // the length is not set beside it
	}
	c.started = true
	c.status = response.StatusCode
	c.w.WriteHeader(response.StatusCode)
	// The caller may be gone already; nothing is left to tell it then.
	_, _ = c.w.Write(data)
	return nil
}

// countWhole checks that an answer is whole and charges its tokens.
func (c *call) countWhole(data []byte) error {
	chunk, err := wire.ParseChunk(data)
	if err != nil || len(chunk.Choices) == 0 {
		return errors.Wrap(chicoryrock.ErrUnknownOutcome, "the answer is not a completion")
	}
	if chunk.Usage != nil {
		now := time.Now()
		c.charge(now, chunk.Usage.Output)
		c.progress.prompt = chunk.Usage.Prompt
		c.progress.tokens(now, chunk.Usage.Output)
	}
	return nil
}
