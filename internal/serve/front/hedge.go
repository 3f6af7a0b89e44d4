package front

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/policy/hedge"
	"github.com/chicoryrock/chicoryrock/internal/policy/retry"
	"github.com/chicoryrock/chicoryrock/internal/policy/suspect"
	"github.com/chicoryrock/chicoryrock/internal/serve/upstream"
	"github.com/chicoryrock/chicoryrock/internal/state/routing"
)

// hedgeChecks is how often a request without an answer is considered: after its delay, and
// each time that as much again has passed.
const hedgeChecks = 3

// hedges decides which requests are hedged.
type hedges struct {
	mutex  sync.Mutex
	hedger hedge.Hedger
}

// hedging runs a decision on hedges, if there are any.
func (f *Front) hedging(decide func(*hedge.Hedger)) {
	if f.Hedge <= 0 {
		return
	}
	f.hedges.mutex.Lock()
	defer f.hedges.mutex.Unlock()
	f.hedges.hedger.Share, f.hedges.hedger.Window = f.Hedge, f.Bounds().RetryWindow
	decide(&f.hedges.hedger)
}

// hedgeRefused records that a request found no room.
func (f *Front) hedgeRefused(now time.Time, service string, reason chicoryrock.Reason) {
	if reason.Status() == http.StatusServiceUnavailable || reason.Status() == http.StatusTooManyRequests {
		f.hedging(func(h *hedge.Hedger) { h.RecordRefusal(now, service) })
	}
}

// try is one of the two attempts of a call that may be under way together.
type try struct {
	replica chicoryrock.Replica
	request *chicoryrock.Request // by which the attempt is placed
	sent    time.Time
	server  hedge.Server
	cancel  context.CancelFunc
	result  chan result // has room for the only one
	open    bool        // it holds a slot and has not been taken in
}

// result is what came of a try: an answer, as far as is needed to know whether it can be
// passed on, or an error.
type result struct {
	answer   *upstream.Answer
	err      error
	good     bool // it can be passed on
	panicked any
}

// mayHedge reports whether the next attempt may be one of two. A trial of a ban is a single
// attempt, and what goes on from a copy has only one server.
func (c *call) mayHedge() bool {
	r := c.request
	return c.front.Hedge > 0 && c.route.Retryable() && r.Idempotent && (r.Resumable || r.MaxTokenGap <= 0) && r.Only == "" &&
		!c.started && !c.takesUp() && !c.trial && c.sent+2 <= c.route.MaxAttempts
}

// race sends the request to a backend server, and to a second one if the first doesn't
// answer in the usual time. The first answer that can be passed on is relayed, and the other
// attempt is cancelled. Of two failures the later one is returned. Only this goroutine uses
// the call; those of the attempts use connections and buffers.
func (c *call) race(replica chicoryrock.Replica) (chicoryrock.Replica, error) {
	f := c.front
	first := c.try(replica, c.request)
	var second *try
	defer func() {
		// Also after a panic: the slot of c.request is released by run.
		for _, t := range []*try{first, second} {
			if t == nil {
				continue
			}
			t.cancel()
			if t.open && t.request != c.request {
				c.release(time.Now(), t, nil)
			}
		}
	}()
	check := newHedgeTimer(f, first)
	defer check.stop()
	for {
		var a, b *try
		var got result
		select {
		case got = <-first.result:
			a, b = first, second
		case got = <-second.results():
			a, b = second, first
		case <-check.channel():
			if second == nil {
				second = c.hedge(first, check)
			}
			continue
		}
		now := time.Now()
		if got.panicked != nil {
			panic(got.panicked)
		}
		if a == first && got.good {
			took := now.Sub(first.sent)
			f.hedging(func(h *hedge.Hedger) {
				h.RecordAnswer(now, a.request.Pool, c.route.Name, a.server, took, check.checks > 0)
			})
		}
		if b == nil || !b.open {
			return a.replica, c.finish(a, &got)
		}
		if got.good {
			c.drop(now, b, b == first)
			return a.replica, c.finish(a, &got)
		}
		c.fail(a, b, &got)
	}
}

// results returns where the result of a try comes; nil for none.
func (t *try) results() chan result {
	if t == nil {
		return nil
	}
	return t.result
}

// try sends the request to a backend server beside this goroutine.
func (c *call) try(replica chicoryrock.Replica, request *chicoryrock.Request) *try {
	ctx, cancel := context.WithCancel(c.ctx)
	t := &try{replica: replica, request: request, sent: time.Now(), server: c.front.hedgeServer(request), cancel: cancel, result: make(chan result, 1), open: true}
	message := c.message(t.sent, &t.replica)
	stream := c.route.Kind == routing.Stream
	go func() {
		var got result
		defer func() {
			// A panic here would end the process; race repeats it where it ends the request.
			got.panicked = recover()
			t.result <- got
		}()
		if got.answer, got.err = c.front.Upstream.Do(ctx, message); got.err == nil {
			got.good = hold(got.answer, stream)
		}
	}()
	return t
}

// hedgeServer describes the server that a request was placed on.
func (f *Front) hedgeServer(request *chicoryrock.Request) hedge.Server {
	choice, _ := f.choice(request)
	server := hedge.Server{Slowdown: choice.Slowdown}
	if request.PromptTokens > 0 {
		server.Expected = choice.TimeToFirstToken
	}
	return server
}

// finish makes an attempt that has ended the call's only one, and relays its answer.
func (c *call) finish(t *try, got *result) error {
	t.open = false
	t.request.Not, t.request.Version = "", c.origin.Version
	c.request, c.granted = t.request, t.replica.Name
	return c.take(t.sent, &t.replica, got.answer, got.err)
}

// drop cancels an attempt whose other one has been answered. Its connection is closed at
// once.
func (c *call) drop(now time.Time, t *try, isFirst bool) {
	f := c.front
	t.cancel()
	go func() {
		if got := <-t.result; got.answer != nil {
			_ = got.answer.Body.Close()
		}
	}()
	if isFirst {
		f.Metrics.HedgeWon(c.route.Name)
		f.unanswered(now, t.request)
		f.hedging(func(h *hedge.Hedger) { h.RecordCancelled(now, t.request.Pool, c.route.Name, t.server, now.Sub(t.sent)) })
	}
	c.trail.Write(event.HedgeEnded, now, zap.String("server", t.replica.Name), zap.Bool("won", isFirst))
	f.countSent(t.sent, t.replica.Name, !isFirst || c.sent+c.turned > 0)
	c.release(now, t, nil)
	c.sent++
	c.begun = true
}

// fail takes in that an attempt has failed while the other one is under way, which is the
// call's only one from here on.
func (c *call) fail(a, b *try, got *result) {
	err := c.finish(a, got)
	now := time.Now()
	c.ended(now, &a.replica, err)
	c.countFailed(now, &a.replica, err)
	c.attempts++ // so that the failure of the other one has a name of its own
	c.request, c.granted = b.request, b.replica.Name
	c.release(now, a, err)
}

// release gives back the slot of an attempt that isn't the call's.
func (c *call) release(now time.Time, t *try, err error) {
	f := c.front
	t.open = false
	f.Needs.RecordSlotTime(t.request, now.Sub(t.sent))
	f.done(now, t.request, 0, blames(err) && c.ctx.Err() == nil)
	f.Gate.Finish(now, t.request, t.replica.Name)
}

// hedge sends the request to a second backend server if that is allowed now.
func (c *call) hedge(first *try, check *hedgeTimer) *try {
	f := c.front
	now := time.Now()
	route, _, reason := admit(f.Table(), c.r, c.ask.Key)
	allowed := reason == chicoryrock.ReasonNone && route.Retryable() && route.HasService(c.request.Pool) && c.sent+2 <= route.MaxAttempts &&
		c.ctx.Err() == nil && c.verdict(now).State == suspect.Clean
	attempt := hedge.Attempt{
		Pool: c.request.Pool, Class: c.route.Name, First: first.server,
		Elapsed: now.Sub(first.sent), Deadline: c.until, Failing: f.avoids(now, first.request), Load: f.hedgeLoad(now, c.request.Pool),
	}
	decision := hedge.Unknown
	f.hedging(func(h *hedge.Hedger) {
		if check.checks == 0 {
			h.RecordOverdue(attempt.Pool)
		}
		decision = h.Decide(now, &attempt)
	})
	check.next()
	if !allowed || decision != hedge.Send {
		return nil
	}
	request := *c.request
	request.Not, request.Deadline = first.replica.Name, c.until
	if request.Resumable {
		request.Version = request.BuildAt(&first.replica) // which is recorded
	}
	replica, granted := f.Gate.TryAcquire(now, &request)
	if !granted {
		return nil
	}
	attempt.Second = f.hedgeServer(&request)
	allowed = !f.avoids(now, &request) && f.Gate.Takes(now, &request, replica.Name)
	f.hedging(func(h *hedge.Hedger) {
		allowed = allowed && h.Decide(now, &attempt) == hedge.Send && h.TryWithdraw(now, attempt.Pool)
	})
	if !allowed || !f.withdraw(now, attempt.Pool) {
		f.done(now, &request, 0, false)
		f.Gate.Finish(now, &request, replica.Name)
		return nil
	}
	if request.Resumable {
		f.Origins.Send(now, request.Workspace, request.ID, c.recorded, c.recorded, attemptAt(now, &replica))
	}
	choice, _ := f.choice(&request)
	c.trail.Write(event.Hedged, now, zap.String("server", replica.Name), zap.String("slow", first.replica.Name), zap.Duration("after", attempt.Elapsed),
		zap.Duration("first", choice.TimeToFirstToken))
	f.Metrics.Hedge(c.route.Name)
	c.source = choice.FetchFrom
	return c.try(replica, &request)
}

// hedgeLoad returns the load of a service.
func (f *Front) hedgeLoad(now time.Time, service string) (load hedge.Load) {
	load.Waiting = f.Gate.Waiting(service)
	f.retries.use(service, f.Budget, func(r *retry.Retrier) { load.Retries = r.Budget.Used(now) })
	f.placing.Lock()
	defer f.placing.Unlock()
	load.Loaded = f.Placer.LoadedShare(service)
	return load
}

func (f *Front) unanswered(now time.Time, request *chicoryrock.Request) {
	f.placing.Lock()
	defer f.placing.Unlock()
	f.Placer.RecordUnanswered(now, request)
}

// avoids reports whether a request's server is avoided for a recent failure.
func (f *Front) avoids(now time.Time, request *chicoryrock.Request) bool {
	f.placing.Lock()
	defer f.placing.Unlock()
	return f.Placer.Avoids(now, request)
}

// hedgeTimer says when a request is considered for a hedge.
type hedgeTimer struct {
	timer  *time.Timer // nil for never
	delay  time.Duration
	checks int // that are done
}

func newHedgeTimer(f *Front, first *try) *hedgeTimer {
	t := &hedgeTimer{}
	known := false
	f.hedging(func(h *hedge.Hedger) {
		t.delay, known = h.Delay(first.sent, first.request.Pool, first.request.Class, first.server)
	})
	if known {
		t.timer = time.NewTimer(t.delay)
	}
	return t
}

func (t *hedgeTimer) channel() <-chan time.Time {
	if t.timer == nil {
		return nil
	}
	return t.timer.C
}

// next sets the next check, if there is one.
func (t *hedgeTimer) next() {
	if t.checks++; t.checks < hedgeChecks {
		t.timer.Reset(t.delay)
	}
}

func (t *hedgeTimer) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
}

// countFailed counts an attempt that has failed.
func (c *call) countFailed(now time.Time, replica *chicoryrock.Replica, failure error) {
	if errors.Is(failure, errUnsent) || errors.Is(failure, errTurned) {
		c.turned++
	} else {
		c.sent++
	}
	c.trail.Write(event.AttemptEnded, now, zap.String("server", replica.Name), zap.Int("sent", c.sent), zap.Int("turned", c.turned), zap.Int("events", c.stream.Events()), zap.Bool("began", c.got), event.Cause(failure))
}
