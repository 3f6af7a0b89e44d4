package agent

import (
	"net"
	"net/http"

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
// HTTP/1.1 that states a transfer coding, before the client has all of its head.
type engineConn struct {
	net.Conn

	head    []byte // of the answer so far
	checked bool
}

// Read implements net.Conn. Error: web.ErrOldCoding, or the connection's.
func (c *engineConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
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
