package inbound

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/framing"
)

const (
	// firstBuffer is how much is first kept of a head that doesn't come at once, bytes.
	firstBuffer = 4 << 10
	// headCost and lineCost are what a parser holds for each byte and line of a head, above
	// what was seen: heads of 3,900 lines of 4 bytes took 0.27 MB each in the crowd tests.
	headCost, lineCost = 2, 100
	// quickly is how soon after an answer a request may come that was sent before it.
	quickly = 5 * time.Millisecond
	// sentPause and maxSentPause are how often unsent bytes of an answer are looked at, at
	// first and later.
	sentPause    = 5 * time.Millisecond
	maxSentPause = 320 * time.Millisecond
	// turnTime is how long a heavy request waits for its turn where no bound is set.
	turnTime = 3 * time.Second
	// refuseTime bounds the writing of a refusal, and the wait until its caller has read it.
	// A connection that is closed with unread input may lose it.
	refuseTime = 500 * time.Millisecond
	// maxDropped is how much input is dropped in that time, bytes.
	maxDropped = 256 << 10
	// writePiece is how much of an answer must be taken in UnreadTime, bytes.
	writePiece = 64 << 10
)

// errUnended is for a server that goes on before the end of a request. It would take what is
// left of that one for the next.
var errUnended = errors.New("the request has not ended")

// conn is a caller's connection as an http.Server sees it.
type conn struct {
	net.Conn
	listener *Listener
	raw      syscall.RawConn
	caller   netip.AddrPort

	// These belong to whoever reads, which is one goroutine at a time.
	machine framing.Machine
	bounds  Bounds
	held    []byte    // what has come and was not handed on
	ready   int       // bytes of it that may be handed on
	looked  bool      // the machine has seen all of held
	early   bool      // the next request came before the answer ended
	begun   time.Time // when the last answer ended, or the connection was accepted
	failed  error     // what ends the reading, after what is ready
	poll    [1]unix.PollFd

	mutex     sync.Mutex
	limit     time.Time // the server's deadline for reading
	own       time.Time // that of a head, or of the wait for one
	readSet   time.Time // the one that is set
	writeTill time.Time // the server's deadline for writing
	writeSet  time.Time // the one that is set
	kept      int       // bytes that the account has been asked for
	heavy     bool      // it has a turn of the heavy requests
	closed    bool
}

// begin goes on to the next request: the answer to the one before has been written.
func (c *conn) begin(now time.Time) {
	first := c.begun.IsZero()
	if !first && !c.machine.Done() {
		c.fail(errUnended)
	}
	c.bounds = c.listener.Bounds()
	c.machine.Begin(c.bounds.Limits)
	c.looked = false
	c.early = len(c.held) > 0
	c.begun = now
	c.release(cap(c.held))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.own = after(now, c.bounds.IdleTime)
	if first {
		// Later, the server sets its own deadline next, and this one with it.
		_ = c.setRead()
	}
}

// after returns when a time is over; never for zero.
func after(now time.Time, span time.Duration) time.Time {
	if span <= 0 {
		return time.Time{}
	}
	return now.Add(span)
}

// earlier returns the earlier one of two deadlines, of which zero is none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// Read implements net.Conn. It returns bytes of one request only, and of its head only
// when that has been checked whole. Behind the request's end, it waits for the answer.
func (c *conn) Read(p []byte) (int, error) {
	for {
		switch {
		case c.ready > 0:
			n := copy(p, c.held[:c.ready])
			c.held, c.ready = c.held[n:], c.ready-n
			if len(c.held) == 0 {
				c.held = nil
			}
			return n, nil
		case c.failed != nil:
			return 0, c.failed
		case c.machine.Done():
			return 0, c.watch()
		case len(c.held) > 0 && !c.looked:
			drop, pass := c.look(c.held)
			c.held, c.ready, c.looked = c.held[drop:], pass, true
		case len(c.held) > 0:
			if err := c.fill(); err != nil {
				return 0, err
			}
		default:
			n, err := c.Conn.Read(p)
			if n == 0 {
				return 0, c.ended(err)
			}
			drop, pass := c.look(p[:n])
			if pass == n && c.failed == nil {
				return n, nil
			}
			c.held, c.ready, c.looked = append(c.held, p[drop:n]...), pass, true
		}
	}
}

// fill reads more behind what is held.
func (c *conn) fill() error {
	if size := len(c.held); size == cap(c.held) {
		grown := max(2*size, firstBuffer)
		if limit := c.bounds.HeadBytes; limit > 0 {
			grown = max(min(grown, limit+1), size+1)
		}
		if !c.keep(grown - size) {
			if c.machine.Begun() {
				c.refuse(ErrNoRoom)
			} else {
				c.fail(ErrNoRoom) // the handler answers what is wrong with a body
			}
			return c.failed
		}
		c.held = append(make([]byte, 0, grown), c.held...)
	}
	n, err := c.Conn.Read(c.held[len(c.held):cap(c.held)])
	if n == 0 {
		return c.ended(err)
	}
	c.held, c.looked = c.held[:len(c.held)+n], false
	return nil
}

// ended takes in the end of the input.
func (c *conn) ended(err error) error {
	if c.machine.Begun() && errors.Is(err, os.ErrDeadlineExceeded) {
		c.tell(ErrLateHead)
	}
	return err
}

// look has the machine look at what has come, and does what follows from it.
func (c *conn) look(data []byte) (drop, pass int) {
	waited, inHead := c.machine.Waiting(), c.machine.Begun()
	drop, pass, err := c.machine.Next(data)
	switch {
	case !waited && !inHead:
		// The handler answers what is wrong with a body.
		if err != nil {
			c.fail(err)
		}
	case err != nil && (c.machine.Begun() || c.machine.Waiting()):
		c.refuse(err)
		return drop, 0
	case c.machine.Waiting():
	case c.machine.Begun():
		if waited {
			c.setOwn(after(time.Now(), c.bounds.HeaderTime))
		}
	default:
		if err != nil {
			c.fail(err) // the head is whole, its body is not
		}
		if !c.admit() {
			return drop, 0
		}
	}
	return drop, pass
}

// admit decides whether a whole head may be handed on.
func (c *conn) admit() bool {
	now := time.Now()
	if (c.early || now.Sub(c.begun) < quickly) && !c.sent(now) {
		return false
	}
	size, lines := c.machine.Head()
	if !c.keep(headCost*size+lineCost*lines) || c.bounds.HeavyLines > 0 && lines > c.bounds.HeavyLines && !c.turn() {
		c.refuse(ErrNoRoom)
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.own = time.Time{} // the server sets its own deadline next
	return true
}

// turn waits for the turn of a heavy request.
func (c *conn) turn() bool {
	if c.listener.heavy == nil {
		return true
	}
	limit := c.bounds.HeaderTime
	if limit <= 0 {
		limit = turnTime
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case c.listener.heavy <- struct{}{}:
	case <-timer.C:
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.heavy = true
	if c.closed {
		c.leaveTurn()
	}
	return true
}

// leaveTurn is called under the mutex.
func (c *conn) leaveTurn() {
	if c.heavy {
		c.heavy = false
		<-c.listener.heavy
	}
}

// sent waits until the answer before has left for its caller, who sent this request
// without waiting for it. A caller that doesn't read gets no further request run.
func (c *conn) sent(now time.Time) bool {
	pause := sentPause
	for until := after(now, c.bounds.UnreadTime); ; now = time.Now() {
		unsent := 0
		err := c.raw.Control(func(fd uintptr) { unsent, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQNSD) })
		if err != nil {
			c.fail(err)
			return false
		}
		if unsent == 0 {
			if pause > sentPause {
				c.setOwn(time.Time{})
			}
			return true
		}
		if limit := earlier(until, c.limit); !limit.IsZero() && now.After(limit) {
			c.tell(ErrUnread)
			c.fail(ErrUnread)
			return false
		}
		c.setOwn(now.Add(pause))
		pause = min(2*pause, maxSentPause)
		if err := c.watch(); !errors.Is(err, os.ErrDeadlineExceeded) {
			c.fail(err)
			return false
		}
	}
}

// watch waits until the caller has left, without reading. It returns io.EOF then, or the
// error of the deadline or of a closed connection.
func (c *conn) watch() error {
	err := c.raw.Read(func(fd uintptr) bool {
		c.poll[0] = unix.PollFd{Fd: int32(fd), Events: unix.POLLRDHUP}
		n, err := unix.Poll(c.poll[:], 0)
		return n > 0 || err != nil && !errors.Is(err, unix.EINTR)
	})
	if err == nil {
		return io.EOF
	}
	return err //nolint:wrapcheck // the server looks at the error of a read itself
}

// fail ends the reading. The server says nothing to the caller on such an error.
func (c *conn) fail(err error) {
	c.failed = &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: err}
}

// tell reports why the connection is ended.
func (c *conn) tell(why error) {
	if c.listener.Ended != nil {
		c.listener.Ended(time.Now(), c.caller, why)
	}
}

// Answer is what a caller is told whose head is refused. It has certainly not run. The
// status is zero for connections that end without an answer.
func Answer(why error) (status int, reason chicoryrock.Reason) {
	switch {
	case errors.Is(why, ErrLateHead), errors.Is(why, ErrUnread):
		return 0, chicoryrock.ReasonNone
	case errors.Is(why, framing.ErrTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge, chicoryrock.ReasonTooLarge
	case errors.Is(why, framing.ErrVersion):
		return http.StatusHTTPVersionNotSupported, chicoryrock.ReasonMalformed
	case errors.Is(why, ErrNoRoom):
		return http.StatusServiceUnavailable, chicoryrock.ReasonQueueFull
	default:
		return http.StatusBadRequest, chicoryrock.ReasonMalformed
	}
}

// refuse answers a head that is not handed on, and ends the reading.
func (c *conn) refuse(why error) {
	c.tell(why)
	c.fail(why)
	status, reason := Answer(why)
	text := reason.Sentence() + "\n"
	head := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nContent-Type: text/plain; charset=utf-8\r\n" +
		"Connection: close\r\nContent-Length: " + strconv.Itoa(len(text)) + "\r\n"
	if status == http.StatusServiceUnavailable {
		head += "Retry-After: 1\r\n"
	}
	deadline := time.Now().Add(refuseTime)
	_ = c.Conn.SetDeadline(deadline)
	if _, err := io.WriteString(c.Conn, head+"\r\n"+text); err != nil {
		return
	}
	if c.CloseWrite() != nil {
		return
	}
	dropped := c.held[:cap(c.held)]
	if len(dropped) == 0 {
		dropped = make([]byte, firstBuffer)
	}
	for total := 0; total < maxDropped; {
		n, err := c.Conn.Read(dropped)
		if err != nil {
			return
		}
		total += n
	}
}
