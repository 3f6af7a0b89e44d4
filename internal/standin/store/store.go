// Package store is the stand-in for the platform's key-value service: a core
// with a global revision, compare-and-swap and leases, and an HTTP server with
// switches for its failures.
package store

import (
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

// MaxValue is the largest value that the store holds, bytes.
const MaxValue = 1 << 20

// Core is the key-value service without sockets. It is not safe for concurrent
// use. The zero value is an empty store.
type Core struct {
	revision uint64
	items    map[string]item
}

type item struct {
	value    []byte
	revision uint64
	expiry   time.Time // zero without a lease
}

func (i item) entry(key string) chicoryrock.Entry {
	return chicoryrock.Entry{Key: key, Value: i.value, Revision: i.revision}
}

// Get reads one key. Error: ErrNotFound.
func (c *Core) Get(now time.Time, key string) (chicoryrock.Entry, error) {
	c.expire(now)
	found, ok := c.items[key]
	if !ok {
		return chicoryrock.Entry{}, errors.WithStack(chicoryrock.ErrNotFound)
	}
	return found.entry(key), nil
}

// List reads every key below a prefix, in key order.
func (c *Core) List(now time.Time, prefix string) []chicoryrock.Entry {
	c.expire(now)
	entries := []chicoryrock.Entry{}
	for key, found := range c.items {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, found.entry(key))
		}
	}
	slices.SortFunc(entries, func(a, b chicoryrock.Entry) int { return strings.Compare(a.Key, b.Key) })
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
	if c.items[change.Key].revision != change.Prior {
		return 0, errors.WithStack(chicoryrock.ErrConflict)
	}
	c.revision++
	written := item{value: change.Value, revision: c.revision}
	if change.TTL > 0 {
		written.expiry = now.Add(change.TTL)
	}
	if c.items == nil {
		c.items = make(map[string]item)
	}
	c.items[change.Key] = written
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
	delete(c.items, key)
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
	for key, found := range c.items {
		if !found.expiry.IsZero() && !now.Before(found.expiry) {
			c.revision++
			delete(c.items, key)
		}
	}
}
