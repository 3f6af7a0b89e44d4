package entry

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/dispatch"
)

// verdict is what a waiting request is told.
type verdict struct {
	grant  dispatch.Grant
	reason chicoryrock.Reason
}

// gate puts a lock round the dispatch core and wakes the goroutines whose
// requests it grants or gives up.
type gate struct {
	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher
	waiters    map[*chicoryrock.Request]chan verdict
	waiting    map[place]int // how many of them, by pool and tier
}

// place is where a request waits.
type place struct {
	pool string
	tier int
}

func placeOf(request *chicoryrock.Request) place { return place{request.Pool, request.Tier} }

// queued is what was so when a request was taken in.
type queued struct {
	waits  bool // it was not granted a replica at once
	higher int  // requests of higher tiers that waited for the same pool
}

func newGate(dispatcher *dispatch.Dispatcher) *gate {
	return &gate{
		dispatcher: dispatcher,
		waiters:    make(map[*chicoryrock.Request]chan verdict),
		waiting:    make(map[place]int),
	}
}

// acquire waits until a replica is granted. Errors: *refusedError; the context's
// error when the caller has gone.
func (g *gate) acquire(ctx context.Context, now time.Time, request *chicoryrock.Request) (chicoryrock.Replica, queued, error) {
	g.mu.Lock()
	displaced, reason := g.dispatcher.Offer(now, request)
	if displaced != nil {
		g.tell(displaced, verdict{reason: chicoryrock.ReasonQueueFull})
	}
	if reason != chicoryrock.ReasonNone {
		g.mu.Unlock()
		return chicoryrock.Replica{}, queued{}, &refusedError{reason: reason}
	}
	seen := queued{higher: g.higher(request)}
	wait := g.await(request)
	g.pump(now)
	_, seen.waits = g.waiters[request]
	g.mu.Unlock()
	replica, err := g.wait(ctx, request, wait)
	return replica, seen, err
}

// higher counts the requests of higher tiers that wait for a request's pool.
func (g *gate) higher(request *chicoryrock.Request) int {
	count := 0
	for tier := 1; tier < request.Tier; tier++ {
		count += g.waiting[place{request.Pool, tier}]
	}
	return count
}

// reacquire puts a granted request back and waits for another replica.
func (g *gate) reacquire(ctx context.Context, now time.Time, request *chicoryrock.Request, failed string) (chicoryrock.Replica, error) {
	g.mu.Lock()
	g.dispatcher.Return(now, request, failed)
	wait := g.await(request)
	g.pump(now)
	g.mu.Unlock()
	return g.wait(ctx, request, wait)
}

func (g *gate) await(request *chicoryrock.Request) chan verdict {
	wait := make(chan verdict, 1)
	g.waiters[request] = wait
	g.waiting[placeOf(request)]++
	return wait
}

func (g *gate) wait(ctx context.Context, request *chicoryrock.Request, wait chan verdict) (chicoryrock.Replica, error) {
	select {
	case answer := <-wait:
		return answer.result()
	case <-ctx.Done():
		return chicoryrock.Replica{}, g.abandon(ctx, request, wait)
	}
}

// abandon withdraws a request whose caller has gone. A grant that came in the
// same moment is given back.
func (g *gate) abandon(ctx context.Context, request *chicoryrock.Request, wait chan verdict) error {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.forget(request)
	if !g.dispatcher.Cancel(now, request) {
		if answer := <-wait; answer.reason == chicoryrock.ReasonNone {
			g.dispatcher.Finish(now, request, answer.grant.Replica.Name)
			g.pump(now)
		}
	}
	return errors.WithStack(ctx.Err())
}

func (v verdict) result() (chicoryrock.Replica, error) {
	if v.reason != chicoryrock.ReasonNone {
		return chicoryrock.Replica{}, &refusedError{reason: v.reason}
	}
	return v.grant.Replica, nil
}

// finish ends a granted request.
func (g *gate) finish(now time.Time, request *chicoryrock.Request, replica string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatcher.Finish(now, request, replica)
	g.pump(now)
}

func (g *gate) heard(now time.Time, pool, replica string, load chicoryrock.Load) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatcher.Heard(now, pool, replica, load)
	g.pump(now)
}

func (g *gate) observe(now time.Time, replica *chicoryrock.Replica, seen chicoryrock.Observation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatcher.Observe(now, replica.Pool, replica.Name, seen)
}

// moves says whether a stream should leave its replica.
func (g *gate) moves(now time.Time, request *chicoryrock.Request, replica string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatcher.Moves(now, request, replica)
}

// passed says that a suspect has run for a while without a crash.
func (g *gate) passed(request *chicoryrock.Request, replica string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatcher.Passed(request, replica)
	g.pump(time.Now())
}

func (g *gate) charge(now time.Time, request *chicoryrock.Request, tokens int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatcher.Charge(now, request, tokens)
}

func (g *gate) setReplicas(pools map[string][]chicoryrock.Replica) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, replicas := range pools {
		g.dispatcher.SetReplicas(name, replicas)
	}
	g.pump(now)
}

// change runs a change of the queues' rules under their lock.
func (g *gate) change(change func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change()
}

// after returns how long the caller of a refused request should wait.
func (g *gate) after(now time.Time, request *chicoryrock.Request) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatcher.After(now, request)
}

// live returns the first of the pools that has a live replica.
func (g *gate) live(pools []string) (string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, pool := range pools {
		if g.dispatcher.Live(pool) {
			return pool, true
		}
	}
	return "", false
}

func (g *gate) expire(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.waiters) == 0 {
		return
	}
	for _, request := range g.dispatcher.Expire(now) {
		g.tell(request, verdict{reason: chicoryrock.ReasonLate})
	}
	g.pump(now)
}

// pump hands out every grant that is possible now. The lock is held. Every stream
// comes by ten times a second with its agent's load, and mostly nothing waits.
func (g *gate) pump(now time.Time) {
	if len(g.waiters) == 0 {
		return
	}
	for _, grant := range g.dispatcher.Next(now) {
		g.tell(grant.Request, verdict{grant: grant})
	}
}

func (g *gate) tell(request *chicoryrock.Request, answer verdict) {
	if wait, found := g.waiters[request]; found {
		g.forget(request)
		wait <- answer
	}
}

// forget notes that a request waits no more, if it did.
func (g *gate) forget(request *chicoryrock.Request) {
	if _, found := g.waiters[request]; !found {
		return
	}
	delete(g.waiters, request)
	at := placeOf(request)
	if g.waiting[at]--; g.waiting[at] == 0 {
		delete(g.waiting, at)
	}
}

// count returns how many requests wait for a pool in a tier.
func (g *gate) count(pool string, tier int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.waiting[place{pool, tier}]
}

// open returns how many requests this entry has open on a pool's replicas.
func (g *gate) open(pool string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 0
	for _, replica := range g.dispatcher.Replicas(pool) {
		count += replica.Open
	}
	return count
}
