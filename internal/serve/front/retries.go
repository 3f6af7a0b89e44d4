package front

import (
	"sync"
	"time"

	"github.com/chicoryrock/chicoryrock/internal/policy/hedge"
	"github.com/chicoryrock/chicoryrock/internal/policy/retry"
)

// retriers decide on repeats, each for one service, under one lock.
type retriers struct {
	mutex  sync.Mutex
	byName map[string]*retry.Retrier
}

// use runs a decision of a service's retrier. Its budget follows the bounds and the number
// of processes that share them, which change.
func (r *retriers) use(service string, budget func() retry.Budget, decide func(*retry.Retrier)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	one, found := r.byName[service]
	if !found {
		if r.byName == nil {
			r.byName = make(map[string]*retry.Retrier)
		}
		one = &retry.Retrier{}
		r.byName[service] = one
	}
	one.Budget.SetBounds(budget())
	decide(one)
}

func (f *Front) fresh(now time.Time, service string) {
	f.retries.use(service, f.Budget, func(r *retry.Retrier) { r.RecordCall(now) })
	f.hedging(func(h *hedge.Hedger) { h.RecordCall(now, service) })
}

func (f *Front) decide(now time.Time, service string, attempt retry.Attempt) (verdict retry.Decision) {
	f.retries.use(service, f.Budget, func(r *retry.Retrier) { verdict = r.Decide(now, attempt) })
	return verdict
}

// Left returns how many repeats the requests of a service have left here.
func (f *Front) Left(now time.Time, service string) (left float64) {
	f.retries.use(service, f.Budget, func(r *retry.Retrier) { left = r.Budget.Balance(now) })
	return left
}
