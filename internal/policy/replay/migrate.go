package replay

import (
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// migrateIfSlow moves the stream to another engine if its own is a straggler, another
// has room and the engines can resume streams.
func (a *attempt) migrateIfSlow(now time.Time) {
	if !a.engine.CanResume || !a.call.entry.dispatcher.ShouldMigrate(now, a.call.request, a.engine.Name) {
		return
	}
	a.migrated = true
	a.call.entry.sim.after(a.networkDelay(), func() {
		if a.engine.streams[a] {
			a.engine.remove(a)
		}
	})
	a.retryOrFail(chicoryrock.ErrTruncated, true)
}
