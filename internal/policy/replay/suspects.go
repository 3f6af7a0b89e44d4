package replay

import (
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/suspect"
)

// suspectMaxWait is how long a call whose stream was broken by a crash may wait for
// an engine that runs no other suspect.
const suspectMaxWait = time.Minute

// suspectState returns whether a call is clean, suspect or refused; clean if the
// policy does not track suspects.
func (e *entry) suspectState(now time.Time, c *call) suspect.State {
	if e.suspects == nil {
		return suspect.Clean
	}
	return e.suspects.State(now, c.record.Workspace, c.fingerprint)
}

// recordCrash records that an attempt was in flight at a crash, and shares this with
// the other entries. Its call may become a suspect.
func (e *entry) recordCrash(a *attempt, crash suspect.CrashID, alone bool) {
	if e.suspects == nil {
		return
	}
	now := e.now()
	c := a.call
	e.broadcast(now, e.suspects.ReportCrash(now, suspect.CrashReport{
		Workspace:     c.record.Workspace,
		Fingerprint:   c.fingerprint,
		Crash:         crash,
		Alone:         alone,
		PastProbation: !alone && a.pastProbation(),
	}))
	if e.suspectState(now, c) == suspect.Suspect {
		c.request.Suspect = true
		c.request.Deadline = now.Add(suspectMaxWait)
	}
}

// broadcast sends an update to the other entries. This entry, which already has it,
// cancels its refused suspects at once.
func (e *entry) broadcast(now time.Time, update suspect.Update) {
	e.cancelRefused(now)
	for _, other := range e.sim.entries {
		if other == e {
			continue
		}
		e.sim.after(crossRegionDelay, func() {
			other.suspects.Merge(other.now(), update)
			other.cancelRefused(other.now())
		})
	}
}

// cancelRefused fails the waiting suspects that are now refused. Those that are now
// clean keep their place, which is ahead of all calls that have not started.
func (e *entry) cancelRefused(now time.Time) {
	for _, request := range e.dispatcher.WaitingSuspects(standardPool) {
		c := e.calls[request]
		if e.suspectState(now, c) == suspect.Refused {
			e.dispatcher.Cancel(now, request)
			delete(e.calls, request)
			e.failCall(c, chicoryrock.ReasonSuspect)
		}
	}
}
