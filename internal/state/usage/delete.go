package usage

import (
	"context"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

// DeleteWindow deletes the seal of an old window and its chunks. The window's
// reports must have been sent, and it must be at least MaxLateWindows older than
// the last sealed one. Errors: the store's; the call may then be repeated.
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
	// The seal is deleted last, since it lists the chunks.
	for _, digest := range seal.Chunks {
		if err := deleteChunk(ctx, store, chunkKey(window, digest)); err != nil {
			return err
		}
	}
	return errors.Wrap(store.Delete(ctx, sealKey(window), entry.Revision), "delete an old seal")
}

func deleteChunk(ctx context.Context, store chicoryrock.Store, key string) error {
	entry, err := store.Get(ctx, key)
	if errors.Is(err, chicoryrock.ErrNotFound) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read an old chunk")
	}
	return errors.Wrap(store.Delete(ctx, key, entry.Revision), "delete an old chunk")
}
