package agent

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
)

// relayBuffer is how much of an answer is passed on at once, in bytes.
const relayBuffer = 16 << 10

// forwarded lists the headers that a backend server may see. It is a list of
// what passes, not of what is held back, so that a header that nobody thought of
// stays out.
var forwarded = []string{
	"Content-Type",
	"Accept",
	"Accept-Language",
	wire.IdempotencyKey,
	wire.RequestID,
	wire.Tier,
	wire.Resume,
}

// handle admits one request and forwards it.
func (a *Agent) handle(w http.ResponseWriter, r *http.Request) {
	if a.draining.Load() {
		a.refuse(w, chicoryrock.ReasonShutdown)
		return
	}
	if !a.slots.take() {
		a.refuse(w, chicoryrock.ReasonQueueFull)
		return
	}
	defer a.slots.free()
	if !a.once.begin(time.Now(), r.Header) {
		a.duplicate(w)
		return
	}
	a.forward(w, r)
}

// refuse answers a request that certainly did not reach the backend server.
func (a *Agent) refuse(w http.ResponseWriter, reason chicoryrock.Reason) {
	wire.SetLoad(w.Header(), a.load())
	wire.Refusal{Reason: reason, Outcome: wire.OutcomeNotRun}.Write(w)
}

func (a *Agent) forward(w http.ResponseWriter, r *http.Request) {
	request, err := a.newRequest(r)
	if err != nil {
		a.once.forget(r.Header)
		a.refuse(w, chicoryrock.ReasonMalformed)
		return
	}
	response, err := a.engine.DoRequest(request)
	if err != nil {
		a.failed(w, r, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if echoed := response.Header.Get(wire.RequestID); echoed != "" && echoed != r.Header.Get(wire.RequestID) {
		a.crossed(w, echoed)
		return
	}
	a.relay(w, response)
}

func (a *Agent) newRequest(r *http.Request) (*http.Request, error) {
	address := "http://" + a.Settings.Engine.String() + r.URL.RequestURI()
	request, err := http.NewRequestWithContext(r.Context(), r.Method, address, r.Body) //nolint:gosec // the address is the agent's setting, only the path is the caller's
	if err != nil {
		return nil, err
	}
	// The body is a stream that cannot be rewound, so that the transport never
	// sends the call twice on its own.
	request.GetBody = nil
	request.ContentLength = r.ContentLength
	for _, name := range forwarded {
		if value := r.Header.Get(name); value != "" {
			request.Header.Set(name, value)
		}
	}
	return request, nil
}

// failed answers for a backend server that gave no answer. The call certainly
// did not run only when no connection stood.
func (a *Agent) failed(w http.ResponseWriter, r *http.Request, err error) {
	if r.Context().Err() != nil {
		return
	}
	a.Log.Write(event.EngineFailed, zap.String("ref", r.Header.Get(wire.RequestID)), zap.Error(err))
	wire.SetLoad(w.Header(), a.load())
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		a.once.forget(r.Header)
		a.refuse(w, chicoryrock.ReasonNoServer)
		return
	}
	wire.Refusal{Reason: chicoryrock.ReasonUnknownOutcome, Outcome: wire.OutcomeUnknown}.Write(w)
}

// crossed drops an answer that belongs to another request.
func (a *Agent) crossed(w http.ResponseWriter, echoed string) {
	a.Log.Write(event.EngineFailed, zap.String("crossed", echoed))
	wire.SetLoad(w.Header(), a.load())
	wire.Refusal{Reason: chicoryrock.ReasonUnknownOutcome, Outcome: wire.OutcomeUnknown}.Write(w)
}

// relay passes the answer on as it comes. One that breaks off cuts the
// connection, so that the entry sees it is not whole.
func (a *Agent) relay(w http.ResponseWriter, response *http.Response) {
	header := w.Header()
	for _, name := range []string{"Content-Type", "Content-Length", "Content-Language"} {
		if value := response.Header.Get(name); value != "" {
			header.Set(name, value)
		}
	}
	wire.SetLoad(header, a.load())
	header.Set("Trailer", wire.Load)
	w.WriteHeader(response.StatusCode)
	if err := copyFlushing(w, response.Body); err != nil {
		a.Log.Write(event.EngineFailed, zap.Error(err))
		panic(http.ErrAbortHandler)
	}
	load := a.load()
	load.Running--
	wire.SetLoad(header, load)
}

func copyFlushing(w http.ResponseWriter, body io.Reader) error {
	controller := http.NewResponseController(w)
	buffer := make([]byte, relayBuffer)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return writeErr
			}
			// A writer that cannot flush delivers at the end of the answer.
			_ = controller.Flush()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
