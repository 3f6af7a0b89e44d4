package inbound

import (
	"context"
	"crypto/tls"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// handshakeTime bounds a TLS handshake.
const handshakeTime = 10 * time.Second

// protocolHTTP2 is the name of HTTP/2 in a handshake. It has frames of its own, and
// passes by the rules of this package.
const protocolHTTP2 = "h2"

// secureListener shakes hands before a connection is accepted, as the rules apply to what
// has been decrypted.
type secureListener struct {
	*Listener
	config   *tls.Config
	accepted chan accepted
	closed   chan struct{}
	once     sync.Once
}

// accepted is what Accept returns.
type accepted struct {
	conn net.Conn
	err  error
}

// TLSConfig returns a configuration that offers both versions of HTTP, for WrapTLS and for
// the server itself.
func TLSConfig(config *tls.Config) *tls.Config {
	config = config.Clone()
	for _, protocol := range []string{protocolHTTP2, "http/1.1"} {
		if !slices.Contains(config.NextProtos, protocol) {
			config.NextProtos = append(config.NextProtos, protocol)
		}
	}
	return config
}

// WrapTLS is Wrap for callers that speak TLS.
func (l Listener) WrapTLS(config *tls.Config) net.Listener {
	s := &secureListener{Listener: l.Wrap(), config: config, accepted: make(chan accepted), closed: make(chan struct{})}
	go s.run()
	return s
}

func (s *secureListener) run() {
	for {
		conn, err := s.Listener.Listener.Accept()
		if err == nil {
			go s.shake(conn)
			continue
		}
		s.hand(accepted{err: err})
		if errors.Is(err, net.ErrClosed) {
			return
		}
	}
}

// hand gives something to Accept.
func (s *secureListener) hand(one accepted) {
	select {
	case s.accepted <- one:
	case <-s.closed:
		if one.conn != nil {
			_ = one.conn.Close()
		}
	}
}

// shake hands over a connection after its handshake. One that has failed goes to the server
// too, which finds the same error and logs it.
func (s *secureListener) shake(plain net.Conn) {
	conn := tls.Server(plain, s.config)
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTime)
	err := conn.HandshakeContext(ctx)
	cancel()
	state := conn.ConnectionState()
	if err != nil || state.NegotiatedProtocol == protocolHTTP2 {
		s.hand(accepted{conn: conn})
		return
	}
	c, err := s.newConn(conn)
	if err != nil {
		_ = conn.Close()
		return
	}
	s.hand(accepted{conn: &secureConn{conn: c, state: state}})
}

// Accept implements net.Listener.
func (s *secureListener) Accept() (net.Conn, error) {
	select {
	case one := <-s.accepted:
		return one.conn, one.err
	case <-s.closed:
		return nil, errors.WithStack(net.ErrClosed)
	}
}

// Close implements net.Listener.
func (s *secureListener) Close() error {
	s.once.Do(func() { close(s.closed) })
	return errors.WithStack(s.Listener.Close())
}

// secureConn tells the server of its handshake.
type secureConn struct {
	*conn
	state tls.ConnectionState
}

// ConnectionState is asked by http.Server for a request's TLS field.
func (c *secureConn) ConnectionState() tls.ConnectionState { return c.state }
