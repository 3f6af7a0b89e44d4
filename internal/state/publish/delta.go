package publish

import (
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

// Delta holds the changes from one revision to a later one. Processes send it to
// each other instead of the whole set, since most publications change few objects.
type Delta struct {
	From   uint64       `json:"from"`
	To     uint64       `json:"to"`
	FromID string       `json:"base"` // ID of the publication that made revision From
	Head   Head         `json:"head"` // of revision To
	Put    object.Set   `json:"put"`  // objects added or changed
	Drop   []object.Ref `json:"drop,omitempty"`
}

// NewDelta returns the changes from one revision to a later one. Error:
// chicoryrock.ErrStale when the second isn't later.
func NewDelta(fromHead Head, from *object.Set, toHead Head, to *object.Set) (Delta, error) {
	if toHead.Revision <= fromHead.Revision {
		return Delta{}, errors.Wrapf(chicoryrock.ErrStale, "no delta from revision %d to %d", fromHead.Revision, toHead.Revision)
	}
	delta := Delta{From: fromHead.Revision, To: toHead.Revision, FromID: fromHead.ID, Head: toHead}
	encoded, err := encodedByRef(to)
	if err != nil {
		return Delta{}, err
	}
	for _, change := range Diff(from, to) {
		if change.Action == Removed {
			delta.Drop = append(delta.Drop, change.Ref)
			continue
		}
		if err := addObject(&delta.Put, change.Kind, encoded[change.Ref]); err != nil {
			return Delta{}, err
		}
	}
	return delta, nil
}

// Apply returns the set and head after a delta and leaves the given set unchanged.
// The result is split into chunks again, whose digests must be those in the delta's
// head, so a damaged delta is rejected. The head comes with the delta, so the
// connection must authenticate the sender.
//
// Errors: chicoryrock.ErrStale when the delta ends at no later revision;
// chicoryrock.ErrConflict when it starts from another revision, so that the whole
// set is needed; chicoryrock.ErrInvalid.
func (d Delta) Apply(head Head, set *object.Set) (*object.Set, Head, error) {
	if d.To <= head.Revision {
		return nil, Head{}, errors.Wrapf(chicoryrock.ErrStale, "delta to revision %d, %d is in force", d.To, head.Revision)
	}
	if d.From != head.Revision || d.FromID != head.ID {
		return nil, Head{}, errors.Wrapf(chicoryrock.ErrConflict, "delta from revision %d, %d is in force", d.From, head.Revision)
	}
	if d.Head.Revision != d.To {
		return nil, Head{}, errors.Wrap(chicoryrock.ErrInvalid, "delta with the head of another revision")
	}
	result, err := d.patch(set)
	if err != nil {
		return nil, Head{}, err
	}
	if err := Verify(d.Head, result); err != nil {
		return nil, Head{}, err
	}
	return result, d.Head, nil
}

// Verify checks that a set is complete, is the one that a head lists, and passes
// the checks. It is for sets received from a peer; the connection must authenticate
// the sender of the head. Error: chicoryrock.ErrInvalid.
func Verify(head Head, set *object.Set) error {
	chunks, err := splitChunks(set)
	if err != nil {
		return err
	}
	if !slices.Equal(digestsOf(chunks), head.Chunks) {
		return errors.Wrapf(chicoryrock.ErrInvalid, "not the set of revision %d", head.Revision)
	}
	return checkSet(set)
}

func (d Delta) patch(set *object.Set) (*object.Set, error) {
	encoded, err := encodedByRef(set)
	if err != nil {
		return nil, err
	}
	for _, ref := range d.Drop {
		delete(encoded, ref)
	}
	changed, err := encodeRecords(&d.Put)
	if err != nil {
		return nil, err
	}
	for _, rec := range changed {
		encoded[rec.ref] = rec.encoded
	}
	return decodeSet(encoded)
}

func decodeSet(encoded map[object.Ref]json.RawMessage) (*object.Set, error) {
	set := &object.Set{}
	for ref, content := range encoded {
		if err := addObject(set, ref.Kind, content); err != nil {
			return nil, err
		}
	}
	return set.Sorted(), nil
}
