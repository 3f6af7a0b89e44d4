package pick

import (
	"slices"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

const (
	// observationWeight is the weight of a new observation in a replica's moving averages.
	observationWeight = 0.3
	// minSamples is the number of observations that an average needs before it is
	// compared with the pool's median.
	minSamples = 3
	// stragglerIntervalRatio is the multiple of the pool's median token interval
	// above which a replica is a straggler.
	stragglerIntervalRatio = 1.8
	// stragglerFirstTokenRatio is the multiple of the pool's median time to first
	// token above which a replica is a straggler. It is the larger ratio because
	// the time to first token varies more, with the length of the prompt.
	stragglerFirstTokenRatio = 4.0
	// maxSuspendedShare limits the suspension of stragglers: none is suspended if that
	// would put more than this share of the pool under suspension. When more are slow,
	// the whole pool is slow, and sending all of its work to the rest would not help.
	maxSuspendedShare = 1.0 / 3
	// minProbeInterval is the time from a replica's suspension to its first probe,
	// and the shortest between two probes.
	minProbeInterval = 250 * time.Millisecond
	// maxProbeInterval is the longest time between two probes of a straggler.
	maxProbeInterval = 8 * time.Second
	// maxFailedProbeInterval is the longest time between two probes of a replica that
	// could not be reached or broke a stream. It can be short, because a probe that
	// fails only delays its request for a moment and doesn't cost it its answer.
	maxFailedProbeInterval = 3 * time.Second
	// rampDuration is how long a new or reinstated replica takes to reach its full
	// share of requests.
	rampDuration = 2 * time.Second
	// initialShare is the share of its slots that such a replica may use at first.
	initialShare = 0.25
	// medianInterval is the shortest time between two updates of a pool's medians.
	medianInterval = 100 * time.Millisecond
	// reportSmoothing is the weight of one replica's report in the pool's moving
	// average of others' utilization.
	reportSmoothing = 0.05
)

// poolState holds what the picker has measured in one pool.
type poolState struct {
	replicas            map[string]*health // by replica name
	othersUtilization   float64            // share of the slots that other entries use, moving average
	medianFirstToken    time.Duration
	medianTokenInterval time.Duration
	sortBuffer          []time.Duration // reused by median
	mediansUpdated      time.Time
	suspendedCount      int
	replicaCount        int       // also counts replicas without observations
	nextProbe           time.Time // no replica of the pool is probed before
	lastMissed          time.Time // when a request was last given up as late
}

// health holds what the picker has measured on one replica.
type health struct {
	firstToken, tokenInterval movingAverage
	suspended                 bool
	failed                    bool          // suspended because it could not be reached or a stream broke
	probeInterval             time.Duration // doubles with each probe and each failure
	nextProbe                 time.Time
	rampStart                 time.Time // zero when the replica doesn't ramp up
}

// movingAverage is an exponential moving average of durations.
type movingAverage struct {
	value   time.Duration
	samples int
}

func (a *movingAverage) add(d time.Duration) {
	a.samples++
	if a.samples == 1 {
		a.value = d
		return
	}
	a.value += time.Duration(observationWeight * float64(d-a.value))
}

// state returns the state of a pool, which it creates if there is none.
func (p *Picker) state(pool string) *poolState {
	if s, found := p.pools[pool]; found {
		return s
	}
	if p.pools == nil {
		p.pools = make(map[string]*poolState)
	}
	s := &poolState{replicas: make(map[string]*health)}
	p.pools[pool] = s
	return s
}

// ensureHealth returns a replica's health, which it creates if there is none. A
// replica that joined a running pool starts to ramp up then.
func (s *poolState) ensureHealth(replica *chicoryrock.Replica, now time.Time) *health {
	h := s.replicas[replica.Name]
	if h == nil {
		h = &health{}
		if replica.SlowStart {
			h.rampStart = now
		}
		s.replicas[replica.Name] = h
	}
	return h
}

// IsStraggler implements chicoryrock.Observer.
func (p *Picker) IsStraggler(pool, replica string) bool {
	h := p.state(pool).replicas[replica]
	return h != nil && h.suspended && !h.failed
}

// DeadlineMissed implements chicoryrock.Observer.
func (p *Picker) DeadlineMissed(now time.Time, pool string) { p.state(pool).lastMissed = now }

// Observe implements chicoryrock.Observer.
func (p *Picker) Observe(now time.Time, pool, replica string, observation chicoryrock.Observation) {
	s := p.state(pool)
	h := s.replicas[replica]
	if h == nil {
		h = &health{}
		s.replicas[replica] = h
	}
	if observation.Failed {
		s.suspend(now, h, true)
		return
	}
	if h.failed {
		s.reinstate(now, h)
	}
	if observation.TimeToFirstToken > 0 {
		h.firstToken.add(observation.TimeToFirstToken)
	}
	if observation.TokenInterval > 0 {
		h.tokenInterval.add(observation.TokenInterval)
	}
	s.detectStraggler(now, h, observation)
}

// detectStraggler suspends a replica that is slow compared with the pool's medians.
// It reinstates a suspended one after the first answer that is as fast as the
// others': older answers don't show its present speed, so its averages start again.
func (s *poolState) detectStraggler(now time.Time, h *health, observation chicoryrock.Observation) {
	s.updateMedians(now)
	if h.suspended {
		if s.slow(observation.TimeToFirstToken, observation.TokenInterval) {
			h.nextProbe = now.Add(h.probeInterval)
			return
		}
		if observation.TokenInterval > 0 || s.medianTokenInterval == 0 {
			s.reinstate(now, h)
		}
		return
	}
	firstToken, tokenInterval := h.firstToken.value, h.tokenInterval.value
	if h.firstToken.samples < minSamples {
		firstToken = 0
	}
	if h.tokenInterval.samples < minSamples {
		tokenInterval = 0
	}
	if s.slow(firstToken, tokenInterval) && float64(s.suspendedCount+1) <= maxSuspendedShare*float64(max(s.replicaCount, len(s.replicas))) {
		s.suspend(now, h, false)
	}
}

// slow reports whether a replica with these times is a straggler. A time of zero
// has not been measured. If the token interval is known, only that is compared:
// the time to first token includes the wait for a slot, so in a full pool one
// replica after the other would look slow by it.
func (s *poolState) slow(firstToken, tokenInterval time.Duration) bool {
	if s.medianTokenInterval > 0 && tokenInterval > 0 {
		return float64(tokenInterval) > stragglerIntervalRatio*float64(s.medianTokenInterval)
	}
	return s.medianFirstToken > 0 && float64(firstToken) > stragglerFirstTokenRatio*float64(s.medianFirstToken)
}

// updateMedians computes the pool's medians again if they are older than
// medianInterval.
func (s *poolState) updateMedians(now time.Time) {
	if now.Sub(s.mediansUpdated) < medianInterval {
		return
	}
	s.mediansUpdated = now
	s.medianFirstToken = s.median(func(h *health) movingAverage { return h.firstToken })
	s.medianTokenInterval = s.median(func(h *health) movingAverage { return h.tokenInterval })
}

// median returns the median of one average over the replicas that have it, or zero.
func (s *poolState) median(averageOf func(*health) movingAverage) time.Duration {
	s.sortBuffer = s.sortBuffer[:0]
	for _, h := range s.replicas {
		if a := averageOf(h); a.samples > 0 {
			s.sortBuffer = append(s.sortBuffer, a.value)
		}
	}
	if len(s.sortBuffer) == 0 {
		return 0
	}
	slices.Sort(s.sortBuffer)
	return s.sortBuffer[(len(s.sortBuffer)-1)/2]
}

// suspend takes a replica out of the choice, or doubles the probe interval of one
// that is suspended already.
func (s *poolState) suspend(now time.Time, h *health, failed bool) {
	if !h.suspended {
		h.suspended = true
		h.probeInterval = minProbeInterval
		s.suspendedCount++
	} else {
		h.probeInterval = min(2*h.probeInterval, longestProbeInterval(failed))
	}
	h.failed = failed
	h.nextProbe = now.Add(h.probeInterval)
}

// reinstate ends a replica's suspension, if any, drops its averages and starts to
// ramp it up.
func (s *poolState) reinstate(now time.Time, h *health) {
	if h.suspended {
		s.suspendedCount--
	}
	*h = health{rampStart: now}
}

// slotShare returns the share of its slots that a replica may use, from
// initialShare to 1.
func (h *health) slotShare(now time.Time) float64 {
	if h.rampStart.IsZero() {
		return 1
	}
	done := float64(now.Sub(h.rampStart)) / float64(rampDuration)
	if done >= 1 {
		h.rampStart = time.Time{}
		return 1
	}
	return initialShare + (1-initialShare)*max(done, 0)
}

// addReport adds a replica's last report to the pool's average of others' utilization.
func (s *poolState) addReport(replica *chicoryrock.Replica) {
	if replica.LastSeen.IsZero() || replica.Slots <= 0 {
		return
	}
	utilization := min(float64(replica.OthersLoad)/float64(replica.Slots), 1)
	s.othersUtilization += reportSmoothing * (utilization - s.othersUtilization)
}

// postponeProbe sets the time of the next probe of a replica that a request was
// just sent to as a probe. It does nothing for one that is not suspended.
func (s *poolState) postponeProbe(now time.Time, replica *chicoryrock.Replica) {
	if h := s.replicas[replica.Name]; h != nil && h.suspended {
		h.probeInterval = min(2*h.probeInterval, longestProbeInterval(h.failed))
		h.nextProbe = now.Add(h.probeInterval)
	}
}

// longestProbeInterval returns the limit of the probe interval of a failed replica
// or of a straggler.
func longestProbeInterval(failed bool) time.Duration {
	if failed {
		return maxFailedProbeInterval
	}
	return maxProbeInterval
}

// dueForProbe returns the index of a suspended replica that is due for a probe, or
// -1. Only idempotent requests are used as probes, because a straggler may fail them.
func (p *Picker) dueForProbe(now time.Time, s *poolState, request *chicoryrock.Request, replicas []chicoryrock.Replica) int {
	if s.suspendedCount == 0 || !request.Idempotent || now.Before(s.nextProbe) {
		return -1
	}
	s.nextProbe = now.Add(minProbeInterval / 2)
	for i := range replicas {
		h := s.replicas[replicas[i].Name]
		if h != nil && h.suspended && !replicas[i].Leaving && !replicas[i].Evacuated && replicas[i].Open == 0 && !now.Before(h.nextProbe) {
			return i
		}
	}
	return -1
}
