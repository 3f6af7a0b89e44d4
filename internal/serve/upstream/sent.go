package upstream

import (
	"time"

	"github.com/chicoryrock/chicoryrock/internal/serve/web"
)

// Sent says whether the request has been sent to its end.
func (a *Answer) Sent() bool {
	from, known := a.Body.(*body)
	return !known || from.conn.wrote == nil || len(from.conn.wrote) > 0
}

// endSend ends the sending of a request, and reports whether all of it had reached the server's
// side. A reset of the connection is told once: if the sender gets it, the reader sees a plain end.
func (c *conn) endSend() bool {
	if c.wrote != nil {
		// A write that waits for room fails now. One that the kernel has taken whole doesn't.
		_ = c.SetWriteDeadline(time.Unix(1, 0))
		err := <-c.wrote
		c.wrote <- err
		if err != nil {
			return false
		}
	}
	return web.Arrived(c.Conn)
}
