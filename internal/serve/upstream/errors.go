package upstream

import (
	"io"
	"syscall"

	"github.com/pkg/errors"
)

// errLongHead says that the head of an answer does not end within its bound.
var errLongHead = errors.Errorf("the head is longer than %d bytes", maxHead)

// errNoBody says that the connection has ended after a head that states no length.
var errNoBody = errors.WithMessage(io.ErrUnexpectedEOF, "no length and no body")

// ErrClosed says that the backend server's side has closed the connection before the end of
// an answer. It comes with ErrUnknownOutcome, or by the error of an answer's body.
var ErrClosed = errors.New("connection closed by the backend server")

// What Listens finds out of a backend server.
var (
	// ErrRefused says that its machine answers and its port is closed.
	ErrRefused = errors.New("the backend server's port is closed")
	// ErrSilent says that nothing answers at its address.
	ErrSilent = errors.New("nothing answers at the backend server's address")
)

// closedError is an error that also matches ErrClosed.
type closedError struct{ error }

// Is implements the interface of errors.Is.
func (closedError) Is(target error) bool { return errors.Is(target, ErrClosed) }

// Unwrap returns the error itself.
func (e closedError) Unwrap() error { return e.error }

// MarkClosed makes an error match ErrClosed if its cause is that the connection was closed
// by the other side.
func MarkClosed(err, cause error) error {
	if errors.Is(cause, ErrClosed) || errors.Is(cause, io.EOF) || errors.Is(cause, io.ErrUnexpectedEOF) || errors.Is(cause, syscall.ECONNRESET) || errors.Is(cause, syscall.EPIPE) {
		return closedError{err}
	}
	return err
}

// ErrBadAnswer says that what came back is no answer to the request.
var ErrBadAnswer = errors.New("bad answer")
