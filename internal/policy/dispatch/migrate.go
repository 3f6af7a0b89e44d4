package dispatch

import (
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// ShouldMigrate reports whether a running stream should continue on another
// replica: its own is a straggler, and another one has room. The caller then stops
// the stream and calls Requeue, and the next engine continues after the tokens
// already delivered. Moving costs one more prefill of the prompt. Staying costs the
// whole answer when its tokens miss their target. A request that is not idempotent
// stays, and so does a suspect, which keeps other suspects off its replica.
func (d *Dispatcher) ShouldMigrate(now time.Time, request *chicoryrock.Request, replica string) bool {
	observer, ok := d.Picker.(chicoryrock.Observer)
	if !ok || !request.Idempotent || request.Suspect || !observer.IsStraggler(request.Pool, replica) {
		return false
	}
	p := d.pool(request.Pool)
	index, free := p.pick(now, d.Picker, request)
	return free && p.replicas[index].Name != replica
}
