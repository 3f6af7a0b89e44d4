// Package lease keeps a duty with one process at a time: a key in the platform's
// store that vanishes when its holder does not write it again in time.
//
// The holder counts the lease's validity from before it sent the write, on its
// own monotonic clock, and ends it a margin early. The store counts from when the
// write took effect, which is later. A holder's validity therefore ends before
// the store lets another in, as long as no clock runs faster or slower than the
// other by more than the margin. Neither the clocks' settings nor the network's
// delay matter.
//
// A paused holder can still wake between its check and what it does then. Who
// receives its orders tells it from a newer holder by the fencing number.
//
// The package does no I/O but through chicoryrock.Store, and takes the present
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
	// Prefix begins the store's key of each duty.
	Prefix = "duty/"
	// marginPart is the share of the TTL by which a holder ends its lease early:
	// a tenth, against clocks whose speeds differ.
	marginPart = 10
)

// record is the value of a duty's key.
type record struct {
	Holder  string         `json:"holder"`
	Address netip.AddrPort `json:"address,omitzero"`
}

// Lease is what one process knows of one duty. Set the exported fields, then call
// Try again and again. It is not safe for concurrent use.
type Lease struct {
	Duty   string        // name of the duty
	Holder string        // this process's name, never used by another one before
	TTL    time.Duration // after which the store drops a lease that was not renewed
	// Address is where peers reach this process; the zero value if they need not.
	Address netip.AddrPort

	revision uint64    // of the key as this process last wrote it; zero when in doubt
	fence    uint64    // zero before this process has got the duty
	until    time.Time // end of validity
	other    record    // as last read, when another process has the duty
}

// Key returns the duty's key in the store.
func (l *Lease) Key() string { return Prefix + l.Duty }

// Valid says whether this process has the duty.
func (l *Lease) Valid(now time.Time) bool { return now.Before(l.until) }

// ValidUntil returns when the lease ends unless it is renewed.
func (l *Lease) ValidUntil() time.Time { return l.until }

// Fence returns the fencing number: the store's revision at which this process
// got the duty. A later holder's is always higher.
func (l *Lease) Fence() uint64 { return l.fence }

// OtherHolder returns the process that had the duty when it was last read, if it was
// another one.
func (l *Lease) OtherHolder() string { return l.other.Holder }

// OtherHolderAddress returns where that process is reached.
func (l *Lease) OtherHolderAddress() netip.AddrPort { return l.other.Address }

// AcquireOrRenew acquires the lease or renews it. The time must be taken before the call.
// A duty that another process has is no error. Errors: the store's; validity then
// stays as it was.
func (l *Lease) AcquireOrRenew(ctx context.Context, now time.Time, store chicoryrock.Store) error {
	prior := l.revision
	if prior == 0 {
		found, mine, err := l.read(ctx, store)
		if err != nil || (found != 0 && !mine) {
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
		l.take(now, revision)
		return nil
	case errors.Is(err, chicoryrock.ErrConflict):
		l.drop()
		return nil
	case errors.Is(err, chicoryrock.ErrUnknownOutcome):
		// Whether the write took effect is read back before the next one. Only a
		// write that was answered makes the lease valid.
		l.revision = 0
	}
	return errors.Wrapf(err, "renew %s", l.Key())
}

// read returns the key's revision, zero when it is free, and whether this process
// has it.
func (l *Lease) read(ctx context.Context, store chicoryrock.Store) (revision uint64, mine bool, err error) {
	entry, err := store.Get(ctx, l.Key())
	if errors.Is(err, chicoryrock.ErrNotFound) {
		l.drop()
		return 0, false, nil
	}
	if err != nil {
		return 0, false, errors.Wrapf(err, "read %s", l.Key())
	}
	var found record
	if err := json.Unmarshal(entry.Value, &found); err != nil {
		return 0, false, errors.Wrapf(chicoryrock.ErrInvalid, "%s: %v", l.Key(), err)
	}
	if found.Holder == l.Holder {
		return entry.Revision, true, nil
	}
	l.drop()
	l.other = found
	return entry.Revision, false, nil
}

func (l *Lease) take(now time.Time, revision uint64) {
	l.revision = revision
	if l.fence == 0 {
		l.fence = revision
	}
	l.until = now.Add(l.TTL - l.TTL/marginPart)
	l.other = record{}
}

// drop gives up what this process knew: another one has the duty or may get it.
func (l *Lease) drop() {
	l.revision = 0
	l.fence = 0
	l.until = time.Time{}
	l.other = record{}
}

// Release gives the duty up, so that another process need not wait for the lease
// to end. Errors: the store's; the lease then ends by itself.
func (l *Lease) Release(ctx context.Context, store chicoryrock.Store) error {
	revision := l.revision
	l.drop()
	if revision == 0 {
		return nil
	}
	return errors.Wrapf(store.Delete(ctx, l.Key(), revision), "release %s", l.Key())
}
