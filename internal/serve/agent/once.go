package agent

import (
	"net/http"
	"sync"
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
	"github.com/chicoryrock/chicoryrock/internal/state/claim"
)

// once keeps a call that may not be repeated from reaching the backend server
// twice through this agent.
type once struct {
	mu   sync.Mutex
	seen claim.DuplicateFilter
}

// begin says whether the call may go to the backend server.
func (o *once) begin(now time.Time, header http.Header) bool {
	if header.Get(wire.Once) == "" {
		return true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.seen.AddIfNew(now, nameOf(header))
}

// forget drops a call that certainly did not reach the backend server.
func (o *once) forget(header http.Header) {
	if header.Get(wire.Once) == "" {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.seen.Remove(nameOf(header))
}

// nameOf returns what two sendings of the same call share: the digest of its
// idempotency key, or else the request's own name.
func nameOf(header http.Header) string {
	if digest := header.Get(wire.Claim); digest != "" {
		return digest
	}
	return header.Get(wire.RequestID)
}

// duplicate refuses a call that this agent has let through before. It does not
// say "not run", since the entry would send it to another agent then.
func (a *Agent) duplicate(w http.ResponseWriter) {
	wire.SetLoad(w.Header(), a.room.load())
	wire.Refusal{Reason: chicoryrock.ReasonClaimed, Outcome: wire.OutcomeUnknown}.Write(w)
}
