package publish

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

// attempts is how often a write without an answer is settled before the outcome
// is reported as unknown.
const maxAttempts = 3

// lookback is how many revisions are searched for a publication that may have
// taken effect earlier.
const searchDepth = 256

// Publication is one operator's edit.
type Publication struct {
	ID     string // unique; the same on every attempt of the same edit
	Author string
	Note   string
	Base   uint64 // the revision that the edit began from; 0 means the one in force
	Retry  bool   // an earlier attempt with this ID may have taken effect
}

// Publisher moves the head. Set Store before use.
type Publisher struct {
	Store chicoryrock.Store
}

// state is what the store holds, and what the next compare-and-swap must name.
type snapshot struct {
	head          Head
	set           *object.Set
	storeRevision uint64
}

// Current returns the set in force. Before the first publication the head is
// zero and the set empty. Errors: those of Reader.Read but ErrNotFound.
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

// Publish puts a set in force and returns its head. A set that equals the one in
// force makes no new revision; then the returned head has another ID.
//
// Withdrawn keys stay withdrawn: a set that holds one fails its checks.
//
// Errors: *FaultError; *ConflictError when another publication went first;
// chicoryrock.ErrStale when the store is behind Base; chicoryrock.ErrUnavailable,
// nothing was changed; chicoryrock.ErrUnknownOutcome, settled by publishing again
// with the same ID and Retry.
func (p *Publisher) Publish(ctx context.Context, now time.Time, publication Publication, set *object.Set) (Head, error) {
	if err := checkSet(set); err != nil {
		return Head{}, err
	}
	found, err := p.current(ctx)
	if err != nil {
		return Head{}, err
	}
	if publication.Retry {
		head, done, err := p.findPublication(ctx, found.head, publication.ID, searchFloor(found.head.Revision))
		if err != nil || done {
			return head, err
		}
	}
	if publication.Base > found.head.Revision {
		return Head{}, errors.Wrapf(chicoryrock.ErrStale, "the store answered revision %d, the edit began from %d", found.head.Revision, publication.Base)
	}
	if publication.Base != 0 && publication.Base != found.head.Revision {
		return Head{}, p.conflictSince(ctx, publication.Base, set, found)
	}
	next := *set
	next.Withdrawn = found.set.Withdrawn
	return p.commit(ctx, now, publication, found, &next)
}

func searchFloor(revision uint64) uint64 {
	if revision < searchDepth {
		return 0
	}
	return revision - searchDepth
}

// move writes the chunks of a set and then the head.
func (p *Publisher) commit(ctx context.Context, now time.Time, publication Publication, from snapshot, set *object.Set) (Head, error) {
	if err := checkSet(set); err != nil {
		return Head{}, err
	}
	chunks, err := splitChunks(set)
	if err != nil {
		return Head{}, err
	}
	head := Head{
		Revision: from.head.Revision + 1,
		ID:       publication.ID,
		Time:     now.UTC(),
		Author:   publication.Author,
		Note:     publication.Note,
		Chunks:   digestsOf(chunks),
	}
	if slices.Equal(head.Chunks, from.head.Chunks) {
		return from.head, nil
	}
	if err := checkPublication(publication, head); err != nil {
		return Head{}, err
	}
	if head.Prior, err = p.writeChunks(ctx, from, chunks); err != nil {
		return Head{}, err
	}
	return p.swapHead(ctx, from, head, set)
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

// writeAll writes what the next head refers to: the new chunks and the head in
// force, whose digest it returns. The chunks of the head in force are there.
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

// writeChunk makes sure that a chunk is in the store, written after the head that
// the publication starts from. While the next head doesn't refer to it a chunk has
// no effect, so a write without an answer is simply done again, and failing for
// good means that nothing was changed.
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

// tryChunk writes a chunk. One that has been there for longer is written over
// with the same content, so that Prune sees that it is needed again.
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
