// Package store is the stand-in for the platform's key-value service: a core
// with a global revision, compare-and-swap and leases, and an HTTP server with
// switches for its failures.
package store

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

// MaxValue is the largest value that the store holds, bytes.
const MaxValue = 1 << 20

// keptChanges is how many changes a watch may go back.
const keptChanges = 20_000

// Core is the key-value service without sockets. It is not safe for concurrent
// use. The zero value is an empty store.
type Core struct {
	revision uint64
	items    map[string]item
	leases   map[uint64]lease
	serial   uint64
	changes  []chicoryrock.KeyValue // the newest, the oldest first
	dropped  uint64                 // revision of the newest change that is no longer kept
}

type item struct {
	value    []byte
	revision uint64
	creation uint64
	lease    uint64    // zero for none, or for one of its own
	expiry   time.Time // zero without a lease of its own
}

// lease is a time to live that several keys may share.
type lease struct {
	ttl    time.Duration
	expiry time.Time
}

// clone returns a copy.
func (c *Core) clone() Core {
	copied := *c
	copied.items, copied.leases, copied.changes = maps.Clone(c.items), maps.Clone(c.leases), slices.Clone(c.changes)
	return copied
}

func (i item) entry(key string) chicoryrock.KeyValue {
	return chicoryrock.KeyValue{Key: key, Value: i.value, Revision: i.revision}
}

// Revision returns the store's revision.
func (c *Core) Revision(now time.Time) uint64 {
	c.expire(now)
	return c.revision
}

// Grant takes out a lease and returns its number.
func (c *Core) Grant(now time.Time, ttl time.Duration) uint64 {
	c.expire(now)
	if c.leases == nil {
		c.leases = make(map[uint64]lease)
	}
	c.serial++
	c.leases[c.serial] = lease{ttl, now.Add(ttl)}
	return c.serial
}

// Keep renews a lease and returns its time to live. Error: ErrNotFound.
func (c *Core) Keep(now time.Time, id uint64) (time.Duration, error) {
	c.expire(now)
	found, ok := c.leases[id]
	if !ok {
		return 0, errors.WithStack(chicoryrock.ErrNotFound)
	}
	c.leases[id] = lease{found.ttl, now.Add(found.ttl)}
	return found.ttl, nil
}

// End ends a lease and removes its keys. Error: ErrNotFound.
func (c *Core) End(now time.Time, id uint64) error {
	c.expire(now)
	if _, ok := c.leases[id]; !ok {
		return errors.WithStack(chicoryrock.ErrNotFound)
	}
	c.leases[id] = lease{}
	c.expire(now)
	return nil
}

// Write is one write of a transaction. Lease is the number of a lease, or zero.
type Write struct {
	Key   string
	Value []byte
	Lease uint64
}

// Commit makes all writes and removals if each key has the revision expected of
// it. Errors: ErrConflict, ErrNotFound for an unknown lease, ErrInvalid.
func (c *Core) Commit(now time.Time, expect map[string]uint64, writes []Write, removed []string) (uint64, error) {
	c.expire(now)
	for key, revision := range expect {
		if c.items[key].revision != revision {
			return 0, errors.WithStack(chicoryrock.ErrConflict)
		}
	}
	for _, write := range writes {
		if write.Key == "" || len(write.Value) > MaxValue {
			return 0, errors.WithStack(chicoryrock.ErrInvalid)
		}
		if _, ok := c.leases[write.Lease]; write.Lease != 0 && !ok {
			return 0, errors.WithStack(chicoryrock.ErrNotFound)
		}
	}
	c.revision++
	for _, write := range writes {
		c.set(write.Key, item{value: write.Value, revision: c.revision, lease: write.Lease})
	}
	for _, key := range removed {
		if _, ok := c.items[key]; ok {
			c.drop(key)
		}
	}
	return c.revision, nil
}

// Changes returns what has changed below a prefix after a revision. Error:
// ErrCompacted.
func (c *Core) Changes(now time.Time, prefix string, after uint64) ([]chicoryrock.KeyValue, error) {
	c.expire(now)
	if after < c.dropped || after > c.revision {
		return nil, errors.WithStack(chicoryrock.ErrCompacted)
	}
	var found []chicoryrock.KeyValue
	for _, change := range c.changes {
		if change.Revision > after && strings.HasPrefix(change.Key, prefix) {
			found = append(found, change)
		}
	}
	return found, nil
}

// NextExpiry returns when the next lease ends, or the zero time.
func (c *Core) NextExpiry() time.Time {
	var next time.Time
	for _, one := range c.items {
		at := one.expiry
		if one.lease != 0 {
			at = c.leases[one.lease].expiry
		}
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

// set writes a key at the present revision.
func (c *Core) set(key string, written item) {
	if c.items == nil {
		c.items = make(map[string]item)
	}
	written.creation = written.revision
	if before, ok := c.items[key]; ok {
		written.creation = before.creation
	}
	c.items[key] = written
	c.note(written.entry(key))
}

// drop removes a key at the present revision.
func (c *Core) drop(key string) {
	delete(c.items, key)
	c.note(chicoryrock.KeyValue{Key: key, Revision: c.revision, Deleted: true})
}

func (c *Core) note(change chicoryrock.KeyValue) {
	c.changes = append(c.changes, change)
	if over := len(c.changes) - keptChanges; over > 0 {
		c.dropped = c.changes[over-1].Revision
		c.changes = slices.Clone(c.changes[over:])
	}
}

// Get reads one key. Error: ErrNotFound.
func (c *Core) Get(now time.Time, key string) (chicoryrock.KeyValue, error) {
	c.expire(now)
	found, ok := c.items[key]
	if !ok {
		return chicoryrock.KeyValue{}, errors.WithStack(chicoryrock.ErrNotFound)
	}
	return found.entry(key), nil
}

// List reads every key below a prefix, in key order.
func (c *Core) List(now time.Time, prefix string) []chicoryrock.KeyValue {
	c.expire(now)
	entries := []chicoryrock.KeyValue{}
	for key, found := range c.items {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, found.entry(key))
		}
	}
	slices.SortFunc(entries, func(a, b chicoryrock.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return entries
}

// Put does one compare-and-swap and returns the key's new revision. Errors:
// ErrConflict, ErrInvalid.
func (c *Core) Put(now time.Time, change chicoryrock.Change) (uint64, error) {
	c.expire(now)
	if change.Key == "" || len(change.Value) > MaxValue {
		return 0, errors.WithStack(chicoryrock.ErrInvalid)
	}
	// A missing key has revision zero, which is what Prior says of it.
	if c.items[change.Key].revision != change.PriorRevision {
		return 0, errors.WithStack(chicoryrock.ErrConflict)
	}
	c.revision++
	written := item{value: change.Value, revision: c.revision}
	if change.TTL > 0 {
		written.expiry = now.Add(change.TTL)
	}
	c.set(change.Key, written)
	return c.revision, nil
}

// Delete removes one key that still has the prior revision. Errors: ErrNotFound,
// ErrConflict.
func (c *Core) Delete(now time.Time, key string, prior uint64) error {
	c.expire(now)
	found, ok := c.items[key]
	if !ok {
		return errors.WithStack(chicoryrock.ErrNotFound)
	}
	if found.revision != prior {
		return errors.WithStack(chicoryrock.ErrConflict)
	}
	c.revision++
	c.drop(key)
	return nil
}

// Changed tells whether a watch on a key ends: its revision is above after, or
// the key was there at revision after and is gone.
func (c *Core) Changed(now time.Time, key string, after uint64) bool {
	c.expire(now)
	found, ok := c.items[key]
	if !ok {
		return after > 0
	}
	return found.revision > after
}

// Expiry returns when the key's lease ends, or the zero time without a lease.
func (c *Core) Expiry(key string) time.Time { return c.items[key].expiry }

// expire drops every key whose lease has ended.
func (c *Core) expire(now time.Time) {
	for id, found := range c.leases {
		if !now.Before(found.expiry) {
			delete(c.leases, id)
		}
	}
	for key, found := range c.items {
		_, held := c.leases[found.lease]
		if found.lease != 0 && !held || !found.expiry.IsZero() && !now.Before(found.expiry) {
			c.revision++
			c.drop(key)
		}
	}
}
