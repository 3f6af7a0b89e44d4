package tally

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

// MarkPrefix is followed by an era in the key of its mark. The value is a window: the store
// has the seals again of this window and later ones that were made before it came back from a
// copy in that era. Without a mark it may lack any. A mark names its era, so that neither an
// older copy nor a late write makes one for another era.
const MarkPrefix = "bill/era/"

// markTries is how often a mark is read and written while others write it.
const markTries = 3

func readMark(ctx context.Context, store chicoryrock.Store, era uint64) (first int64, revision uint64, err error) {
	entry, err := store.Get(ctx, markKey(era))
	if err != nil {
		return 0, 0, errors.Wrap(err, "read the mark of an era")
	}
	if err := json.Unmarshal(entry.Value, &first); err != nil {
		return 0, 0, errors.Wrapf(chicoryrock.ErrInvalid, "mark of an era: %v", err)
	}
	return first, entry.Revision, nil
}

// Mark has an era's mark name a window, or an earlier one if it does so already, and returns
// which. Errors: the store's.
func Mark(ctx context.Context, store chicoryrock.TransactionalStore, era uint64, window int64) (int64, error) {
	value, err := json.Marshal(window)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	for range markTries {
		first, revision, err := readMark(ctx, store, era)
		if err != nil && !errors.Is(err, chicoryrock.ErrNotFound) {
			return 0, err
		}
		if err == nil && first <= window {
			return first, nil
		}
		_, err = store.Commit(ctx, []chicoryrock.Change{{Key: markKey(era), Value: value, PriorRevision: revision}})
		if !errors.Is(err, chicoryrock.ErrConflict) {
			return window, errors.Wrap(err, "write the mark of an era")
		}
	}
	return 0, errors.Wrap(chicoryrock.ErrConflict, "write the mark of an era")
}

func markKey(era uint64) string { return fmt.Sprintf("%s%d", MarkPrefix, era) }

// ListSeals returns the sums of all sealed windows. Errors: the store's.
func ListSeals(ctx context.Context, store chicoryrock.TransactionalStore) (map[int64]Counts, error) {
	entries, _, err := store.ListWithRevision(ctx, SealPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "read the seals")
	}
	sums := make(map[int64]Counts)
	for _, entry := range entries {
		if strings.HasSuffix(entry.Key, reportedSuffix) {
			continue
		}
		number, err := strconv.ParseInt(strings.TrimPrefix(entry.Key, SealPrefix), 10, 64)
		if err != nil {
			return nil, errors.Wrapf(chicoryrock.ErrInvalid, "key %q", entry.Key)
		}
		var counts Counts
		if err := json.Unmarshal(entry.Value, &counts); err != nil {
			return nil, errors.Wrapf(chicoryrock.ErrInvalid, "seal: %v", err)
		}
		sums[number] = counts
	}
	return sums, nil
}
