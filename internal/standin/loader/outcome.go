package loader

import (
	"cmp"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/standin/word"
)

// Way is where a call is sent.
type Way string

// The ways of a call.
const (
	System Way = "system" // through the system under test
	Direct Way = "direct" // straight to an engine
)

// Errors of a call.
var (
	// ErrLost says that the connection failed before the end of the answer.
	ErrLost = errors.New("connection lost")
	// ErrLate says that the call's time was up before the end of the answer.
	ErrLate = errors.New("timed out")
	// ErrRepeated says that two calls got the same reference.
	ErrRepeated = errors.New("reference given twice")
)

// Outcome is what became of one call. Times count from the moment that the trace
// gives, so that a late sender does not flatter the system.
type Outcome struct {
	Way    Way
	Key    string
	Model  string
	Status int           // zero without an answer
	Reason string        // the system's reason for a refusal
	Ref    string        // the request's name in the system
	Sent   time.Duration // how late the call was sent
	First  time.Duration // to the first token; zero unless streamed
	Gaps   []time.Duration
	Whole  time.Duration // to the end of the answer
	Tokens int           // received
	Met    bool          // whole, the call's own, and within the call's targets
	Err    error         // why an answer with status 200 is not whole or not the call's own
}

// meets tells whether the answer kept the call's targets. An answer that is not
// streamed has its first token at its end.
func (o *Outcome) meets(call Call) bool {
	if o.Status != http.StatusOK || o.Err != nil {
		return false
	}
	first := cmp.Or(o.First, o.Whole)
	if call.First > 0 && first > call.First {
		return false
	}
	return call.Token == 0 || mean(o.Gaps) <= call.Token
}

func mean(gaps []time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, gap := range gaps {
		sum += gap
	}
	return sum / time.Duration(max(1, len(gaps)))
}

// faults are the errors of a call and their names in the report.
var faults = []struct {
	err  error
	name string
}{
	{word.ErrForeign, "foreign"},
	{word.ErrOrder, "disordered"},
	{word.ErrCount, "miscounted"},
	{chicoryrock.ErrTruncated, "truncated"},
	{ErrRepeated, "repeated"},
	{ErrLate, "late"},
	{ErrLost, "lost"},
}

func fault(err error) string {
	for _, known := range faults {
		if errors.Is(err, known.err) {
			return known.name
		}
	}
	return "other"
}
