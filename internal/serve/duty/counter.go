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
	// MethodUsage is the peers' method that takes usage cells to the collector.
	MethodUsage = "usage.add"
	// flushParts is how many times in a window an end sends its cells.
	flushParts = 20
	// flushTimeout bounds one sending.
	flushTimeout = 3 * time.Second
	// maxFlush is how many cells share a message.
	maxFlush = 10_000
	// maxAsked is how many peers are tried before a sending counts as failed.
	maxAsked = 3
)

// UsageParams carries cells of one end.
type UsageParams struct {
	Cells   []usage.Cell `json:"cells"`
	Relayed bool         `json:"relayed,omitempty"` // by a peer that is not the collector
}

// UsageReply says which of the cells are in a seal, by their places in the list.
type UsageReply struct {
	Billed []int `json:"billed"`
}

// Counter counts usage at one end, an entry or an agent, and sends it to the
// collector. Set the exported fields, then call Run.
type Counter struct {
	Process string        // this process's name, never used by another one before
	Window  time.Duration // length of a window
	Sources func() []netip.AddrPort
	Local   func(ctx context.Context, params UsageParams) (*UsageReply, error) // in an entry: itself; else nil
	TLS     *tls.Config                                                        // towards peers; nil for plain connections
	Log     *event.Log

	mu    sync.Mutex
	tally usage.Counter
	peers map[netip.AddrPort]*peer.Client
}

// Add counts usage under a key.
func (c *Counter) Add(key usage.Key, counts usage.Counts) {
	if counts == (usage.Counts{}) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally.Add(key, counts)
}

// Run sends the cells until the context ends, and then once more.
func (c *Counter) Run(ctx context.Context) error {
	c.peers = make(map[netip.AddrPort]*peer.Client)
	defer c.close()
	ticker := time.NewTicker(c.Window / flushParts)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
		c.flush(context.WithoutCancel(ctx))
	}
	return nil
}

func (c *Counter) close() {
	for _, client := range c.peers {
		client.Close()
	}
}

func (c *Counter) flush(ctx context.Context) {
	c.mu.Lock()
	cells := c.tally.Pending(usage.WindowAt(time.Now(), c.Window))
	c.mu.Unlock()
	for len(cells) > 0 {
		group := cells[:min(len(cells), maxFlush)]
		cells = cells[len(group):]
		reply, err := c.send(ctx, UsageParams{Cells: group})
		if err != nil {
			c.Log.Write(event.UsageKept, zap.Int("cells", len(group)), zap.Error(err))
			return
		}
		c.mu.Lock()
		c.tally.MarkSealed(group, reply.Billed)
		c.mu.Unlock()
	}
}

// send gives cells to the collector, directly or through the first peer that
// knows it.
func (c *Counter) send(ctx context.Context, params UsageParams) (*UsageReply, error) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	err := errors.Wrap(chicoryrock.ErrUnavailable, "no peer to send usage to")
	if c.Local != nil {
		var reply *UsageReply
		if reply, err = c.Local(ctx, params); err == nil {
			return reply, nil
		}
	}
	sources := c.Sources()
	for _, source := range sources[:min(len(sources), maxAsked)] {
		reply := &UsageReply{}
		if err = c.client(source).Call(ctx, MethodUsage, params, reply); err == nil {
			return reply, nil
		}
	}
	return nil, err
}

func (c *Counter) client(address netip.AddrPort) *peer.Client {
	client, found := c.peers[address]
	if !found {
		client = &peer.Client{Address: address, TLS: c.TLS}
		c.peers[address] = client
	}
	return client
}
