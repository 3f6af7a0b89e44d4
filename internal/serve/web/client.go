package web

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"
)

const (
	// dialTimeout bounds the wait for a connection. A peer that cannot be reached
	// in this time gets the request's next choice tried instead.
	dialTimeout = time.Second
	// idlePerHost is how many idle connections are kept to one peer.
	idlePerHost = 64
	// idleLife is how long an idle connection is kept.
	idleLife = 90 * time.Second
)

// NewClient returns an HTTP client for the system's own hops. It takes no proxy
// from the environment, follows no redirects and waits without limit for slow
// answers, since deadlines are set by each request's context. An answer whose heads aren't
// sound is an error (chicoryrock.ErrUnsoundHead).
func NewClient(config *tls.Config) *http.Client {
	return NewClientOver(config, func(conn net.Conn) net.Conn { return conn })
}

// NewClientOver is NewClient with a layer over each of its connections.
func NewClientOver(config *tls.Config, layer func(net.Conn) net.Conn) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return layer(&sentConn{Conn: conn}), nil
		},
		TLSClientConfig:     config,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleLife,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeader,
	}
	return &http.Client{
		Transport: soundTransport{transport},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// DialFailed says whether an error arose before a connection stood, so that no byte
// of the call can have left this process.
func DialFailed(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// NewService wraps a client in go-zero's httpc under a name. The library's
// circuit breaker is switched off for the name: it refuses at random and counts
// one peer's faults against all.
func NewService(name string, client *http.Client) httpc.Service {
	breaker.NoBreakerFor(name)
	return httpc.NewServiceWithClient(name, client)
}
