package publish

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

// Rollback publishes the set of an earlier revision as a new revision. Keys
// withdrawn since then stay withdrawn; their names are returned. Errors: those of
// Publish; chicoryrock.ErrNotFound when there is no such revision.
func (p *Publisher) Rollback(ctx context.Context, now time.Time, publication Publication, revision uint64) (Head, []string, error) {
	current, err := p.current(ctx)
	if err != nil {
		return Head{}, nil, err
	}
	if publication.Retry {
		head, found, err := p.findPublication(ctx, current.head, publication.ID, searchFloor(current.head.Revision))
		if err != nil || found {
			return head, nil, err
		}
	}
	head, err := findRevision(ctx, p.Store, current.head, revision)
	if err != nil {
		return Head{}, nil, err
	}
	reader := Reader{Store: p.Store}
	set, err := reader.loadSet(ctx, head)
	if err != nil {
		return Head{}, nil, err
	}
	set.Withdrawn = current.set.Withdrawn
	stillWithdrawn := removeWithdrawn(set)
	head, err = p.commit(ctx, now, publication, current, set)
	return head, stillWithdrawn, err
}

// removeWithdrawn removes the withdrawn keys of a set and returns their names.
func removeWithdrawn(set *object.Set) []string {
	withdrawn := make(map[string]bool, len(set.Withdrawn))
	for _, withdrawal := range set.Withdrawn {
		withdrawn[withdrawal.Digest] = true
	}
	var names []string
	set.Keys = slices.DeleteFunc(slices.Clone(set.Keys), func(key object.Key) bool {
		if withdrawn[key.Digest] {
			names = append(names, key.Name)
		}
		return withdrawn[key.Digest]
	})
	return names
}

// maxWithdrawAttempts is how often a withdrawal is tried when other publications
// take effect first.
const maxWithdrawAttempts = 10

// Withdraw publishes the current set without a key and blocks the key's digest
// permanently. It cannot conflict with the content of another edit, so it is
// retried when another publication takes effect first. A key that is already
// withdrawn makes no new revision. Errors: those of Publish;
// chicoryrock.ErrNotFound when there is no such key.
func (p *Publisher) Withdraw(ctx context.Context, now time.Time, publication Publication, name string) (Head, error) {
	var head Head
	var err error
	for range maxWithdrawAttempts {
		head, err = p.withdraw(ctx, now, publication, name)
		if !errors.Is(err, chicoryrock.ErrConflict) {
			break
		}
	}
	return head, err
}

func (p *Publisher) withdraw(ctx context.Context, now time.Time, publication Publication, name string) (Head, error) {
	current, err := p.current(ctx)
	if err != nil {
		return Head{}, err
	}
	if publication.Retry {
		head, found, err := p.findPublication(ctx, current.head, publication.ID, searchFloor(current.head.Revision))
		if err != nil || found {
			return head, err
		}
	}
	position := slices.IndexFunc(current.set.Keys, func(key object.Key) bool { return key.Name == name })
	if position < 0 && slices.ContainsFunc(current.set.Withdrawn, func(w object.Withdrawal) bool { return w.Key == name }) {
		return current.head, nil
	}
	if position < 0 {
		return Head{}, errors.Wrapf(chicoryrock.ErrNotFound, "key %s", name)
	}
	key := current.set.Keys[position]
	next := *current.set
	next.Keys = slices.Delete(slices.Clone(next.Keys), position, position+1)
	withdrawal := object.Withdrawal{Key: key.Name, Workspace: key.Workspace, Digest: key.Digest}
	next.Withdrawn = append(slices.Clone(next.Withdrawn), withdrawal)
	return p.commit(ctx, now, publication, current, &next)
}
