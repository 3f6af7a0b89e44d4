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
	// targetChunkBytes is the size above which the objects of a kind are split into
	// more chunks. A change rewrites one chunk, so small chunks write fewer bytes,
	// but a starting reader makes one call for each chunk.
	targetChunkBytes = 16 << 10
	// maxBuckets stops the splitting when a single object exceeds the target size.
	maxBuckets = 1024
)

// kindWithdrawn is the kind of chunks that hold withdrawals, which are not declared
// objects.
const kindWithdrawn object.Kind = "withdrawn"

// kinds lists the kinds in the order of their chunks in a head.
var kinds = []object.Kind{
	object.KindWorkspace, object.KindKey, object.KindClass, object.KindRoute, object.KindPool, kindWithdrawn,
}

// record is one object in its stored form.
type record struct {
	ref     object.Ref
	encoded json.RawMessage
}

// chunk is the stored form of some objects of one kind.
type chunk struct {
	Kind    object.Kind       `json:"kind"`
	Objects []json.RawMessage `json:"objects"`
}

// encodeRecords encodes a set object by object, ordered by kind and name.
func encodeRecords(set *object.Set) ([]record, error) {
	sorted := set.Sorted()
	encoded := make([]record, 0, len(sorted.Keys)+len(sorted.Routes)+len(sorted.Workspaces))
	var encodeErr error
	add := func(kind object.Kind, name string, value any) {
		content, err := json.Marshal(value)
		if err != nil {
			encodeErr = errors.Wrapf(chicoryrock.ErrInvalid, "%s/%s: %v", kind, name, err)
		}
		encoded = append(encoded, record{object.Ref{Kind: kind, Name: name}, content})
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
	return encoded, encodeErr
}

// splitChunks encodes a set as chunks. The result depends only on the objects, so
// two processes with the same set compute the same digests.
func splitChunks(set *object.Set) ([][]byte, error) {
	records, err := encodeRecords(set)
	if err != nil {
		return nil, err
	}
	var chunks [][]byte
	for _, kind := range kinds {
		var ofKind []record
		for _, rec := range records {
			if rec.ref.Kind == kind {
				ofKind = append(ofKind, rec)
			}
		}
		for _, bucket := range bucketRecords(ofKind) {
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

// bucketRecords splits objects into buckets and returns those that aren't empty. The
// number of buckets doubles until each is within targetChunkBytes, or maxBuckets is
// reached. The hash of its name selects an object's bucket, and not its position, so
// that adding an object leaves the other buckets unchanged.
func bucketRecords(records []record) [][]json.RawMessage {
	buckets, largest := 1, targetChunkBytes+1
	var contents [][]json.RawMessage
	for ; largest > targetChunkBytes && buckets <= maxBuckets; buckets *= 2 {
		contents = make([][]json.RawMessage, buckets)
		sizes := make([]int, buckets)
		largest = 0
		for _, rec := range records {
			hash := fnv.New32a()
			_, _ = hash.Write([]byte(rec.ref.Name)) // never returns an error (see package hash)
			bucket := int(hash.Sum32()) & (buckets - 1)
			contents[bucket] = append(contents[bucket], rec.encoded)
			sizes[bucket] += len(rec.encoded)
			largest = max(largest, sizes[bucket])
		}
	}
	return slices.DeleteFunc(contents, func(bucket []json.RawMessage) bool { return len(bucket) == 0 })
}

// digestsOf returns the digests of a set's chunks, in the order of its head.
func digestsOf(chunks [][]byte) []string {
	list := make([]string, 0, len(chunks))
	for _, content := range chunks {
		list = append(list, digestOf(content))
	}
	return list
}

// addChunk adds the objects of one chunk to a set.
func addChunk(set *object.Set, content []byte) error {
	var part chunk
	if err := json.Unmarshal(content, &part); err != nil {
		return errors.Wrapf(chicoryrock.ErrInvalid, "chunk: %v", err)
	}
	for _, encoded := range part.Objects {
		if err := addObject(set, part.Kind, encoded); err != nil {
			return err
		}
	}
	return nil
}

func addObject(set *object.Set, kind object.Kind, encoded []byte) error {
	switch kind {
	case object.KindWorkspace:
		return appendDecoded(&set.Workspaces, encoded)
	case object.KindKey:
		return appendDecoded(&set.Keys, encoded)
	case object.KindClass:
		return appendDecoded(&set.Classes, encoded)
	case object.KindRoute:
		return appendDecoded(&set.Routes, encoded)
	case object.KindPool:
		return appendDecoded(&set.Pools, encoded)
	case kindWithdrawn:
		return appendDecoded(&set.Withdrawn, encoded)
	default:
		return errors.Wrapf(chicoryrock.ErrInvalid, "chunk of unknown kind %q", kind)
	}
}

func appendDecoded[T any](list *[]T, encoded []byte) error {
	var value T
	if err := json.Unmarshal(encoded, &value); err != nil {
		return errors.Wrapf(chicoryrock.ErrInvalid, "chunk: %v", err)
	}
	*list = append(*list, value)
	return nil
}

// encodedByRef maps each object to its stored form.
func encodedByRef(set *object.Set) (map[object.Ref]json.RawMessage, error) {
	records, err := encodeRecords(set)
	if err != nil {
		return nil, err
	}
	byRef := make(map[object.Ref]json.RawMessage, len(records))
	for _, rec := range records {
		byRef[rec.ref] = rec.encoded
	}
	return byRef, nil
}

func compareRefs(a, b object.Ref) int {
	return cmp.Or(cmp.Compare(slices.Index(kinds, a.Kind), slices.Index(kinds, b.Kind)), cmp.Compare(a.Name, b.Name))
}
