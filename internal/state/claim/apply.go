package claim

import (
	"slices"
	"time"
)

// Action is what an operation does to a claim.
type Action int

// Actions.
const (
	ActionAcquire     Action = iota // claim a key
	ActionMarkDone                  // record that the call was answered
	ActionMarkUnknown               // record that the call may have run
	ActionRelease                   // remove the claim of a call that certainly did not run
)

// Op is one change to a shard. Key and RequestID identify the claim;
// RequestDigest is used by ActionAcquire only, Status by ActionMarkDone only.
type Op struct {
	Action        Action
	Key           string
	RequestDigest string
	RequestID     string
	Status        int
}

// Outcome is the outcome of an operation.
type Outcome int

// Outcomes. All but OutcomeOK occur with ActionAcquire only.
const (
	OutcomeOK              Outcome = iota // the call may run, or the change was made or is not needed
	OutcomeHeld                           // another request has claimed the key
	OutcomeRequestMismatch                // another request with another method, path or body has claimed the key
	OutcomeShardFull                      // the shard is full; nothing was claimed
)

// Result is the result of one operation. Claim is set for ActionAcquire unless the
// shard is full: it is the request's own claim, or the other request's.
type Result struct {
	Outcome Outcome
	Claim   Claim
}

// apply applies operations in order and reports whether the record must be
// written. Operations are idempotent, since each one carries the ID of its
// request. A write whose answer was lost can therefore be repeated.
func (r *record) apply(now time.Time, ops []Op) (results []Result, write bool) {
	r.prune(now)
	results = make([]Result, len(ops))
	for i := range ops {
		var changed bool
		results[i], changed = r.applyOne(now, &ops[i])
		write = write || changed
	}
	return results, write
}

func (r *record) prune(now time.Time) {
	r.Claims = slices.DeleteFunc(r.Claims, func(c Claim) bool { return now.Sub(c.CreatedAt) >= TTL })
}

func (r *record) applyOne(now time.Time, op *Op) (Result, bool) {
	index := slices.IndexFunc(r.Claims, func(c Claim) bool { return c.Key == op.Key })
	if op.Action == ActionAcquire {
		return r.acquire(now, op, index)
	}
	owned := index >= 0 && r.Claims[index].RequestID == op.RequestID
	switch {
	case op.Action == ActionRelease:
		if owned {
			r.Claims = slices.Delete(r.Claims, index, index+1)
		}
		// The shard is written even if there is nothing to remove: the new revision
		// prevents a delayed write of this claim from taking effect.
		return Result{}, true
	case !owned || r.Claims[index].State != StateOpen:
		return Result{}, false
	case op.Action == ActionMarkDone:
		r.Claims[index].State = StateDone
		r.Claims[index].Status = op.Status
	default:
		r.Claims[index].State = StateUnknown
	}
	return Result{}, true
}

func (r *record) acquire(now time.Time, op *Op, index int) (Result, bool) {
	switch {
	case index >= 0 && r.Claims[index].RequestID == op.RequestID:
		return Result{Claim: r.Claims[index]}, false
	case index >= 0 && r.Claims[index].RequestDigest != op.RequestDigest:
		return Result{Outcome: OutcomeRequestMismatch, Claim: r.Claims[index]}, false
	case index >= 0:
		return Result{Outcome: OutcomeHeld, Claim: r.Claims[index]}, false
	case len(r.Claims) >= MaxClaimsPerShard:
		return Result{Outcome: OutcomeShardFull}, false
	}
	claim := Claim{Key: op.Key, RequestDigest: op.RequestDigest, RequestID: op.RequestID, CreatedAt: now.UTC(), State: StateOpen}
	r.Claims = append(r.Claims, claim)
	return Result{Claim: claim}, true
}
