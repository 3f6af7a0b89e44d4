package entry

import (
	"cmp"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/serve/gate"
	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
)

// errUnreachable says that a replica's agent or engine could not be reached.
var errUnreachable = errors.New("backend server unreachable")

// refusedError carries the reason of a refusal through an error return.
type refusedError struct {
	reason  chicoryrock.Reason
	detail  string        // added to the reason's sentence, may be empty
	outcome string        // empty for wire.OutcomeNotRun
	after   time.Duration // when to come back; zero when the queue is to say
}

func (e *refusedError) Error() string { return e.reason.Sentence() }

func (e *refusedError) refusal() wire.Refusal {
	return wire.Refusal{Reason: e.reason, Detail: e.detail, Outcome: cmp.Or(e.outcome, wire.OutcomeNotRun), After: e.after}
}

// fromGate turns a refusal of the gate into one that can be answered.
func fromGate(err error) error {
	var refused *gate.RefusedError
	if errors.As(err, &refused) {
		return &refusedError{reason: refused.Reason}
	}
	return err
}

// notRunError says that a request certainly did not run on a replica, and why.
// It matches chicoryrock.ErrNotRun, and errUnreachable where that is the reason.
type notRunError struct {
	reason chicoryrock.Reason
}

func (e *notRunError) Error() string { return "not run: " + e.reason.String() }

// Is implements the matching of errors.Is.
func (e *notRunError) Is(target error) bool {
	if target == errUnreachable {
		return e.reason == chicoryrock.ReasonNoServer
	}
	return target == chicoryrock.ErrNotRun
}

// mayHaveRun says whether an attempt that ended so may have run.
func mayHaveRun(err error) bool {
	var refused *refusedError
	return err != nil && !errors.Is(err, chicoryrock.ErrNotRun) && !errors.As(err, &refused)
}

// isBusy says whether an agent had no room. The request goes back to its queue as
// if it had not been sent; its deadline, not a count of attempts, ends its waiting.
func isBusy(err error) bool {
	var refused *notRunError
	return errors.As(err, &refused) && (refused.reason == chicoryrock.ReasonQueueFull || refused.reason == chicoryrock.ReasonServerLimit)
}

// notRun reads the reason code that an agent gave.
func notRun(code string) error {
	var reason chicoryrock.Reason
	if err := reason.UnmarshalText([]byte(code)); err != nil {
		reason = chicoryrock.ReasonNoServer
	}
	return &notRunError{reason: reason}
}
