package duty

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/state/order"
)

const (
	// OrdersDuty is the duty of ordering backend servers.
	OrdersDuty = "orders"
	// orderInterval is how often the wanted counts are worked out.
	orderInterval = time.Second
	// storeTimeout bounds one reading or writing of the store.
	storeTimeout = 2 * time.Second
)

// WantedFunc returns how many backend servers each place should have. Places that
// it leaves out keep what they have.
type WantedFunc func(now time.Time) map[order.PoolCentre]int

// Orders orders backend servers while this process has the duty. Its Work is for
// a Holder. Set the exported fields before.
type Orders struct {
	Store   chicoryrock.Store
	Orderer chicoryrock.Orderer
	Wanted  WantedFunc
	Log     *event.Log
}

// Work orders until its context ends.
func (o *Orders) Work(ctx context.Context, grant Grant) {
	book := &order.Intents{Store: o.Store, Fence: grant.Fence, HeldSince: time.Now()}
	ticker := time.NewTicker(orderInterval)
	defer ticker.Stop()
	for {
		if err := o.step(ctx, grant, book); err != nil && ctx.Err() == nil {
			o.Log.Write(event.OrderFailed, zap.Uint64("fence", grant.Fence), zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// step sends what is due. One place that fails does not hold up the others; the
// first error is returned.
func (o *Orders) step(ctx context.Context, grant Grant, book *order.Intents) error {
	now := time.Now()
	if !book.Ready(now) {
		return o.adopt(ctx, book)
	}
	wanted := o.Wanted(now)
	var first error
	for _, place := range book.Due(now) {
		if _, found := wanted[place]; !found {
			wanted[place], _ = book.Replicas(place)
		}
	}
	for place, count := range wanted {
		if !due(now, book, place, count) {
			continue
		}
		if err := o.order(ctx, grant, book, place, count); err != nil && first == nil {
			first = err
		}
	}
	return first
}

func due(now time.Time, book *order.Intents, place order.PoolCentre, count int) bool {
	stated, found := book.Replicas(place)
	return !found || stated != count || book.IsDue(now, place)
}

func (o *Orders) adopt(ctx context.Context, book *order.Intents) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return book.Load(ctx)
}

func (o *Orders) order(ctx context.Context, grant Grant, book *order.Intents, place order.PoolCentre, count int) error {
	ctx, cancel := context.WithTimeout(ctx, order.SendTimeout)
	defer cancel()
	next, err := book.WriteIntent(ctx, place, count)
	if err != nil {
		return err
	}
	if !grant.Valid(time.Now()) {
		return errors.Wrap(chicoryrock.ErrFenced, "the lease has ended")
	}
	if err := o.Orderer.Order(ctx, next); err != nil {
		return err
	}
	return book.MarkDelivered(ctx, time.Now(), next)
}
