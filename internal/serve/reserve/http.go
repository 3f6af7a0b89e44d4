package reserve

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// connKey finds a request's connection in its context.
type connKey struct{}

// Guard lets an HTTP server on a Listener tell the pool which connections serve a request.
// The others are closed where there is no room.
func (p *Pool) Guard(server *http.Server) {
	if p == nil {
		return
	}
	next, told := server.Handler, server.ConnState
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, Find(conn))
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if told != nil {
			told(conn, state)
		}
		if known := Find(conn); known != nil && state == http.StateIdle {
			// It may be being closed already.
			_ = known.End()
		}
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, _ := r.Context().Value(connKey{}).(*Conn); conn != nil && conn.Begin() != nil {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// Find returns the counted connection below another one, or nil.
func Find(conn net.Conn) *Conn {
	for conn != nil {
		if known, ok := conn.(*Conn); ok {
			return known
		}
		outer, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = outer.NetConn()
	}
	return nil
}

// Heads is the account of the heads of requests on counted connections, for package
// inbound. Those that are not counted have no limits.
type Heads struct{}

// Open implements inbound.Account: the pool's listener has decided.
func (Heads) Open(net.Conn) bool { return true }

// Keep implements inbound.Account.
func (Heads) Keep(accepted net.Conn, bytes int) bool {
	known := Find(accepted)
	return known == nil || known.hold.Grow(context.Background(), int64(bytes), 0) == nil
}

// Release implements inbound.Account.
func (Heads) Release(accepted net.Conn, bytes int) {
	if known := Find(accepted); known != nil {
		known.hold.Shrink(int64(bytes))
	}
}

// Closed implements inbound.Account: the connection releases its hold itself.
func (Heads) Closed(net.Conn) {}

// AddressOf returns the address that a request came from; the zero value for none.
func AddressOf(r *http.Request) netip.Addr {
	address, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return address.Addr().Unmap()
}

// lingerTime is how long a caller that is refused may go on sending its body. Closing the
// connection under it at once would reset it, and the answer would be lost with it.
const lingerTime = 500 * time.Millisecond

// Linger sends the answer to a request that was refused before its body was read, and drops
// what still comes of the body, for a short time and up to some bytes. The connection is to
// be closed afterwards.
func Linger(w http.ResponseWriter, r *http.Request, most int64) {
	control := http.NewResponseController(w)
	if control.Flush() != nil || control.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	// Whatever ends the reading, the connection is closed next.
	_, _ = io.CopyN(io.Discard, r.Body, most)
}

// ReadAll reads a body of less than some bytes into a buffer, and reserves more where that
// is too small. Error, besides those of the reader: ErrNoRoom.
func (h *Hold) ReadAll(ctx context.Context, wait time.Duration, buffer []byte, most int64, from io.Reader) ([]byte, error) {
	for {
		if len(buffer) == cap(buffer) {
			old := int64(cap(buffer))
			size := 2 * old
			if size > most-most/8 {
				size = most // a last step for little more would need both buffers again
			}
			// Both buffers are there while the one is copied to the other.
			if err := h.Grow(ctx, size, wait); err != nil {
				return nil, err
			}
			buffer = append(make([]byte, 0, size), buffer...)
			h.Shrink(old)
		}
		n, err := from.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			return buffer, nil
		}
		if err != nil {
			return buffer, errors.WithStack(err)
		}
	}
}
