package publish

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

// Read reads the current set. Known is the newest head that the caller has applied,
// or the zero Head. Errors: those of Reader.Read.
func Read(ctx context.Context, store chicoryrock.Store, known Head) (*object.Set, Head, error) {
	reader := Reader{Store: store}
	return reader.Read(ctx, known)
}

// Reader reads the current set and caches its chunks, so that the next read fetches
// only the chunks that changed. Set Store before use.
type Reader struct {
	Store chicoryrock.Store

	mu     sync.Mutex
	chunks map[string][]byte
}

// Read reads the current set. Known is the newest head that the caller has applied,
// or the zero Head. Errors: chicoryrock.ErrNotFound before the first publication;
// chicoryrock.ErrStale when the store answers with an older head than known, or with
// another publication of the same revision, which should raise an alarm;
// chicoryrock.ErrInvalid when the stored data is damaged; those of the store.
//
// The set gets the same checks as one that an operator publishes. A release with a
// new check must therefore not be rolled out before the declarations that satisfy it.
func (r *Reader) Read(ctx context.Context, known Head) (*object.Set, Head, error) {
	head, _, err := readHead(ctx, r.Store)
	if errors.Is(err, chicoryrock.ErrNotFound) && known.Revision > 0 {
		return nil, Head{}, errors.Wrapf(chicoryrock.ErrStale, "the store has no head, but revision %d was seen", known.Revision)
	}
	if err != nil {
		return nil, Head{}, err
	}
	if head.Revision < known.Revision {
		return nil, Head{}, errors.Wrapf(chicoryrock.ErrStale, "the store answered revision %d, but %d was seen", head.Revision, known.Revision)
	}
	if head.Revision == known.Revision && head.ID != known.ID {
		return nil, Head{}, errors.Wrapf(chicoryrock.ErrStale, "the store answered another publication as revision %d", head.Revision)
	}
	set, err := r.loadSet(ctx, head)
	if err != nil {
		return nil, Head{}, err
	}
	return set, head, nil
}

// loadSet reads and checks the set of a head, which need not be the current one.
func (r *Reader) loadSet(ctx context.Context, head Head) (*object.Set, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	loaded := make(map[string][]byte, len(head.Chunks))
	set := &object.Set{}
	for _, digest := range head.Chunks {
		content, cached := r.chunks[digest]
		if !cached {
			var err error
			content, err = readChunk(ctx, r.Store, digest)
			if err != nil {
				return nil, err
			}
		}
		loaded[digest] = content
		if err := addChunk(set, content); err != nil {
			return nil, err
		}
	}
	set = set.Sorted()
	if err := checkSet(set); err != nil {
		return nil, err
	}
	r.chunks = loaded
	return set, nil
}

// ReadHead reads the current head without its set. Errors: chicoryrock.ErrNotFound
// before the first publication; chicoryrock.ErrInvalid; those of the store.
func ReadHead(ctx context.Context, store chicoryrock.Store) (Head, error) {
	head, _, err := readHead(ctx, store)
	return head, err
}

// readHead also returns the store's revision of the entry, which the next
// compare-and-swap must give as the prior one.
func readHead(ctx context.Context, store chicoryrock.Store) (Head, uint64, error) {
	entry, err := store.Get(ctx, HeadKey)
	if err != nil {
		return Head{}, 0, errors.Wrap(err, "read the head")
	}
	head, err := decodeHead(entry.Value)
	return head, entry.Revision, err
}

// readChunk returns chicoryrock.ErrInvalid also for a chunk that is missing: the
// head refers to it, so the store is damaged.
func readChunk(ctx context.Context, store chicoryrock.Store, digest string) ([]byte, error) {
	entry, err := getChunk(ctx, store, digest)
	if errors.Is(err, chicoryrock.ErrNotFound) {
		return nil, errors.Wrapf(chicoryrock.ErrInvalid, "chunk %s is missing", digest)
	}
	return entry.Value, err
}

func getChunk(ctx context.Context, store chicoryrock.Store, digest string) (chicoryrock.KeyValue, error) {
	entry, err := store.Get(ctx, ChunkPrefix+digest)
	if err != nil {
		return chicoryrock.KeyValue{}, errors.Wrap(err, "read a chunk")
	}
	if digestOf(entry.Value) != digest {
		return chicoryrock.KeyValue{}, errors.Wrapf(chicoryrock.ErrInvalid, "chunk %s holds something else", digest)
	}
	return entry, nil
}

// previousHead reads the head before the given one. Errors: chicoryrock.ErrNotFound
// when it has been pruned; chicoryrock.ErrInvalid when its revision isn't the one before.
func previousHead(ctx context.Context, store chicoryrock.Store, head Head) (Head, error) {
	entry, err := getChunk(ctx, store, head.Prior)
	if err != nil {
		return Head{}, err
	}
	earlier, err := decodeHead(entry.Value)
	if err != nil {
		return Head{}, err
	}
	if earlier.Revision+1 != head.Revision {
		return Head{}, errors.Wrapf(chicoryrock.ErrInvalid, "revision %d follows %d", head.Revision, earlier.Revision)
	}
	return earlier, nil
}

// findRevision walks the chain back from head to a revision. Error:
// chicoryrock.ErrNotFound when the revision is zero, later than head, or pruned.
func findRevision(ctx context.Context, store chicoryrock.Store, head Head, revision uint64) (Head, error) {
	if revision == 0 || revision > head.Revision {
		return Head{}, errors.Wrapf(chicoryrock.ErrNotFound, "revision %d", revision)
	}
	for head.Revision > revision {
		earlier, err := previousHead(ctx, store, head)
		if err != nil {
			return Head{}, err
		}
		head = earlier
	}
	return head, nil
}

func encodeHead(head Head) ([]byte, error) {
	content, err := json.Marshal(head)
	if err != nil || len(content) > maxHeadBytes {
		return nil, errors.Wrapf(chicoryrock.ErrInvalid, "head of %d bytes: %v", len(content), err)
	}
	return content, nil
}
