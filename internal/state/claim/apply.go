package claim

import (
	"slices"
	"time"
)

// Action is what an operation does to a claim.
type Action int

// The actions.
const (
	ActionAcquire     Action = iota // claim a key
	ActionMarkDone                  // note that the call was answered
	ActionMarkUnknown               // note that the call may have run
	ActionRelease                   // give up a claim whose call certainly did not run
)

// Op is one change to a shard. Key and ID name the claim, Body counts for
// ActionTake, Status for ActionFinish.
type Op struct {
	Action        Action
	Key           string
	RequestDigest string
	RequestID     string
	Status        int
}

// Outcome is the answer to an operation.
type Outcome int

// The verdicts. All but OutcomeOK answer ActionTake only.
const (
	OutcomeOK              Outcome = iota // the call may run, or the change is noted
	OutcomeHeld                           // another call has the key
	OutcomeRequestMismatch                // another call with another body has the key
	OutcomeShardFull                      // the shard is full; nothing was claimed
)

// Result answers one operation. Claim is the other call's when there is one.
type Result struct {
	Outcome Outcome
	Claim   Claim
}

// apply carries out operations in order and says whether the record must be
// written. Doing the same again changes nothing, since each operation names the
// request that it belongs to: that makes a lost answer harmless.
func (r *record) apply(now time.Time, ops []Op) (results []Result, write bool) {
	r.prune(now)
	results = make([]Result, len(ops))
	for i := range ops {
		var changed bool
		results[i], changed = r.step(now, &ops[i])
		write = write || changed
	}
	return results, write
}

func (r *record) prune(now time.Time) {
	r.Claims = slices.DeleteFunc(r.Claims, func(c Claim) bool { return now.Sub(c.CreatedAt) >= TTL })
}

func (r *record) step(now time.Time, op *Op) (Result, bool) {
	at := slices.IndexFunc(r.Claims, func(c Claim) bool { return c.Key == op.Key })
	if op.Action == ActionAcquire {
		return r.take(now, op, at)
	}
	mine := at >= 0 && r.Claims[at].RequestID == op.RequestID
	switch {
	case op.Action == ActionRelease:
		if mine {
			r.Claims = slices.Delete(r.Claims, at, at+1)
		}
		// Even with nothing to remove the shard is written: its new revision keeps a
		// claim that is still on its way to the store from taking effect.
		return Result{}, true
	case !mine || r.Claims[at].State != StateOpen:
		return Result{}, false
	case op.Action == ActionMarkDone:
		r.Claims[at].State = StateDone
		r.Claims[at].Status = op.Status
	default:
		r.Claims[at].State = StateUnknown
	}
	return Result{}, true
}

func (r *record) take(now time.Time, op *Op, at int) (Result, bool) {
	switch {
	case at >= 0 && r.Claims[at].RequestID == op.RequestID:
		return Result{Claim: r.Claims[at]}, false
	case at >= 0 && r.Claims[at].RequestDigest != op.RequestDigest:
		return Result{Outcome: OutcomeRequestMismatch, Claim: r.Claims[at]}, false
	case at >= 0:
		return Result{Outcome: OutcomeHeld, Claim: r.Claims[at]}, false
	case len(r.Claims) >= MaxClaimsPerShard:
		return Result{Outcome: OutcomeShardFull}, false
	}
	claim := Claim{Key: op.Key, RequestDigest: op.RequestDigest, RequestID: op.RequestID, CreatedAt: now.UTC(), State: StateOpen}
	r.Claims = append(r.Claims, claim)
	return Result{Claim: claim}, true
}
