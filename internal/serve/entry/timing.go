package entry

import (
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/suspect"
)

// observeInterval is how often the time between tokens is observed in a stream.
const observeInterval = 100 * time.Millisecond

// timing is what the entry measures itself of one attempt on one replica.
type timing struct {
	sent   time.Time
	began  time.Time // of the first token
	seen   time.Time // of the last observation
	last   time.Time // of the newest token
	tokens int       // since the last observation
}

// token takes in a token and says whether it is time for an observation: at the
// first token, and then now and then, so that a straggler shows before its streams
// end.
func (t *timing) token(now time.Time) (chicoryrock.Observation, bool) {
	t.last = now
	if t.seen.IsZero() {
		t.began, t.seen = now, now
		return chicoryrock.Observation{TimeToFirstToken: now.Sub(t.sent)}, true
	}
	t.tokens++
	if now.Sub(t.seen) < observeInterval {
		return chicoryrock.Observation{}, false
	}
	return t.between(), true
}

// settled says whether the replica has run the attempt for a probation's time.
func (t *timing) settled(now time.Time) bool {
	return !t.began.IsZero() && now.Sub(t.began) >= suspect.Probation
}

// justSettled says whether the token that comes now is the first one for which settled is
// true.
func (t *timing) justSettled(now time.Time) bool {
	return t.settled(now) && t.last.Sub(t.began) < suspect.Probation
}

// between observes the tokens since the last observation.
func (t *timing) between() chicoryrock.Observation {
	seen := chicoryrock.Observation{TokenInterval: t.last.Sub(t.seen) / time.Duration(t.tokens)}
	t.seen = t.last
	t.tokens = 0
	return seen
}

// observation returns what the end of an attempt says of its replica. A refusal by
// a full or leaving agent says nothing of it.
func (t *timing) observation(err error) chicoryrock.Observation {
	var seen chicoryrock.Observation
	if t.tokens > 0 {
		seen = t.between()
	}
	seen.Failed = lost(err)
	return seen
}

func lost(err error) bool {
	return errors.Is(err, chicoryrock.ErrUnknownOutcome) ||
		errors.Is(err, chicoryrock.ErrTruncated) ||
		errors.Is(err, errUnreachable)
}
