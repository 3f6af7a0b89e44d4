package reserve

import (
	"net"
	"net/netip"
	"syscall"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock/internal/policy/memory"
)

// Listener returns a listener whose connections are counted. One that finds no room is
// closed at once, or takes the place of an idle one of a caller that has more.
func (p *Pool) Listener(listener net.Listener) net.Listener {
	if p == nil {
		return listener
	}
	return &counted{listener, p}
}

type counted struct {
	net.Listener
	pool *Pool
}

// Accept implements net.Listener.
func (l *counted) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		closes := func() { _ = accepted.Close() }
		hold, err := l.pool.Connection(addressOf(accepted), closes)
		if err != nil {
			// Nothing has been read that could be answered.
			closes()
			continue
		}
		return &Conn{Conn: accepted, hold: hold, closes: closes}, nil
	}
}

// Conn is a counted connection.
type Conn struct {
	net.Conn
	hold   *Hold
	closes func()
}

// Hold returns the connection's room, to be grown by what is kept of a head.
func (c *Conn) Hold() *Hold { return c.hold }

// Address returns the peer's address.
func (c *Conn) Address() netip.Addr { return addressOf(c.Conn) }

// Begin notes that the connection's request has been read, and End that it is over: a
// connection is closed to make room only where no request is being served.
func (c *Conn) Begin() error { return c.hold.Move(memory.Connection, c.closes) }

// End notes that the connection is idle again.
func (c *Conn) End() error { return c.hold.Move(memory.Idle, c.closes) }

// SyscallConn returns the socket, as a net.TCPConn does.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.Errorf("%T is no socket", c.Conn)
	}
	raw, err := socket.SyscallConn()
	return raw, errors.WithStack(err)
}

// SetLinger sets what a close does with data that has not been sent, as that of a
// net.TCPConn does.
func (c *Conn) SetLinger(seconds int) error {
	inner, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return errors.New("the connection has no time to linger")
	}
	return errors.WithStack(inner.SetLinger(seconds))
}

// CloseWrite ends the sending side, as that of a net.TCPConn does.
func (c *Conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.Errorf("%T has no sending side", c.Conn)
	}
	return errors.WithStack(half.CloseWrite())
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.hold.Release()
	return err
}
