package upstream

import (
	"net/netip"
)

// reserve counts a connection that is about to be opened. Where there are too many to the
// address or in all, an idle one that was not fit for the request makes room.
func (c *Client) reserve(call *Call) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if call.Most > 0 && c.open[call.Address] >= call.Most && !c.spare(call.Address) {
		return false
	}
	if c.Most > 0 && c.total >= c.Most && !c.spareAny() {
		return false
	}
	if c.open == nil {
		c.open = make(map[netip.AddrPort]int)
	}
	c.open[call.Address]++
	c.total++
	return true
}

// spare closes the connection to an address that has been idle for longest. The lock is
// held.
func (c *Client) spare(address netip.AddrPort) bool {
	list := c.idle[address]
	if len(list) == 0 {
		return false
	}
	if c.idle[address] = list[1:]; len(list) == 1 {
		delete(c.idle, address)
	}
	c.drop(list[0])
	return true
}

// spareAny closes the connection that has been idle for longest. The lock is held.
func (c *Client) spareAny() bool {
	var oldest netip.AddrPort
	for address, list := range c.idle {
		if known := c.idle[oldest]; len(list) > 0 && (len(known) == 0 || list[0].since.Before(known[0].since)) {
			oldest = address
		}
	}
	return c.spare(oldest)
}

// release counts a connection that is closed.
func (c *Client) release(address netip.AddrPort) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.uncount(address)
}

func (c *Client) uncount(address netip.AddrPort) {
	c.total--
	if c.open[address]--; c.open[address] <= 0 {
		delete(c.open, address)
	}
}
