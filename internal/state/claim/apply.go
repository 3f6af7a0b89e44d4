package claim

import (
	"slices"
	"time"
)

// Action is what an operation does to a claim.
type Action int

// The actions.
const (
	ActionTake    Action = iota // claim a key
	ActionFinish                // note that the call was answered
	ActionDoubt                 // note that the call may have run
	ActionRelease               // give up a claim whose call certainly did not run
)

// Op is one change to a shard. Key and ID name the claim, Body counts for
// ActionTake, Status for ActionFinish.
type Op struct {
	Action Action
	Key    string
	Body   string
	ID     string
	Status int
}

// Verdict is the answer to an operation.
type Verdict int

// The verdicts. All but VerdictTaken answer ActionTake only.
const (
	VerdictTaken Verdict = iota // the call may run, or the change is noted
	VerdictHeld                 // another call has the key
	VerdictOther                // another call with another body has the key
	VerdictFull                 // the shard is full; nothing was claimed
)

// Result answers one operation. Claim is the other call's when there is one.
type Result struct {
	Verdict Verdict
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
	r.Claims = slices.DeleteFunc(r.Claims, func(c Claim) bool { return now.Sub(c.Time) >= Expiry })
}

func (r *record) step(now time.Time, op *Op) (Result, bool) {
	at := slices.IndexFunc(r.Claims, func(c Claim) bool { return c.Key == op.Key })
	if op.Action == ActionTake {
		return r.take(now, op, at)
	}
	mine := at >= 0 && r.Claims[at].ID == op.ID
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
	case op.Action == ActionFinish:
		r.Claims[at].State = StateDone
		r.Claims[at].Status = op.Status
	default:
		r.Claims[at].State = StateUnknown
	}
	return Result{}, true
}

func (r *record) take(now time.Time, op *Op, at int) (Result, bool) {
	switch {
	case at >= 0 && r.Claims[at].ID == op.ID:
		return Result{Claim: r.Claims[at]}, false
	case at >= 0 && r.Claims[at].Body != op.Body:
		return Result{Verdict: VerdictOther, Claim: r.Claims[at]}, false
	case at >= 0:
		return Result{Verdict: VerdictHeld, Claim: r.Claims[at]}, false
	case len(r.Claims) >= MaxClaims:
		return Result{Verdict: VerdictFull}, false
	}
	claim := Claim{Key: op.Key, Body: op.Body, ID: op.ID, Time: now.UTC(), State: StateOpen}
	r.Claims = append(r.Claims, claim)
	return Result{Claim: claim}, true
}
