package claim

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

// attempts bounds how often one group of operations is tried against other
// writers of the same shard and lost answers.
const attempts = 8

// Commit carries out operations on one shard by compare-and-swap. A write whose
// answer was lost is read back before anything else: the operations are applied
// to what the store holds then, and those that took effect are recognised by
// their requests' IDs.
//
// Errors: chicoryrock.ErrUnavailable, nothing took effect;
// chicoryrock.ErrUnknownOutcome, some or all may take effect, also later. After
// either no call of the group may run. After the second its claims are to be
// given up by ActionRelease, or their keys stay claimed until they expire.
func Commit(ctx context.Context, now time.Time, store chicoryrock.Store, shard string, ops []Op) ([]Result, error) {
	lost := false
	for range attempts {
		results, err := try(ctx, now, store, shard, ops)
		switch {
		case err == nil:
			return results, nil
		case errors.Is(err, chicoryrock.ErrUnknownOutcome):
			lost = true
		case !errors.Is(err, chicoryrock.ErrConflict):
			return nil, failure(lost, err)
		}
	}
	return nil, failure(lost, errors.New("other writers went first each time"))
}

// failure says what is certain after the last attempt failed.
func failure(lost bool, cause error) error {
	if lost {
		return errors.Wrapf(chicoryrock.ErrUnknownOutcome, "claim: %v", cause)
	}
	return errors.Wrapf(chicoryrock.ErrUnavailable, "claim: %v", cause)
}

// try reads the shard, applies the operations and writes it. Errors: the store's.
// A read has no effect, so that its lost answer counts as unavailable.
func try(ctx context.Context, now time.Time, store chicoryrock.Store, shard string, ops []Op) ([]Result, error) {
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
