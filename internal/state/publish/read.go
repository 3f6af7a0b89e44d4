package publish

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

// Read reads the set in force. Known is the head that the caller has already put
// in force, or the zero Head. Errors: those of Reader.Read.
func Read(ctx context.Context, store chicoryrock.Store, known Head) (*object.Set, Head, error) {
	reader := Reader{Store: store}
	return reader.Read(ctx, known)
}

// Reader reads the set in force and keeps the chunks it has seen, so that the
// next read fetches only what a publication changed. Set Store before use.
type Reader struct {
	Store chicoryrock.Store

	mu     sync.Mutex
	chunks map[string][]byte
}

// Read reads the set in force. Errors: chicoryrock.ErrNotFound before the first
// publication; chicoryrock.ErrStale when the store answers with something older
// than known, or with another publication of the same revision, which is cause
// for an alarm; chicoryrock.ErrInvalid when what the store holds is damaged;
// those of the store.
//
// The set is checked as if an operator offered it. A release with a new check
// must therefore not come before the declarations that satisfy it.
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

// load reads the chunks of one head, which need not be the one in force.
func (r *Reader) loadSet(ctx context.Context, head Head) (*object.Set, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fresh := make(map[string][]byte, len(head.Chunks))
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
		fresh[digest] = content
		if err := addChunk(set, content); err != nil {
			return nil, err
		}
	}
	set = set.Sorted()
	if err := checkSet(set); err != nil {
		return nil, err
	}
	r.chunks = fresh
	return set, nil
}

// ReadHead reads the head in force without its set. Errors: chicoryrock.ErrNotFound
// before the first publication; chicoryrock.ErrInvalid; those of the store.
func ReadHead(ctx context.Context, store chicoryrock.Store) (Head, error) {
	head, _, err := readHead(ctx, store)
	return head, err
}

// readHead also returns the store's own revision of the head, which the next
// compare-and-swap must name.
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

// previous reads the head before the given one, whose place in the chain must fit.
// Error: chicoryrock.ErrNotFound when it has been pruned.
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

// find walks the chain back from head to a revision. Error:
// chicoryrock.ErrNotFound when head is older, the revision is zero or pruned.
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
