package usage

import (
	"context"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

// DeleteWindow deletes the seal of an old window and its chunks. The window must have
// been sent, and be beyond the horizon. Errors: the store's; the same call may
// then be made again.
func DeleteWindow(ctx context.Context, store chicoryrock.Store, window Window) error {
	entry, err := store.Get(ctx, sealKey(window))
	if errors.Is(err, chicoryrock.ErrNotFound) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read an old seal")
	}
	seal, err := readLines(ctx, store, window)
	if err != nil {
		return err
	}
	// The seal goes last: it names the chunks.
	for _, digest := range seal.Chunks {
		if err := remove(ctx, store, chunkKey(window, digest)); err != nil {
			return err
		}
	}
	return errors.Wrap(store.Delete(ctx, sealKey(window), entry.Revision), "delete an old seal")
}

func remove(ctx context.Context, store chicoryrock.Store, key string) error {
	entry, err := store.Get(ctx, key)
	if errors.Is(err, chicoryrock.ErrNotFound) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read an old chunk")
	}
	return errors.Wrap(store.Delete(ctx, key, entry.Revision), "delete an old chunk")
}
