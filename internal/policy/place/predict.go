package place

import (
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// forecast is what a request has to expect on a replica, all in milliseconds.
type forecast struct {
	first float64 // until its first token
	own   float64 // of that, what reading its own prompt takes
	busy  float64 // until the replica has read it and what waits there before it
	harm  float64 // what it would do to others there
	extra float64 // what else speaks against the replica
}

// predict returns what a request has to expect on a replica.
func (p *Placer) predict(now time.Time, t *pool, request *chicoryrock.Request, r *replica, known *chicoryrock.Replica, home homes, engine bool) (f forecast) {
	f.extra = p.far(request, known)
	if now.Before(r.until) {
		// Passed over, but better than none.
		f.extra += 10 * milliseconds(pauseMost)
	}
	speed := r.pace(now)
	if !engine {
		f.first = speed * milliseconds(busySlot) * float64(known.Open+1)
		return f
	}
	unread, again := r.cache.unread(request, home.trust(r))
	waiting := r.waiting(now, t) + float64(r.others.UnreadTokens)
	f.own = speed * (t.pace.base() + unread*t.pace.perToken())
	f.busy = speed * (unread + waiting) * t.pace.perToken()
	f.first = f.own + speed*waiting*t.pace.perToken() + t.slotWait(r)
	f.extra += rereadWeight*again*t.pace.perToken() + float64(r.all())*t.pace.perStream()
	f.harm = t.apart(now, request, r)
	return f
}

// pace is how much slower than predicted a replica probably is.
func (r *replica) pace(now time.Time) float64 {
	if now.Before(r.cold) {
		return coldSpeed * r.speed
	}
	return r.speed
}

// far is what the way to a replica adds.
func (p *Placer) far(request *chicoryrock.Request, known *chicoryrock.Replica) float64 {
	switch {
	case known.Centre == p.Centre:
		return 0
	case known.Region == p.Region:
		return milliseconds(crossCentre)
	default:
		return milliseconds(crossRegion) + float64(request.PromptTokens)*milliseconds(crossBytes)
	}
}
