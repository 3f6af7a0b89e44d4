package front

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/jitter"
	"github.com/chicoryrock/chicoryrock/internal/policy/memory"
	"github.com/chicoryrock/chicoryrock/internal/serve/inbound"
	"github.com/chicoryrock/chicoryrock/internal/serve/reserve"
	"github.com/chicoryrock/chicoryrock/internal/serve/upstream"
	"github.com/chicoryrock/chicoryrock/internal/state/routing"
)

const (
	// requestBytes is what a request takes beside its head and its body: the stacks that
	// serve it, its header once more for the backend server, and that connection's buffers.
	requestBytes = 24 << 10
	// firstRead is what is reserved for a body of unknown length, bytes, and then doubled.
	firstRead = 16 << 10
	// roomWait is how long a request waits unread for room: several bodies of 4 MiB go
	// through within that time.
	roomWait = 400 * time.Millisecond
	// roomWaitPart is the part of a request's time that it may wait for room.
	roomWaitPart = 4
	// roomReturn is when to come back at the earliest after no room was found; callers are
	// spread over as long again.
	roomReturn = 500 * time.Millisecond
	// droppedFrom is how long a body is, bytes, for which it pays to let go of it once it
	// can't be needed again: its fingerprint must be taken before.
	droppedFrom = 64 << 10
	// firstKept is the first buffer of an answer or an event, bytes. It is part of
	// requestBytes, so that small ones need no more room.
	firstKept = 4 << 10
)

// connKey finds a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

func callerOf(r *http.Request) net.Conn {
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	return conn
}

// connChanged is told what becomes of a connection. An idle one may be closed to make
// room: the end of its last answer has gone out by then.
func (f *Front) connChanged(conn net.Conn, state http.ConnState) {
	inbound.State(conn, state)
	if known := reserve.Find(conn); known != nil && state == http.StateIdle {
		// It may be being closed already.
		_ = known.End()
	}
}

// claim asks for the room of a request with so many bytes of its body.
func (f *Front) claim(now, deadline time.Time, r *http.Request, workspace *routing.Workspace, body int64) memory.Claim {
	claim := memory.Claim{
		Owner: memory.Owner{Address: reserve.AddressOf(r)},
		Kind:  memory.Body,
		Bytes: requestBytes + int64(headerSize(r)) + body,
		Wait:  min(roomWait, deadline.Sub(now)/roomWaitPart),
	}
	if workspace != nil {
		claim.Owner.Workspace = workspace.Name
	}
	return claim
}

// roomAgain returns when a caller that found no room should come back.
func (f *Front) roomAgain(id string) time.Duration {
	wait := roomReturn + time.Duration(jitter.Fraction(id)*float64(roomReturn))
	return min(wait, f.Bounds().Return)
}

// keep reads an answer as far as it is held: to its end, to the most that is held, or as
// far as there is room. It says whether the answer is whole.
func (c *call) keep(from io.Reader) (body []byte, whole bool, err error) {
	buffer := make([]byte, 0, firstKept)
	for len(buffer) <= maxHeld {
		if len(buffer) == cap(buffer) {
			size := min(2*cap(buffer), maxHeld+1)
			if err := c.hold.Grow(c.ctx, int64(size-cap(buffer)), 0); err != nil {
				return buffer, false, nil //nolint:nilerr // what came is passed on
			}
			buffer = append(make([]byte, 0, size), buffer...)
		}
		n, err := from.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			return buffer, true, nil
		}
		if err != nil {
			c.hold.Shrink(int64(cap(buffer) - firstKept))
			return nil, false, errors.WithStack(err)
		}
	}
	return buffer, false, nil
}

// deliver writes a part of the answer to the caller. Where the caller leaves it unread, its
// connection may be closed to make room for others.
func (c *call) deliver(data []byte, kind memory.Kind) error {
	if err := c.hold.Move(memory.Answer, c.cut); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	if _, err := c.w.Write(data); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	if kind == memory.Stream {
		if err := http.NewResponseController(c.w).Flush(); err != nil {
			return errors.Wrap(errCallerGone, err.Error())
		}
	}
	if err := c.hold.Move(kind, nil); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	return nil
}

// cut closes the caller's connection.
func (c *call) cut() {
	if conn := callerOf(c.r); conn != nil {
		_ = conn.Close()
	}
}

// abort ends the connection without the end of the answer, so that it does not look whole. A
// caller of HTTP/1.0 sees no chunks: only a reset tells it.
func (c *call) abort() {
	if conn, found := callerOf(c.r).(interface{ SetLinger(seconds int) error }); found && c.started && !c.r.ProtoAtLeast(1, 1) {
		_ = conn.SetLinger(0) // the connection ends either way
	}
	panic(http.ErrAbortHandler)
}

// dropBody lets go of a long body that has been sent whole and can't be sent again, as the
// answer has begun.
func (c *call) dropBody(answer *upstream.Answer) {
	if len(c.body) < droppedFrom || c.route.Resumable || c.copies.server != "" || !answer.Sent() {
		return
	}
	c.fingerprint()
	c.hold.Shrink(int64(cap(c.body)))
	c.body = nil
}

// lend puts a call that has been read whole into the account as one that waits, and says
// whether there is still room for it.
func (c *call) lend() bool {
	return c.hold.Move(memory.Waiting, func() { c.stop(reserve.ErrNoRoom) }) == nil
}

// noRoom says whether reading a body failed for want of room. One that had to make room
// for others finds its reading ended.
func noRoom(hold *reserve.Hold, err error) bool {
	return errors.Is(err, reserve.ErrNoRoom) || hold.Move(memory.Body, nil) != nil
}

// turnOut refuses a request whose body was not read to its end, and ends its connection.
func (f *Front) turnOut(now time.Time, w http.ResponseWriter, r *http.Request, ask chicoryrock.RequestHeader, reason chicoryrock.Reason) {
	w.Header().Set("Connection", "close")
	if reason != chicoryrock.ReasonNoRoom {
		f.turnAway(now, w, ask, f.Table(), reason, 0)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(reason.Sentence())+1))
	f.turnAway(now, w, ask, f.Table(), reason, f.roomAgain(ask.ID))
	reserve.Linger(w, r, defaultBody)
}

// headerSize returns the bytes of a request's header as it came, about.
func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + 4
		}
	}
	return size
}
