// Package chicoryrock defines what all packages of the router share: interfaces
// with several implementations, the data types that packages exchange, and
// sentinel errors.
//
// It imports no other package of the module, so that every package below
// internal/ can import it without a cycle.
package chicoryrock

import (
	"github.com/pkg/errors"
)

// Sentinel errors. Implementations wrap them with context; callers test them
// with errors.Is.
var (
	// ErrNotFound means that the store has no such key.
	ErrNotFound = errors.New("not found")
	// ErrConflict means that a compare-and-swap failed because the key's revision
	// was not the expected one. The write did not take effect.
	ErrConflict = errors.New("revision conflict")
	// ErrCompacted means that the store no longer keeps the requested changes.
	ErrCompacted = errors.New("history no longer kept")
	// ErrUnavailable means that an external system refused the call, or could not
	// be reached before the call left this process. The call did not take effect.
	ErrUnavailable = errors.New("unavailable")
	// ErrUnknownOutcome means that a call was sent but not answered, so it may or
	// may not have taken effect. The caller must read back before it goes on.
	ErrUnknownOutcome = errors.New("outcome unknown")
	// ErrFenced means that a newer holder of the same duty has been seen.
	ErrFenced = errors.New("fenced off by a newer holder")
	// ErrStale means that a revision is older than the one in force.
	ErrStale = errors.New("stale revision")
	// ErrNotRun means that a request certainly did not start on a backend server.
	ErrNotRun = errors.New("not run")
	// ErrTruncated means that an answer ended before its end marker.
	ErrTruncated = errors.New("answer cut short")
	// ErrInvalid means that an input failed validation.
	ErrInvalid = errors.New("invalid")
	// ErrUnknownKey means that the presented key belongs to no workspace.
	ErrUnknownKey = errors.New("unknown key")
	// ErrNoRoute means that no route serves the model or service for the workspace.
	ErrNoRoute = errors.New("no route")
)
