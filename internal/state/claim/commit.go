package claim

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

// maxAttempts is how often one group of operations is tried in all when other
// writers change the shard or answers are lost.
const maxAttempts = 8

// Commit applies operations to one shard by compare-and-swap. If the answer of a
// write is lost, the shard is read again and the operations are applied to its
// present content. Those that have taken effect are recognised by their request
// IDs.
//
// Errors: chicoryrock.ErrUnavailable, nothing took effect;
// chicoryrock.ErrUnknownOutcome, some or all may take effect, possibly later.
// After either error no call of the group may run. After ErrUnknownOutcome the
// caller releases the claims by ActionRelease; otherwise their keys stay claimed
// until they expire.
func Commit(ctx context.Context, now time.Time, store chicoryrock.Store, shard string, ops []Op) ([]Result, error) {
	answerLost := false
	for range maxAttempts {
		results, err := commitOnce(ctx, now, store, shard, ops)
		switch {
		case err == nil:
			return results, nil
		case errors.Is(err, chicoryrock.ErrUnknownOutcome):
			answerLost = true
		case !errors.Is(err, chicoryrock.ErrConflict):
			return nil, commitError(answerLost, err)
		}
	}
	return nil, commitError(answerLost, errors.New("write conflict on every attempt"))
}

// commitError returns the error for a failed Commit: ErrUnknownOutcome if the
// answer of any write was lost, else ErrUnavailable.
func commitError(answerLost bool, cause error) error {
	if answerLost {
		return errors.Wrapf(chicoryrock.ErrUnknownOutcome, "claim: %v", cause)
	}
	return errors.Wrapf(chicoryrock.ErrUnavailable, "claim: %v", cause)
}

// commitOnce reads the shard, applies the operations and writes it. Errors: the
// store's. A failed read is always ErrUnavailable, since a read changes nothing.
func commitOnce(ctx context.Context, now time.Time, store chicoryrock.Store, shard string, ops []Op) ([]Result, error) {
	entry, err := store.Get(ctx, shard)
	if err != nil && !errors.Is(err, chicoryrock.ErrNotFound) {
		return nil, errors.Wrapf(chicoryrock.ErrUnavailable, "read %s: %v", shard, err)
	}
	current, err := decode(entry.Value)
	if err != nil {
		return nil, err
	}
	results, write := current.apply(now, ops)
	if !write {
		return results, nil
	}
	value, err := current.encode()
	if err != nil {
		return nil, err
	}
	if _, err = store.Put(ctx, chicoryrock.Change{Key: shard, Value: value, PriorRevision: entry.Revision}); err != nil {
		return nil, errors.Wrapf(err, "write %s", shard)
	}
	return results, nil
}
