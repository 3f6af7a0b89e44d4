package publish

import (
	"context"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/state/memory"
)

// fake is a store whose puts fail at the head only, with moments of its own
// between the steps of a publication.
type fake struct {
	memory.Store

	blind   bool                  // every read fails
	written func()                // runs once, just before the next put of a chunk
	listed  func()                // runs once, after the next list was made and before its answer
	stale   *chicoryrock.KeyValue // answered in place of the head
}

func newFake() *fake { return &fake{} }

func (f *fake) Get(ctx context.Context, key string) (chicoryrock.KeyValue, error) {
	if f.blind {
		return chicoryrock.KeyValue{}, chicoryrock.ErrUnavailable
	}
	if key == HeadKey && f.stale != nil && !f.Down {
		return *f.stale, nil
	}
	return f.Store.Get(ctx, key)
}

func (f *fake) Put(ctx context.Context, change chicoryrock.Change) (uint64, error) {
	if change.Key == HeadKey {
		return f.Store.Put(ctx, change)
	}
	if written := f.written; written != nil && !f.Down {
		f.written = nil
		written()
	}
	return f.PutWithoutFaults(change)
}

func (f *fake) List(ctx context.Context, prefix string) ([]chicoryrock.KeyValue, error) {
	if f.blind {
		return nil, chicoryrock.ErrUnavailable
	}
	found, err := f.Store.List(ctx, prefix)
	if listed := f.listed; listed != nil && len(found) > 0 {
		f.listed = nil
		listed()
	}
	return found, err
}
