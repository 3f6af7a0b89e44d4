package front

import (
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/policy/suspect"
)

// maxUntold bounds what waits to be told to the other processes.
const maxUntold = 256

// suspects knows which requests broke off on one backend server after another,
// here or at other processes.
type suspects struct {
	mutex  sync.Mutex
	breaks suspect.FailureTracker
	untold []suspect.Outcome
}

// empty says whether nothing is known of any request.
func (s *suspects) empty() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.breaks.Empty()
}

// Untold returns what happened to requests since it was last asked, for the other
// processes.
func (f *Front) Untold() []suspect.Outcome {
	f.suspects.mutex.Lock()
	defer f.suspects.mutex.Unlock()
	untold := f.suspects.untold
	f.suspects.untold = nil
	return untold
}

// Told takes in what happened to requests at another process.
func (f *Front) Told(now time.Time, happened []suspect.Outcome) {
	f.suspects.mutex.Lock()
	defer f.suspects.mutex.Unlock()
	for _, one := range happened {
		f.suspects.breaks.Record(now, one)
	}
}

// suspected says what may be done with a call. Its fingerprint is taken only while
// anything is known of any request, as that takes time for a long body.
func (c *call) suspected(now time.Time) suspect.State {
	s := &c.front.suspects
	if s.empty() {
		return suspect.Clean
	}
	mark := c.fingerprint()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.breaks.State(now, mark)
}

// fingerprint identifies a request that comes again.
func (c *call) fingerprint() suspect.Fingerprint {
	if c.print == nil {
		workspace := ""
		if c.workspace != nil {
			workspace = c.workspace.Name
		}
		asked := strings.Join([]string{c.r.Method, c.r.Host, target(c.r), ""}, "\n")
		mark := suspect.FingerprintOf(workspace, append([]byte(asked), c.body...))
		c.print = &mark
	}
	return *c.print
}

// broke takes in how an attempt ended: a break speaks against the request, an
// answer for it.
func (c *call) broke(now time.Time, server string, err error) {
	s := &c.front.suspects
	happened := suspect.Outcome{At: now}
	switch {
	case err == nil:
		if s.empty() {
			return
		}
	case c.ctx.Err() != nil:
		return
	case errors.Is(err, chicoryrock.ErrTruncated) || errors.Is(err, chicoryrock.ErrUnknownOutcome):
		happened.Server = server
	default:
		return
	}
	happened.Fingerprint = c.fingerprint()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err == nil && !s.breaks.HasFailures(happened.Fingerprint) {
		return
	}
	s.breaks.Record(now, happened)
	if len(s.untold) < maxUntold {
		s.untold = append(s.untold, happened)
	}
	if state := s.breaks.State(now, happened.Fingerprint); state == suspect.Refused {
		c.trail.Write(event.Suspected, now, zap.String("server", server))
	}
}
