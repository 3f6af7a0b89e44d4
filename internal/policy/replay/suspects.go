package replay

import (
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/suspect"
)

// suspectLimit is how long a call whose stream a crash broke may wait for an
// engine that runs no other suspect.
const suspectLimit = time.Minute

// state says what may be done with a call.
func (e *entry) state(now time.Time, c *call) suspect.State {
	if e.seen == nil {
		return suspect.Clean
	}
	return e.seen.State(now, c.record.Workspace, c.print)
}

// crashed notes that an attempt was in flight at a crash, which may make its call
// a suspect.
func (e *entry) crashed(a *attempt, crash suspect.CrashID, alone bool) {
	if e.seen == nil {
		return
	}
	now := e.now()
	c := a.call
	e.share(now, e.seen.ReportCrash(now, suspect.CrashReport{
		Workspace:     c.record.Workspace,
		Fingerprint:   c.print,
		Crash:         crash,
		Alone:         alone,
		PastProbation: !alone && a.settled(),
	}))
	if e.state(now, c) == suspect.Suspect {
		c.request.Suspect = true
		c.request.Deadline = now.Add(suspectLimit)
	}
}

// share sends an update to the other entries, and acts on it here at once.
func (e *entry) share(now time.Time, update suspect.Update) {
	e.review(now)
	for _, other := range e.world.entries {
		if other == e {
			continue
		}
		e.world.after(delayFar, func() {
			other.seen.Merge(other.now(), update)
			other.review(other.now())
		})
	}
}

// review ends the waiting suspects that are refused by now. Those that are clean
// by now keep their place, which is before all that has not begun.
func (e *entry) review(now time.Time) {
	for _, request := range e.core.WaitingSuspects(poolName) {
		c := e.calls[request]
		if e.state(now, c) == suspect.Refused {
			e.core.Cancel(now, request)
			delete(e.calls, request)
			e.end(c, chicoryrock.ReasonSuspect)
		}
	}
}
