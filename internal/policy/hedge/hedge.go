// Package hedge decides whether a request that has not been answered is also sent to a
// second replica. The delay before that is a high quantile of the times of such requests,
// and the second attempts stay within a share of the requests of the pool.
package hedge

import (
	"time"

	"github.com/chicoryrock/chicoryrock/internal/policy/retry"
)

const (
	// defaultWindow is the span over which hedges and requests are compared where none is
	// set.
	defaultWindow = 10 * time.Second
	// refusalTime is how long no hedges are sent after a refusal: a refused request needed
	// the room that a hedge would take.
	refusalTime = time.Second
	// maxLoaded is the largest share of the replicas that may have no free slot.
	maxLoaded = 0.5
	// maxRetries is the largest share of the retry budget that may be used: a retry, whose
	// request has failed, goes before a hedge.
	maxRetries = 0.5
	// overdueWeight is the weight of the latest request in the share of overdue ones.
	overdueWeight = 1.0 / 16
	// maxOverdue is the largest share of recent requests that may be overdue. Where more
	// are, all replicas are slow. One slow replica of six makes a sixth of them overdue;
	// the margin above covers what the share varies by.
	maxOverdue = 0.4
	// noBurst is the smallest burst that a budget doesn't replace by its default.
	noBurst = 1e-9
)

// Verdict says whether a hedge is sent, or why not.
type Verdict int

// The verdicts.
const (
	// Send allows the hedge.
	Send Verdict = iota
	// Unknown means that too few times are known.
	Unknown
	// Late means that a second attempt is not expected to be answered in time.
	Late
	// Overload means that the replicas are busy with other requests, or most are slow.
	Overload
	// NotSooner means that the first attempt is expected to be answered before a second.
	NotSooner
	// NoBudget means that the share of the pool's requests is used up.
	NoBudget
)

// Server describes the replica of an attempt as of its placement.
type Server struct {
	// Expected is the predicted time to the answer; zero where the length of the request
	// doesn't determine it.
	Expected time.Duration
	// Slowdown is the observed over the predicted time of the replica's requests; Expected
	// includes it. Zero means 1.
	Slowdown float64
}

// Load describes the present load of a pool.
type Load struct {
	Waiting int     // requests that wait for a replica
	Loaded  float64 // share of the replicas without a free slot
	Retries float64 // share of the retry budget that is used
}

// Attempt describes a request that has one attempt under way.
type Attempt struct {
	Pool     string
	Class    string
	First    Server
	Second   Server        // zero before a replica has been chosen
	Elapsed  time.Duration // since the first attempt was sent
	Deadline time.Time     // when the caller gives up
	Failing  bool          // the first replica has failed other requests in the meantime
	Load     Load
}

// Hedger decides on the hedges of one process. Set the exported fields before use. It is
// not safe for concurrent use.
type Hedger struct {
	Share  float64       // most hedges for each request of a pool; zero for none
	Window time.Duration // span over which they are compared; zero means 10 s; it may change

	pools map[string]*pool
}

// pool is the state of one pool.
type pool struct {
	budget  retry.Budget
	overdue float64 // share of recent requests
	refused time.Time
	classes map[string]*times
}

// RecordCall credits the budget of a pool for one new request, of any kind.
func (h *Hedger) RecordCall(now time.Time, name string) { h.pool(name).budget.Deposit(now) }

// RecordRefusal records that a request was refused for lack of capacity.
func (h *Hedger) RecordRefusal(now time.Time, name string) { h.pool(name).refused = now }

// RecordAnswer records that a first attempt has been answered after some time. Overdue says
// whether RecordOverdue was called for it.
func (h *Hedger) RecordAnswer(now time.Time, name, class string, first Server, took time.Duration, overdue bool) {
	p := h.pool(name)
	if !overdue {
		p.overdue -= overdueWeight * p.overdue
	}
	p.times(class).add(now, first, took, h.minSamples())
}

// RecordCancelled records that a first attempt was cancelled after some time, because its
// hedge was answered. It counts as an answer at that time: without it the slowest times
// would be missing, and the quantile would fall.
func (h *Hedger) RecordCancelled(now time.Time, name, class string, first Server, took time.Duration) {
	h.pool(name).times(class).add(now, first, took, h.minSamples())
}

// RecordOverdue records that a request has not been answered within its delay.
func (h *Hedger) RecordOverdue(name string) {
	p := h.pool(name)
	p.overdue += overdueWeight * (1 - p.overdue)
}

// Delay returns the time after which a request may be hedged; false while too few times
// are known. A share s of the requests may be hedged, so the delay is the quantile 1 - s.
func (h *Hedger) Delay(now time.Time, name, class string, first Server) (time.Duration, bool) {
	if h.Share <= 0 {
		return 0, false
	}
	t := h.pool(name).times(class)
	if !t.known(h.minSamples()) {
		return 0, false
	}
	t.summarize(now, 1-h.Share)
	return scaled(t.delay, first), true
}

// Decide returns whether a request is hedged now. It takes nothing from the budget.
func (h *Hedger) Decide(now time.Time, a *Attempt) Verdict {
	if h.Share <= 0 {
		return NoBudget
	}
	p := h.pool(a.Pool)
	t := p.times(a.Class)
	if !t.known(h.minSamples()) {
		return Unknown
	}
	t.summarize(now, 1-h.Share)
	second := a.Second
	if second == (Server{}) {
		// Assumes a replica of usual speed.
		second.Slowdown = t.slowdown
		if a.First.Expected > 0 {
			second.Expected = time.Duration(float64(unit(a.First)) * t.slowdown)
		}
	}
	expected := time.Duration(float64(scaled(t.median, second)) * max(slowdownOf(second)/t.slowdown, 1))
	refusedLately := !p.refused.IsZero() && now.Sub(p.refused) < refusalTime
	switch {
	case !now.Add(expected).Before(a.Deadline):
		return Late
	case a.Load.Waiting > 0 || a.Load.Loaded > maxLoaded || a.Load.Retries > maxRetries || refusedLately || p.overdue > maxOverdue:
		return Overload
	case !a.Failing && t.remaining(a.First, a.Elapsed) <= expected:
		return NotSooner
	case p.budget.Balance(now) < 1:
		return NoBudget
	}
	return Send
}

// TryWithdraw uses up one hedge of a pool, or returns false if none is left.
func (h *Hedger) TryWithdraw(now time.Time, name string) bool {
	return h.Share > 0 && h.pool(name).budget.TryWithdraw(now)
}

// minSamples is how many times must be known: a hundred, and enough for five to lie above
// the quantile.
func (h *Hedger) minSamples() int64 { return int64(max(100, 5/h.Share)) }

func (h *Hedger) pool(name string) *pool {
	p, found := h.pools[name]
	if !found {
		if h.pools == nil {
			h.pools = make(map[string]*pool)
		}
		p = &pool{classes: make(map[string]*times)}
		h.pools[name] = p
	}
	window := h.Window
	if window <= 0 {
		window = defaultWindow
	}
	// Without a burst each process keeps to the share of its own requests, so that all
	// processes together do, without messages between them.
	p.budget.SetBounds(retry.Budget{Ratio: h.Share, Burst: noBurst, Window: window})
	return p
}

func (p *pool) times(class string) *times {
	t, found := p.classes[class]
	if !found {
		t = &times{slowdown: 1}
		p.classes[class] = t
	}
	return t
}
