package publish

import (
	"cmp"
	"encoding/json"
	"hash/fnv"
	"slices"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

const (
	// targetChunkBytes is how large a chunk may grow before the objects of its
	// kind are spread over more chunks. A change rewrites one chunk, so small ones
	// save writes; each chunk costs a reader that starts one call.
	targetChunkBytes = 16 << 10
	// maxBuckets bounds the spreading, for when one object alone is too large.
	maxBuckets = 1024
)

// kindWithdrawn marks the chunks with withdrawals. They are no declared objects.
const kindWithdrawn object.Kind = "withdrawn"

var kinds = []object.Kind{
	object.KindWorkspace, object.KindKey, object.KindClass, object.KindRoute, object.KindPool, kindWithdrawn,
}

// record is one object in its stored form.
type record struct {
	ref  object.Ref
	text json.RawMessage
}

// chunk is the stored form of some objects of one kind.
type chunk struct {
	Kind    object.Kind       `json:"kind"`
	Objects []json.RawMessage `json:"objects"`
}

// records encodes a set object by object, in the order of kind and name.
func records(set *object.Set) ([]record, error) {
	sorted := set.Sorted()
	all := make([]record, 0, len(sorted.Keys)+len(sorted.Routes)+len(sorted.Workspaces))
	var failed error
	add := func(kind object.Kind, name string, value any) {
		text, err := json.Marshal(value)
		if err != nil {
			failed = errors.Wrapf(chicoryrock.ErrInvalid, "%s/%s: %v", kind, name, err)
		}
		all = append(all, record{object.Ref{Kind: kind, Name: name}, text})
	}
	for _, workspace := range sorted.Workspaces {
		add(object.KindWorkspace, workspace.Name, workspace)
	}
	for _, key := range sorted.Keys {
		add(object.KindKey, key.Name, key)
	}
	for _, class := range sorted.Classes {
		add(object.KindClass, class.Name, class)
	}
	for _, route := range sorted.Routes {
		add(object.KindRoute, route.Name, route)
	}
	for _, pool := range sorted.Pools {
		add(object.KindPool, pool.Name, pool)
	}
	for _, withdrawal := range sorted.Withdrawn {
		add(kindWithdrawn, withdrawal.Digest, withdrawal)
	}
	return all, failed
}

// split turns a set into chunks. The result depends on nothing but the objects,
// so two processes with the same set come to the same digests.
func split(set *object.Set) ([][]byte, error) {
	all, err := records(set)
	if err != nil {
		return nil, err
	}
	var chunks [][]byte
	for _, kind := range kinds {
		var own []record
		for _, one := range all {
			if one.ref.Kind == kind {
				own = append(own, one)
			}
		}
		for _, bucket := range spread(own) {
			content, err := json.Marshal(chunk{Kind: kind, Objects: bucket})
			if err != nil {
				return nil, errors.Wrapf(chicoryrock.ErrInvalid, "%s: %v", kind, err)
			}
			if len(content) > maxChunkBytes {
				return nil, errors.Wrapf(chicoryrock.ErrInvalid, "objects of kind %s are too large", kind)
			}
			chunks = append(chunks, content)
		}
	}
	return chunks, nil
}

// spread puts objects into as few buckets as keep each at its target size. The
// bucket follows from the hash of the name and not from the position, so that
// adding one object leaves the other buckets as they are.
func spread(own []record) [][]json.RawMessage {
	buckets, largest := 1, targetChunkBytes+1
	var full [][]json.RawMessage
	for ; largest > targetChunkBytes && buckets <= maxBuckets; buckets *= 2 {
		full = make([][]json.RawMessage, buckets)
		sizes := make([]int, buckets)
		largest = 0
		for _, one := range own {
			hash := fnv.New32a()
			_, _ = hash.Write([]byte(one.ref.Name)) // never fails, says package hash
			bucket := int(hash.Sum32()) & (buckets - 1)
			full[bucket] = append(full[bucket], one.text)
			sizes[bucket] += len(one.text)
			largest = max(largest, sizes[bucket])
		}
	}
	return slices.DeleteFunc(full, func(bucket []json.RawMessage) bool { return len(bucket) == 0 })
}

// digests returns the digests of a set's chunks, as its head lists them.
func digests(chunks [][]byte) []string {
	all := make([]string, 0, len(chunks))
	for _, content := range chunks {
		all = append(all, digestOf(content))
	}
	return all
}

// join adds the objects of one chunk to a set.
func join(set *object.Set, content []byte) error {
	var part chunk
	if err := json.Unmarshal(content, &part); err != nil {
		return errors.Wrapf(chicoryrock.ErrInvalid, "chunk: %v", err)
	}
	for _, text := range part.Objects {
		if err := put(set, part.Kind, text); err != nil {
			return err
		}
	}
	return nil
}

func put(set *object.Set, kind object.Kind, text []byte) error {
	switch kind {
	case object.KindWorkspace:
		return appendTo(&set.Workspaces, text)
	case object.KindKey:
		return appendTo(&set.Keys, text)
	case object.KindClass:
		return appendTo(&set.Classes, text)
	case object.KindRoute:
		return appendTo(&set.Routes, text)
	case object.KindPool:
		return appendTo(&set.Pools, text)
	case kindWithdrawn:
		return appendTo(&set.Withdrawn, text)
	default:
		return errors.Wrapf(chicoryrock.ErrInvalid, "chunk of unknown kind %q", kind)
	}
}

func appendTo[T any](list *[]T, text []byte) error {
	var value T
	if err := json.Unmarshal(text, &value); err != nil {
		return errors.Wrapf(chicoryrock.ErrInvalid, "chunk: %v", err)
	}
	*list = append(*list, value)
	return nil
}

// index maps each object to its stored form.
func index(set *object.Set) (map[object.Ref]json.RawMessage, error) {
	all, err := records(set)
	if err != nil {
		return nil, err
	}
	byRef := make(map[object.Ref]json.RawMessage, len(all))
	for _, one := range all {
		byRef[one.ref] = one.text
	}
	return byRef, nil
}

func compareRefs(a, b object.Ref) int {
	return cmp.Or(cmp.Compare(slices.Index(kinds, a.Kind), slices.Index(kinds, b.Kind)), cmp.Compare(a.Name, b.Name))
}
