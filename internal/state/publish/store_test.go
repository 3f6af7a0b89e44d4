package publish

import (
	"context"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/state/memory"
)

// fakeStore is a store whose puts fail only for the head, with hooks between the
// steps of a publication.
type fakeStore struct {
	memory.Store

	readsFail      bool                  // every read fails
	beforeChunkPut func()                // runs once, just before the next put of a chunk
	afterList      func()                // runs once, after the next List has read its entries and before it returns
	staleHead      *chicoryrock.KeyValue // returned instead of the current head
}

func newFakeStore() *fakeStore { return &fakeStore{} }

func (f *fakeStore) Get(ctx context.Context, key string) (chicoryrock.KeyValue, error) {
	if f.readsFail {
		return chicoryrock.KeyValue{}, chicoryrock.ErrUnavailable
	}
	if key == HeadKey && f.staleHead != nil && !f.Down {
		return *f.staleHead, nil
	}
	return f.Store.Get(ctx, key)
}

func (f *fakeStore) Put(ctx context.Context, change chicoryrock.Change) (uint64, error) {
	if change.Key == HeadKey {
		return f.Store.Put(ctx, change)
	}
	if written := f.beforeChunkPut; written != nil && !f.Down {
		f.beforeChunkPut = nil
		written()
	}
	return f.PutWithoutFaults(change)
}

func (f *fakeStore) List(ctx context.Context, prefix string) ([]chicoryrock.KeyValue, error) {
	if f.readsFail {
		return nil, chicoryrock.ErrUnavailable
	}
	found, err := f.Store.List(ctx, prefix)
	if listed := f.afterList; listed != nil && len(found) > 0 {
		f.afterList = nil
		listed()
	}
	return found, err
}
