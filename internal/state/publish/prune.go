package publish

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

// MinKeptRevisions is the least number of revisions that Prune accepts to keep. It
// exceeds searchDepth, so that a publication whose outcome is unknown can still be
// found.
const MinKeptRevisions = 2 * searchDepth

// listShards is the number of parts in which the chunks are listed, by the first two
// hex digits of the digest, to keep each answer of the store small.
const listShards = 256

// Prune removes the chunks that none of the newest keep revisions refers to and
// returns the number removed. Rollback to an older revision is then impossible.
//
// It may run concurrently with any number of publishers. A chunk is removed only if
// its last write precedes that of the head that Prune has read. A publisher ensures
// that each chunk not listed by the head it starts from was written after that head,
// and overwrites a chunk that is older. So a removed chunk can only belong to a
// publisher that started from an older head, whose compare-and-swap fails anyway.
//
// Errors: chicoryrock.ErrInvalid when keep is below MinKeptRevisions; those of the store.
func (p *Publisher) Prune(ctx context.Context, keep int) (int, error) {
	if keep < MinKeptRevisions {
		return 0, errors.Wrapf(chicoryrock.ErrInvalid, "at least %d revisions must be kept", MinKeptRevisions)
	}
	return p.prune(ctx, keep)
}

func (p *Publisher) prune(ctx context.Context, keep int) (int, error) {
	head, storeRevision, err := readHead(ctx, p.Store)
	if errors.Is(err, chicoryrock.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	keptKeys, err := p.reachable(ctx, head, keep)
	if err != nil {
		return 0, err
	}
	removed := 0
	for shard := range listShards {
		count, err := p.pruneShard(ctx, fmt.Sprintf("%s%02x", ChunkPrefix, shard), keptKeys, storeRevision)
		removed += count
		if err != nil {
			return removed, err
		}
	}
	return removed, nil
}

// reachable returns the store keys of the chunks and heads that the newest keep
// revisions refer to.
func (p *Publisher) reachable(ctx context.Context, head Head, keep int) (map[string]bool, error) {
	keys := map[string]bool{}
	for range keep {
		for _, digest := range head.Chunks {
			keys[ChunkPrefix+digest] = true
		}
		if head.Prior == "" {
			break
		}
		earlier, err := previousHead(ctx, p.Store, head)
		if errors.Is(err, chicoryrock.ErrNotFound) {
			break // removed by an earlier run
		}
		if err != nil {
			return nil, err
		}
		keys[ChunkPrefix+head.Prior] = true
		head = earlier
	}
	return keys, nil
}

func (p *Publisher) pruneShard(ctx context.Context, prefix string, keptKeys map[string]bool, before uint64) (int, error) {
	entries, err := p.Store.List(ctx, prefix)
	if err != nil {
		return 0, errors.Wrap(err, "list chunks")
	}
	removed := 0
	for _, entry := range entries {
		if keptKeys[entry.Key] || entry.Revision >= before {
			continue
		}
		err := p.Store.Delete(ctx, entry.Key, entry.Revision)
		if errors.Is(err, chicoryrock.ErrConflict) || errors.Is(err, chicoryrock.ErrNotFound) {
			continue // a publisher has rewritten it, or another run has removed it
		}
		if err != nil {
			return removed, errors.Wrap(err, "remove a chunk")
		}
		removed++
	}
	return removed, nil
}
