package front

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/serve/gate"
	"github.com/chicoryrock/chicoryrock/internal/serve/upstream"
	"github.com/chicoryrock/chicoryrock/internal/state/origin"
	"github.com/chicoryrock/chicoryrock/internal/state/routing"
	"github.com/chicoryrock/chicoryrock/platform"
)

// entryTimeout bounds the read of an entry by a process that can do without.
const entryTimeout = 300 * time.Millisecond

// errRestarted says that a server was listed late as another build.
var errRestarted = errors.New("the server has started again as another build, and may have begun the stream")

// takesUp reports whether the caller has a part of the stream that it asks for.
func (c *call) takesUp() bool { return c.route.Kind == routing.Stream && c.ask.LastEvent != "" }

// findOrigin finds out which software began a stream that its caller takes up, and has the
// call go on there only. Error: *gate.RefusedError.
func (c *call) findOrigin() error {
	if !c.takesUp() {
		return nil
	}
	f := c.front
	if c.route.Resumable {
		c.stream.After = c.ask.LastEvent
	}
	c.began = f.Origins.Began(c.begin, c.request.Workspace, c.ask.Resumes)
	record, err := f.Origins.Find(c.ctx, c.request.Workspace, c.ask.Resumes, c.request.Pool, c.request.Model)
	if err != nil {
		return &gate.RefusedError{Reason: chicoryrock.ReasonVersionUnknown}
	}
	now := time.Now()
	c.trail.Write(event.OriginFound, now, zap.String("service", record.Service), zap.String("software", record.Version))
	if !c.route.HasService(record.Service) {
		return &gate.RefusedError{Reason: chicoryrock.ReasonVersionGone}
	}
	c.origin = origin.Software{Service: record.Service, Version: chicoryrock.BuildFor(record.Version, c.request.Model)}
	for i := range record.Attempts {
		if !c.believes(&record.Attempts[i]) {
			return &gate.RefusedError{Reason: chicoryrock.ReasonVersionUnknown}
		}
	}
	c.request = c.describe(time.Now(), f.Table())
	return nil
}

// believes reports whether the server of an attempt had the build that began the stream: it is
// listed with it, or the starts that had another one can't have answered.
func (c *call) believes(attempt *origin.Attempt) bool {
	if c.front.Verify == nil {
		return true
	}
	listed, err := c.listed(attempt.Server)
	switch {
	case errors.Is(err, chicoryrock.ErrNotFound):
		err = nil
	case err != nil:
		if c.began { // the store can't be read, but this process has served the stream
			return true
		}
	case chicoryrock.BuildFor(listed.Build(), c.request.Model) == c.origin.Version || attempt.Before(listed.StartedMs):
	case c.weights != "" && attempt.SentTo(listed.StartedMs) && listed.HasSoftware(c.origin.Version):
		// It has replaced its weights since its answer, which stated those that wrote the stream.
	default:
		err = errRestarted
	}
	if err == nil && c.startedBetween(attempt) {
		err = errRestarted
	}
	if err != nil {
		c.front.Log.Write(event.OriginUnread, zap.String("ref", c.ask.ID), zap.String("key", attempt.Server), event.Cause(err))
	}
	return err == nil
}

// startedBetween reports whether a server was listed lately with another build than the stream's,
// of a start after the one known at an attempt that may have answered it. Its entry has only its
// latest start.
func (c *call) startedBetween(attempt *origin.Attempt) bool {
	if c.front.Starts == nil {
		return false
	}
	return slices.ContainsFunc(c.front.Starts(attempt.Server), func(start chicoryrock.Server) bool {
		return start.StartedMs > attempt.StartedMs && !attempt.Before(start.StartedMs) &&
			chicoryrock.BuildFor(start.Build(), c.request.Model) != c.origin.Version
	})
}

// listed reads the entry of a backend server from the store. A process that has served the stream
// itself doesn't wait long for it.
func (c *call) listed(server string) (chicoryrock.Server, error) {
	ctx := c.ctx
	if c.began {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, entryTimeout)
		defer cancel()
	}
	return c.front.Verify(ctx, server)
}

// attemptAt describes an attempt that is sent to a backend server.
func attemptAt(sent time.Time, replica *chicoryrock.Replica) origin.Attempt {
	return origin.Attempt{Server: replica.Name, StartedMs: replica.StartedMs, SentMs: sent.UnixMilli()}
}

// verify reports whether a backend server has the version that began the stream which goes on
// there. What this process knows of servers may be from before their last starts, also of the
// one that began the stream. Error: *gate.RefusedError where the version can't be found out.
func (c *call) verify(replica *chicoryrock.Replica) (bool, error) {
	if c.origin.Version == "" || c.front.Verify == nil {
		return true, nil
	}
	if c.beganBy.Server != "" && c.beganBy.Server != replica.Name && !c.believes(&c.beganBy) {
		return false, &gate.RefusedError{Reason: chicoryrock.ReasonVersionUnknown}
	}
	listed, err := c.listed(replica.Name)
	switch {
	case err == nil && chicoryrock.BuildFor(listed.Build(), c.request.Model) == c.request.Version:
		return true, nil
	case err == nil || errors.Is(err, chicoryrock.ErrNotFound): // it started again, or has gone
		if c.turned++; c.turned < maxTurns && c.request.Only == "" {
			return false, nil
		}
	case c.began: // the store can't be read, but this process has served the stream
		return true, nil
	}
	c.front.Log.Write(event.OriginUnread, zap.String("ref", c.ask.ID), zap.String("key", replica.Name), event.Cause(err))
	return false, &gate.RefusedError{Reason: chicoryrock.ReasonVersionUnknown}
}

// mayBegin reports whether a stream that callers may take up may begin at a backend server, and
// has its build recorded before the request is sent. A request that was recorded for another
// build goes to servers of that one while there are some. Error: *gate.RefusedError.
func (c *call) mayBegin(now time.Time, replica *chicoryrock.Replica) (bool, error) {
	if c.started || !c.request.Resumable && !c.takesUp() {
		return true, nil
	}
	software := origin.Software{Service: replica.Pool, Version: c.request.BuildAt(replica)}
	c.recorded = c.front.Origins.Send(now, c.request.Workspace, c.ask.ID, software, c.recorded, attemptAt(now, replica))
	if c.recorded == software {
		return true, nil
	}
	request := *c.request
	request.Version = c.recorded.Version
	if c.recorded.Service == software.Service && c.front.Gate.Servable(now, &request) {
		c.request.Version = c.recorded.Version
		return false, nil
	}
	if err := c.front.Origins.Move(c.ctx, c.request.Workspace, c.ask.ID, software, attemptAt(now, replica)); err != nil {
		return false, &gate.RefusedError{Reason: chicoryrock.ReasonVersionGone}
	}
	c.recorded = software
	return true, nil
}

// boundToBuild reports whether the next attempt's answer has to be of the build that its server
// is believed to have: it is a part of a stream that others may go on with, or have begun.
func (c *call) boundToBuild() bool {
	return c.request.Resumable || c.takesUp() || c.started || c.request.Only != ""
}

// expects returns the version of the weights that a backend server's answer is to be of: those that
// wrote the stream, or those of its entry; empty for any.
func (c *call) expects(replica *chicoryrock.Replica) string {
	switch {
	case !c.boundToBuild():
		return ""
	case c.started && c.weights != "":
		return c.weights
	}
	return chicoryrock.WeightsOf(replica.Weights, c.request.Model)
}

// checkWeights checks which weights an answer states, as a server may have replaced its weights
// since it was listed. Error: upstream.ErrBadAnswer.
func (c *call) checkWeights(answer *upstream.Answer) error {
	stated := platform.Weights(answer.Header)
	if stated == "" || c.expected == "" || stated == c.expected {
		return nil
	}
	c.front.Metrics.Foreign(c.route.Name)
	return errors.Wrapf(upstream.ErrBadAnswer, "weights %.40q answer for %.40q", stated, c.expected)
}

// streamBegan notes which software wrote the first event that the caller gets. From here on
// the stream goes on only there, whichever way. Callers may take it up if it may be resumed.
func (c *call) streamBegan(now time.Time, answer *upstream.Answer) {
	c.origin, c.began, c.beganBy = c.software, true, c.attempted
	c.weights = platform.Weights(answer.Header)
	c.request.Version, c.request.Continues = c.origin.Version, true
	if c.request.Resumable || c.takesUp() {
		c.front.Origins.Begin(now, c.request.Workspace, c.ask.ID, c.software, c.attempted)
	}
}

// weightsChanged takes in that the weights have changed within the stream: from here on it goes on
// nowhere else, also for whoever takes it up.
func (c *call) weightsChanged(weights string) {
	c.mixed = true
	c.front.Observe(time.Now(), startOf(c.replica), c.statedWeights(c.replica, weights))
	ids := []string{c.ask.ID}
	switch {
	case c.takesUp():
		ids = append(ids, c.ask.Resumes)
	case !c.request.Resumable:
		return
	}
	c.front.Origins.Mix(c.ctx, c.request.Workspace, ids, c.origin)
}

// streamEnded records that the caller has got the whole stream.
func (c *call) streamEnded(now time.Time) {
	if c.origin.Version != "" {
		c.front.Origins.End(now, c.request.Workspace, c.ask.ID)
	}
}

// mayGoOn reports whether a stream that broke off may go on at a backend server.
func (c *call) mayGoOn(now time.Time) bool {
	return c.stream.GoesOn() && !c.mixed && c.origin.Version != "" && c.front.Gate.Servable(now, c.request)
}
