// Package chicoryrock holds what every other package of the router shares: the
// interfaces whose implementations vary, the plain data that crosses package
// borders, and the sentinel errors that callers test with errors.Is.
//
// It imports no other package of the module, so that every implementation
// below internal/ can import it without a cycle.
package chicoryrock

import (
	"github.com/pkg/errors"
)

// Sentinel errors. Implementations wrap them with context; callers test them
// with errors.Is.
var (
	// ErrNotFound says that the store has no such key.
	ErrNotFound = errors.New("not found")
	// ErrConflict says that a compare-and-swap lost: the key's revision was not
	// the expected one. The write certainly did not take effect.
	ErrConflict = errors.New("revision conflict")
	// ErrCompacted says that the store has dropped the changes asked for.
	ErrCompacted = errors.New("history no longer kept")
	// ErrUnavailable says that an outside system refused or could not be reached
	// before the call left this process. The call did not take effect.
	ErrUnavailable = errors.New("unavailable")
	// ErrUnknownOutcome says that a call was sent but got no answer, so it may or
	// may not have taken effect. The caller reads back before anything else.
	ErrUnknownOutcome = errors.New("outcome unknown")
	// ErrFenced says that a newer holder of the same duty has been seen.
	ErrFenced = errors.New("fenced off by a newer holder")
	// ErrStale says that a revision is older than one already in force.
	ErrStale = errors.New("stale revision")
	// ErrNotRun says that a request certainly never began on a backend server.
	ErrNotRun = errors.New("not run")
	// ErrTruncated says that an answer ended before its end marker.
	ErrTruncated = errors.New("answer cut short")
	// ErrInvalid says that an input failed its checks.
	ErrInvalid = errors.New("invalid")
	// ErrUnknownKey says that no workspace holds the key presented.
	ErrUnknownKey = errors.New("unknown key")
	// ErrNoRoute says that no route serves the model or service for this workspace.
	ErrNoRoute = errors.New("no route")
)
