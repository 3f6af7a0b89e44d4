package entry

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
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

	// Owns says whether this entry grants the trials of a ban for all entries; nil if it
	// is the only one.
	Owns func(ban *suspect.Ban) bool

	mu       sync.Mutex
	registry suspect.Registry
	parts    suspect.Tracker // of messages; whole requests are the registry's
}

// Export returns all that is known, for the other entries.
func (s *Suspects) Export(now time.Time) suspect.Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	update := s.registry.Export()
	if !s.parts.Empty() {
		evidence := s.parts.Export(now)
		update.Parts = &evidence
	}
	return update
}

// Merge takes in what another entry knows.
func (s *Suspects) Merge(now time.Time, update suspect.Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.Merge(now, update)
	if update.Parts != nil {
		// What the other entry lacks, it gets with the next exchange.
		s.parts.Merge(now, *update.Parts)
	}
}

// allows says whether a call's messages may be run. One that may only be run as a trial is
// granted it by the entry that does so for all, if it came there.
func (s *Suspects) allows(now time.Time, c *call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts.Empty() || c.trial {
		return true
	}
	candidate := c.candidate()
	verdict := s.parts.Decide(now, &candidate)
	if verdict.State != suspect.Suspect {
		return verdict.State == suspect.Clean
	}
	if s.Owns != nil && !s.Owns(&verdict.Ban) {
		return false
	}
	_, c.trial = s.parts.Grant(now, c.request.ID, &candidate)
	return c.trial
}

// ranWell takes in that a call's attempt has run for a while, or to its end.
func (s *Suspects) ranWell(now time.Time, c *call) {
	candidate := c.candidate()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.parts.RecordSuccess(now, &candidate)
}

// candidate describes the call's messages.
func (c *call) candidate() suspect.Candidate {
	return suspect.Candidate{Workspace: c.request.Workspace, Parts: c.parts}
}

// partsOf returns the messages of a model call that other calls may share: all but the
// last one.
func partsOf(pool string, body *wire.Body) []suspect.Fingerprint {
	var messages []json.RawMessage
	if err := json.Unmarshal(body.Get("messages"), &messages); err != nil || len(messages) == 0 {
		return nil // a call without messages, or in a form that its engine may know
	}
	parts := make([]suspect.Fingerprint, len(messages)-1)
	for i := range parts {
		hash := sha256.Sum256(messages[i])
		parts[i] = suspect.PartFingerprint(pool, binary.BigEndian.Uint64(hash[:]))
	}
	return parts
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
	if len(c.parts) > 0 && !c.timing.settled(now) {
		s.parts.RecordFailure(now, suspect.Failure{
			ID: crash.Name + "/" + c.request.ID, Server: crash.Name, Workspace: c.request.Workspace, Parts: c.parts, Crash: true,
		})
	}
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
	if !c.entry.Suspects.allows(now, c) {
		return &refusedError{reason: chicoryrock.ReasonCrashPart}
	}
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
