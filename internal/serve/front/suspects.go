package front

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/policy/suspect"
	"github.com/chicoryrock/chicoryrock/internal/serve/gate"
	"github.com/chicoryrock/chicoryrock/internal/serve/upstream"
)

// errHeldBack ends a call whose prompt has a part that was banned while it waited, or
// before its answer began.
var errHeldBack = errors.New("a part of the prompt has been banned")

// suspects knows which requests, and which parts of prompts, crash backend servers.
type suspects struct {
	// known says whether the tracker knows of any failure.
	known atomic.Bool

	mutex   sync.Mutex
	tracker suspect.Tracker
	calls   map[*call]*openCall
	looks   map[string]*look
	losses  []loss // of the last restartTime
}

// openCall is a call under way. Its fields are used under the lock of suspects.
type openCall struct {
	candidate suspect.Candidate
	safe      bool // its answer has begun, or it is a trial or asks for one
}

// Untold returns the evidence on crashes since it was last asked, for the other processes.
func (f *Front) Untold(now time.Time) suspect.Evidence {
	f.suspects.mutex.Lock()
	defer f.suspects.mutex.Unlock()
	return f.suspects.tracker.News(now)
}

// Told takes in evidence of another process. It returns what that one doesn't know.
func (f *Front) Told(now time.Time, evidence suspect.Evidence) suspect.Evidence {
	f.suspects.mutex.Lock()
	defer f.suspects.mutex.Unlock()
	defer f.suspects.setKnown()
	return f.suspects.tracker.Merge(now, evidence)
}

// Evidence returns what this process knows of crashes, for one that may know nothing, and
// its digest.
func (f *Front) Evidence(now time.Time) (suspect.Evidence, uint64) {
	f.suspects.mutex.Lock()
	defer f.suspects.mutex.Unlock()
	return f.suspects.tracker.Export(now), f.suspects.tracker.Digest(now)
}

// EvidenceDigest returns a number that is the same at processes with the same recent
// evidence; zero if there is none.
func (f *Front) EvidenceDigest(now time.Time) uint64 {
	f.suspects.mutex.Lock()
	defer f.suspects.mutex.Unlock()
	return f.suspects.tracker.Digest(now)
}

// KeptEvidence returns the evidence that is worth keeping if all processes are lost.
func (f *Front) KeptEvidence(now time.Time) suspect.Evidence {
	f.suspects.mutex.Lock()
	defer f.suspects.mutex.Unlock()
	return f.suspects.tracker.Keep(now)
}

// OfferTrial decides for all processes whether a request may be sent as the trial of a ban.
// The trial, if any, is to be recorded by RecordTrials.
func (f *Front) OfferTrial(now time.Time, id string, candidate *suspect.Candidate) (suspect.Evidence, bool) {
	s := &f.suspects
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.tracker.Offer(now, id, candidate)
}

// RecordTrials takes in trials that OfferTrial returned.
func (f *Front) RecordTrials(now time.Time, offered suspect.Evidence) {
	s := &f.suspects
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.tracker.RecordTrials(now, offered)
}

// setKnown sets known. The lock is held.
func (s *suspects) setKnown() { s.known.Store(!s.tracker.Empty()) }

// addCall notes a call that waits or runs, so that a ban can end it.
func (s *suspects) addCall(c *call) {
	candidate := c.candidate(true)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.calls == nil {
		s.calls = make(map[*call]*openCall)
	}
	s.calls[c] = &openCall{candidate: candidate}
}

// endCalls ends all calls that wait or run.
func (s *suspects) endCalls(cause error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c := range s.calls {
		c.stop(cause)
	}
}

func (s *suspects) removeCall(c *call) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.calls, c)
}

// setSafe notes whether a call outlives the bans that begin.
func (s *suspects) setSafe(c *call, safe bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if open := s.calls[c]; open != nil {
		open.safe = safe
	}
}

// candidate describes the call for decisions on crashes, as a whole or by its prompt's
// parts only. The fingerprint of the whole is taken only while anything is known of any
// request, as that takes time for a long body.
func (c *call) candidate(partsOnly bool) suspect.Candidate {
	if c.partsOf != c.request.Pool {
		c.parts, c.partsOf = nil, c.request.Pool
		for i := 0; i < len(c.request.Parts)-1; i++ {
			c.parts = append(c.parts, suspect.PartFingerprint(c.request.Pool, c.request.Parts[i].ID))
		}
	}
	candidate := suspect.Candidate{Workspace: c.request.Workspace, Parts: c.parts}
	if !partsOnly {
		candidate.Request = c.fingerprint()
	}
	return candidate
}

// fingerprint identifies a request that comes again.
func (c *call) fingerprint() suspect.Fingerprint {
	if c.print == nil {
		workspace := ""
		if c.workspace != nil {
			workspace = c.workspace.Name
		}
		asked := strings.Join([]string{c.r.Method, c.r.Host, target(c.r), ""}, "\n")
		mark := suspect.FingerprintOf(workspace, []byte(asked), c.body)
		c.print = &mark
	}
	return *c.print
}

// verdict says what may be done with a call.
func (c *call) verdict(now time.Time) suspect.Verdict {
	s := &c.front.suspects
	if !s.known.Load() {
		return suspect.Verdict{State: suspect.Clean}
	}
	candidate := c.candidate(false)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.tracker.Decide(now, &candidate)
}

// judge refuses a call that may not be sent now. Error: *gate.RefusedError.
func (c *call) judge(now time.Time) error {
	verdict := c.verdict(now)
	if verdict.State != suspect.Refused {
		return nil
	}
	return refusedBy(&verdict)
}

func refusedBy(verdict *suspect.Verdict) error {
	if verdict.Ban.Part {
		return &gate.RefusedError{Reason: chicoryrock.ReasonCrashPart}
	}
	return &gate.RefusedError{Reason: chicoryrock.ReasonCrashRequest}
}

// maySend is judge for a call that is about to be sent: one that may only be sent as a trial
// asks for it. Error: *gate.RefusedError.
func (c *call) maySend() error {
	verdict := c.verdict(time.Now())
	if verdict.State == suspect.Clean || c.trial {
		return nil
	}
	if verdict.State == suspect.Refused {
		return refusedBy(&verdict)
	}
	candidate := c.candidate(false)
	id := c.attemptID()
	// The ban refuses all that it concerns once it has a trial under way, which this may be.
	c.front.suspects.setSafe(c, true)
	if c.trial = c.front.Trial(c.ctx, &verdict.Ban, id, &candidate); !c.trial {
		c.front.suspects.setSafe(c, false)
		return refusedBy(&verdict)
	}
	c.trail.Write(event.Trial, time.Now(), zap.String("trial", id))
	return nil
}

// attemptID names the next attempt of the call among those of all processes.
func (c *call) attemptID() string {
	return c.front.Process + "/" + c.ask.ID + "/" + strconv.FormatInt(c.begin.UnixNano(), 36) + "/" + strconv.Itoa(c.attempts)
}

// heldBack says whether a call was ended by a ban.
func (c *call) heldBack() bool { return errors.Is(context.Cause(c.ctx), errHeldBack) }

// ranOn notes that an attempt still runs some time after its first event: its parts don't
// crash the server.
func (c *call) ranOn(now time.Time) {
	if c.settled || now.Sub(c.gotAt) < suspect.Probation {
		return
	}
	c.settled = true
	c.succeeded(now, true)
}

// succeeded takes in that the attempt has run well, as far as its parts or to its end.
func (c *call) succeeded(now time.Time, partsOnly bool) {
	s := &c.front.suspects
	candidate := c.candidate(partsOnly || !s.known.Load())
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.tracker.RecordSuccess(now, &candidate)
}

// ended takes in how an attempt ended: an answer speaks for the request, and a lost
// connection against it where the server went down.
func (c *call) ended(now time.Time, replica *chicoryrock.Replica, err error) {
	switch {
	case err == nil:
		// The end of an answer that only its connection marks may be a crash.
		if c.endKnown || c.settled {
			c.succeeded(now, false)
		}
		return
	case c.ctx.Err() != nil:
		return
	case errors.Is(err, chicoryrock.ErrTruncated) || errors.Is(err, chicoryrock.ErrUnknownOutcome):
	default:
		return
	}
	candidate := c.candidate(false)
	failure := suspect.Failure{
		ID: c.attemptID(), Server: replica.Name, Service: replica.Pool, Workspace: candidate.Workspace, Request: candidate.Request, Crash: true,
	}
	if !c.settled {
		failure.Parts = candidate.Parts
	}
	lost := loss{failure: failure, ref: c.ask.ID, at: now, address: replica.Address, started: replica.StartedMs, closed: errors.Is(err, upstream.ErrClosed)}
	c.front.suspects.addLoss(lost)
	go c.front.investigate(lost)
}

// enforceBans logs which bans have begun and ended, and ends the calls that a new one
// concerns: those that wait, and those whose answers have not begun.
func (f *Front) enforceBans(now time.Time) {
	s := &f.suspects
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.known.Load() {
		return
	}
	begun, ended := s.tracker.Changes(now)
	defer s.setKnown()
	for i := range begun {
		f.logBan(event.BanBegan, &begun[i])
	}
	for i := range ended {
		f.logBan(event.BanEnded, &ended[i])
	}
	if len(begun) == 0 {
		return
	}
	for c, open := range s.calls {
		if !open.safe && s.tracker.Decide(now, &open.candidate).State == suspect.Refused {
			c.stop(errHeldBack)
		}
	}
}

func (f *Front) logBan(what event.Event, ban *suspect.Ban) {
	if ban.Part {
		f.Log.Write(what, zap.String("parts", ban.PartIDs()), zap.Int("crashes", ban.Crashes))
	}
}
