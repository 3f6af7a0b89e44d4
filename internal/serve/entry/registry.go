package entry

import (
	"context"
	"sync"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

// registry knows the open calls by the digest of their key, so that those of a
// withdrawn key can be ended while they wait or run.
type registry struct {
	mu    sync.Mutex
	calls map[string]map[*call]context.CancelCauseFunc
}

func newRegistry() *registry {
	return &registry{calls: make(map[string]map[*call]context.CancelCauseFunc)}
}

func (r *registry) add(digest string, c *call, cancel context.CancelCauseFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.calls[digest] == nil {
		r.calls[digest] = make(map[*call]context.CancelCauseFunc)
	}
	r.calls[digest][c] = cancel
}

func (r *registry) remove(digest string, c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.calls[digest], c)
	if len(r.calls[digest]) == 0 {
		delete(r.calls, digest)
	}
}

// withdraw ends the calls whose key the configuration no longer has.
func (r *registry) withdraw(table *object.Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for digest, calls := range r.calls {
		if _, _, err := table.Authenticate(digest); err == nil {
			continue
		}
		for _, cancel := range calls {
			cancel(&refusedError{reason: chicoryrock.ReasonWithdrawn})
		}
	}
}
