// Package claim makes sure that a call that is not idempotent runs at most once,
// no matter which entry receives it and how often its caller sends it.
//
// A call that carries an idempotency key is claimed in the platform's store
// before it runs. Claims are stored in a fixed number of records, the shards,
// and one compare-and-swap of a shard commits all claims that wait for it. A
// shard holds digests only, never a caller's key or body.
//
// A claim guards its key for TTL, measured by the clock of the process that
// writes the shard next. If clocks differ by a minute, it may expire a minute
// early. A claim must therefore be used soon or not at all, see Usable.
//
// The package does I/O through chicoryrock.Store only, and takes the current
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
	// Prefix is the prefix of the shards' keys in the store.
	Prefix = "claim/"
	// ShardCount is the number of shards.
	ShardCount = 256
	// TTL is how long a claim guards its key.
	TTL = 24 * time.Hour
	// RunLimit is the age above which an open claim counts as unknown: the entry
	// that made it has most likely died.
	RunLimit = 10 * time.Minute
	// MaxClaimsPerShard keeps a shard's value far below the store's limit of 1 MB.
	// The 256 shards hold half a million keys per TTL.
	MaxClaimsPerShard = 2048

	digestBytes = 16
)

// State is the state of the call that made a claim.
type State string

// States of a claim. There is none for a call that certainly did not run: its
// claim is removed.
const (
	StateOpen    State = "open"    // the call waits or runs
	StateDone    State = "done"    // the call was answered
	StateUnknown State = "unknown" // the call may have run
)

// Claim records the use of an idempotency key.
type Claim struct {
	Key           string    `json:"key"`  // digest of workspace, route and idempotency key
	RequestDigest string    `json:"body"` // digest of method, path and body
	RequestID     string    `json:"id"`   // of the request that made the claim
	CreatedAt     time.Time `json:"time"`
	State         State     `json:"state"`
	Status        int       `json:"status,omitempty"` // HTTP status of a call that is done
}

// StateAt returns the state of the claim's call at a given time: an open claim
// older than RunLimit counts as unknown.
func (c Claim) StateAt(now time.Time) State {
	if c.State == StateOpen && now.Sub(c.CreatedAt) > RunLimit {
		return StateUnknown
	}
	return c.State
}

// Usable reports whether a call that was claimed at a given time may still begin.
// A process that was paused for long must not use an old claim, which may have
// expired for the others. This does not cover a pause of nearly TTL between this
// check and the first byte of the call.
func Usable(now, claimed time.Time) bool { return now.Sub(claimed) < RunLimit }

// KeyDigest returns the digest of an idempotency key with its workspace and route.
func KeyDigest(workspace, route, key string) string {
	return digest([]byte(workspace), []byte(route), []byte(key))
}

// RequestDigest returns the digest of a call's method, path and body.
func RequestDigest(method, path string, body []byte) string {
	return digest([]byte(method), []byte(path), body)
}

// ShardKey returns the key in the store of the shard to which a claim belongs,
// given the claim's key.
func ShardKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return fmt.Sprintf("%s%02x", Prefix, sum[0])
}

// digest returns a truncated SHA-256 of the parts, each preceded by its length, so
// that different lists of parts are not hashed as the same bytes.
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
