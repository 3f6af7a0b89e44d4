// Package lease assigns a duty to one process at a time. A lease is a key in the
// platform's store that the store removes unless its holder renews it in time.
//
// The holder counts the lease's validity from before it sent the write, on its
// own monotonic clock, and ends it a margin early. The store counts from when the
// write took effect, which is later. A holder's validity therefore ends before
// the store lets another process acquire the lease, as long as the speeds of the
// two clocks differ by no more than the margin. Neither the clocks' settings nor
// the network delay matter.
//
// A holder can still be paused between its check of the lease and the action that
// follows. The receiver of its orders distinguishes it from a newer holder by the
// fencing number.
//
// The package does I/O through chicoryrock.Store only, and takes the current
// time as an argument.
package lease

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

const (
	// Prefix is the prefix of the duties' keys in the store.
	Prefix = "duty/"
	// marginDivisor sets how long before the end of the TTL a holder ends its
	// lease: TTL/marginDivisor, a tenth. That allows for clocks whose speeds differ.
	marginDivisor = 10
)

// record is the value of a duty's key.
type record struct {
	Holder  string         `json:"holder"`
	Address netip.AddrPort `json:"address,omitzero"`
}

// Lease is one process's view of the lease on one duty. Set the exported fields,
// then call AcquireOrRenew periodically. It is not safe for concurrent use.
type Lease struct {
	Duty   string        // name of the duty
	Holder string        // this process's name, unique across all processes, also past ones
	TTL    time.Duration // after which the store removes a lease that was not renewed
	// Address is where peers reach this process; zero if they need not reach it.
	Address netip.AddrPort

	revision    uint64    // of the key as this process last wrote it; zero if not known
	fence       uint64    // zero until this process acquires the lease
	validUntil  time.Time // end of validity
	otherHolder record    // as last read; zero if it is not another process
}

// Key returns the duty's key in the store.
func (l *Lease) Key() string { return Prefix + l.Duty }

// Valid reports whether this process holds the lease.
func (l *Lease) Valid(now time.Time) bool { return now.Before(l.validUntil) }

// ValidUntil returns when the lease ends unless it is renewed.
func (l *Lease) ValidUntil() time.Time { return l.validUntil }

// Fence returns the fencing number: the store's revision at which this process
// acquired the lease. A later holder's is always higher.
func (l *Lease) Fence() uint64 { return l.fence }

// OtherHolder returns the holder as of the last read, if that was another process,
// or else the empty string.
func (l *Lease) OtherHolder() string { return l.otherHolder.Holder }

// OtherHolderAddress returns the address of OtherHolder.
func (l *Lease) OtherHolderAddress() netip.AddrPort { return l.otherHolder.Address }

// AcquireOrRenew acquires the lease or renews it. Now must be read before the call.
// It is no error if another process holds the lease. Errors: the store's; the
// validity then stays as it was.
func (l *Lease) AcquireOrRenew(ctx context.Context, now time.Time, store chicoryrock.Store) error {
	prior := l.revision
	if prior == 0 {
		found, held, err := l.read(ctx, store)
		if err != nil || (found != 0 && !held) {
			return err
		}
		prior = found
	}
	value, err := json.Marshal(record{Holder: l.Holder, Address: l.Address})
	if err != nil {
		return errors.WithStack(err)
	}
	revision, err := store.Put(ctx, chicoryrock.Change{Key: l.Key(), Value: value, PriorRevision: prior, TTL: l.TTL})
	switch {
	case err == nil:
		l.setHeld(now, revision)
		return nil
	case errors.Is(err, chicoryrock.ErrConflict):
		l.reset()
		return nil
	case errors.Is(err, chicoryrock.ErrUnknownOutcome):
		// The next call reads the key to find out whether the write took effect. Only
		// a write that was answered makes the lease valid.
		l.revision = 0
	}
	return errors.Wrapf(err, "acquire or renew %s", l.Key())
}

// read returns the key's revision, zero if there is no such key, and whether this
// process holds it.
func (l *Lease) read(ctx context.Context, store chicoryrock.Store) (revision uint64, held bool, err error) {
	entry, err := store.Get(ctx, l.Key())
	if errors.Is(err, chicoryrock.ErrNotFound) {
		l.reset()
		return 0, false, nil
	}
	if err != nil {
		return 0, false, errors.Wrapf(err, "read %s", l.Key())
	}
	var found record
	if err := json.Unmarshal(entry.Value, &found); err != nil {
		return 0, false, errors.Wrapf(chicoryrock.ErrInvalid, "malformed lease %s: %v", l.Key(), err)
	}
	if found.Holder == l.Holder {
		return entry.Revision, true, nil
	}
	l.reset()
	l.otherHolder = found
	return entry.Revision, false, nil
}

// setHeld records a successful write that was sent at the time now.
func (l *Lease) setHeld(now time.Time, revision uint64) {
	l.revision = revision
	if l.fence == 0 {
		l.fence = revision
	}
	l.validUntil = now.Add(l.TTL - l.TTL/marginDivisor)
	l.otherHolder = record{}
}

// reset clears the state: another process holds the lease or may acquire it.
func (l *Lease) reset() {
	l.revision = 0
	l.fence = 0
	l.validUntil = time.Time{}
	l.otherHolder = record{}
}

// Release deletes the lease, so that another process need not wait for its end.
// Errors: the store's; the lease then ends by itself.
func (l *Lease) Release(ctx context.Context, store chicoryrock.Store) error {
	revision := l.revision
	l.reset()
	if revision == 0 {
		return nil
	}
	return errors.Wrapf(store.Delete(ctx, l.Key(), revision), "release %s", l.Key())
}
