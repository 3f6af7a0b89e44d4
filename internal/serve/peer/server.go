package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/netip"
	"sync"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/serve/guard"
	"github.com/chicoryrock/chicoryrock/internal/serve/reserve"
)

// maxCalls bounds the calls of one connection that are worked on at once.
const maxCalls = 64

// Handler answers one method. The result is sent as JSON.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Typed makes a handler of a function that takes its parameters decoded. Those that
// can't be decoded are answered with chicoryrock.ErrInvalid.
func Typed[T any](handle func(ctx context.Context, params T) (any, error)) Handler {
	return func(ctx context.Context, data json.RawMessage) (any, error) {
		var params T
		if err := json.Unmarshal(data, &params); err != nil {
			return nil, errors.Wrap(chicoryrock.ErrInvalid, err.Error())
		}
		return handle(ctx, params)
	}
}

// Server answers the calls of other processes. Set the exported fields, then
// call Run.
type Server struct {
	Listen   netip.AddrPort
	TLS      *tls.Config // nil for plain connections
	Handlers map[string]Handler
	Log      *event.Log
	Room     *reserve.Pool // for connections; nil for no limits

	listener net.Listener
	mu       sync.Mutex
	conns    map[*jsonrpc2.Conn]struct{}
	answers  answers
}

// Open binds the listener, so that the address is known before Run.
func (s *Server) Open() (netip.AddrPort, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", s.Listen.String())
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "listen for peers")
	}
	s.listener = s.Room.Listener(listener)
	return netip.MustParseAddrPort(listener.Addr().String()), nil
}

// Run serves until the context ends.
func (s *Server) Run(ctx context.Context) error {
	if s.listener == nil {
		if _, err := s.Open(); err != nil {
			return err
		}
	}
	s.conns = make(map[*jsonrpc2.Conn]struct{})
	stop := context.AfterFunc(ctx, func() { _ = s.listener.Close() })
	defer stop()
	defer func() { _ = s.listener.Close() }()
	defer s.closeAll()
	for {
		conn, err := s.listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept a peer")
		}
		s.serve(ctx, conn)
	}
}

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	if s.TLS != nil {
		conn = tls.Server(conn, s.TLS)
	}
	stream := jsonrpc2.NewBufferedStream(deadlineConn{conn}, codec{})
	handler := &boundedHandler{server: s, free: make(chan struct{}, maxCalls)}
	peer := jsonrpc2.NewConn(ctx, stream, handler, jsonrpc2.SetLogger(quiet{}))
	s.mu.Lock()
	s.conns[peer] = struct{}{}
	s.mu.Unlock()
	go func() {
		<-peer.DisconnectNotify()
		s.mu.Lock()
		delete(s.conns, peer)
		s.mu.Unlock()
	}()
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		// It may have been closed by the peer already.
		_ = conn.Close()
	}
}

// boundedHandler works on the calls of one connection side by side, up to a
// limit; above it the connection is not read until one has ended.
type boundedHandler struct {
	server *Server
	free   chan struct{}
}

// Handle implements jsonrpc2.Handler.
func (h *boundedHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	h.free <- struct{}{}
	go func() {
		defer func() { <-h.free }()
		h.answer(ctx, conn, request)
	}()
}

func (h *boundedHandler) answer(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	handler, found := h.server.Handlers[request.Method]
	if request.Method == pieceMethod {
		handler, found = h.server.answerPiece, true
	}
	if !found {
		h.sent(conn.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: request.Method}))
		return
	}
	var params json.RawMessage
	if request.Params != nil {
		params = *request.Params
	}
	var result any
	err := guard.Try(h.server.Log, "call "+request.Method, func() (err error) {
		result, err = handler(ctx, params)
		return err
	})
	if err != nil {
		h.sent(conn.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}))
		return
	}
	h.sent(conn.Reply(ctx, request.ID, result))
}

func (h *boundedHandler) sent(err error) {
	if err != nil && !errors.Is(err, jsonrpc2.ErrClosed) {
		h.server.Log.Write(event.PeerFailed, zap.Error(err))
	}
}

// quiet drops the library's own log lines; what matters of them comes back as
// errors.
type quiet struct{}

// Printf implements jsonrpc2.Logger.
func (quiet) Printf(string, ...any) {}
