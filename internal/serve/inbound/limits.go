package inbound

import (
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
)

// SetReadDeadline implements net.Conn. The package's own deadline holds besides.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.limit = t
	return c.setRead()
}

// setOwn sets the package's own deadline for reading.
func (c *conn) setOwn(t time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.own = t
	// It fails on a closed connection only, which the next read finds.
	_ = c.setRead()
}

// setRead puts the earlier deadline in force, under the mutex. The server often sets one
// again that is in force, and each change costs.
func (c *conn) setRead() error {
	deadline := earlier(c.limit, c.own)
	if deadline.Equal(c.readSet) {
		return nil
	}
	c.readSet = deadline
	return errors.WithStack(c.Conn.SetReadDeadline(deadline))
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if t.IsZero() && !c.writeSet.IsZero() && !c.writeSet.Equal(c.writeTill) {
		c.writeTill = t // the package's own deadline stays
		return nil
	}
	c.writeTill, c.writeSet = t, t
	return errors.WithStack(c.Conn.SetWriteDeadline(t))
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// Write implements net.Conn. Each piece must be taken in the bounds' time.
func (c *conn) Write(data []byte) (written int, err error) {
	for {
		n := min(len(data), writePiece)
		c.limitWrite(time.Now())
		n, err = c.Conn.Write(data[:n])
		written += n
		data = data[n:]
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				c.tell(ErrUnread)
			}
			return written, err //nolint:wrapcheck // the server looks at the error of a write itself
		}
		if len(data) == 0 {
			return written, nil
		}
	}
}

// limitWrite sets the deadline for a piece. One that is set and still leaves half of the
// time is kept, as each change costs.
func (c *conn) limitWrite(now time.Time) {
	unread := c.bounds.UnreadTime
	if unread <= 0 {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	want := earlier(c.writeTill, now.Add(unread))
	if !c.writeSet.IsZero() && !c.writeSet.After(want) && (c.writeSet.Equal(c.writeTill) || c.writeSet.Sub(now) > unread/2) {
		return
	}
	c.writeSet = want
	_ = c.Conn.SetWriteDeadline(want)
}

// keep asks the account for bytes.
func (c *conn) keep(bytes int) bool {
	account := c.listener.Account
	if account == nil {
		return true
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed || !account.Keep(c.Conn, bytes) {
		return false
	}
	c.kept += bytes
	return true
}

// release gives up the turn of the request and the bytes kept for it, but for some.
func (c *conn) release(but int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.leaveTurn()
	if c.kept > but {
		c.listener.Account.Release(c.Conn, c.kept-but)
		c.kept = but
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mutex.Lock()
	first := !c.closed
	c.closed = true
	c.mutex.Unlock()
	if first {
		c.release(0)
		if account := c.listener.Account; account != nil {
			account.Closed(c.Conn)
		}
	}
	return c.Conn.Close() //nolint:wrapcheck // callers look for net.ErrClosed
}

// NetConn returns the connection that was accepted.
func (c *conn) NetConn() net.Conn { return c.Conn }

// SetLinger sets what a close does with data that has not been sent, as that of a
// net.TCPConn does.
func (c *conn) SetLinger(seconds int) error {
	inner, found := c.Conn.(interface{ SetLinger(seconds int) error })
	if !found {
		return errors.New("the connection has no time to linger")
	}
	return errors.WithStack(inner.SetLinger(seconds))
}

// CloseWrite ends the sending side, so that a caller that still sends can read its answer.
func (c *conn) CloseWrite() error {
	half, found := c.Conn.(interface{ CloseWrite() error })
	if !found {
		return errors.Errorf("%T has no sending side", c.Conn)
	}
	return errors.WithStack(half.CloseWrite())
}
