package place

import (
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// forecast is the predicted time and cost of a request on a replica, milliseconds.
type forecast struct {
	firstTokenMs   float64 // time to first token
	ownPrefillMs   float64 // of firstTokenMs, without other requests there
	busyMs         float64 // until the replica has prefilled its backlog and the prompt
	interferenceMs float64 // cost of mixing long prompts with streams of short ones
	penaltyMs      float64 // all other costs
}

// predict estimates the time and cost of a request on a replica.
func (p *Placer) predict(now time.Time, ps *poolState, request *chicoryrock.Request, r *replica, listed *chicoryrock.Replica, affinity sessionAffinity, engine bool) (f forecast) {
	f.penaltyMs = p.distancePenaltyMs(request, listed)
	if now.Before(r.avoidUntil) {
		// The replica is avoided, but better than none.
		f.penaltyMs += 10 * milliseconds(maxFailureBackoff)
	}
	slowdown := r.expectedSlowdown(now)
	if !engine {
		f.firstTokenMs = slowdown * milliseconds(plainDelayPerRequest) * float64(listed.Open+1)
		return f
	}
	unreadTokens, sharedTokens := r.cache.unreadTokens(request, affinity.cachedShare(r))
	backlogTokens := r.backlogTokens(now, ps) + float64(r.peerLoad.UnreadTokens)
	f.ownPrefillMs = slowdown * (ps.prefill.baseMs() + unreadTokens*ps.prefill.msPerToken())
	f.busyMs = slowdown * (unreadTokens + backlogTokens) * ps.prefill.msPerToken()
	f.firstTokenMs = f.ownPrefillMs + slowdown*backlogTokens*ps.prefill.msPerToken() + ps.slotWaitMs(r)
	f.penaltyMs += rereadWeight*sharedTokens*ps.prefill.msPerToken() + float64(r.openRequests())*ps.prefill.msPerStream()
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
		return milliseconds(crossCentreDelay)
	default:
		return milliseconds(crossRegionDelay) + float64(request.PromptTokens)*milliseconds(crossRegionDelayPerToken)
	}
}
