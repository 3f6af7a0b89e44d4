// Package gate puts a lock round the dispatch core and wakes the goroutines whose
// requests it grants or gives up. Both ways in, for model calls by the usual
// conventions and for the requests of a platform, wait at it.
package gate

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/dispatch"
)

// RefusedError says that a request was refused without having run, and why.
type RefusedError struct {
	Reason chicoryrock.Reason
}

// Error implements error.
func (e *RefusedError) Error() string { return e.Reason.Sentence() }

// verdict is what a waiting request is told.
type verdict struct {
	grant  dispatch.Grant
	reason chicoryrock.Reason
}

// Gate puts a lock round the dispatch core and wakes the goroutines whose
// requests it grants or gives up.
type Gate struct {
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

// Queued is what was so when a request was taken in.
type Queued struct {
	Waits  bool // it was not granted a replica at once
	Higher int  // requests of higher tiers that waited for the same pool
}

// New returns a gate before a dispatch core.
func New(dispatcher *dispatch.Dispatcher) *Gate {
	return &Gate{
		dispatcher: dispatcher,
		waiters:    make(map[*chicoryrock.Request]chan verdict),
		waiting:    make(map[place]int),
	}
}

// Acquire waits until a replica is granted. Errors: *RefusedError; the context's
// error when the caller has gone.
func (g *Gate) Acquire(ctx context.Context, now time.Time, request *chicoryrock.Request) (chicoryrock.Replica, Queued, error) {
	g.mu.Lock()
	displaced, reason := g.dispatcher.Enqueue(now, request)
	if displaced != nil {
		g.tell(displaced, verdict{reason: chicoryrock.ReasonQueueFull})
	}
	if reason != chicoryrock.ReasonNone {
		g.mu.Unlock()
		return chicoryrock.Replica{}, Queued{}, &RefusedError{Reason: reason}
	}
	seen := Queued{Higher: g.higher(request)}
	wait := g.await(request)
	g.pump(now)
	_, seen.Waits = g.waiters[request]
	g.mu.Unlock()
	replica, err := g.wait(ctx, request, wait)
	return replica, seen, err
}

// TryAcquire is Acquire for a request that does not wait: it returns false if no replica is
// granted at once, or if other requests wait for the pool.
func (g *Gate) TryAcquire(now time.Time, request *chicoryrock.Request) (chicoryrock.Replica, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.dispatcher.QueueLength(request.Pool) > 0 {
		return chicoryrock.Replica{}, false
	}
	if _, reason := g.dispatcher.Enqueue(now, request); reason != chicoryrock.ReasonNone {
		return chicoryrock.Replica{}, false
	}
	wait := g.await(request)
	g.pump(now)
	if _, waits := g.waiters[request]; waits {
		g.forget(request)
		g.dispatcher.Cancel(now, request)
		return chicoryrock.Replica{}, false
	}
	answer := <-wait
	return answer.grant.Replica, answer.reason == chicoryrock.ReasonNone
}

// higher counts the requests of higher tiers that wait for a request's pool.
func (g *Gate) higher(request *chicoryrock.Request) int {
	count := 0
	for tier := 1; tier < request.Tier; tier++ {
		count += g.waiting[place{request.Pool, tier}]
	}
	return count
}

// Reacquire puts a granted request back and waits for another replica.
func (g *Gate) Reacquire(ctx context.Context, now time.Time, request *chicoryrock.Request, failed string) (chicoryrock.Replica, error) {
	g.mu.Lock()
	g.dispatcher.Requeue(now, request, failed)
	wait := g.await(request)
	g.refuseUnservable(now)
	g.pump(now)
	g.mu.Unlock()
	return g.wait(ctx, request, wait)
}

// refuseUnservable refuses the waiting requests that no replica may take any more, by its
// software version, region or data centre, and those whose replicas all rest for longer than
// they may wait. Where a pool has no replica at all they wait on. The lock is held.
func (g *Gate) refuseUnservable(now time.Time) {
	for request := range g.waiters {
		reason := g.dispatcher.Unservable(now, request)
		// A pool without servers may get some again, but not the one that keeps a copy.
		if reason == chicoryrock.ReasonNone || reason == chicoryrock.ReasonNoServer && request.Only == "" {
			continue
		}
		if g.dispatcher.Cancel(now, request) {
			g.tell(request, verdict{reason: reason})
		}
	}
}

// Takes reports whether a replica takes a request that it was chosen for.
func (g *Gate) Takes(now time.Time, request *chicoryrock.Request, replica string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatcher.Takes(now, request, replica)
}

// RestEnd returns when the first of the replicas that may take a request wants requests
// again; false if there is none.
func (g *Gate) RestEnd(now time.Time, request *chicoryrock.Request) (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatcher.RestEnd(now, request)
}

// Servable reports whether a replica may take a request, now or later.
func (g *Gate) Servable(now time.Time, request *chicoryrock.Request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatcher.Unservable(now, request) == chicoryrock.ReasonNone
}

func (g *Gate) await(request *chicoryrock.Request) chan verdict {
	wait := make(chan verdict, 1)
	g.waiters[request] = wait
	g.waiting[placeOf(request)]++
	return wait
}

func (g *Gate) wait(ctx context.Context, request *chicoryrock.Request, wait chan verdict) (chicoryrock.Replica, error) {
	select {
	case answer := <-wait:
		return answer.result()
	case <-ctx.Done():
		return chicoryrock.Replica{}, g.abandon(ctx, request, wait)
	}
}

// abandon withdraws a request whose caller has gone. A grant that came in the
// same moment is given back.
func (g *Gate) abandon(ctx context.Context, request *chicoryrock.Request, wait chan verdict) error {
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
		return chicoryrock.Replica{}, &RefusedError{Reason: v.reason}
	}
	return v.grant.Replica, nil
}

// Finish ends a granted request.
func (g *Gate) Finish(now time.Time, request *chicoryrock.Request, replica string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatcher.Finish(now, request, replica)
	g.pump(now)
}

// Heard takes in the load that a replica stated.
func (g *Gate) Heard(now time.Time, pool, replica string, load chicoryrock.Load) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatcher.UpdateLoad(now, pool, replica, load)
	if load.Leaving {
		g.refuseUnservable(now)
	}
	g.pump(now)
}

// Observe takes in what was measured on a replica.
func (g *Gate) Observe(now time.Time, replica *chicoryrock.Replica, seen chicoryrock.Observation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatcher.Observe(now, replica.Pool, replica.Name, seen)
}

// Moves says whether a stream should leave its replica.
func (g *Gate) Moves(now time.Time, request *chicoryrock.Request, replica string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatcher.ShouldMigrate(now, request, replica)
}

// Passed says that a suspect has run for a while without a crash.
func (g *Gate) Passed(request *chicoryrock.Request, replica string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatcher.EndProbation(request, replica)
	g.pump(time.Now())
}

// Charge puts output on the account of a request's workspace.
func (g *Gate) Charge(now time.Time, request *chicoryrock.Request, tokens int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatcher.Charge(now, request, tokens)
}

// SetReplicas replaces the replicas of pools.
func (g *Gate) SetReplicas(pools map[string][]chicoryrock.Replica) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, replicas := range pools {
		g.dispatcher.SetReplicas(name, replicas)
	}
	g.refuseUnservable(now)
	g.pump(now)
}

// Change runs a change of the queues' rules under their lock.
func (g *Gate) Change(change func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change()
}

// After returns how long the caller of a refused request should wait.
func (g *Gate) After(now time.Time, request *chicoryrock.Request) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatcher.RetryAfter(now, request)
}

// Replicas returns a copy of what is known of a pool's replicas.
func (g *Gate) Replicas(pool string) []chicoryrock.Replica {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatcher.Replicas(pool)
}

// ReplicasFor returns a copy of what is known of the replicas that may take a request.
func (g *Gate) ReplicasFor(now time.Time, request *chicoryrock.Request) []chicoryrock.Replica {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatcher.ReplicasFor(now, request)
}

// Address returns where a replica is reached; the zero value for one that is not
// known or gets no new work.
func (g *Gate) Address(pool, replica string) netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatcher.Address(pool, replica)
}

// Live returns the first of the pools that has a live replica.
func (g *Gate) Live(pools []string) (string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, pool := range pools {
		if g.dispatcher.Available(pool) {
			return pool, true
		}
	}
	return "", false
}

// Expire gives up the waiting requests that can no longer be in time.
func (g *Gate) Expire(now time.Time) {
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
func (g *Gate) pump(now time.Time) {
	if len(g.waiters) == 0 {
		return
	}
	for _, grant := range g.dispatcher.Dispatch(now) {
		g.tell(grant.Request, verdict{grant: grant})
	}
}

func (g *Gate) tell(request *chicoryrock.Request, answer verdict) {
	if wait, found := g.waiters[request]; found {
		g.forget(request)
		wait <- answer
	}
}

// forget notes that a request waits no more, if it did.
func (g *Gate) forget(request *chicoryrock.Request) {
	if _, found := g.waiters[request]; !found {
		return
	}
	delete(g.waiters, request)
	at := placeOf(request)
	if g.waiting[at]--; g.waiting[at] == 0 {
		delete(g.waiting, at)
	}
}

// Count returns how many requests wait for a pool in a tier.
func (g *Gate) Count(pool string, tier int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.waiting[place{pool, tier}]
}

// Waiting returns how many requests wait for a pool.
func (g *Gate) Waiting(pool string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatcher.QueueLength(pool)
}

// Open returns how many requests this entry has open on a pool's replicas.
func (g *Gate) Open(pool string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 0
	for _, replica := range g.dispatcher.Replicas(pool) {
		count += replica.Open
	}
	return count
}
