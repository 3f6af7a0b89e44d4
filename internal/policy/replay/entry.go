package replay

import (
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/retry"
	"github.com/chicoryrock/chicoryrock/internal/policy/suspect"
)

func (e *entry) now() time.Time { return epoch.Add(e.world.now) }

// offer hands a request to the dispatch core.
func (e *entry) offer(now time.Time, c *call) {
	switch e.state(now, c) {
	case suspect.Refused:
		e.refuse(c, chicoryrock.ReasonSuspect)
		return
	case suspect.Suspect:
		c.request.Suspect = true
	case suspect.Clean:
	}
	displaced, reason := e.core.Enqueue(now, c.request)
	if displaced != nil {
		e.refuse(e.calls[displaced], chicoryrock.ReasonQueueFull)
		delete(e.calls, displaced)
	}
	if reason != chicoryrock.ReasonNone {
		e.refuse(c, reason)
		return
	}
	e.calls[c.request] = c
	e.pump(now)
}

// refuse gives the caller its final answer at once. Some callers come again, at
// the next entry, when they were told to.
func (e *entry) refuse(c *call, reason chicoryrock.Reason) {
	w := e.world
	w.report.refused(c, reason)
	if c.comings >= c.record.Again {
		w.open--
		return
	}
	number := w.report.number[c.record]
	after := e.core.RetryAfter(e.now(), c.request)
	w.after(after, func() { w.arrive(c.record, number, c.comings+1) })
}

// tick refuses what has become late, as the entry's timer does.
func (e *entry) tick() {
	now := e.now()
	for _, request := range e.core.Expire(now) {
		c := e.calls[request]
		delete(e.calls, request)
		if c.has > 0 {
			e.end(c, chicoryrock.ReasonBroken)
			continue
		}
		e.refuse(c, chicoryrock.ReasonLate)
	}
	e.pump(now)
	if e.world.open > 0 {
		e.world.after(tick, e.tick)
	}
}

func (e *entry) pump(now time.Time) {
	for _, grant := range e.core.Dispatch(now) {
		c := e.calls[grant.Request]
		a := &attempt{call: c, engine: e.world.engine(grant.Replica.Name), from: c.has}
		a.send()
	}
}

func (w *world) engine(name string) *engine {
	for _, engine := range w.engines {
		if engine.Name == name {
			return engine
		}
	}
	return nil
}

// attempt is one sending of a call to an engine.
type attempt struct {
	call   *call
	engine *engine
	from   int // tokens that the caller had when it began
	made   int
	sent   time.Duration
	told   time.Duration // when the agent's load last came with a token
	began  time.Duration // when the first token reached the entry
	heard  time.Duration // when the last one did
	left   bool          // the entry has moved the stream elsewhere
}

func (a *attempt) delay() time.Duration {
	switch {
	case a.engine.Centre == a.call.entry.Centre:
		return delayCentre
	case a.engine.Region == a.call.entry.Region:
		return delayRegion
	default:
		return delayFar
	}
}

// send carries the call to the agent, which takes it, or says that it did not run.
func (a *attempt) send() {
	w := a.call.entry.world
	a.sent = w.now
	wait := a.delay()
	if a.engine.Region != a.call.entry.Region {
		bytes := a.call.record.Prompt * bytesPerToken
		w.report.crossed += bytes
		wait += time.Duration(float64(bytes) / linkRate * float64(time.Second))
	}
	if a.engine.cut {
		w.after(dialTimeout, func() { a.notRun(nil) })
		return
	}
	w.after(wait, func() {
		if a.engine.down || a.engine.cut {
			w.after(a.delay(), func() { a.notRun(nil) })
			return
		}
		a.engine.agent.offer(a)
	})
}

// notRun tells the entry that the call did not begin. A full agent states so; of
// one that can't be reached nothing is known.
func (a *attempt) notRun(load *chicoryrock.Load) {
	e := a.call.entry
	if load != nil {
		e.world.report.corrected++
		e.core.UpdateLoad(e.now(), a.call.request.Pool, a.engine.Name, *load)
	} else {
		a.lost()
	}
	a.again(chicoryrock.ErrNotRun, load != nil)
}

func (a *attempt) lost() {
	e := a.call.entry
	e.core.Observe(e.now(), a.call.request.Pool, a.engine.Name, chicoryrock.Observation{Failed: true})
}

// observe measures the first token, and later the time between tokens.
func (a *attempt) observe() {
	e := a.call.entry
	seen := chicoryrock.Observation{TimeToFirstToken: e.world.now - a.sent}
	if a.heard > 0 {
		seen = chicoryrock.Observation{TokenInterval: e.world.now - a.heard}
	} else {
		a.began = e.world.now
	}
	a.heard = e.world.now
	e.core.Observe(e.now(), a.call.request.Pool, a.engine.Name, seen)
}

// tells says whether this token's event carries the agent's load too.
func (a *attempt) tells() bool {
	w := a.call.entry.world
	if w.policy.Riding == 0 || w.now-a.told < w.policy.Riding {
		return false
	}
	a.told = w.now
	return true
}

// produced carries a token to the caller.
func (a *attempt) produced(ended bool) {
	e := a.call.entry
	load := a.engine.load()
	if !ended {
		load.Running = max(load.Running-1, 0)
	}
	e.world.report.made++
	e.world.after(a.delay(), func() {
		c := a.call
		if a.left {
			return
		}
		if c.has == 0 {
			c.first = e.world.now
		}
		a.observe()
		c.has++
		c.last = e.world.now
		now := e.now()
		e.core.Charge(now, c.request, 1)
		if ended || a.tells() {
			e.core.UpdateLoad(now, c.request.Pool, a.engine.Name, load)
		}
		if ended {
			a.end(now)
			return
		}
		a.move(now)
	})
}

func (a *attempt) end(now time.Time) {
	e := a.call.entry
	e.core.Finish(now, a.call.request, a.engine.Name)
	delete(e.calls, a.call.request)
	e.world.report.served(a.call)
	if a.call.request.Suspect {
		e.share(now, e.seen.ReportCleanRun(now, a.call.record.Workspace, a.call.print))
	}
	e.world.open--
	e.pump(now)
}

// settled says whether the engine has run the attempt for a probation's time.
func (a *attempt) settled() bool {
	return a.heard > 0 && a.call.entry.world.now-a.began >= suspect.Probation
}

// stopped tells the entry that the agent stopped the stream for a higher tier.
func (a *attempt) stopped() {
	w := a.call.entry.world
	w.report.stopped++
	w.after(a.delay(), func() {
		if !a.left {
			a.again(chicoryrock.ErrTruncated, true)
		}
	})
}

// broke tells the entry that the stream ended before its end.
func (a *attempt) broke(crash suspect.CrashID, alone bool) {
	a.call.entry.world.after(a.delay(), func() {
		if a.left {
			return
		}
		a.lost()
		if crash != "" {
			a.call.entry.crashed(a, crash, alone)
		}
		a.again(chicoryrock.ErrTruncated, false)
	})
}

// again sends the call elsewhere when that is allowed, and fails it otherwise.
func (a *attempt) again(cause error, full bool) {
	e, c := a.call.entry, a.call
	now := e.now()
	if e.state(now, c) == suspect.Refused {
		a.giveUp(now, chicoryrock.ReasonSuspect)
		return
	}
	if full {
		c.turned++
	} else {
		c.sent++
	}
	verdict := e.retrier.Decide(now, retry.Attempt{
		Request:             c.request,
		Err:                 cause,
		NoCapacity:          full,
		Sent:                c.sent,
		Rejections:          c.turned,
		Tokens:              c.has,
		Started:             c.has > 0,
		FirstTokenAt:        epoch.Add(c.first),
		TokenIntervalTarget: c.class.Token,
		Resumable:           a.engine.Resume,
	})
	if verdict.Action != retry.Fail {
		c.request.Deadline = verdict.Deadline
		c.request.ResumeBy = verdict.ResumeBy
		if c.request.Suspect {
			c.request.Deadline = now.Add(suspectLimit)
		}
		e.core.Requeue(now, c.request, a.engine.Name)
		e.pump(now)
		return
	}
	a.giveUp(now, verdict.Reason)
}

func (a *attempt) giveUp(now time.Time, reason chicoryrock.Reason) {
	e := a.call.entry
	e.core.Finish(now, a.call.request, a.engine.Name)
	delete(e.calls, a.call.request)
	e.end(a.call, reason)
	e.pump(now)
}

// end gives a call that was sent at least once its final answer.
func (e *entry) end(c *call, reason chicoryrock.Reason) {
	switch reason {
	case chicoryrock.ReasonBroken, chicoryrock.ReasonUnknownOutcome:
		e.world.report.broken(c)
		e.world.open--
	default:
		e.refuse(c, reason)
	}
}
