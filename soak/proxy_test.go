package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/internal/standin/host"
)

// mood is what a proxy does to the bytes that go through it.
type mood int32

const (
	calm   mood = iota
	slow        // bytes take their time
	silent      // nothing goes through, nothing is closed
	oneway      // only what its caller sends goes through
	moods
)

// inFlight is how long after its connections were cut a server may still answer requests that
// it had got before.
const inFlight = 100 * time.Millisecond

// proxyBuffer is how much the kernel takes of what goes to a server and isn't passed on, bytes.
const proxyBuffer = 64 << 10

// proxy stands before one address and can be put into a mood, or reset.
type proxy struct {
	target   netip.AddrPort
	listener net.Listener
	mood     atomic.Int32
	troubled atomic.Int64 // when its mood last changed or answers were last lost to a reset, in Unix nanoseconds

	mutex  sync.Mutex
	conns  map[net.Conn]struct{}
	ended  bool
	isDown bool
}

func newProxy(t *testing.T, target netip.AddrPort) *proxy {
	t.Helper()
	// An address of its own stays free for it while it takes no connections.
	listener, err := net.Listen("tcp", host.Own().String())
	require.NoError(t, err)
	p := &proxy{target: target, listener: listener, conns: make(map[net.Conn]struct{})}
	t.Cleanup(func() {
		p.mutex.Lock()
		p.ended = true
		_ = p.listener.Close()
		p.mutex.Unlock()
		p.reset()
	})
	go p.serve(listener)
	return p
}

// feel puts the proxy into a mood.
func (p *proxy) feel(m mood) {
	p.troubled.Store(max(p.troubled.Load(), time.Now().UnixNano()))
	p.mood.Store(int32(m))
}

func (p *proxy) address() netip.AddrPort {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return netip.MustParseAddrPort(p.listener.Addr().String())
}

func (p *proxy) serve(listener net.Listener) {
	for {
		in, err := listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target.String())
		if err != nil {
			_ = in.Close()
			continue
		}
		// An upload that the server doesn't read has to wait at its sender.
		_ = in.(*net.TCPConn).SetReadBuffer(proxyBuffer)
		_ = out.(*net.TCPConn).SetWriteBuffer(proxyBuffer)
		p.mutex.Lock()
		p.conns[in], p.conns[out] = struct{}{}, struct{}{}
		p.mutex.Unlock()
		go p.copy(out, in, false)
		go p.copy(in, out, true)
	}
}

func (p *proxy) copy(to, from net.Conn, back bool) {
	defer p.end(to, from)
	buffer := make([]byte, 8<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.hold(back)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if errors.Is(err, syscall.ECONNRESET) {
				abort(to)
			}
			if !errors.Is(err, io.EOF) {
				return
			}
			if half, ok := to.(*net.TCPConn); ok {
				_ = half.CloseWrite()
			}
			return
		}
	}
}

// hold waits as the mood has it.
func (p *proxy) hold(back bool) {
	for {
		switch m := mood(p.mood.Load()); {
		case m == slow:
			time.Sleep(time.Duration(20+rand.IntN(150)) * time.Millisecond)
			return
		case m == silent, m == oneway && back:
			time.Sleep(10 * time.Millisecond)
		default:
			return
		}
	}
}

func (p *proxy) end(conns ...net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
		delete(p.conns, conn)
	}
}

// reset cuts all connections at once.
func (p *proxy) reset() {
	p.troubled.Store(time.Now().Add(inFlight).UnixNano())
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}
