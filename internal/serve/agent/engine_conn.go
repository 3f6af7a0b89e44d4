package agent

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock/internal/serve/web"
)

// maxHead is how much of an answer is searched for the end of its head, in bytes. The client
// reads no longer heads.
const maxHead = 1 << 20

// newEngineClient returns the client for the engine.
func newEngineClient() *http.Client {
	return web.NewClientOver(nil, func(conn net.Conn) net.Conn { return &engineConn{Conn: conn} })
}

// engineConn is a connection for one request. It fails at an answer of a version before
// HTTP/1.1 that states a transfer coding, before the client has all of its head; and at its end,
// if a write has failed or has not reached the engine's side. A reset is told once, and the client
// may believe that it has sent a request whose last bytes are still in its buffer.
type engineConn struct {
	net.Conn

	head    []byte // of the answer so far
	checked bool

	writing sync.Mutex
	failure error // of a write
}

// Write implements net.Conn.
func (c *engineConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil {
		c.failure = err
	}
	return n, err
}

// Read implements net.Conn. Error: web.ErrOldCoding, or the connection's.
func (c *engineConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.end(err)
	}
	if c.checked || n == 0 {
		return n, err
	}
	c.head = append(c.head, p[:n]...)
	states, whole := web.StatesCoding(c.head)
	switch {
	case !web.MayBeOld(c.head), whole && !states, len(c.head) > maxHead:
		c.head, c.checked = nil, true
	case states:
		return 0, errors.WithStack(web.ErrOldCoding)
	}
	return n, err
}

// end returns the error of what was written, or else that of the read which has found the
// connection's end.
func (c *engineConn) end(err error) error {
	// A write that waits for room fails now.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	switch {
	case c.failure != nil:
		return c.failure
	case !web.Arrived(c.Conn):
		return errors.WithStack(web.ErrUnsent)
	}
	return err
}
