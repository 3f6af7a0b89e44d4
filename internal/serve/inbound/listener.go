// Package inbound accepts callers' connections. It decides by package framing what of them
// an http.Server sees, bounds the time and memory of what it doesn't see, and reads no
// request before the one before it is answered.
package inbound

import (
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock/internal/policy/framing"
)

// The reasons for which a connection ends, besides those of package framing.
var (
	// ErrLateHead is for a head that took longer than its time.
	ErrLateHead = errors.New("head not in time")
	// ErrUnread is for a caller that leaves its answers unread.
	ErrUnread = errors.New("answer left unread")
	// ErrNoRoom is for what found no room in memory. It has not run.
	ErrNoRoom = errors.New("no room")
)

// Bounds are what a caller may use of a connection. Zero is for no bound.
type Bounds struct {
	framing.Limits
	HeaderTime time.Duration // from a head's first byte to its last
	IdleTime   time.Duration // before a head's first byte
	UnreadTime time.Duration // without progress of an answer
	// HeavyLines is how many header lines make a head heavy: a parser holds a hundred bytes
	// and more for each line, however short. Heavy requests take turns, Heavy at once.
	HeavyLines int
}

// Account decides about memory that connections take. Its methods may be called at once by
// many connections.
type Account interface {
	// Open says whether an accepted connection may be served.
	Open(accepted net.Conn) bool
	// Keep says whether so many more bytes of a head may be kept.
	Keep(accepted net.Conn, bytes int) bool
	// Release takes back bytes that were kept.
	Release(accepted net.Conn, bytes int)
	// Closed takes back a connection.
	Closed(accepted net.Conn)
}

// Listener accepts connections for one http.Server, whose ConnState must call State.
type Listener struct {
	net.Listener
	// Bounds returns those in force. They may change while connections are open.
	Bounds func() Bounds
	// Heavy is how many heavy requests are served at once; zero for any number.
	Heavy int
	// Account is asked for memory; nil for none.
	Account Account
	// Ended is told of connections that were ended by a rule of this package; may be nil.
	Ended func(now time.Time, caller netip.AddrPort, why error)

	heavy chan struct{} // has an element for each heavy request
}

// Wrap returns a listener whose connections keep the rules.
func (l Listener) Wrap() *Listener {
	if l.Heavy > 0 {
		l.heavy = make(chan struct{}, l.Heavy)
	}
	return &l
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c, err := l.newConn(accepted)
		if err == nil {
			return c, nil
		}
		_ = accepted.Close()
	}
}

func (l *Listener) newConn(accepted net.Conn) (*conn, error) {
	inner := accepted
	if secure, found := accepted.(*tls.Conn); found {
		inner = secure.NetConn()
	}
	socket, found := inner.(syscall.Conn)
	if !found {
		return nil, errors.Errorf("%T is no socket", inner)
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, errors.WithStack(err)
	}
	c := &conn{Conn: accepted, listener: l, raw: raw}
	if tcp, found := accepted.RemoteAddr().(*net.TCPAddr); found {
		c.caller = tcp.AddrPort()
	}
	if l.Account != nil && !l.Account.Open(accepted) {
		c.tell(ErrNoRoom)
		return nil, ErrNoRoom
	}
	c.begin(time.Now())
	return c, nil
}

// State is to be called by the server's ConnState: it tells when an answer has been written,
// so that the next request may be read.
func State(served net.Conn, state http.ConnState) {
	if c, found := served.(interface{ begin(now time.Time) }); found && state == http.StateIdle {
		c.begin(time.Now())
	}
}

const (
	// SmallHead is the largest head of those who ask for readiness or metrics, bytes.
	SmallHead   = 8 << 10
	smallLines  = 64
	smallTime   = 5 * time.Second
	smallIdle   = time.Minute
	smallUnread = 10 * time.Second
)

// Small returns bounds for listeners that serve no callers' requests.
func Small() Bounds {
	return Bounds{
		Limits:     framing.Limits{HeadBytes: SmallHead, HeadLines: smallLines},
		HeaderTime: smallTime,
		IdleTime:   smallIdle,
		UnreadTime: smallUnread,
	}
}
