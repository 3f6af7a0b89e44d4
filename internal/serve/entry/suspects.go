package entry

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/suspect"
	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
)

// crashSettle is how long a call that was not suspected before waits after a crash,
// so that a suspect in the same crash is known first and clears the others.
const crashSettle = 50 * time.Millisecond

// Suspects is what an entry knows of requests that crash engines. It is safe for
// concurrent use.
type Suspects struct {
	// Share tells the other entries all that is known, and returns when those that
	// can be reached have it.
	Share func(ctx context.Context)

	mu       sync.Mutex
	registry suspect.Registry
}

// Export returns all that is known, for the other entries.
func (s *Suspects) Export() suspect.Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Export()
}

// Merge takes in what another entry knows.
func (s *Suspects) Merge(now time.Time, update suspect.Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.Merge(now, update)
}

// state says what may be done with a call. The fingerprint is only taken for
// workspaces of which something is known, since it costs time on a long body.
func (s *Suspects) state(now time.Time, c *call) suspect.State {
	s.mu.Lock()
	known := s.registry.HasRecords(c.request.Workspace)
	s.mu.Unlock()
	if !known {
		return suspect.Clean
	}
	mark := c.fingerprint()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.State(now, c.request.Workspace, mark)
}

func (s *Suspects) crashed(now time.Time, c *call, crash wire.Crash) {
	mark := c.fingerprint()
	// An agent lets one suspect in at a time, so it was the only one of them.
	alone := crash.Alone || c.request.Suspect
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.ReportCrash(now, suspect.CrashReport{
		Workspace:     c.request.Workspace,
		Fingerprint:   mark,
		Crash:         suspect.CrashID(crash.Name),
		Alone:         alone,
		PastProbation: !alone && c.timing.settled(now),
	})
}

func (s *Suspects) cleared(now time.Time, c *call) {
	mark := c.fingerprint()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.ReportCleanRun(now, c.request.Workspace, mark)
}

// fingerprint identifies the request as its caller sent it, so that it is known
// again when it comes to another entry.
func (c *call) fingerprint() suspect.Fingerprint {
	if c.print == nil {
		mark := suspect.FingerprintOf(c.request.Workspace, c.original)
		c.print = &mark
	}
	return *c.print
}

// judge says whether the call may run, and marks it when it was in flight at a
// crash. Error: *refusedError.
func (c *call) judge(now time.Time) error {
	switch c.entry.Suspects.state(now, c) {
	case suspect.Refused:
		return &refusedError{reason: chicoryrock.ReasonSuspect}
	case suspect.Suspect:
		c.request.Suspect = true
	case suspect.Clean:
	}
	return nil
}

// learnCrash takes in that the failure was an engine's crash. The other entries
// know before the caller hears of it and can send the request again elsewhere.
// Error: that of judge.
func (c *call) learnCrash(now time.Time, failure error) error {
	var crash *wire.CrashError
	if !errors.As(failure, &crash) {
		return nil
	}
	c.entry.Suspects.crashed(now, c, crash.Crash)
	c.entry.Suspects.Share(c.ctx)
	if !c.request.Suspect {
		c.pause(crashSettle)
	}
	return c.judge(now)
}
