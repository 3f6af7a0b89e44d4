// Package host serves the stand-ins' handlers on a loopback socket and can
// crash and revive them as a machine would.
package host

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
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

// Routes builds a handler from routes. A nil rest answers all other paths with
// status 404.
func Routes(other http.Handler, routes ...rest.Route) (http.Handler, error) {
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

// Host serves one handler. The exported fields are set before Start.
type Host struct {
	Listen  netip.AddrPort // port 0 means any free port
	Handler http.Handler

	mutex    sync.Mutex
	addr     netip.AddrPort
	listener net.Listener
	server   *http.Server
	conns    map[net.Conn]struct{}
	closed   bool
}

// Start listens and serves in the background.
func (h *Host) Start() error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.listen(h.Listen)
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

// Close stops the host at once.
func (h *Host) Close() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.closed = true
	h.reset()
}

// Run serves until the context ends. It calls ready once it listens.
func (h *Host) Run(ctx context.Context, ready func(netip.AddrPort)) error {
	if err := h.Start(); err != nil {
		return err
	}
	ready(h.Addr())
	<-ctx.Done()
	h.Close()
	return nil
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
	h.conns = make(map[net.Conn]struct{})
	h.server = &http.Server{
		Handler:           h.Handler,
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
	h.mutex.Lock()
	defer h.mutex.Unlock()
	switch state {
	case http.StateNew:
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
	for conn := range h.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	server := h.server
	h.server = nil
	h.conns = make(map[net.Conn]struct{})
	// The server knows its listener only once Serve has begun, which may be later
	// than this.
	_ = h.listener.Close()
	_ = server.Close()
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
