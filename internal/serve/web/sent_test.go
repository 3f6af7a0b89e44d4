package web

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// endingConn is a connection whose answer ends. Its writes wait until they may not any longer.
type endingConn struct {
	net.Conn

	began   chan struct{} // closed as a write begins
	late    chan struct{} // closed as writes may not wait any longer
	failure error         // of a write that doesn't wait
}

func (c *endingConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *endingConn) Write(p []byte) (int, error) {
	if c.late == nil {
		return len(p), c.failure
	}
	close(c.began)
	<-c.late
	return 0, os.ErrDeadlineExceeded
}

func (c *endingConn) SetWriteDeadline(time.Time) error {
	if c.late != nil {
		close(c.late)
	}
	return nil
}

// Guards against the end of a connection that passes for that of an answer, as a reset was told to
// the writer of the request.
func TestEndOfConnectionThatFailedToWrite(t *testing.T) {
	cases := []struct {
		name string
		conn *endingConn
		want error
	}{
		{"written", &endingConn{}, io.EOF},
		{"reset", &endingConn{failure: syscall.ECONNRESET}, ErrUnsent},
		{"waiting for room", &endingConn{began: make(chan struct{}), late: make(chan struct{})}, ErrUnsent},
	}
	for _, c := range cases {
		conn := &sentConn{Conn: c.conn}
		if c.conn.late == nil {
			_, _ = conn.Write([]byte("x"))
		} else {
			go func() { _, _ = conn.Write([]byte("x")) }()
			<-c.conn.began
		}
		_, err := conn.Read(make([]byte, 1))
		require.ErrorIs(t, err, c.want, c.name)
	}
}
