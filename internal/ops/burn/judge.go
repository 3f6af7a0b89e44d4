package burn

import (
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

// Verdict is what a request counts for against its class's service level.
type Verdict int

// The verdicts.
const (
	// VerdictVoid requests do not count: they failed through their caller alone.
	VerdictVoid Verdict = iota
	VerdictGood
	VerdictBad
)

// Observed is what a caller saw of one request.
type Observed struct {
	Outcome chicoryrock.Outcome
	Reason  chicoryrock.Reason
	First   time.Duration // from arrival to the first token, or to the end if there was none
	Last    time.Duration // from arrival to the last token
	Tokens  int           // tokens of the answer
}

// callerReasons are the reasons that lie with the caller: the service would have
// refused these requests at any load.
var callerReasons = map[chicoryrock.Reason]bool{
	chicoryrock.ReasonMalformed:    true,
	chicoryrock.ReasonTooLarge:     true,
	chicoryrock.ReasonUnknownKey:   true,
	chicoryrock.ReasonWithdrawn:    true,
	chicoryrock.ReasonNoRoute:      true,
	chicoryrock.ReasonLimit:        true,
	chicoryrock.ReasonSuspect:      true,
	chicoryrock.ReasonCrashPart:    true,
	chicoryrock.ReasonCrashRequest: true,
	chicoryrock.ReasonClaimed:      true,
}

// Judge holds a request against the targets of its class. A target of zero is not
// looked at. The target between tokens is held against the mean over the answer.
//
// A caller who hung up in time makes the request void. One who hung up after the
// target for the first token, and had nothing by then, was let down.
func Judge(class *object.Class, seen Observed) Verdict {
	if callerReasons[seen.Reason] {
		return VerdictVoid
	}
	slow := class.First > 0 && seen.First > class.First
	switch seen.Outcome {
	case chicoryrock.OutcomeServed:
		if slow || class.Token > 0 && seen.gap() > class.Token {
			return VerdictBad
		}
		return VerdictGood
	case chicoryrock.OutcomeCancelled:
		if slow {
			return VerdictBad
		}
		return VerdictVoid
	default:
		return VerdictBad
	}
}

// gap returns the mean time between two tokens.
func (o Observed) gap() time.Duration {
	if o.Tokens < 2 {
		return 0
	}
	return (o.Last - o.First) / time.Duration(o.Tokens-1)
}
