package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/ops/explain"
	"github.com/chicoryrock/chicoryrock/internal/policy/retry"
	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
)

// suspectPause is the mean wait before a suspect asks for another agent, when the
// last one was busy with a suspect already.
const suspectPause = 100 * time.Millisecond

// retrier puts a lock round the core that decides on retries.
type retrier struct {
	mu   sync.Mutex
	core retry.Retrier
}

func (r *retrier) fresh(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.RecordCall(now)
}

func (r *retrier) decide(now time.Time, attempt retry.Attempt) retry.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Decide(now, attempt)
}

// tries counts the attempts of one call.
type tries struct {
	sent   int // attempts but for those below
	turned int // attempts that ended for want of room
}

// again decides after a failed attempt whether the call goes on, and prepares it
// for the next attempt. Error: why it does not.
func (c *call) again(now time.Time, replica *chicoryrock.Replica, failure error) error {
	if c.ctx.Err() != nil {
		return failure
	}
	full := isBusy(failure) || errors.Is(failure, wire.ErrPreempted) || errors.Is(failure, errSlow)
	if full {
		c.tries.turned++
	} else {
		c.tries.sent++
		c.entry.Log.Write(event.AttemptEnded, zap.String("ref", c.request.ID), zap.String("server", replica.Name),
			zap.Int("sent", c.tries.sent), zap.Int("turned", c.tries.turned), zap.Int("tokens", c.sent), event.Cause(failure))
	}
	if err := c.learnCrash(now, failure); err != nil {
		return err
	}
	verdict := c.entry.retrier.decide(now, retry.Attempt{
		Request:             c.request,
		Err:                 failure,
		NoCapacity:          full,
		Sent:                c.tries.sent,
		Rejections:          c.tries.turned,
		Tokens:              c.sent,
		Started:             c.started,
		FirstTokenAt:        c.progress.first,
		TokenIntervalTarget: c.progress.class.Token,
		Resumable:           c.pool.Save && c.build != "" && c.entry.gate.Servable(now, c.request),
	})
	if verdict.Action == retry.Fail {
		return c.refusedBy(verdict, failure)
	}
	c.request.Deadline = verdict.Deadline
	c.request.ResumeBy = verdict.ResumeBy
	c.progress.retried(now, replica.Name, causeOf(failure))
	c.pauseSuspect(full)
	return nil
}

// refusedBy returns the refusal that a verdict asks for, where the request
// certainly did not run, and else the failure itself.
func (c *call) refusedBy(verdict retry.Decision, failure error) error {
	if errors.Is(failure, chicoryrock.ErrNotRun) && !c.started {
		return &refusedError{reason: verdict.Reason}
	}
	return failure
}

// pauseSuspect lets time pass before a suspect that an agent had no room for asks
// again. Without it suspects would go round among agents that have one already.
func (c *call) pauseSuspect(full bool) {
	if !c.request.Suspect || !full {
		return
	}
	c.pause(suspectPause/2 + rand.N(suspectPause))
}

// pause waits, but not longer than for the call.
func (c *call) pause(wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.ctx.Done():
	}
}

func causeOf(err error) explain.Cause {
	switch {
	case errors.Is(err, wire.ErrPreempted):
		return explain.CauseTier
	case isBusy(err):
		return explain.CauseBusy
	default:
		return explain.CauseFailure
	}
}
