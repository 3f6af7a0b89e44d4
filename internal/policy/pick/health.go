package pick

import (
	"slices"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

const (
	// smoothing is the weight of a new observation in a replica's averages.
	smoothing = 0.3
	// minSamples is how many observations a replica is judged by at least.
	minSamples = 3
	// slowBetween and slowFirst are how many times the pool's median a replica's
	// time between tokens, and to the first token, makes it a straggler. The first
	// token varies more, with the length of the prompt.
	slowBetween = 1.8
	slowFirst   = 4.0
	// maxSuspended is the share of a pool that may be stragglers. When more are
	// slow, the pool is, and sending all of its work to the rest would not help.
	maxSuspended = 1.0 / 3
	// firstProbe and lastProbe bound the time between two probes of a replica.
	firstProbe = 250 * time.Millisecond
	lastProbe  = 8 * time.Second
	// lostProbe is the longest time between two probes of a replica that could not
	// be reached. Such a probe costs its request a moment, not its answer.
	lostProbe = 3 * time.Second
	// rampTime is how long a new replica takes to get its whole share.
	rampTime = 2 * time.Second
	// rampStart is the share that it begins with.
	rampStart = 0.25
	// measureInterval is how often a pool's medians are set.
	measureInterval = 100 * time.Millisecond
	// meanSmoothing is the weight of one replica's report in the pool's mean load.
	meanSmoothing = 0.05
)

// pool is what the picker has learned of one pool.
type pool struct {
	replicas map[string]*health
	mean     float64 // share of the slots that other entries use, smoothed
	first    time.Duration
	between  time.Duration
	scratch  []time.Duration
	measured time.Time // when the medians were last set
	down     int       // replicas that are suspended
	size     int       // replicas of the pool, also those with nothing observed
	due      time.Time // no probe is due before
	missed   time.Time // when a request was last given up as late
}

// health is what the picker has learned of one replica from its answers.
type health struct {
	first, between average
	suspended      bool
	lost           bool // suspended because it could not be reached
	wait           time.Duration
	due            time.Time // of the next probe
	since          time.Time // start of the ramp; zero when there is none
}

// average is a smoothed duration.
type average struct {
	value time.Duration
	count int
}

func (a *average) add(d time.Duration) {
	a.count++
	if a.count == 1 {
		a.value = d
		return
	}
	a.value += time.Duration(smoothing * float64(d-a.value))
}

func (p *Picker) pool(name string) *pool {
	if target, found := p.pools[name]; found {
		return target
	}
	if p.pools == nil {
		p.pools = make(map[string]*pool)
	}
	target := &pool{replicas: make(map[string]*health)}
	p.pools[name] = target
	return target
}

// learn returns a replica's health. One that joins a running pool begins to ramp.
func (t *pool) learn(replica *chicoryrock.Replica, now time.Time) *health {
	h := t.replicas[replica.Name]
	if h == nil {
		h = &health{}
		if replica.SlowStart {
			h.since = now
		}
		t.replicas[replica.Name] = h
	}
	return h
}

// IsStraggler implements chicoryrock.Observer.
func (p *Picker) IsStraggler(pool, replica string) bool {
	h := p.pool(pool).replicas[replica]
	return h != nil && h.suspended && !h.lost
}

// DeadlineMissed implements chicoryrock.Observer.
func (p *Picker) DeadlineMissed(now time.Time, pool string) { p.pool(pool).missed = now }

// Observe implements chicoryrock.Observer.
func (p *Picker) Observe(now time.Time, poolName, replica string, seen chicoryrock.Observation) {
	t := p.pool(poolName)
	h := t.replicas[replica]
	if h == nil {
		h = &health{}
		t.replicas[replica] = h
	}
	if seen.Failed {
		t.suspend(now, h, true)
		return
	}
	if h.lost {
		t.restore(now, h)
	}
	if seen.TimeToFirstToken > 0 {
		h.first.add(seen.TimeToFirstToken)
	}
	if seen.TokenInterval > 0 {
		h.between.add(seen.TokenInterval)
	}
	t.judge(now, h, seen)
}

// judge compares a replica with the pool's median. A suspended one is let back in
// by the first answer as fast as the others': what it did before says nothing of
// now, so its averages begin anew.
func (t *pool) judge(now time.Time, h *health, seen chicoryrock.Observation) {
	t.measure(now)
	if h.suspended {
		if t.slow(seen.TimeToFirstToken, seen.TokenInterval) {
			h.due = now.Add(h.wait)
			return
		}
		if seen.TokenInterval > 0 || t.between == 0 {
			t.restore(now, h)
		}
		return
	}
	first, between := h.first.value, h.between.value
	if h.first.count < minSamples {
		first = 0
	}
	if h.between.count < minSamples {
		between = 0
	}
	if t.slow(first, between) && float64(t.down+1) <= maxSuspended*float64(max(t.size, len(t.replicas))) {
		t.suspend(now, h, false)
	}
}

// slow says whether times are those of a straggler; zero stands for not measured.
// Where the time between tokens is known it alone decides: the first token also
// waits for a slot, so by it the replicas of a full pool take turns at looking slow.
func (t *pool) slow(first, between time.Duration) bool {
	if t.between > 0 && between > 0 {
		return float64(between) > slowBetween*float64(t.between)
	}
	return t.first > 0 && float64(first) > slowFirst*float64(t.first)
}

// measure sets the pool's medians, from time to time.
func (t *pool) measure(now time.Time) {
	if now.Sub(t.measured) < measureInterval {
		return
	}
	t.measured = now
	t.first = t.median(func(h *health) average { return h.first })
	t.between = t.median(func(h *health) average { return h.between })
}

func (t *pool) median(of func(*health) average) time.Duration {
	t.scratch = t.scratch[:0]
	for _, h := range t.replicas {
		if a := of(h); a.count > 0 {
			t.scratch = append(t.scratch, a.value)
		}
	}
	if len(t.scratch) == 0 {
		return 0
	}
	slices.Sort(t.scratch)
	return t.scratch[(len(t.scratch)-1)/2]
}

func (t *pool) suspend(now time.Time, h *health, lost bool) {
	if !h.suspended {
		h.suspended = true
		h.wait = firstProbe
		t.down++
	} else {
		h.wait = min(2*h.wait, longest(lost))
	}
	h.lost = lost
	h.due = now.Add(h.wait)
}

// restore lets a replica back in, step by step.
func (t *pool) restore(now time.Time, h *health) {
	if h.suspended {
		t.down--
	}
	*h = health{since: now}
}

// ramp returns the share of its slots that a replica may use, from rampStart to 1.
func (h *health) ramp(now time.Time) float64 {
	if h.since.IsZero() {
		return 1
	}
	done := float64(now.Sub(h.since)) / float64(rampTime)
	if done >= 1 {
		h.since = time.Time{}
		return 1
	}
	return rampStart + (1-rampStart)*max(done, 0)
}

// average takes a replica's report into the pool's mean load.
func (t *pool) average(replica *chicoryrock.Replica) {
	if replica.LastSeen.IsZero() || replica.Slots <= 0 {
		return
	}
	share := min(float64(replica.OthersLoad)/float64(replica.Slots), 1)
	t.mean += meanSmoothing * (share - t.mean)
}

// chosen puts off the next probe of a replica that is being probed.
func (t *pool) chosen(now time.Time, replica *chicoryrock.Replica) {
	if h := t.replicas[replica.Name]; h != nil && h.suspended {
		h.wait = min(2*h.wait, longest(h.lost))
		h.due = now.Add(h.wait)
	}
}

// longest returns the longest time between two probes.
func longest(lost bool) time.Duration {
	if lost {
		return lostProbe
	}
	return lastProbe
}

// probe returns a suspended replica that is due to be tried, or -1. Only
// idempotent requests are used, because a straggler may fail them.
func (p *Picker) probe(now time.Time, t *pool, request *chicoryrock.Request, replicas []chicoryrock.Replica) int {
	if t.down == 0 || !request.Idempotent || now.Before(t.due) {
		return -1
	}
	t.due = now.Add(firstProbe / 2)
	for i := range replicas {
		h := t.replicas[replicas[i].Name]
		if h != nil && h.suspended && !replicas[i].Leaving && replicas[i].Open == 0 && !now.Before(h.due) {
			return i
		}
	}
	return -1
}
