// Package host serves the stand-ins' handlers on a loopback socket and can
// crash and revive them as a machine would.
package host

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/rest"
)

const (
	// HeaderTimeout bounds the reading of a request's header.
	HeaderTimeout = 10 * time.Second
	// relistenPause is the wait between two tries to get the old port back.
	relistenPause = 20 * time.Millisecond
)

// Loopback is the address of a free port on the loopback interface.
func Loopback() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
}

// owned counts the addresses that this process has taken for itself.
var owned atomic.Uint32

// Own returns an address to listen on later. A free port of 127.0.0.1 may be taken
// meanwhile, as any outgoing connection has one; so each call has a loopback address
// that is this process's own, and a port that the system gives to nobody.
func Own() netip.AddrPort {
	const perPort, firstPort = 250, 7100
	n, pid := owned.Add(1), os.Getpid()
	ip := netip.AddrFrom4([4]byte{127, byte(16 + pid%200), byte(pid / 200 % 250), byte(1 + n%perPort)})
	return netip.AddrPortFrom(ip, uint16(firstPort+n/perPort))
}

// build makes a handler of routes, and of one for all other paths.
func build(other http.Handler, routes []rest.Route) (http.Handler, error) {
	// A literal leaves all middlewares off: no shedding, breakers, limits on
	// connections or timeouts that would stand between a test and its fake.
	server, err := rest.NewServer(rest.RestConf{}, rest.WithNotFoundHandler(other))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	server.AddRoutes(routes)
	serverless, err := rest.NewServerless(server)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return http.HandlerFunc(serverless.Serve), nil
}

// Host is the socket of a stand-in, which embeds it. The zero value is ready.
type Host struct {
	mutex    sync.Mutex
	handler  http.Handler
	addr     netip.AddrPort
	listener net.Listener
	server   *http.Server
	closed   bool
	closing  context.Context // ends with Close
	end      context.CancelFunc

	// The server waits for its connections' changes of state when it is closed, which
	// is done under the mutex above.
	tracking sync.Mutex
	conns    map[net.Conn]struct{}
}

// Open listens and serves the routes in the background. Port 0 means any free
// port. A nil handler answers all other paths with status 404.
func (h *Host) Open(listen netip.AddrPort, other http.Handler, routes ...rest.Route) error {
	handler, err := build(other, routes)
	if err != nil {
		return err
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.handler = handler
	h.closing, h.end = context.WithCancel(context.Background())
	return h.listen(listen)
}

// Addr returns the address that the host listens on, also while it is crashed.
func (h *Host) Addr() netip.AddrPort {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.addr
}

// Crash resets all connections, refuses new ones for the given time and then
// listens on the same port again.
func (h *Host) Crash(down time.Duration) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.server == nil {
		return
	}
	h.reset()
	time.AfterFunc(down, h.revive)
}

// Close stops the host and the waits of its calls at once.
func (h *Host) Close() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.closed = true
	if h.end != nil {
		h.end()
	}
	h.reset()
}

// Wait sleeps for a time, or until the host is closed. Only calls that the host
// serves may wait.
func (h *Host) Wait(span time.Duration) {
	if span <= 0 {
		return
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-h.closing.Done():
	}
}

func (h *Host) listen(at netip.AddrPort) error {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", at.String())
	if err != nil {
		return errors.WithStack(err)
	}
	tcp, ok := listener.Addr().(*net.TCPAddr)
	if !ok {
		return errors.Errorf("not a TCP address: %s", listener.Addr())
	}
	h.listener = listener
	h.addr = netip.AddrPortFrom(tcp.AddrPort().Addr().Unmap(), uint16(tcp.Port))
	h.server = &http.Server{
		Handler:           h.handler,
		ReadHeaderTimeout: HeaderTimeout,
		ConnState:         h.track,
	}
	go func(server *http.Server) {
		// Serve always ends with an error; Close and Crash are the only causes.
		_ = server.Serve(listener)
	}(h.server)
	return nil
}

func (h *Host) track(conn net.Conn, state http.ConnState) {
	h.tracking.Lock()
	defer h.tracking.Unlock()
	switch state {
	case http.StateNew:
		if h.conns == nil {
			h.conns = make(map[net.Conn]struct{})
		}
		h.conns[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(h.conns, conn)
	}
}

// reset closes the listener and cuts the connections. Without a linger time the
// kernel sends a reset and drops what is still buffered, as a crash does.
func (h *Host) reset() {
	if h.server == nil {
		return
	}
	h.cut()
	server := h.server
	h.server = nil
	// The server knows its listener only once Serve has begun, which may be later
	// than this.
	_ = h.listener.Close()
	_ = server.Close()
}

func (h *Host) cut() {
	h.tracking.Lock()
	defer h.tracking.Unlock()
	for conn := range h.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	h.conns = nil
}

func (h *Host) revive() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.closed || h.server != nil {
		return
	}
	if err := h.listen(h.addr); err != nil {
		time.AfterFunc(relistenPause, h.revive)
	}
}
