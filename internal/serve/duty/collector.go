package duty

import (
	"context"
	"crypto/tls"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/serve/peer"
	"github.com/chicoryrock/chicoryrock/internal/state/usage"
)

const (
	// UsageDuty is the duty of collecting and reporting usage.
	UsageDuty = "usage"
	// graceParts is the part of a window that the collector waits after its end, and
	// after it has got the duty, for cells on their way.
	graceParts = 5
	// keptWindows is how many seals stay in the store.
	keptWindows = 288
)

// Collector merges the cells of all ends, seals windows and reports them while
// this process has the duty. Its Work is for a Holder. In other entries it passes
// cells on to the process that has the duty. Set the exported fields before.
type Collector struct {
	Store  chicoryrock.Store
	Intake chicoryrock.Intake
	Window time.Duration         // length of a window
	Holder func() netip.AddrPort // peer address of the process that has the duty, as far as known
	TLS    *tls.Config           // towards peers; nil for plain connections
	Log    *event.Log

	mu     sync.Mutex
	ledger *usage.Ledger // nil while another process has the duty
	next   *peer.Client
}

// Work collects until its context ends.
func (c *Collector) Work(ctx context.Context, grant Grant) {
	ready := time.Now().Add(c.Window / graceParts)
	ticker := time.NewTicker(c.Window / flushParts)
	defer ticker.Stop()
	defer c.put(nil)
	ledger := &usage.Ledger{}
	for {
		if err := c.step(ctx, grant, ledger, ready); err != nil && ctx.Err() == nil {
			c.Log.Write(event.UsageFailed, zap.Uint64("fence", grant.Fence), zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (c *Collector) put(ledger *usage.Ledger) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger = ledger
}

// step seals the windows that have ended and reports what is sealed.
func (c *Collector) step(ctx context.Context, grant Grant, ledger *usage.Ledger, ready time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, c.Window)
	defer cancel()
	now := time.Now()
	if err := c.load(ctx, now, ledger); err != nil {
		return err
	}
	c.put(ledger)
	if now.Before(ready) {
		return nil
	}
	last := usage.WindowAt(now.Add(-c.Window/graceParts), c.Window) - 1
	for grant.Valid(time.Now()) && c.sealed() < last {
		if err := c.close(ctx, ledger, grant.Fence); err != nil {
			return err
		}
	}
	if err := ledger.SaveProgress(ctx, c.Store); err != nil {
		return err
	}
	valid := func() bool { return grant.Valid(time.Now()) }
	if err := usage.SendReports(ctx, c.Store, c.Intake, c.Window, grant.Fence, valid); err != nil {
		return err
	}
	return usage.DeleteWindow(ctx, c.Store, c.sealed()-keptWindows)
}

func (c *Collector) sealed() usage.Window {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ledger == nil {
		return 0
	}
	return c.ledger.LastSealed()
}

// load and close hold the lock during calls to the store: cells that come
// meanwhile wait, or are sent again.
func (c *Collector) load(ctx context.Context, now time.Time, ledger *usage.Ledger) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ledger.Load(ctx, c.Store, usage.WindowAt(now, c.Window))
}

func (c *Collector) close(ctx context.Context, ledger *usage.Ledger, fence uint64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ledger.SealNextWindow(ctx, c.Store, fence)
}

// Handle answers MethodUsage.
func (c *Collector) Handle(ctx context.Context, params UsageParams) (any, error) {
	return c.Take(ctx, params)
}

// Take merges cells, or passes them on once to the process that has the duty.
// Errors: chicoryrock.ErrUnavailable when none is known; the peer's.
func (c *Collector) Take(ctx context.Context, params UsageParams) (*UsageReply, error) {
	if reply, merged := c.merge(params.Cells); merged {
		return reply, nil
	}
	address := c.Holder()
	if params.Relayed || !address.IsValid() {
		return nil, errors.Wrap(chicoryrock.ErrUnavailable, "no collector of usage is known")
	}
	params.Relayed = true
	reply := &UsageReply{}
	err := c.towards(address).Call(ctx, MethodUsage, params, reply)
	return reply, err
}

func (c *Collector) merge(cells []usage.Cell) (*UsageReply, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ledger == nil {
		return nil, false
	}
	return &UsageReply{Billed: c.ledger.Merge(cells)}, true
}

func (c *Collector) towards(address netip.AddrPort) *peer.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil || c.next.Address != address {
		if c.next != nil {
			c.next.Close()
		}
		c.next = &peer.Client{Address: address, TLS: c.TLS}
	}
	return c.next
}
