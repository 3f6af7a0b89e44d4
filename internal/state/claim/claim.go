// Package claim lets a call that may not be repeated run at most once, whichever
// entry it comes to and however often its caller sends it.
//
// A call that carries an idempotency key is claimed in the platform's store
// before it runs. The claims of many calls share a few records, the shards, and
// one compare-and-swap of a shard takes in all claims that wait for it. A shard
// holds digests only, never a caller's key or body.
//
// A claim guards its key for Expiry, counted on the clock of whoever writes the
// shard next: with clocks that differ by a minute, a minute less. A claim must
// therefore be used soon or not at all, see Usable.
//
// The package does no I/O but through chicoryrock.Store, and takes the present
// time as an argument.
package claim

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"hash"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

const (
	// Prefix begins the store's key of each shard.
	Prefix = "claim/"
	// ShardCount is how many records share the claims.
	ShardCount = 256
	// TTL is how long a claim guards its key.
	TTL = 24 * time.Hour
	// RunLimit is the age above which an open claim counts as unknown: the entry
	// that made it has most likely died.
	RunLimit = 10 * time.Minute
	// MaxClaimsPerShard bounds a shard, so that its value stays far below the store's
	// limit of 1 MB. With 256 shards that makes half a million keys in Expiry.
	MaxClaimsPerShard = 2048

	digestBytes = 16
)

// State is what is known of the call that made a claim.
type State string

// The states of a claim. A call that certainly did not run releases its claim,
// which then is gone.
const (
	StateOpen    State = "open"    // it waits or runs
	StateDone    State = "done"    // it was answered
	StateUnknown State = "unknown" // it may have run
)

// Claim is one idempotency key in use.
type Claim struct {
	Key           string    `json:"key"`  // digest of workspace, route and idempotency key
	RequestDigest string    `json:"body"` // digest of method, path and body
	RequestID     string    `json:"id"`   // of the request that made the claim
	CreatedAt     time.Time `json:"time"`
	State         State     `json:"state"`
	Status        int       `json:"status,omitempty"` // HTTP status of a call that is done
}

// StateAt returns what is known of the claim's call at a moment.
func (c Claim) StateAt(now time.Time) State {
	if c.State == StateOpen && now.Sub(c.CreatedAt) > RunLimit {
		return StateUnknown
	}
	return c.State
}

// Usable says whether a call that was claimed at a moment may still begin. A
// process that was paused for long must not use an old claim, which others may
// have seen expire. What stays open is a pause of nearly Expiry that begins after
// this check and before the call's first byte.
func Usable(now, claimed time.Time) bool { return now.Sub(claimed) < RunLimit }

// KeyDigest returns the digest of an idempotency key within its workspace and route.
func KeyDigest(workspace, route, key string) string {
	return digest([]byte(workspace), []byte(route), []byte(key))
}

// RequestDigest returns the digest of what a call asks for.
func RequestDigest(method, path string, body []byte) string {
	return digest([]byte(method), []byte(path), body)
}

// ShardKey returns the store's key of the shard that holds a claim's key.
func ShardKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return fmt.Sprintf("%s%02x", Prefix, sum[0])
}

// digest hashes parts with their lengths, so that no two lists of parts look
// alike.
func digest(parts ...[]byte) string {
	sum := sha256.New()
	for _, part := range parts {
		writePart(sum, part)
	}
	return base64.RawURLEncoding.EncodeToString(sum.Sum(nil)[:digestBytes])
}

func writePart(sum hash.Hash, part []byte) {
	// A hash never returns an error.
	_, _ = fmt.Fprintf(sum, "%d:", len(part))
	_, _ = sum.Write(part)
}

// record is the value of one shard.
type record struct {
	Claims []Claim `json:"claims"`
}

func decode(value []byte) (*record, error) {
	r := &record{}
	if len(value) == 0 {
		return r, nil
	}
	if err := json.Unmarshal(value, r); err != nil {
		return nil, errors.Wrapf(chicoryrock.ErrInvalid, "claims: %v", err)
	}
	return r, nil
}

func (r *record) encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, errors.WithStack(err)
}
