// Package order orders backend servers from the platform so that no order is
// lost or takes effect twice when a process crashes, an answer is lost or the
// lease holder changes.
//
// Each order is first stored as an intent in the platform's store, written by
// compare-and-swap under the holder's fencing number, and only then sent. It
// states the wanted count of a pool in a data centre, so that it is idempotent. A
// new holder waits until the orders that the old one may have sent have arrived,
// takes over every intent under its own number, and sends the open ones again.
//
// One case remains with a receiver that does not check fencing numbers: a holder
// that is paused between its last check of the lease and the first byte of its
// order, for longer than the rest of its lease and SendTimeout, sends an old count
// after its successor's. The sender cannot prevent that. The wrong count stands
// until the successor sends its own again, for ResendInterval at most. A receiver
// that checks the numbers refuses the old order.
//
// The package does I/O through chicoryrock.Store only, and takes the current
// time as an argument.
package order

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

const (
	// Prefix is the prefix of the intents' keys in the store.
	Prefix = "order/"
	// SendTimeout is the longest time that a sent order may take to arrive: the
	// sender's timeout. A new holder waits as long before its first order.
	SendTimeout = 5 * time.Second
	// ResendInterval is how often a holder sends the wanted count again.
	ResendInterval = 30 * time.Second
)

// PoolCentre is a pool in a data centre, below called a place.
type PoolCentre struct {
	Pool   string
	Centre string
}

// Key returns the store's key of the place's intent.
func (p PoolCentre) Key() string { return Prefix + p.Pool + "/" + p.Centre }

// intent is the value of one key.
type intent struct {
	Order chicoryrock.Order `json:"order"`
	Open  bool              `json:"open"` // not recorded as delivered
}

// cachedIntent is an intent as last read or written.
type cachedIntent struct {
	intent      intent
	revision    uint64    // zero if not known: the key must be read first
	deliveredAt time.Time // when the order last arrived
}

// Intents is one holder's view of the intents. Set the exported fields, then call
// Load until it succeeds. It is not safe for concurrent use.
type Intents struct {
	Store     chicoryrock.Store
	Fence     uint64    // of the holder's lease
	HeldSince time.Time // when the holder acquired its lease

	places map[PoolCentre]*cachedIntent
	loaded bool
}

// Ready reports whether the holder may send orders: the intents are loaded, and
// the orders that an earlier holder sent before its lease ended have arrived.
func (i *Intents) Ready(now time.Time) bool {
	return i.loaded && now.Sub(i.HeldSince) >= SendTimeout
}

// Load reads every intent. The open ones are then due under this holder's number.
// Errors: the store's; chicoryrock.ErrFenced if a newer holder has written an
// intent.
func (i *Intents) Load(ctx context.Context) error {
	entries, err := i.Store.List(ctx, Prefix)
	if err != nil {
		return errors.Wrap(err, "read the intents")
	}
	places := make(map[PoolCentre]*cachedIntent)
	for _, entry := range entries {
		place, found, err := decode(entry)
		if err != nil {
			return err
		}
		if found.intent.Order.Fence > i.Fence {
			return errors.Wrap(chicoryrock.ErrFenced, "intent "+entry.Key)
		}
		places[place] = found
	}
	i.places = places
	i.loaded = true
	return nil
}

func decode(entry chicoryrock.KeyValue) (PoolCentre, *cachedIntent, error) {
	pool, centre, split := strings.Cut(strings.TrimPrefix(entry.Key, Prefix), "/")
	found := &cachedIntent{revision: entry.Revision}
	if err := json.Unmarshal(entry.Value, &found.intent); err != nil || !split {
		return PoolCentre{}, nil, errors.Wrapf(chicoryrock.ErrInvalid, "malformed intent %s", entry.Key)
	}
	return PoolCentre{Pool: pool, Centre: centre}, found, nil
}

// Replicas returns the count that the place's intent states, and whether there is
// an intent.
func (i *Intents) Replicas(place PoolCentre) (int, bool) {
	cached, found := i.places[place]
	if !found {
		return 0, false
	}
	return cached.intent.Order.Replicas, true
}

// Due returns the places for which IsDue is true, sorted by key.
func (i *Intents) Due(now time.Time) []PoolCentre {
	var due []PoolCentre
	for place := range i.places {
		if i.IsDue(now, place) {
			due = append(due, place)
		}
	}
	slices.SortFunc(due, func(a, b PoolCentre) int { return strings.Compare(a.Key(), b.Key()) })
	return due
}

// IsDue reports whether the order of a place is to be sent now: its intent is open
// or another holder's, or the order was last delivered at least ResendInterval
// ago. The place must have an intent.
func (i *Intents) IsDue(now time.Time, place PoolCentre) bool {
	cached := i.places[place]
	return cached.intent.Open || cached.intent.Order.Fence != i.Fence || now.Sub(cached.deliveredAt) >= ResendInterval
}

// WriteIntent writes the intent for a wanted count and returns the order to send. An
// intent that already states the same under this holder's number is not written
// again. Errors: the store's; chicoryrock.ErrFenced if a newer holder has written
// the intent. After any error nothing may be sent.
func (i *Intents) WriteIntent(ctx context.Context, place PoolCentre, wanted int) (chicoryrock.Order, error) {
	if err := i.refresh(ctx, place); err != nil {
		return chicoryrock.Order{}, err
	}
	cached := i.places[place]
	current := cached.intent.Order
	if current.Fence == i.Fence && current.Replicas == wanted && cached.revision != 0 {
		return current, nil
	}
	next := chicoryrock.Order{Pool: place.Pool, Centre: place.Centre, Replicas: wanted, Fence: i.Fence}
	// The fence grows with each holder and the revision with each write, so that every
	// intent of the place has its own ID.
	next.ID = strings.Join([]string{place.Pool, place.Centre, strconv.FormatUint(i.Fence, 10), strconv.FormatUint(cached.revision, 10)}, "-")
	if err := i.write(ctx, place, intent{Order: next, Open: true}); err != nil {
		return chicoryrock.Order{}, err
	}
	return next, nil
}

// MarkDelivered records that the receiver accepted an order. If the write fails,
// the intent stays open, so that the order is sent once more.
func (i *Intents) MarkDelivered(ctx context.Context, now time.Time, order chicoryrock.Order) error {
	place := PoolCentre{Pool: order.Pool, Centre: order.Centre}
	cached := i.places[place]
	if cached == nil || cached.intent.Order != order {
		return nil
	}
	cached.deliveredAt = now
	if !cached.intent.Open {
		return nil
	}
	return i.write(ctx, place, intent{Order: order})
}

// refresh reads a place's intent from the store if its revision is not known.
func (i *Intents) refresh(ctx context.Context, place PoolCentre) error {
	if i.places[place] != nil && i.places[place].revision != 0 {
		return nil
	}
	entry, err := i.Store.Get(ctx, place.Key())
	if errors.Is(err, chicoryrock.ErrNotFound) {
		i.places[place] = &cachedIntent{}
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read intent "+place.Key())
	}
	_, found, err := decode(entry)
	if err != nil {
		return err
	}
	if found.intent.Order.Fence > i.Fence {
		return errors.Wrap(chicoryrock.ErrFenced, "intent "+entry.Key)
	}
	i.places[place] = found
	return nil
}

// write replaces an intent. After a lost answer the key's revision is not known:
// the key is read again before the next write.
func (i *Intents) write(ctx context.Context, place PoolCentre, next intent) error {
	value, err := json.Marshal(next)
	if err != nil {
		return errors.WithStack(err)
	}
	cached := i.places[place]
	revision, err := i.Store.Put(ctx, chicoryrock.Change{Key: place.Key(), Value: value, PriorRevision: cached.revision})
	if err != nil {
		if !errors.Is(err, chicoryrock.ErrUnavailable) {
			cached.revision = 0
		}
		return errors.Wrapf(err, "write %s", place.Key())
	}
	cached.intent = next
	cached.revision = revision
	return nil
}
