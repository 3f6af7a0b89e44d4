package agent

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/serve/web"
	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
)

// relayBuffer is how much of an answer is passed on at once, in bytes.
const relayBuffer = 16 << 10

// loadInterval is how often a stream tells its entry the agent's load.
const loadInterval = 100 * time.Millisecond

// relay passes the answer on as it comes. One that breaks off cuts the
// connection, so that the entry sees it is not whole.
func (v *visit) relay(response *http.Response) {
	header := v.w.Header()
	streamed := wire.IsModelPath(v.r.URL.Path) && wire.IsEventStream(response.Header)
	names := []string{"Content-Type", "Content-Language"}
	if !streamed {
		// A stream gets other comments on its way.
		names = append(names, "Content-Length")
	}
	for _, name := range names {
		if value := response.Header.Get(name); value != "" {
			header.Set(name, value)
		}
	}
	if !web.Framed(response) {
		header.Set(wire.Unframed, "1")
	}
	load := v.agent.room.load()
	load.Build = wire.BuildOf(response.Header) // another answer may have stated another one since
	wire.SetLoad(header, load)
	v.stampUsage(header)
	header.Set("Trailer", wire.Load)
	v.w.WriteHeader(response.StatusCode)
	meter := &meter{path: v.r.URL.Path, status: response.StatusCode}
	err := v.copy(response.Body, streamed, meter)
	if err == nil && !streamed && !web.Framed(response) {
		err = checkUnframed(response, meter.body)
	}
	meter.whole = err == nil
	v.countUsage(meter.counts(streamed))
	if err != nil {
		v.cut(err, streamed)
	}
	wire.SetLoad(header, v.others())
}

// errCut is for the end of a connection that isn't the end of its answer.
var errCut = errors.New("the connection ends within the answer")

// checkUnframed checks a body that ended with its connection, as far as it shows whether it
// is whole. Error: errCut.
func checkUnframed(response *http.Response, body []byte) error {
	success := response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices
	switch {
	case len(body) == 0 && success:
		return errors.Wrap(errCut, "no body")
	case len(body) > 0 && len(body) <= maxCounted && wire.IsJSON(response.Header) && !json.Valid(body):
		return errors.Wrap(errCut, "a part of JSON")
	}
	return nil
}

// copy passes on the body. Of a stream of tokens only whole lines go on, and their tokens
// are counted.
func (v *visit) copy(body io.Reader, streamed bool, meter *meter) error {
	controller := http.NewResponseController(v.w)
	buffer := make([]byte, relayBuffer)
	for {
		n, err := body.Read(buffer)
		piece := buffer[:n]
		if streamed {
			var tokens int
			piece, tokens = meter.stream.Feed(piece)
			meter.output += int64(tokens)
			v.count(tokens)
			piece = v.addLoad(piece)
		} else {
			meter.keep(piece)
		}
		if len(piece) > 0 {
			if _, writeErr := v.w.Write(piece); writeErr != nil {
				return errors.WithStack(writeErr)
			}
			// A writer that cannot flush delivers at the end of the answer.
			_ = controller.Flush()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.WithStack(err)
		}
	}
}

// addLoad adds the agent's load to a piece of a stream when it is time. Without it
// an entry would hear of a backend server only when a stream ends.
func (v *visit) addLoad(piece []byte) []byte {
	now := time.Now()
	if len(piece) == 0 || now.Sub(v.told) < loadInterval {
		return piece
	}
	v.told = now
	return append(piece, wire.LoadComment(v.others())...)
}

// others returns the agent's load without this request.
func (v *visit) others() chicoryrock.Load {
	load := v.agent.room.load()
	load.Running--
	return load
}

func (v *visit) count(tokens int) {
	if tokens > 0 {
		v.agent.room.token(time.Now(), v.request, tokens)
	}
}

// cut ends an answer that is not whole. A stream says first why it ends.
func (v *visit) cut(err error, streamed bool) {
	preempted := errors.Is(context.Cause(v.ctx), errPreempted)
	switch {
	case preempted && streamed:
		v.say(wire.PreemptedComment())
	case v.ctx.Err() == nil:
		v.agent.Log.Write(event.EngineFailed, zap.String("ref", v.request.ID), zap.String("server", v.agent.Settings.Name), event.Cause(err))
		crash, crashed := v.agent.crashes.failed(v.agent.room.load().Running)
		if crashed && streamed {
			v.say(wire.CrashComment(crash))
		}
	}
	panic(http.ErrAbortHandler)
}

func (v *visit) say(comment []byte) {
	// The entry may be gone already; nothing is left to tell it then.
	_, _ = v.w.Write(comment)
	_ = http.NewResponseController(v.w).Flush()
}
