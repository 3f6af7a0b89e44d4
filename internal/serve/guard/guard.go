// Package guard keeps the parts of a process running: followers, peers, duties and
// timers. One that panics, or that ends with an error, takes neither the process down
// nor stays away: it is logged and starts again.
package guard

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/serve/pause"
)

const (
	// firstPause is the wait before a part that has failed starts again; each further
	// failure in a row doubles it, up to longestPause.
	firstPause   = 100 * time.Millisecond
	longestPause = 5 * time.Second
	// soundTime is how long a part has to run for its failures to count no more.
	soundTime = 10 * time.Second
	// mostFailures is after how many failures in a row a part counts as down.
	mostFailures = 3
)

// ErrPanicked says that a part has panicked.
var ErrPanicked = errors.New("panicked")

// Try runs a function. A panic is logged and becomes an error. Errors: ErrPanicked; the
// function's own.
func Try(log *event.Log, part string, run func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			log.Write(event.PartPanicked, zap.String("part", part), zap.Any("cause", cause), zap.Stack("stack"))
			err = errors.Wrapf(ErrPanicked, "%s: %v", part, cause)
		}
	}()
	return run()
}

// Parts are the parts of a process. Set the exported fields before use.
type Parts struct {
	Log *event.Log
	// Strict says that an error of a part, unlike its panic, ends the process: for
	// processes that are started by hand, whose faults a person should see.
	Strict bool

	mutex sync.Mutex
	parts map[string]*state
}

// state is what became of a part.
type state struct {
	failures int // in a row
	started  time.Time
}

// Keep runs a part until the context ends, again and again if need be. Error: that of
// the part, if the parts are strict.
func (p *Parts) Keep(ctx context.Context, part string, run func(ctx context.Context) error) error {
	for {
		p.begin(time.Now(), part)
		err := Try(p.Log, part, func() error { return run(ctx) })
		if err == nil || ctx.Err() != nil || p.Strict && !errors.Is(err, ErrPanicked) {
			return err
		}
		wait := p.failed(time.Now(), part)
		p.Log.Write(event.PartFailed, zap.String("part", part), zap.Duration("wait", wait), event.Cause(err))
		pause.For(ctx, wait)
	}
}

func (p *Parts) begin(now time.Time, part string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.parts == nil {
		p.parts = make(map[string]*state)
	}
	if p.parts[part] == nil {
		p.parts[part] = &state{}
	}
	p.parts[part].started = now
}

// failed notes a failure and returns the wait before the part starts again.
func (p *Parts) failed(now time.Time, part string) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	s := p.parts[part]
	if now.Sub(s.started) >= soundTime {
		s.failures = 0
	}
	s.failures++
	return min(firstPause<<min(s.failures-1, 10), longestPause)
}

// Sound says whether all parts run, as far as is known: none has failed again and again
// and has not run for a while since.
func (p *Parts) Sound(now time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, s := range p.parts {
		if s.failures >= mostFailures && now.Sub(s.started) < soundTime {
			return false
		}
	}
	return true
}
