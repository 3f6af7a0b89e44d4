package place

import (
	"math"
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/jitter"
)

const (
	// overloadQuietTime is the time without a refusal after which an overload is over.
	overloadQuietTime = time.Second
	// overloadExtension is how much longer an overload is expected to last, as a share
	// of the time that it has lasted.
	overloadExtension = 1.0
)

// overload is a period in which requests of a group are refused.
type overload struct {
	since       time.Time // first refusal
	lastRefusal time.Time
}

// record adds a refusal, and returns how long the overload has lasted.
func (o *overload) record(now time.Time) time.Duration {
	if now.Sub(o.lastRefusal) > overloadQuietTime {
		o.since = now
	}
	o.lastRefusal = now
	return now.Sub(o.since)
}

// RecordRefusal records that a request is refused, and returns the time until one like
// it could be placed: the delay by which the earliest replica is too late now, or, if
// longer, the time that the overload has lasted, as a caller that is refused twice has
// waited in vain. Where the limits of all replicas are used up, it is the time until those
// refused of late have had their turn, spread over them. The second result is false where
// there is no estimate: for a request without a prompt, or a pool without engines or
// replicas.
func (p *Placer) RecordRefusal(now time.Time, request *chicoryrock.Request, replicas []chicoryrock.Replica) (time.Duration, bool) {
	ps := p.pool(request.Pool)
	if rate, limited := p.permitRate(now, ps, replicas); limited {
		ps.limitRefusals.Add(now, 1)
		drainTime := ps.limitRefusals.DrainTime(now, rate, 0, maxLimitedWait)
		return time.Duration(float64(time.Second)/rate) + time.Duration(jitter.Fraction(request.ID)*float64(drainTime)), true
	}
	if request.PromptTokens == 0 || ps.slots == 0 {
		return 0, false
	}
	delayMs := ps.shortestDelayMs(now, p, request, replicas)
	if math.IsInf(delayMs, 1) {
		return 0, false
	}
	g := ps.reservations.ensureGroup(ps.name, milliseconds(request.FirstTokenTarget), request.Tier)
	lasted := g.overload.record(now)
	return max(0, duration(delayMs), time.Duration(overloadExtension*float64(lasted))), true
}

// shortestDelayMs returns the delay by which the earliest replica is too late for a
// request, milliseconds; infinite without replicas.
func (ps *poolState) shortestDelayMs(now time.Time, p *Placer, request *chicoryrock.Request, replicas []chicoryrock.Replica) float64 {
	shortestMs := math.Inf(1)
	ps.setAllowed(request, replicas)
	affinity := ps.affinity(now, request)
	ps.computeLimits(now, request)
	limitMs := admissionShare * milliseconds(request.FirstTokenTarget)
	ps.considerAll(replicas, affinity, func(i int) {
		if replicas[i].Leaving || !request.Allows(&replicas[i]) {
			return
		}
		r := ps.replicaAt(i, &replicas[i])
		f := p.predict(now, ps, request, r, &replicas[i], affinity, true)
		lateMs := f.firstTokenMs + ps.pauseConfidence()*f.interferenceMs - limitMs
		if excessMs, hard := ps.excessBusyMs(r, f.busyMs); hard {
			lateMs = max(lateMs, excessMs)
		}
		if p.Quota != nil {
			if interval, known := p.permitInterval(now, r); known {
				lateMs = max(lateMs, milliseconds(interval))
			}
		}
		shortestMs = min(shortestMs, lateMs)
	})
	return shortestMs
}
