// Package web starts HTTP servers whose routes are served by go-zero's rest.
//
// rest's own middlewares that shed, break circuits, time out or cap bodies stay
// off: each of them would refuse or cut requests without regard to tiers. What
// they covered is done here: panic recovery, header deadline, body limit by the
// handlers themselves.
package web

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"
	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/policy/framing"
	"github.com/chicoryrock/chicoryrock/internal/serve/inbound"
	"github.com/chicoryrock/chicoryrock/internal/serve/reserve"
)

const (
	// headerTimeout bounds how long a client may take to send its headers.
	headerTimeout = 10 * time.Second
	// idleTimeout closes connections on which nothing is asked for.
	idleTimeout = 2 * time.Minute
	// maxHeader is the largest request header, in bytes.
	maxHeader = 64 << 10
	// unreadTime is how long a client may take none of its answer.
	unreadTime = 10 * time.Second
	// heavyLines is how many header lines make a request heavy, and heavyRequests how many
	// of those are served at once.
	heavyLines, heavyRequests = 200, 8
)

// bounds are what a client may use of a connection.
func bounds() inbound.Bounds {
	return inbound.Bounds{
		Limits:     framing.Limits{HeadBytes: maxHeader},
		HeaderTime: headerTimeout,
		IdleTime:   idleTimeout,
		UnreadTime: unreadTime,
		HeavyLines: heavyLines,
	}
}

// Server is one HTTP listener. Set the exported fields, then call Run.
type Server struct {
	Name     string
	Listen   netip.AddrPort
	Routes   []rest.Route
	NotFound http.HandlerFunc // answers what no route matches; nil for the usual 404
	TLS      *tls.Config      // nil for plain HTTP
	Log      *event.Log
	Room     *reserve.Pool // for connections; nil for no limits
	Drain    time.Duration // longest wait for open requests after the context ends

	listener net.Listener
}

// Open binds the listener, so that the address is known before Run.
func (s *Server) Open() (netip.AddrPort, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", s.Listen.String())
	if err != nil {
		return netip.AddrPort{}, errors.Wrapf(err, "listen for %s", s.Name)
	}
	s.listener = s.Room.Listener(listener)
	return netip.MustParseAddrPort(listener.Addr().String()), nil
}

// Run serves until the context ends, then waits for open requests.
func (s *Server) Run(ctx context.Context) error {
	if s.listener == nil {
		if _, err := s.Open(); err != nil {
			return err
		}
	}
	handler, err := s.handler()
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          s.Log.Std(),
		ConnState:         inbound.State,
	}
	if s.TLS != nil {
		server.TLSConfig = inbound.TLSConfig(s.TLS)
	}
	s.Room.Guard(server)
	if s.Room != nil {
		go s.report(ctx)
	}
	done := make(chan error, 1)
	go func() { done <- s.serve(server) }()
	select {
	case err := <-done:
		return errors.Wrapf(err, "serve %s", s.Name)
	case <-ctx.Done():
	}
	return s.shutdown(server)
}

// report logs what has found no room, one line a second at most.
func (s *Server) report(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.Room.Write(s.Log)
		}
	}
}

func (s *Server) serve(server *http.Server) error {
	listener := inbound.Listener{Listener: s.listener, Bounds: bounds, Heavy: heavyRequests}
	if s.TLS != nil {
		return server.Serve(listener.WrapTLS(server.TLSConfig))
	}
	return server.Serve(listener.Wrap())
}

// shutdown waits for open requests, and closes what is still open when the
// drain time is over.
func (s *Server) shutdown(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.Drain)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		return errors.Wrapf(server.Close(), "close %s", s.Name)
	}
	return nil
}

func (s *Server) handler() (http.Handler, error) {
	// rest replaces the log's writer when it is set up; the Log field is the one
	// that counts, so rest gets a configuration that writes nothing of its own.
	conf := rest.RestConf{ServiceConf: service.ServiceConf{
		Name: s.Name,
		Log:  logx.LogConf{Mode: "console", Level: "severe", Stat: false},
	}}
	var options []rest.RunOption
	if s.NotFound != nil {
		options = append(options, rest.WithNotFoundHandler(s.NotFound))
	}
	server, err := rest.NewServer(conf, options...)
	if err != nil {
		return nil, errors.Wrapf(err, "set up %s", s.Name)
	}
	server.AddRoutes(s.Routes)
	serverless, err := rest.NewServerless(server)
	if err != nil {
		return nil, errors.Wrapf(err, "bind routes of %s", s.Name)
	}
	return s.recover(http.HandlerFunc(serverless.Serve)), nil
}

// recover turns a panic into one failed request instead of a dead process. The
// deliberate abort of a connection passes through.
func (s *Server) recover(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			if isAbort(cause) {
				panic(cause)
			}
			s.Log.Write(event.Panicked, zap.String("path", r.URL.Path), zap.Any("cause", cause), zap.Stack("stack"))
			panic(http.ErrAbortHandler)
		}()
		next.ServeHTTP(w, r)
	})
}

// isAbort says whether a panic is the library's way to cut a connection.
func isAbort(cause any) bool {
	err, isError := cause.(error)
	return isError && errors.Is(err, http.ErrAbortHandler)
}
