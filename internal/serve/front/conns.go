package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// conns ends callers' connections on which a header takes longer, or which stay
// idle longer, than the operator's configuration allows. The server's own limits
// can't change while it runs.
type conns struct {
	mutex  sync.Mutex
	timers map[net.Conn]*time.Timer
}

// connKey finds a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connState is told what becomes of a connection. It is active from a request's
// first byte on.
func (f *Front) connState(conn net.Conn, state http.ConnState) {
	table := f.Table()
	limit := time.Duration(0)
	switch {
	case table == nil:
	case state == http.StateNew || state == http.StateIdle:
		limit = table.Limits.IdleTimeout
	case state == http.StateActive:
		limit = table.Limits.HeaderTimeout
	}
	f.conns.limit(conn, limit)
}

// limit closes a connection after a time, in place of what was set before; never
// when it is zero.
func (c *conns) limit(conn net.Conn, after time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if timer, found := c.timers[conn]; found {
		timer.Stop()
		delete(c.timers, conn)
	}
	if after <= 0 {
		return
	}
	if c.timers == nil {
		c.timers = make(map[net.Conn]*time.Timer)
	}
	c.timers[conn] = time.AfterFunc(after, func() { _ = conn.Close() })
}

// headerRead ends the time for a request's header.
func (f *Front) headerRead(r *http.Request) {
	if conn, found := r.Context().Value(connKey{}).(net.Conn); found {
		f.conns.limit(conn, 0)
	}
}
