package agent

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
)

// probeTimeout bounds the look whether the engine still listens.
const probeTimeout = 200 * time.Millisecond

// crashes counts the crashes of the engine. All requests that fail in one crash
// get the same number, so that entries can tell one crash from two.
type crashes struct {
	name   string // of this agent
	engine netip.AddrPort

	mu    sync.Mutex
	down  bool
	count int
	alone bool // one request ran when the engine went down
}

// failed is told of a request that the engine did not answer to its end, and says
// whether the engine has crashed. A connection that was only cut is no crash: the
// engine still listens then.
func (c *crashes) failed(running int) (wire.Crash, bool) {
	listens := c.listens()
	c.mu.Lock()
	defer c.mu.Unlock()
	if listens {
		c.down = false
		return wire.Crash{}, false
	}
	if !c.down {
		c.down = true
		c.count++
		c.alone = running <= 1
	}
	return wire.Crash{Name: fmt.Sprintf("%s/%d", c.name, c.count), Alone: c.alone}, true
}

// answered is told that the engine works.
func (c *crashes) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = false
}

func (c *crashes) listens() bool {
	// The probe goes on when the request that asked for it has ended.
	dialer := &net.Dialer{Timeout: probeTimeout}
	conn, err := dialer.DialContext(context.Background(), "tcp", c.engine.String())
	if err != nil {
		return false
	}
	// Nothing was sent over the probe.
	_ = conn.Close()
	return true
}
