package dispatch

import (
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// ShouldMigrate says whether a running stream should leave its replica and go on
// elsewhere: the replica is a straggler, and another has room. The caller stops the
// stream there and calls Return, and the engine elsewhere takes it up after the
// tokens that the caller has. It costs the prompt computed once more, while to stay
// costs the whole answer when the target for its tokens is missed. One that may not
// be repeated stays, and so does a suspect, whose place no other may take.
func (d *Dispatcher) ShouldMigrate(now time.Time, request *chicoryrock.Request, replica string) bool {
	observer, learns := d.Picker.(chicoryrock.Observer)
	if !learns || !request.Idempotent || request.Suspect || !observer.IsStraggler(request.Pool, replica) {
		return false
	}
	target := d.pool(request.Pool)
	at, free := target.pick(now, d.Picker, request)
	return free && target.replicas[at].Name != replica
}
