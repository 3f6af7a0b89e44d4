// Package publish stores checked configuration sets in the platform's key-value
// service, reads the current one back, compares revisions and prunes old ones.
//
// A set is split into immutable chunks, each stored under its own digest. One
// small record, the head, lists the chunks of the current set. It is replaced by a
// single compare-and-swap, so a publication takes effect whole or not at all.
// The previous head is kept as a chunk too, which makes a chain back to the first
// revision.
//
// All I/O goes through chicoryrock.Store, and the current time is an argument.
package publish

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

const (
	// HeadKey is the store key of the current head.
	HeadKey = "config/head"
	// ChunkPrefix and a digest form the store key of a chunk or an earlier head.
	ChunkPrefix = "config/chunk/"
)

const (
	maxChunkBytes  = 512 << 10
	maxHeadBytes   = 512 << 10
	maxChunks      = 6000 // as many digests as fit into maxHeadBytes
	maxNoteBytes   = 1024
	maxAuthorBytes = 256
)

// Head identifies a published set. Revisions start at 1 and grow by one.
type Head struct {
	Revision uint64    `json:"revision"`
	ID       string    `json:"id"` // of the publication, chosen by the publisher
	Time     time.Time `json:"time"`
	Author   string    `json:"author,omitempty"`
	Note     string    `json:"note,omitempty"`
	Prior    string    `json:"prior,omitempty"` // digest of the previous head
	Chunks   []string  `json:"chunks"`          // digests of the chunks
}

// ConflictError reports that another publication took effect first and that
// nothing of this one did. It matches chicoryrock.ErrConflict.
type ConflictError struct {
	Base    uint64       `json:"base"`    // revision that the edit is based on
	Head    Head         `json:"head"`    // current head
	Clashes []object.Ref `json:"clashes"` // objects that both changed, to different values
	Theirs  []Change     `json:"theirs"`  // all changes from Base to Head
}

// Error names the objects in conflict.
func (e *ConflictError) Error() string {
	winner := fmt.Sprintf("revision %d by %q went first", e.Head.Revision, e.Head.Author)
	if len(e.Clashes) == 0 {
		return winner + "; no object was changed by both"
	}
	names := make([]string, 0, len(e.Clashes))
	for _, ref := range e.Clashes {
		names = append(names, ref.String())
	}
	return winner + "; both changed " + strings.Join(names, ", ")
}

// Is reports whether target is chicoryrock.ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == chicoryrock.ErrConflict }

// FaultError reports that a set failed its checks. It matches chicoryrock.ErrInvalid.
type FaultError struct {
	Faults []object.Fault
}

// Error returns the number of faults and the first one.
func (e *FaultError) Error() string {
	return fmt.Sprintf("%d faults, the first: %s", len(e.Faults), e.Faults[0])
}

// Is reports whether target is chicoryrock.ErrInvalid.
func (e *FaultError) Is(target error) bool { return target == chicoryrock.ErrInvalid }

func checkSet(set *object.Set) error {
	if faults := object.Check(set, nil); len(faults) > 0 {
		return &FaultError{Faults: faults}
	}
	return nil
}

func digestOf(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// decodeHead decodes a head and rejects one that no publication can have written.
func decodeHead(content []byte) (Head, error) {
	var head Head
	if len(content) > maxHeadBytes {
		return Head{}, errors.Wrapf(chicoryrock.ErrInvalid, "head of %d bytes", len(content))
	}
	if err := json.Unmarshal(content, &head); err != nil {
		return Head{}, errors.Wrapf(chicoryrock.ErrInvalid, "head: %v", err)
	}
	if head.Revision == 0 || head.ID == "" || len(head.Chunks) == 0 || len(head.Chunks) > maxChunks {
		return Head{}, errors.Wrap(chicoryrock.ErrInvalid, "head without revision, id or chunks")
	}
	if (head.Revision == 1) != (head.Prior == "") {
		return Head{}, errors.Wrap(chicoryrock.ErrInvalid, "head with a broken chain")
	}
	for _, digest := range head.Chunks {
		if !digestPattern.MatchString(digest) {
			return Head{}, errors.Wrap(chicoryrock.ErrInvalid, "head with a malformed digest")
		}
	}
	return head, nil
}
