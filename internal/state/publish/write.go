package publish

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

// maxAttempts is how often a write without an answer is sent. Then the publication of
// a head is looked up in the chain, and reported as unknown if that is inconclusive;
// the write of a chunk fails.
const maxAttempts = 3

// searchDepth is the number of revisions searched for a publication that may have
// taken effect earlier.
const searchDepth = 256

// Publication is one operator's edit.
type Publication struct {
	ID     string // unique; the same on every attempt of the same edit
	Author string
	Note   string
	Base   uint64 // revision that the edit is based on; 0 means the current one
	Retry  bool   // an earlier attempt with this ID may have taken effect
}

// Publisher publishes and prunes sets. Set Store before use.
type Publisher struct {
	Store chicoryrock.Store
}

// snapshot is the current head and set. Its storeRevision is the store's revision of
// the head, the prior revision of the next compare-and-swap.
type snapshot struct {
	head          Head
	set           *object.Set
	storeRevision uint64
}

// Current returns the current set and head. Before the first publication the head
// is zero and the set empty. Errors: those of Reader.Read except ErrNotFound.
func (p *Publisher) Current(ctx context.Context) (*object.Set, Head, error) {
	found, err := p.current(ctx)
	return found.set, found.head, err
}

func (p *Publisher) current(ctx context.Context) (snapshot, error) {
	head, storeRevision, err := readHead(ctx, p.Store)
	if errors.Is(err, chicoryrock.ErrNotFound) {
		return snapshot{set: &object.Set{}}, nil
	}
	if err != nil {
		return snapshot{}, err
	}
	reader := Reader{Store: p.Store}
	set, err := reader.loadSet(ctx, head)
	return snapshot{head: head, set: set, storeRevision: storeRevision}, err
}

// Publish makes a set the current one and returns its head. A set equal to the
// current one makes no new revision; the returned head then has another ID.
//
// Withdrawn keys stay withdrawn: a set that holds one fails its checks.
//
// Errors: *FaultError; *ConflictError when another publication took effect first;
// chicoryrock.ErrStale when the store is behind Base; chicoryrock.ErrUnavailable
// when nothing was changed; chicoryrock.ErrUnknownOutcome, resolved by publishing
// again with the same ID and Retry.
func (p *Publisher) Publish(ctx context.Context, now time.Time, publication Publication, set *object.Set) (Head, error) {
	if err := checkSet(set); err != nil {
		return Head{}, err
	}
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
	if publication.Base > current.head.Revision {
		return Head{}, errors.Wrapf(chicoryrock.ErrStale, "the store answered revision %d, the edit began from %d", current.head.Revision, publication.Base)
	}
	if publication.Base != 0 && publication.Base != current.head.Revision {
		return Head{}, p.conflictSince(ctx, publication.Base, set, current)
	}
	next := *set
	next.Withdrawn = current.set.Withdrawn
	return p.commit(ctx, now, publication, current, &next)
}

func searchFloor(revision uint64) uint64 {
	if revision < searchDepth {
		return 0
	}
	return revision - searchDepth
}

// commit writes the chunks of a set and then the head. A set equal to the current one
// writes nothing and returns the current head.
func (p *Publisher) commit(ctx context.Context, now time.Time, publication Publication, current snapshot, set *object.Set) (Head, error) {
	if err := checkSet(set); err != nil {
		return Head{}, err
	}
	chunks, err := splitChunks(set)
	if err != nil {
		return Head{}, err
	}
	head := Head{
		Revision: current.head.Revision + 1,
		ID:       publication.ID,
		Time:     now.UTC(),
		Author:   publication.Author,
		Note:     publication.Note,
		Chunks:   digestsOf(chunks),
	}
	if slices.Equal(head.Chunks, current.head.Chunks) {
		return current.head, nil
	}
	if err := checkPublication(publication, head); err != nil {
		return Head{}, err
	}
	if head.Prior, err = p.writeChunks(ctx, current, chunks); err != nil {
		return Head{}, err
	}
	return p.swapHead(ctx, current, head, set)
}

func checkPublication(publication Publication, head Head) error {
	switch {
	case publication.ID == "" || len(publication.ID) > maxAuthorBytes:
		return errors.Wrap(chicoryrock.ErrInvalid, "a publication needs a short id")
	case len(publication.Author) > maxAuthorBytes || len(publication.Note) > maxNoteBytes:
		return errors.Wrap(chicoryrock.ErrInvalid, "author or note is too long")
	case len(head.Chunks) == 0 || len(head.Chunks) > maxChunks:
		return errors.Wrapf(chicoryrock.ErrInvalid, "a set of %d chunks", len(head.Chunks))
	}
	return nil
}

// writeChunks writes what the next head refers to: the new chunks and the current
// head, whose digest it returns. The chunks of the current head are already stored.
func (p *Publisher) writeChunks(ctx context.Context, from snapshot, chunks [][]byte) (string, error) {
	for _, content := range chunks {
		if slices.Contains(from.head.Chunks, digestOf(content)) {
			continue
		}
		if err := p.writeChunk(ctx, from.storeRevision, content); err != nil {
			return "", err
		}
	}
	if from.head.Revision == 0 {
		return "", nil
	}
	content, err := encodeHead(from.head)
	if err != nil {
		return "", err
	}
	return digestOf(content), p.writeChunk(ctx, from.storeRevision, content)
}

// writeChunk ensures that a chunk is in the store, written after the head that the
// publication starts from. A chunk has no effect until a head refers to it, so a
// write without an answer is repeated, and a final failure means that nothing was
// changed.
func (p *Publisher) writeChunk(ctx context.Context, after uint64, content []byte) error {
	var err error
	for range maxAttempts {
		err = p.putChunk(ctx, after, content)
		again := errors.Is(err, chicoryrock.ErrUnknownOutcome) || errors.Is(err, chicoryrock.ErrConflict) || errors.Is(err, chicoryrock.ErrNotFound)
		if !again {
			return errors.Wrap(err, "write a chunk")
		}
	}
	return errors.Wrapf(chicoryrock.ErrUnavailable, "a chunk could not be written, and the head was not moved: %v", err)
}

// putChunk writes a chunk. One not written since the head is overwritten with
// the same content, so that its new revision keeps Prune from removing it.
func (p *Publisher) putChunk(ctx context.Context, after uint64, content []byte) error {
	change := chicoryrock.Change{Key: ChunkPrefix + digestOf(content), Value: content}
	_, err := p.Store.Put(ctx, change)
	if !errors.Is(err, chicoryrock.ErrConflict) {
		return err
	}
	entry, err := getChunk(ctx, p.Store, digestOf(content))
	if err != nil || entry.Revision > after {
		return err
	}
	change.PriorRevision = entry.Revision
	_, err = p.Store.Put(ctx, change)
	return err
}
