package place

import (
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// forecast is the predicted time and cost of a request on a replica, milliseconds.
type forecast struct {
	firstTokenMs     float64 // time to first token
	idleFirstTokenMs float64 // the same without backlog and wait for a slot: base time and own prefill, scaled by the slowdown
	busyMs           float64 // until the replica has prefilled its backlog and the prompt
	interferenceMs   float64 // cost of making streams late, and of a replica of the other part
	penaltyMs        float64 // distance, recent failure, prefill of shared parts, open requests; Pick adds use of a reserved replica
}

// predict estimates the time and cost of a request on a replica. Listed is the replica's
// entry in the caller's list, r its state. A request without a prompt goes to a plain
// service.
func (p *Placer) predict(now time.Time, ps *poolState, request *chicoryrock.Request, r *replica, listed *chicoryrock.Replica, affinity sessionAffinity, hasPrompt bool) (f forecast) {
	f.penaltyMs = p.distancePenaltyMs(request, listed)
	if now.Before(r.avoidUntil) {
		// This cost, 40 s, usually exceeds all others together: the replica is chosen only
		// where no healthy one is eligible.
		f.penaltyMs += 10 * milliseconds(maxFailureBackoff)
	}
	slowdown := r.expectedSlowdown(now)
	if !hasPrompt {
		f.firstTokenMs = slowdown * milliseconds(plainDelayPerRequest) * float64(listed.Open+1)
		return f
	}
	unreadTokens, sharedTokens := r.cache.unreadTokens(request, affinity.cachedShare(r))
	backlogTokens := r.backlogTokens(now, ps) + float64(r.peerLoad.UnreadTokens)
	f.idleFirstTokenMs = slowdown * (ps.prefill.baseMs() + unreadTokens*ps.prefill.msPerToken())
	f.busyMs = slowdown * (unreadTokens + backlogTokens) * ps.prefill.msPerToken()
	f.firstTokenMs = f.idleFirstTokenMs + slowdown*backlogTokens*ps.prefill.msPerToken() + ps.slotWaitMs(r)
	f.penaltyMs += unreadSharedWeight*sharedTokens*ps.prefill.msPerToken() + float64(r.openRequests())*ps.prefill.msPerStream()
	f.interferenceMs = ps.interferenceMs(now, request, r)
	return f
}

// expectedSlowdown returns the replica's slowdown, increased while it is cold.
func (r *replica) expectedSlowdown(now time.Time) float64 {
	if now.Before(r.coldUntil) {
		return coldSlowdown * r.slowdown
	}
	return r.slowdown
}

// distancePenaltyMs returns the cost of sending a request to another data centre,
// milliseconds.
func (p *Placer) distancePenaltyMs(request *chicoryrock.Request, listed *chicoryrock.Replica) float64 {
	switch {
	case listed.Centre == p.Centre:
		return 0
	case listed.Region == p.Region:
		return milliseconds(crossCentrePenalty)
	default:
		return milliseconds(crossRegionPenalty) + float64(request.PromptTokens)*milliseconds(crossRegionPenaltyPerToken)
	}
}

// backlogTokens estimates how many prompt tokens of this process's requests a replica
// has yet to prefill.
func (r *replica) backlogTokens(now time.Time, ps *poolState) float64 {
	if r.backlogAt.Equal(now) {
		return r.cachedBacklog
	}
	r.backlogAt = now
	r.cachedBacklog = 0
	for _, j := range r.awaitingFirst {
		r.cachedBacklog += j.remainingTokens(milliseconds(now.Sub(j.sent)), ps.prefill.msPerToken()*r.slowdown, ps.prefill.baseMs()*r.slowdown)
	}
	return r.cachedBacklog
}

// remainingTokens estimates how many tokens of a prompt are yet to be prefilled at a
// time after it was sent. A prompt whose first token is overdue has waited behind an
// unknown backlog: none of it counts as prefilled.
func (j *job) remainingTokens(elapsedMs, msPerToken, baseMs float64) float64 {
	if elapsedMs > baseMs+(j.backlogTokens+j.unreadTokens)*msPerToken {
		return j.unreadTokens
	}
	doneTokens := elapsedMs/msPerToken - j.backlogTokens
	return max(0, j.unreadTokens-max(0, doneTokens))
}

// slotWaitMs estimates the time until a replica has a free slot, milliseconds.
func (ps *poolState) slotWaitMs(r *replica) float64 {
	excess := float64(r.openRequests() + 1 - ps.slots)
	if ps.slots == 0 || excess <= 0 {
		return 0
	}
	return excess / float64(ps.slots) * ps.serviceTime.meanMs()
}

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
