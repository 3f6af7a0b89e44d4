package publish

import (
	"context"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

// swapHead replaces the head by compare-and-swap and resolves the outcome of a write
// whose answer is lost.
//
// A write without an answer may also take effect later. Repeating the same
// compare-and-swap is safe: both have the same prior revision, so at most one of
// them can take effect, and either way it is this publication.
func (p *Publisher) swapHead(ctx context.Context, from snapshot, head Head, set *object.Set) (Head, error) {
	content, err := encodeHead(head)
	if err != nil {
		return Head{}, err
	}
	change := chicoryrock.Change{Key: HeadKey, Value: content, PriorRevision: from.storeRevision}
	answerLost := false
	for range maxAttempts {
		_, err = p.Store.Put(ctx, change)
		switch {
		case err == nil:
			return head, nil
		case errors.Is(err, chicoryrock.ErrConflict):
			return p.resolveOutcome(ctx, from, head, set)
		case errors.Is(err, chicoryrock.ErrUnknownOutcome):
			answerLost = true
		case !answerLost:
			return Head{}, errors.Wrap(err, "replace the head")
		}
	}
	return p.resolveOutcome(ctx, from, head, set)
}

// resolveOutcome determines whether this publication or another replaced the head.
// Even after a plain conflict it may have been this one, since a transport may send
// a write twice. Later publications may have followed it by now.
func (p *Publisher) resolveOutcome(ctx context.Context, from snapshot, head Head, set *object.Set) (Head, error) {
	current, err := p.current(ctx)
	if err != nil {
		return Head{}, unknownOutcome(head, err)
	}
	own, found, err := p.findPublication(ctx, current.head, head.ID, from.head.Revision)
	if err != nil {
		return Head{}, unknownOutcome(head, err)
	}
	if found {
		return own, nil
	}
	if current.storeRevision <= from.storeRevision {
		return Head{}, unknownOutcome(head, errors.New("the write may still be on its way"))
	}
	return Head{}, newConflict(from, set, current)
}

func unknownOutcome(head Head, cause error) error {
	return errors.Wrapf(chicoryrock.ErrUnknownOutcome, "publication %s: %v", head.ID, cause)
}

// findPublication searches the chain for a publication, from head down to the
// revision after floor, and reports whether it was found.
func (p *Publisher) findPublication(ctx context.Context, head Head, id string, floor uint64) (Head, bool, error) {
	for head.Revision > floor {
		if head.ID == id {
			return head, true, nil
		}
		if head.Revision == floor+1 {
			break
		}
		earlier, err := previousHead(ctx, p.Store, head)
		if err != nil {
			return Head{}, false, err
		}
		head = earlier
	}
	return Head{}, false, nil
}

// conflictSince returns the ConflictError of an edit whose base is no longer current.
func (p *Publisher) conflictSince(ctx context.Context, base uint64, mine *object.Set, current snapshot) error {
	head, err := findRevision(ctx, p.Store, current.head, base)
	if err != nil {
		return err
	}
	reader := Reader{Store: p.Store}
	set, err := reader.loadSet(ctx, head)
	if err != nil {
		return err
	}
	return newConflict(snapshot{head: head, set: set}, mine, current)
}

func newConflict(base snapshot, mine *object.Set, theirs snapshot) error {
	own := *mine
	own.Withdrawn = base.set.Withdrawn // an edit does not include withdrawals
	return &ConflictError{
		Base:    base.head.Revision,
		Head:    theirs.head,
		Clashes: findClashes(base.set, &own, theirs.set),
		Theirs:  Diff(base.set, theirs.set),
	}
}
