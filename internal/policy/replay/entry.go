package replay

import (
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/retry"
	"github.com/chicoryrock/chicoryrock/internal/policy/suspect"
)

func (e *entry) now() time.Time { return epoch.Add(e.sim.now) }

// enqueue passes a call to the dispatcher, or refuses it.
func (e *entry) enqueue(now time.Time, c *call) {
	switch e.suspectState(now, c) {
	case suspect.Refused:
		e.refuse(c, chicoryrock.ReasonSuspect)
		return
	case suspect.Suspect:
		c.request.Suspect = true
	case suspect.Clean:
	}
	displaced, reason := e.dispatcher.Enqueue(now, c.request)
	if displaced != nil {
		e.refuse(e.calls[displaced], chicoryrock.ReasonQueueFull)
		delete(e.calls, displaced)
	}
	if reason != chicoryrock.ReasonNone {
		e.refuse(c, reason)
		return
	}
	e.calls[c.request] = c
	e.dispatch(now)
}

// refuse refuses a call. A caller with retries left calls the next entry after the
// refusal's retry time; for any other this is the final answer.
func (e *entry) refuse(c *call, reason chicoryrock.Reason) {
	sim := e.sim
	sim.stats.recordRefusal(c, reason)
	if c.callerRetry >= c.record.CallerRetries {
		sim.pendingCallers--
		return
	}
	index := sim.stats.recordIndex[c.record]
	wait := e.dispatcher.RetryAfter(e.now(), c.request)
	sim.after(wait, func() { sim.arrive(c.record, index, c.callerRetry+1) })
}

// tick is the entry's timer. It fails the waiting calls that are late, and sends those
// for which an engine is free.
func (e *entry) tick() {
	now := e.now()
	for _, request := range e.dispatcher.Expire(now) {
		c := e.calls[request]
		delete(e.calls, request)
		if c.tokens > 0 {
			e.failCall(c, chicoryrock.ReasonBroken)
			continue
		}
		e.refuse(c, chicoryrock.ReasonLate)
	}
	e.dispatch(now)
	if e.sim.pendingCallers > 0 {
		e.sim.after(tickInterval, e.tick)
	}
}

// dispatch sends each granted request to its engine.
func (e *entry) dispatch(now time.Time) {
	for _, grant := range e.dispatcher.Dispatch(now) {
		c := e.calls[grant.Request]
		a := &attempt{call: c, engine: e.sim.engine(grant.Replica.Name), resumeAfter: c.tokens}
		a.send()
	}
}

// engine returns the engine with the given name, nil if there is none.
func (s *simulation) engine(name string) *engine {
	for _, engine := range s.engines {
		if engine.Name == name {
			return engine
		}
	}
	return nil
}

// attempt is one sending of a call to an engine.
type attempt struct {
	call           *call
	engine         *engine
	resumeAfter    int // output tokens that the caller already had
	tokens         int // produced by this attempt
	sentAt         time.Duration
	loadReportedAt time.Duration // when a token last carried the agent's load
	firstTokenAt   time.Duration // when the first token reached the entry
	lastTokenAt    time.Duration // when the latest token reached the entry; zero before the first
	migrated       bool          // the stream goes on at another engine
}

// networkDelay returns the one-way delay between the call's entry and the engine.
func (a *attempt) networkDelay() time.Duration {
	switch {
	case a.engine.Centre == a.call.entry.Centre:
		return sameCentreDelay
	case a.engine.Region == a.call.entry.Region:
		return sameRegionDelay
	default:
		return crossRegionDelay
	}
}

// send delivers the call to the agent. The attempt is handled as not run if the engine
// is down or unreachable.
func (a *attempt) send() {
	sim := a.call.entry.sim
	a.sentAt = sim.now
	wait := a.networkDelay()
	if a.engine.Region != a.call.entry.Region {
		bytes := a.call.record.PromptTokens * bytesPerToken
		sim.stats.crossRegionBytes += bytes
		wait += time.Duration(float64(bytes) / linkBandwidth * float64(time.Second))
	}
	if a.engine.unreachable {
		sim.after(dialTimeout, func() { a.handleNotRun(nil) })
		return
	}
	sim.after(wait, func() {
		if a.engine.down || a.engine.unreachable {
			sim.after(a.networkDelay(), func() { a.handleNotRun(nil) })
			return
		}
		a.engine.agent.offer(a)
	})
}

// handleNotRun runs at the entry when an attempt did not start. The load is the report
// of a full agent, or nil if the engine is down or unreachable.
func (a *attempt) handleNotRun(load *chicoryrock.Load) {
	e := a.call.entry
	if load != nil {
		e.sim.stats.notRun++
		e.dispatcher.UpdateLoad(e.now(), a.call.request.Pool, a.engine.Name, *load)
	} else {
		a.observeFailure()
	}
	a.retryOrFail(chicoryrock.ErrNotRun, load != nil)
}

// observeFailure reports to the picker that the engine failed.
func (a *attempt) observeFailure() {
	e := a.call.entry
	e.dispatcher.Observe(e.now(), a.call.request.Pool, a.engine.Name, chicoryrock.Observation{Failed: true})
}

// observeToken reports to the picker the time to the first token, and for later
// tokens the time since the previous one.
func (a *attempt) observeToken() {
	e := a.call.entry
	observation := chicoryrock.Observation{TimeToFirstToken: e.sim.now - a.sentAt}
	if a.lastTokenAt > 0 {
		observation = chicoryrock.Observation{TokenInterval: e.sim.now - a.lastTokenAt}
	} else {
		a.firstTokenAt = e.sim.now
	}
	a.lastTokenAt = e.sim.now
	e.dispatcher.Observe(e.now(), a.call.request.Pool, a.engine.Name, observation)
}

// carriesLoad reports whether this token also carries the agent's load, and if so
// restarts the interval to the next such token.
func (a *attempt) carriesLoad() bool {
	sim := a.call.entry.sim
	if sim.policy.StreamLoadInterval == 0 || sim.now-a.loadReportedAt < sim.policy.StreamLoadInterval {
		return false
	}
	a.loadReportedAt = sim.now
	return true
}

// deliverToken sends a token to the entry, which passes it to the caller. The load
// that it may carry does not include this attempt.
func (a *attempt) deliverToken(last bool) {
	e := a.call.entry
	load := a.engine.load()
	if !last {
		load.Running = max(load.Running-1, 0)
	}
	e.sim.stats.producedTokens++
	e.sim.after(a.networkDelay(), func() {
		c := a.call
		if a.migrated {
			return
		}
		if c.tokens == 0 {
			c.firstTokenAt = e.sim.now
			c.request.Version, c.version = a.engine.Version, a.engine.Version
		}
		if c.version != a.engine.Version {
			e.sim.stats.joinedTokens++
		}
		a.observeToken()
		c.tokens++
		c.lastTokenAt = e.sim.now
		now := e.now()
		e.dispatcher.Charge(now, c.request, 1)
		if last || a.carriesLoad() {
			e.dispatcher.UpdateLoad(now, c.request.Pool, a.engine.Name, load)
		}
		if last {
			a.complete(now)
			return
		}
		a.migrateIfSlow(now)
	})
}

// complete ends a call whose answer is complete.
func (a *attempt) complete(now time.Time) {
	e := a.call.entry
	e.dispatcher.Finish(now, a.call.request, a.engine.Name)
	delete(e.calls, a.call.request)
	e.sim.stats.recordAnswer(a.call)
	if a.call.request.Suspect {
		e.broadcast(now, e.suspects.ReportCleanRun(now, a.call.record.Workspace, a.call.fingerprint))
	}
	e.sim.pendingCallers--
	e.dispatch(now)
}

// pastProbation reports whether the attempt has run for suspect.Probation or longer.
func (a *attempt) pastProbation() bool {
	return a.lastTokenAt > 0 && a.call.entry.sim.now-a.firstTokenAt >= suspect.Probation
}

// reportPreemption reports to the entry that the agent preempted the stream for a
// higher tier.
func (a *attempt) reportPreemption() {
	sim := a.call.entry.sim
	sim.stats.preempted++
	sim.after(a.networkDelay(), func() {
		if !a.migrated {
			a.retryOrFail(chicoryrock.ErrTruncated, true)
		}
	})
}

// reportBreak reports to the entry that the stream broke. The crash ID is empty if
// the engine did not crash; alone is set if no other stream ran on the engine.
func (a *attempt) reportBreak(crash suspect.CrashID, alone bool) {
	a.call.entry.sim.after(a.networkDelay(), func() {
		if a.migrated {
			return
		}
		a.observeFailure()
		if crash != "" {
			a.call.entry.recordCrash(a, crash, alone)
		}
		a.retryOrFail(chicoryrock.ErrTruncated, false)
	})
}

// retryOrFail queues the call for another attempt if the retrier allows it, and fails
// it otherwise. Failures for want of capacity are counted separately.
func (a *attempt) retryOrFail(cause error, noCapacity bool) {
	e, c := a.call.entry, a.call
	now := e.now()
	if e.suspectState(now, c) == suspect.Refused {
		a.giveUp(now, chicoryrock.ReasonSuspect)
		return
	}
	if noCapacity {
		c.rejections++
	} else {
		c.failures++
	}
	decision := e.retrier.Decide(now, retry.Attempt{
		Request:             c.request,
		Err:                 cause,
		NoCapacity:          noCapacity,
		Sent:                c.failures,
		Rejections:          c.rejections,
		Tokens:              c.tokens,
		Started:             c.tokens > 0,
		FirstTokenAt:        epoch.Add(c.firstTokenAt),
		TokenIntervalTarget: c.class.TokenIntervalTarget,
		Resumable:           a.engine.CanResume && e.dispatcher.Unservable(now, c.request) == chicoryrock.ReasonNone,
	})
	if decision.Action != retry.Fail {
		c.request.Deadline = decision.Deadline
		c.request.ResumeBy = decision.ResumeBy
		if c.request.Suspect {
			c.request.Deadline = now.Add(suspectMaxWait)
		}
		e.dispatcher.Requeue(now, c.request, a.engine.Name)
		e.dispatch(now)
		return
	}
	a.giveUp(now, decision.Reason)
}

// giveUp ends the attempt and fails its call.
func (a *attempt) giveUp(now time.Time, reason chicoryrock.Reason) {
	e := a.call.entry
	e.dispatcher.Finish(now, a.call.request, a.engine.Name)
	delete(e.calls, a.call.request)
	e.failCall(a.call, reason)
	e.dispatch(now)
}

// failCall gives a call that was sent at least once its final answer.
func (e *entry) failCall(c *call, reason chicoryrock.Reason) {
	switch reason {
	case chicoryrock.ReasonBroken, chicoryrock.ReasonUnknownOutcome:
		e.sim.stats.recordBroken(c)
		e.sim.pendingCallers--
	default:
		e.refuse(c, reason)
	}
}
