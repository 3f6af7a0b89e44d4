package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/chicoryrock/chicoryrock"
)

// dialTimeout bounds the wait for a connection to a peer.
const dialTimeout = 2 * time.Second

// Client calls one other process over one connection, which it opens again when
// it was lost. Set the exported fields before the first Call.
type Client struct {
	Address netip.AddrPort
	TLS     *tls.Config // nil for plain connections

	mu       sync.Mutex
	conn     *jsonrpc2.Conn
	partials map[string]*partial // by method
}

// Call runs a method on the peer within the context's deadline. Errors:
// chicoryrock.ErrUnavailable when no connection stood, so that nothing was sent;
// chicoryrock.ErrUnknownOutcome when the answer was lost; else the peer's own.
func (c *Client) Call(ctx context.Context, method string, params, result any) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return err
	}
	var data json.RawMessage
	if err = conn.Call(ctx, method, params, &data); err == nil {
		err = decode(data, result)
	}
	var answered *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &answered):
		return errors.Wrap(err, method)
	default:
		c.drop(conn)
		return errors.Wrapf(chicoryrock.ErrUnknownOutcome, "%s: %v", method, err)
	}
}

// decode reads a result, which may be nil where a call has none.
func decode(data json.RawMessage, result any) error {
	switch {
	case result == nil:
		return nil
	case string(bytes.TrimSpace(data)) == "null":
		return errors.Wrap(chicoryrock.ErrInvalid, "null for a result")
	}
	return errors.WithStack(json.Unmarshal(data, result))
}

// CallWithin is Call with a limit of time.
func (c *Client) CallWithin(ctx context.Context, limit time.Duration, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return c.Call(ctx, method, params, result)
}

// UnknownMethod reports whether a call failed as the peer, of a former build, has no such method.
func UnknownMethod(err error) bool {
	var answered *jsonrpc2.Error
	return errors.As(err, &answered) && answered.Code == jsonrpc2.CodeMethodNotFound
}

// Close ends the connection, if one stands.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		// It may have been closed by the peer already.
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *Client) connect(ctx context.Context) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil && !closed(c.conn) {
		return c.conn, nil
	}
	conn, err := c.dial(ctx)
	if err != nil {
		return nil, errors.Wrapf(chicoryrock.ErrUnavailable, "reach peer %s: %v", c.Address, err)
	}
	stream := jsonrpc2.NewBufferedStream(deadlineConn{conn}, codec{})
	// The connection outlives the call that opened it.
	c.conn = jsonrpc2.NewConn(context.WithoutCancel(ctx), stream, refuseAll{}, jsonrpc2.SetLogger(quiet{}))
	return c.conn, nil
}

func (c *Client) dial(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if c.TLS == nil {
		return (&net.Dialer{}).DialContext(ctx, "tcp", c.Address.String())
	}
	return (&tls.Dialer{Config: c.TLS}).DialContext(ctx, "tcp", c.Address.String())
}

func (c *Client) drop(conn *jsonrpc2.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// It may have been closed by the peer already.
	_ = conn.Close()
	if c.conn == conn {
		c.conn = nil
	}
}

func closed(conn *jsonrpc2.Conn) bool {
	select {
	case <-conn.DisconnectNotify():
		return true
	default:
		return false
	}
}

// refuseAll ignores calls that come in over a connection that was opened to make
// calls.
type refuseAll struct{}

// Handle implements jsonrpc2.Handler.
func (refuseAll) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
