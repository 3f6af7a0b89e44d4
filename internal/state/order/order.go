// Package order orders backend servers from the platform so that a crash, a lost
// answer or a change of the lease holder neither repeats nor forgets an order.
//
// Each order is first an intent in the platform's store, written by
// compare-and-swap under the holder's fencing number, and is sent only after
// that. It states the wanted count of a pool in a data centre, so that a repeat is
// harmless. A new holder waits until what the old one may have sent has arrived,
// takes over every intent under its own number, and sends the open ones again.
//
// What a receiver without a check of fencing numbers leaves open: a holder that
// is paused between its last check of the lease and the first byte of its order,
// for longer than the rest of its lease and SendLimit, sends an old count after
// its successor's. Nothing on the sender's side can exclude that. The wrong count
// stands until the successor states its own again, RepeatInterval at the most. A
// receiver that checks the numbers refuses the old order.
//
// The package does no I/O but through chicoryrock.Store, and takes the present
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
	// Prefix begins the store's key of each intent.
	Prefix = "order/"
	// SendTimeout is the longest time that a sent order may take to arrive: the
	// sender's timeout. A new holder waits as long before its first order.
	SendTimeout = 5 * time.Second
	// ResendInterval is how often a holder states the wanted count again.
	ResendInterval = 30 * time.Second
)

// PoolCentre is a pool in a data centre.
type PoolCentre struct {
	Pool   string
	Centre string
}

// Key returns the store's key of the place's intent.
func (p PoolCentre) Key() string { return Prefix + p.Pool + "/" + p.Centre }

// intent is the value of one key.
type intent struct {
	Order chicoryrock.Order `json:"order"`
	Open  bool              `json:"open"` // not yet known to have arrived
}

// known is an intent as last read or written. Revision zero stands for a key that
// must be read first.
type known struct {
	intent   intent
	revision uint64
	sent     time.Time // when the order last arrived
}

// Intents is one holder's view of the intents. Set the exported fields, then call
// Adopt until it succeeds. It is not safe for concurrent use.
type Intents struct {
	Store     chicoryrock.Store
	Fence     uint64    // of the holder's lease
	HeldSince time.Time // when the holder got the duty

	places  map[PoolCentre]*known
	adopted bool
}

// Ready says whether the holder may send orders: what an earlier holder sent
// before its lease ended has arrived.
func (b *Intents) Ready(now time.Time) bool {
	return b.adopted && now.Sub(b.HeldSince) >= SendTimeout
}

// Load reads every intent. The open ones are due for sending under this holder's
// number. Errors: the store's; chicoryrock.ErrFenced when a newer holder wrote.
func (b *Intents) Load(ctx context.Context) error {
	entries, err := b.Store.List(ctx, Prefix)
	if err != nil {
		return errors.Wrap(err, "read the intents")
	}
	places := make(map[PoolCentre]*known)
	for _, entry := range entries {
		place, found, err := decode(entry)
		if err != nil {
			return err
		}
		if found.intent.Order.Fence > b.Fence {
			return errors.Wrap(chicoryrock.ErrFenced, entry.Key)
		}
		places[place] = found
	}
	b.places = places
	b.adopted = true
	return nil
}

func decode(entry chicoryrock.KeyValue) (PoolCentre, *known, error) {
	pool, centre, split := strings.Cut(strings.TrimPrefix(entry.Key, Prefix), "/")
	found := &known{revision: entry.Revision}
	if err := json.Unmarshal(entry.Value, &found.intent); err != nil || !split {
		return PoolCentre{}, nil, errors.Wrapf(chicoryrock.ErrInvalid, "intent %s", entry.Key)
	}
	return PoolCentre{Pool: pool, Centre: centre}, found, nil
}

// Replicas returns the count that the place's intent states, and whether there is
// one.
func (b *Intents) Replicas(place PoolCentre) (int, bool) {
	known, found := b.places[place]
	if !found {
		return 0, false
	}
	return known.intent.Order.Replicas, true
}

// Due returns the places whose order is to be sent now: the open ones, and those
// stated longest ago.
func (b *Intents) Due(now time.Time) []PoolCentre {
	var due []PoolCentre
	for place := range b.places {
		if b.IsDue(now, place) {
			due = append(due, place)
		}
	}
	slices.SortFunc(due, func(a, b PoolCentre) int { return strings.Compare(a.Key(), b.Key()) })
	return due
}

// IsDue says whether the order of a place that has an intent is to be sent now.
func (b *Intents) IsDue(now time.Time, place PoolCentre) bool {
	known := b.places[place]
	return known.intent.Open || known.intent.Order.Fence != b.Fence || now.Sub(known.sent) >= ResendInterval
}

// WriteIntent writes the intent for a wanted count and returns the order to send. An
// intent that already says the same under this holder's number is not written
// again. Errors: the store's; chicoryrock.ErrFenced when a newer holder wrote.
// After any error nothing may be sent.
func (b *Intents) WriteIntent(ctx context.Context, place PoolCentre, wanted int) (chicoryrock.Order, error) {
	if err := b.refresh(ctx, place); err != nil {
		return chicoryrock.Order{}, err
	}
	known := b.places[place]
	current := known.intent.Order
	if current.Fence == b.Fence && current.Replicas == wanted && known.revision != 0 {
		return current, nil
	}
	next := chicoryrock.Order{Pool: place.Pool, Centre: place.Centre, Replicas: wanted, Fence: b.Fence}
	// The identity grows with each intent of the place, also across holders.
	next.ID = strings.Join([]string{place.Pool, place.Centre, strconv.FormatUint(b.Fence, 10), strconv.FormatUint(known.revision, 10)}, "-")
	if err := b.write(ctx, place, intent{Order: next, Open: true}); err != nil {
		return chicoryrock.Order{}, err
	}
	return next, nil
}

// MarkDelivered notes that an order was taken. A write that fails leaves the intent
// open, so that the order is sent once more.
func (b *Intents) MarkDelivered(ctx context.Context, now time.Time, order chicoryrock.Order) error {
	place := PoolCentre{Pool: order.Pool, Centre: order.Centre}
	known := b.places[place]
	if known == nil || known.intent.Order != order {
		return nil
	}
	known.sent = now
	if !known.intent.Open {
		return nil
	}
	return b.write(ctx, place, intent{Order: order})
}

// refresh reads a place whose key is in doubt.
func (b *Intents) refresh(ctx context.Context, place PoolCentre) error {
	if b.places[place] != nil && b.places[place].revision != 0 {
		return nil
	}
	entry, err := b.Store.Get(ctx, place.Key())
	if errors.Is(err, chicoryrock.ErrNotFound) {
		b.places[place] = &known{}
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read the intent")
	}
	_, found, err := decode(entry)
	if err != nil {
		return err
	}
	if found.intent.Order.Fence > b.Fence {
		return errors.Wrap(chicoryrock.ErrFenced, entry.Key)
	}
	b.places[place] = found
	return nil
}

// write replaces an intent. A lost answer leaves the key in doubt: it is read
// back before the next write.
func (b *Intents) write(ctx context.Context, place PoolCentre, next intent) error {
	value, err := json.Marshal(next)
	if err != nil {
		return errors.WithStack(err)
	}
	known := b.places[place]
	revision, err := b.Store.Put(ctx, chicoryrock.Change{Key: place.Key(), Value: value, PriorRevision: known.revision})
	if err != nil {
		if !errors.Is(err, chicoryrock.ErrUnavailable) {
			known.revision = 0
		}
		return errors.Wrapf(err, "write %s", place.Key())
	}
	known.intent = next
	known.revision = revision
	return nil
}
