package replay

import (
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// move takes a stream away from a straggler.
func (a *attempt) move(now time.Time) {
	if !a.engine.Resume || !a.call.entry.core.ShouldMigrate(now, a.call.request, a.engine.Name) {
		return
	}
	a.left = true
	a.call.entry.world.after(a.delay(), func() {
		if a.engine.streams[a] {
			a.engine.remove(a)
		}
	})
	a.again(chicoryrock.ErrTruncated, true)
}
