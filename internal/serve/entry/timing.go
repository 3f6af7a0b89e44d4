package entry

import (
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

// timing is what the entry measures itself of one attempt on one replica.
type timing struct {
	sent   time.Time
	first  time.Time
	last   time.Time
	tokens int
}

func (t *timing) token(now time.Time) {
	if t.tokens == 0 {
		t.first = now
	}
	t.last = now
	t.tokens++
}

// observation returns what an attempt that ended with the given error says of its
// replica. A refusal by a full or leaving agent says nothing of its speed.
func (t *timing) observation(err error) chicoryrock.Observation {
	seen := chicoryrock.Observation{Lost: lost(err)}
	if t.tokens > 0 {
		seen.First = t.first.Sub(t.sent)
	}
	if t.tokens > 1 {
		seen.Between = t.last.Sub(t.first) / time.Duration(t.tokens-1)
	}
	return seen
}

func lost(err error) bool {
	return errors.Is(err, chicoryrock.ErrUnknownOutcome) ||
		errors.Is(err, chicoryrock.ErrTruncated) ||
		errors.Is(err, errUnreachable)
}
