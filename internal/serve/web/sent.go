package web

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// ErrUnsent says that a connection has ended before the request was sent whole, so that its end
// isn't that of an answer. It matches io.ErrUnexpectedEOF.
var ErrUnsent = errors.WithMessage(io.ErrUnexpectedEOF, "the connection ended before the request was sent whole")

// Arrived reports whether all that was written to a TCP connection has reached the other side's
// kernel. What is in this one's is lost if the other side has closed. Connections of other kinds
// count as arrived.
func Arrived(conn net.Conn) bool {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	waiting, failure := 0, error(nil)
	err = raw.Control(func(fd uintptr) { waiting, failure = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
	return err == nil && failure == nil && waiting == 0
}

// sentConn is a connection that ends with an error if what was written has failed or has not
// arrived. A reset is told once, and the transport may believe that it has sent a request whose
// last bytes are still in its buffer.
type sentConn struct {
	net.Conn

	writing sync.Mutex
	failure error // of a write
}

// Write implements net.Conn.
func (c *sentConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil {
		c.failure = err
	}
	return n, err
}

// Read implements net.Conn. Error: ErrUnsent, or the connection's.
func (c *sentConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.end(err)
	}
	return n, err
}

// end returns ErrUnsent, or else the error of the read which has found the connection's end.
func (c *sentConn) end(err error) error {
	// A write that waits for room fails now.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	switch {
	case c.failure != nil:
		return errors.WithMessage(ErrUnsent, c.failure.Error())
	case !Arrived(c.Conn):
		return errors.WithStack(ErrUnsent)
	}
	return err
}
