package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
	"github.com/chicoryrock/chicoryrock/internal/state/claim"
)

// maxIdempotencyKey is the longest idempotency key taken, in bytes.
const maxIdempotencyKey = 255

// Claims keeps a call that may not be repeated from running twice.
type Claims interface {
	// Take claims a key before its call runs. On any error the call must not run.
	Take(ctx context.Context, op claim.Op) (claim.Result, error)
	// Note tells how a claimed call ended.
	Note(op claim.Op)
}

// claimed is the claim of one call; nil for a call that needs none.
type claimed struct {
	key  string // digest
	time time.Time
}

// claim makes sure that a call that may not be repeated is the first with its
// idempotency key. A call without a key needs no claim: it is sent once, and
// again only when the agent says that it certainly never began.
//
// Errors: *refusedError; the context's error when the caller has gone.
func (c *call) claim() error {
	if c.request.Idempotent {
		return nil
	}
	values := c.r.Header.Values(wire.IdempotencyKey)
	if len(values) == 0 {
		return nil
	}
	if len(values) > 1 || values[0] == "" || len(values[0]) > maxIdempotencyKey {
		return &refusedError{reason: chicoryrock.ReasonMalformed, detail: "Exactly one idempotency key of at most 255 bytes is expected."}
	}
	now := time.Now()
	key := claim.KeyDigest(c.request.Workspace, c.request.Route, values[0])
	result, err := c.entry.Claims.Take(c.ctx, claim.Op{
		Action:        claim.ActionAcquire,
		Key:           key,
		RequestDigest: claim.RequestDigest(c.r.Method, c.path, c.body),
		RequestID:     c.request.ID,
	})
	switch {
	case c.ctx.Err() != nil:
		return errors.WithStack(c.ctx.Err())
	case err != nil:
		return &refusedError{reason: chicoryrock.ReasonNoStore}
	case result.Outcome == claim.OutcomeOK:
		c.claimed = &claimed{key: key, time: now}
		return nil
	default:
		return refuseClaim(time.Now(), result)
	}
}

// refuseClaim tells a second caller what is known of the first call. Where that
// may have run, the refusal does not say "not run": a caller would take it for
// leave to send the call under a new key.
func refuseClaim(now time.Time, result claim.Result) error {
	refused := &refusedError{reason: chicoryrock.ReasonClaimed, outcome: wire.OutcomeUnknown}
	switch {
	case result.Outcome == claim.OutcomeShardFull:
		return &refusedError{reason: chicoryrock.ReasonNoStore, detail: "There is no room for more idempotency keys today."}
	case result.Outcome == claim.OutcomeRequestMismatch:
		refused.outcome = wire.OutcomeNotRun
		refused.detail = "Its body was another one, so this call did not run."
	case result.Claim.StateAt(now) == claim.StateDone:
		refused.detail = "It was answered with status " + strconv.Itoa(result.Claim.Status) + "."
	case result.Claim.StateAt(now) == claim.StateOpen:
		refused.detail = "It still waits or runs."
	default:
		refused.detail = "It is not known whether it ran."
	}
	return refused
}

// usable says whether the call may still begin.
func (c *call) usable(now time.Time) bool {
	return c.claimed == nil || claim.Usable(now, c.claimed.time)
}

// settle notes how a claimed call ended: answered, certainly not run, or unknown.
func (c *call) settle(outcome string) {
	if c.claimed == nil {
		return
	}
	op := claim.Op{Action: claim.ActionMarkUnknown, Key: c.claimed.key, RequestID: c.request.ID}
	switch outcome {
	case "":
		op.Action = claim.ActionMarkDone
		op.Status = c.status
	case wire.OutcomeNotRun:
		op.Action = claim.ActionRelease
	}
	c.claimed = nil
	c.entry.Claims.Note(op)
}

// stampClaim names the call to the agent, which refuses a duplicate.
func (c *call) stampClaim(header http.Header) {
	if c.request.Idempotent {
		return
	}
	header.Set(wire.Once, "1")
	if c.claimed != nil {
		header.Set(wire.Claim, c.claimed.key)
	}
}
