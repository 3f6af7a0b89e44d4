package front

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/policy/suspect"
	"github.com/chicoryrock/chicoryrock/internal/serve/upstream"
)

const (
	// lookTime is how long after a lost connection its server is looked at for the last
	// time. Losses meanwhile share the look, so that a server that loses many connections
	// gets len(lookPauses) more in that time.
	lookTime = 100 * time.Millisecond
	// downTime is for how long losses belong to a server that was found down: as long as
	// the failures on it count as one crash.
	downTime = time.Second
	// restartTime is how long after a lost connection the entry of a new start of its
	// server shows that it went down: a process that restarts at once has its port open
	// again before it is looked at.
	restartTime = 3 * time.Second
	// maxLosses bounds the losses that are kept for that long.
	maxLosses = 256
)

// lookPauses are the pauses before the dials of a look: one at once, as the server may be
// back within a fraction of a second, and two later, as a process that ends may close its
// connections before its port. They add up to lookTime.
var lookPauses = []time.Duration{0, 20 * time.Millisecond, 80 * time.Millisecond}

// loss is a lost connection that may have been a crash of its server.
type loss struct {
	failure suspect.Failure
	ref     string // of the request
	at      time.Time
	address netip.AddrPort
	started int64 // the server's start, milliseconds since 1970; zero if not known
	closed  bool  // by the server's side
}

// look is one look at whether a server still takes connections.
type look struct {
	begun time.Time
	done  chan struct{}
	err   error // of upstream.Client.Listens; valid after done
}

// found says whether a look is over and has found its server down.
func (l *look) found() bool {
	select {
	case <-l.done:
		return l.err != nil
	default:
		return false
	}
}

// addLoss keeps a loss until it is too old for a restart of its server to tell of it.
func (s *suspects) addLoss(lost loss) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.losses = slices.DeleteFunc(s.losses, func(l loss) bool { return lost.at.Sub(l.at) >= restartTime })
	if len(s.losses) == maxLosses {
		s.losses = slices.Delete(s.losses, 0, 1)
	}
	s.losses = append(s.losses, lost)
}

// investigate records a crash if the server of a lost connection went down.
func (f *Front) investigate(lost loss) {
	switch err := f.lookAt(lost.failure.Server, lost.address, lost.at); {
	case errors.Is(err, upstream.ErrRefused):
	case errors.Is(err, upstream.ErrSilent) && lost.closed:
		// Without the close, the link to the server may be cut.
	default:
		return
	}
	f.recordCrash(time.Now(), lost)
}

// restarted records the crashes of servers whose entries show a start that the front has
// not sent to yet.
func (f *Front) restarted(now time.Time, list []chicoryrock.Server) {
	s := &f.suspects
	s.mutex.Lock()
	var crashed []loss
	s.losses = slices.DeleteFunc(s.losses, func(l loss) bool {
		if now.Sub(l.at) >= restartTime {
			return true
		}
		again := l.started != 0 && slices.ContainsFunc(list, func(server chicoryrock.Server) bool {
			return server.ID == l.failure.Server && server.StartedMs > l.started
		})
		if again {
			crashed = append(crashed, l)
		}
		return again
	})
	s.mutex.Unlock()
	for i := range crashed {
		f.recordCrash(now, crashed[i])
	}
}

// recordCrash records that a server went down as a connection to it was lost.
func (f *Front) recordCrash(now time.Time, lost loss) {
	s := &f.suspects
	s.mutex.Lock()
	defer s.mutex.Unlock()
	candidate := suspect.Candidate{Workspace: lost.failure.Workspace, Request: lost.failure.Request}
	before := s.tracker.Decide(now, &candidate).State
	lost.failure.Age = suspect.Age(now.Sub(lost.at))
	s.tracker.RecordFailure(now, lost.failure)
	s.setKnown()
	if before != suspect.Refused && s.tracker.Decide(now, &candidate).State == suspect.Refused {
		f.Log.Write(event.Suspected, zap.String("ref", lost.ref), zap.String("server", lost.failure.Server))
	}
}

// lookAt finds out whether a server that has lost a connection takes new ones. All that lost
// theirs to it within lookTime share one look. Errors: those of upstream.Client.Listens.
func (f *Front) lookAt(server string, address netip.AddrPort, at time.Time) error {
	s := &f.suspects
	s.mutex.Lock()
	known := s.looks[server]
	shared := known != nil && (at.Sub(known.begun) < lookTime || known.found() && at.Sub(known.begun) < downTime)
	if !shared {
		known = &look{done: make(chan struct{}), begun: time.Now()}
		if s.looks == nil {
			s.looks = make(map[string]*look)
		}
		for name, other := range s.looks {
			if known.begun.Sub(other.begun) > downTime {
				delete(s.looks, name)
			}
		}
		s.looks[server] = known
		go func() {
			defer close(known.done)
			if known.err = f.dial(address); known.err != nil {
				f.Log.Write(event.ServerDown, zap.String("server", server))
			}
		}()
	}
	s.mutex.Unlock()
	<-known.done
	return known.err
}

// dial tries whether a server takes connections, until one is refused or not answered.
// Errors: upstream.ErrRefused and ErrSilent.
func (f *Front) dial(address netip.AddrPort) error {
	for _, pause := range lookPauses {
		time.Sleep(pause)
		err := f.Upstream.Listens(context.Background(), address)
		if errors.Is(err, upstream.ErrRefused) || errors.Is(err, upstream.ErrSilent) {
			return err
		}
	}
	return nil
}
