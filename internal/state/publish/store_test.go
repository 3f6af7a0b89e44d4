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
	if hook := f.beforeChunkPut; hook != nil && !f.Down {
		f.beforeChunkPut = nil
		hook()
	}
	return f.PutWithoutFaults(change)
}

func (f *fakeStore) List(ctx context.Context, prefix string) ([]chicoryrock.KeyValue, error) {
	if f.readsFail {
		return nil, chicoryrock.ErrUnavailable
	}
	entries, err := f.Store.List(ctx, prefix)
	if hook := f.afterList; hook != nil && len(entries) > 0 {
		f.afterList = nil
		hook()
	}
	return entries, err
}
