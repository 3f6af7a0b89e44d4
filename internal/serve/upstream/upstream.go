// Package upstream is the client of backend servers. It keeps its own pool of
// connections, so that it can say exactly what became of a request: nothing was
// sent, or something was and it may have run. It never sends a request twice.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/serve/web"
)

const (
	// defaultDial bounds the time for a new connection: two round trips across
	// regions and a busy server's accept queue.
	defaultDial = 400 * time.Millisecond
	// defaultIdle is how long a connection stays usable when the server names no
	// time-out.
	defaultIdle = 4 * time.Second
	// idleMargin is kept from the server's own idle time-out, for the way there.
	idleMargin = 300 * time.Millisecond
	// cautiousIdle is how long a connection may have been idle for a request that
	// must not run twice: a server may drop idle connections without notice.
	cautiousIdle = 500 * time.Millisecond
	// bufferSize is that of a connection's reader, bytes.
	bufferSize = 4 << 10
	// inlineBody is the largest request that is written before the answer is read,
	// bytes; a longer one is written beside, as its answer may come first.
	inlineBody = 16 << 10
	// maxHead is the longest head of an answer, bytes: many times what servers send.
	maxHead = 64 << 10
	// maxForeign is how many answers to other requests are passed over.
	maxForeign = 2
	// maxForeignBody bounds each of them, bytes.
	maxForeignBody = 1 << 20
)

// Call is one request to a backend server.
type Call struct {
	Address netip.AddrPort
	Method  string
	Target  string // path and query, as the caller sent them
	Host    string
	Header  http.Header
	Body    []byte
	Framed  bool // the caller sent a body, which may be empty
	Fragile bool // the request must not run twice
	Most    int  // connections to the address, in use or idle; zero for no limit
	Fresh   bool // only a new connection will do: an answer to the request has come from the address before
	Mine    func(http.Header) bool
}

// Client sends requests to backend servers. Set the exported fields before use.
type Client struct {
	Dial    time.Duration // bounds a new connection; 0 means 400 ms
	Control func(network, address string, raw syscall.RawConn) error
	Most    int // connections to all servers, in use or idle; 0 for no limit

	mutex sync.Mutex
	total int // connections, in use or idle
	idle  map[netip.AddrPort][]*conn
	open  map[netip.AddrPort]int // connections, in use or idle
}

// conn is one connection to a backend server.
type conn struct {
	net.Conn

	client  *Client
	closed  sync.Once
	address netip.AddrPort
	head    *headReader
	reader  *bufio.Reader // of head
	raw     syscall.RawConn
	since   time.Time // when it became idle
	until   time.Time // when it may no longer be used
	wrote   chan error
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closed.Do(func() { c.client.release(c.address) })
	return c.Conn.Close()
}

// Answer is the beginning of an answer. Its Body must be closed.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Framed says that the answer states where it ends, by a length or in chunks, or has no
	// body by its kind. Else it ends with its connection, and nothing tells its end from a
	// break. It counts as broken off then if the request had not been sent whole, and a success
	// if it has no byte of a body.
	Framed bool
}

// Listens returns nil if a backend server takes new connections. Errors: ErrRefused if it
// refuses them, ErrSilent if nothing answers; others are this process's own, such as a lack
// of descriptors, and say nothing of the server.
func (c *Client) Listens(ctx context.Context, address netip.AddrPort) error {
	timeout := c.Dial
	if timeout == 0 {
		timeout = defaultDial
	}
	dialer := net.Dialer{Timeout: timeout, Control: c.Control}
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	var wait net.Error
	switch {
	case err == nil:
		_ = conn.Close()
		return nil
	case errors.Is(err, syscall.ECONNREFUSED):
		return errors.Wrap(ErrRefused, err.Error())
	case ctx.Err() == nil && errors.As(err, &wait) && wait.Timeout(),
		errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH):
		return errors.Wrap(ErrSilent, err.Error())
	default:
		return errors.WithStack(err)
	}
}

// Do sends a request and reads the beginning of its answer. The context bounds the
// whole exchange: when it ends, the connection is closed. Errors: ErrNotRun when
// not a byte was sent; ErrUnknownOutcome and ErrBadAnswer otherwise.
func (c *Client) Do(ctx context.Context, call *Call) (*Answer, error) {
	conn, err := c.connection(ctx, call)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	if err := conn.send(call); err != nil {
		stop()
		_ = conn.Close()
		return nil, MarkClosed(errors.Wrapf(chicoryrock.ErrUnknownOutcome, "send: %v", err), err)
	}
	response, clean, err := conn.receive(call) //nolint:bodyclose // the answer's body closes it
	if err != nil {
		stop()
		_ = conn.Close()
		return nil, err
	}
	body := &body{client: c, conn: conn, response: response, stop: stop, clean: clean}
	return &Answer{Status: response.StatusCode, Header: response.Header, Body: body, Framed: framed(response)}, nil
}

// connection returns an idle connection that still looks sound, or a new one.
func (c *Client) connection(ctx context.Context, call *Call) (*conn, error) {
	now := time.Now()
	for !call.Fresh {
		kept := c.take(now, call)
		if kept == nil {
			break
		}
		if kept.quiet() {
			return kept, nil
		}
		_ = kept.Close()
	}
	timeout := c.Dial
	if timeout == 0 {
		timeout = defaultDial
	}
	dialer := net.Dialer{Timeout: timeout, Control: c.Control, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: time.Second, Interval: time.Second, Count: 2,
	}}
	if !c.reserve(call) {
		return nil, errors.Wrapf(chicoryrock.ErrNotRun, "all connections are in use")
	}
	opened, err := dialer.DialContext(ctx, "tcp", call.Address.String())
	if err != nil {
		c.release(call.Address)
		return nil, errors.Wrapf(chicoryrock.ErrNotRun, "connect: %v", err)
	}
	head := &headReader{Reader: opened}
	fresh := &conn{Conn: opened, client: c, address: call.Address, head: head, reader: bufio.NewReaderSize(head, bufferSize)}
	if tcp, ok := opened.(*net.TCPConn); ok {
		if fresh.raw, err = tcp.SyscallConn(); err != nil {
			fresh.raw = nil
		}
	}
	return fresh, nil
}

// drop closes an idle connection. The lock is held.
func (c *Client) drop(one *conn) {
	one.closed.Do(func() { c.uncount(one.address) })
	_ = one.Conn.Close()
}

func (c *Client) take(now time.Time, call *Call) *conn {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	list := c.idle[call.Address]
	for len(list) > 0 {
		last := list[len(list)-1]
		list = list[:len(list)-1]
		c.idle[call.Address] = list
		usable := now.Before(last.until)
		if usable && (!call.Fragile || now.Sub(last.since) < cautiousIdle) {
			return last
		}
		if usable {
			// It serves for requests that may be repeated.
			c.idle[call.Address] = append(list, last)
			return nil
		}
		c.drop(last)
	}
	delete(c.idle, call.Address)
	return nil
}

// Sweep closes the connections that may no longer be used.
func (c *Client) Sweep(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for address, list := range c.idle {
		kept := list[:0]
		for _, one := range list {
			if now.Before(one.until) {
				kept = append(kept, one)
				continue
			}
			c.drop(one)
		}
		if c.idle[address] = kept; len(kept) == 0 {
			delete(c.idle, address)
		}
	}
}

// Forget closes the idle connections to an address.
func (c *Client) Forget(address netip.AddrPort) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, one := range c.idle[address] {
		c.drop(one)
	}
	delete(c.idle, address)
}

func (c *Client) keep(one *conn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.idle == nil {
		c.idle = make(map[netip.AddrPort][]*conn)
	}
	c.idle[one.address] = append(c.idle[one.address], one)
}

// quiet says whether nothing has come in on an idle connection: neither its end
// nor bytes that belong to no request.
func (c *conn) quiet() bool {
	if c.raw == nil || c.reader.Buffered() > 0 {
		return false
	}
	quiet := false
	var one [1]byte
	err := c.raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// send writes a request. A long one is written beside; what became of that is
// known when the answer has been read.
func (c *conn) send(call *Call) error {
	head := head(call)
	if len(head)+len(call.Body) <= inlineBody {
		c.wrote = nil
		_, err := c.Write(append(head, call.Body...))
		return err
	}
	if _, err := c.Write(head); err != nil {
		return err
	}
	wrote := make(chan error, 1)
	c.wrote = wrote
	go func() {
		_, err := c.Write(call.Body)
		wrote <- err
	}()
	return nil
}

func head(call *Call) []byte {
	var out bytes.Buffer
	out.Grow(512)
	out.WriteString(call.Method + " " + call.Target + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	for name, values := range call.Header {
		for _, value := range values {
			out.WriteString(name + ": " + value + "\r\n")
		}
	}
	if call.Framed || len(call.Body) > 0 {
		out.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}
	out.WriteString("\r\n")
	return out.Bytes()
}

// headReader bounds what is read for the head of an answer: a server may send one
// without end.
type headReader struct {
	io.Reader

	bounded bool
	left    int // bytes, while it is bounded
	keeps   bool
	kept    []byte // what has been read of the head, where it keeps that
}

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	if !r.bounded {
		return r.Reader.Read(p)
	}
	if r.left == 0 {
		return 0, errLongHead
	}
	n, err := r.Reader.Read(p[:min(len(p), r.left)])
	r.left -= n
	if r.keeps {
		r.kept = append(r.kept, p[:n]...)
	}
	return n, err
}

// receive reads the beginning of the answer. A late answer to an earlier request
// may stand before it; a connection with one isn't clean.
func (c *conn) receive(call *Call) (response *http.Response, clean bool, err error) {
	clean = true
	foreign := 0
	var heads chicoryrock.Heads
	for {
		final := false
		if response, err = c.readHead(call); err == nil {
			final, err = heads.Check(response.StatusCode, response.Header)
		}
		switch {
		case errors.Is(err, errLongHead), errors.Is(err, web.ErrOldCoding), errors.Is(err, chicoryrock.ErrUnsoundHead):
			return nil, false, errors.Wrap(ErrBadAnswer, err.Error())
		case err != nil:
			return nil, false, MarkClosed(errors.Wrapf(chicoryrock.ErrUnknownOutcome, "read the answer: %v", err), err)
		case !final:
		case call.Mine == nil || call.Mine(response.Header):
			return response, clean, nil
		default:
			clean = false
			if foreign++; foreign > maxForeign || !skip(response) {
				return nil, false, errors.Wrap(ErrBadAnswer, "it belongs to another request")
			}
		}
	}
}

// readHead reads one head, of bounded length. Errors: errLongHead, web.ErrOldCoding, or the
// connection's.
func (c *conn) readHead(call *Call) (*http.Response, error) {
	c.head.bounded, c.head.left = true, maxHead
	defer func() { c.head.bounded, c.head.keeps, c.head.kept = false, false, nil }()
	if _, err := c.reader.Peek(1); errors.Is(err, io.EOF) {
		return nil, errors.WithStack(io.ErrUnexpectedEOF)
	} else if err != nil {
		return nil, errors.WithStack(err)
	}
	start, _ := c.reader.Peek(c.reader.Buffered()) // which is there
	if c.head.keeps = web.MayBeOld(start); c.head.keeps {
		c.head.kept = slices.Clone(start)
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: call.Method})
	if err != nil || response.ProtoAtLeast(1, 1) {
		return response, err
	}
	if states, _ := web.StatesCoding(c.head.kept); states {
		return nil, errors.WithStack(web.ErrOldCoding)
	}
	return response, nil
}

// skip reads an answer to another request to its end, and says whether another one
// may follow.
func skip(response *http.Response) bool {
	if response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBody))
	return err == nil && n < maxForeignBody
}

// body is an answer's body. At its clean end the connection may serve another
// request.
type body struct {
	client   *Client
	conn     *conn
	response *http.Response
	stop     func() bool
	clean    bool
	begun    bool // a byte of it has been read
	whole    bool
	closed   bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.response.Body.Read(p)
	b.begun = b.begun || n > 0
	switch {
	case errors.Is(err, io.EOF) && !framed(b.response) && !b.conn.endSend():
		return n, MarkClosed(web.ErrUnsent, io.EOF)
	case errors.Is(err, io.EOF) && !b.begun && !framed(b.response) && b.response.StatusCode < http.StatusMultipleChoices:
		return n, MarkClosed(errNoBody, io.EOF)
	case errors.Is(err, io.EOF):
		b.whole = true
	case err != nil:
		return n, MarkClosed(err, err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	now := time.Now()
	running := b.stop()
	if running && b.whole && b.reusable() {
		b.conn.since = now
		b.conn.until = now.Add(idleTime(b.response.Header))
		b.client.keep(b.conn)
		return nil
	}
	return b.conn.Close()
}

// reusable says whether nothing of this exchange is left on the connection.
func (b *body) reusable() bool {
	if !b.clean || !framed(b.response) || b.response.Close || b.conn.reader.Buffered() > 0 {
		return false
	}
	if b.conn.wrote == nil {
		return true
	}
	select {
	case err := <-b.conn.wrote:
		return err == nil
	default:
		// The answer came before the request was sent to its end.
		return false
	}
}

// framed says whether an answer states where it ends.
func framed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Body == http.NoBody
}

// idleTime returns how long a connection may stay idle, by the server's word.
func idleTime(header http.Header) time.Duration {
	const field = "timeout="
	value := header.Get("Keep-Alive")
	at := bytes.Index([]byte(value), []byte(field))
	if at < 0 {
		return defaultIdle
	}
	digits := value[at+len(field):]
	end := 0
	for end < len(digits) && digits[end] >= '0' && digits[end] <= '9' {
		end++
	}
	seconds, err := strconv.Atoi(digits[:end])
	if err != nil {
		return defaultIdle
	}
	return max(time.Duration(seconds)*time.Second-idleMargin, 0)
}
