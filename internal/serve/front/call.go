package front

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/ops/metrics"
	"github.com/chicoryrock/chicoryrock/internal/ops/trail"
	"github.com/chicoryrock/chicoryrock/internal/policy/memory"
	"github.com/chicoryrock/chicoryrock/internal/policy/retry"
	"github.com/chicoryrock/chicoryrock/internal/policy/sequence"
	"github.com/chicoryrock/chicoryrock/internal/policy/suspect"
	"github.com/chicoryrock/chicoryrock/internal/serve/gate"
	"github.com/chicoryrock/chicoryrock/internal/serve/reserve"
	"github.com/chicoryrock/chicoryrock/internal/serve/upstream"
	"github.com/chicoryrock/chicoryrock/internal/state/origin"
	"github.com/chicoryrock/chicoryrock/internal/state/routing"
	"github.com/chicoryrock/chicoryrock/platform"
)

// maxTurns is how many backend servers a request is offered to that turn it away without
// running it.
const maxTurns = 4

// The ways in which an attempt fails. The first two match chicoryrock.ErrNotRun:
// it certainly did not run.
var (
	// errUnsent says that no byte of the request was sent.
	errUnsent = errors.WithMessage(chicoryrock.ErrNotRun, "not sent")
	// errTurned says that a backend server turned the request away.
	errTurned = errors.WithMessage(chicoryrock.ErrNotRun, "turned away")
	// errFailed says that the backend server answered with a failure of its own.
	errFailed = errors.New("the backend server failed")
	// errMoved says that a call's route leads to other services than when it came.
	errMoved = errors.New("the route has moved")
	// errShutdown ends the calls that are open when the process has to end.
	errShutdown = errors.New("the process is shutting down")
	// errCallerGone says that the answer could not be written.
	errCallerGone = errors.New("the caller has left")
)

// call is one request on its way through the front.
type call struct {
	front     *Front
	w         http.ResponseWriter
	r         *http.Request
	ask       chicoryrock.RequestHeader
	route     *routing.Route
	workspace *routing.Workspace
	body      []byte
	hold      *reserve.Hold // its memory; nil without limits
	request   *chicoryrock.Request
	ranks     int // of priority that requests for its service have
	begin     time.Time
	until     time.Time // when the caller or the route gives up
	ctx       context.Context
	stop      context.CancelCauseFunc // of ctx

	sent      int                  // attempts that reached a backend server and were not turned away
	turned    int                  // attempts that were turned away or could not be sent
	begun     bool                 // an attempt may have run
	counted   bool                 // the request stands in the workspace's usage
	started   bool                 // the answer's header has gone out
	status    int                  // of the answer that the caller got
	first     time.Duration        // from its arrival to the first token, or the answer
	longest   time.Duration        // between two events, as the caller saw them
	got       bool                 // the attempt under way has had an event
	last      time.Time            // when its last event came
	pause     time.Duration        // the longest between two of its events
	stream    sequence.Stream      // what the caller has of a stream
	gotAt     time.Time            // when its first event came
	endKnown  bool                 // its answer stated where it ends
	settled   bool                 // it has run for suspect.Probation
	software  origin.Software      // of the attempt's backend server
	attempted origin.Attempt       // the attempt whose answer is taken in
	replica   *chicoryrock.Replica // that the attempt was sent to
	expected  string               // the version of the weights that the attempt's answer is to be of; empty for any
	weights   string               // the version that wrote the stream, as its first answer states it
	mixed     bool                 // the version of the weights has changed within the stream
	recorded  origin.Software      // at which its stream is to begin, as recorded
	origin    origin.Software      // that began the stream; zero before its first event
	began     bool                 // this process has served the stream, in this call or before
	beganBy   origin.Attempt       // that began the stream in this call; zero for none
	trial     bool                 // it is the trial of a ban
	attempts  int                  // that were begun, for their names
	// answeredBy is where answers to the request have come from. One of them may be written
	// again on its connection, where it would pass for the answer to a later attempt.
	answeredBy []netip.AddrPort
	print      *suspect.Fingerprint // once it has been taken
	parts      []suspect.Fingerprint
	partsOf    string // the pool that parts are of
	source     string // the server from which the attempt's may fetch parts of the prompt; empty for none
	copies     copies
	granted    string // the server whose slot the request has
	trail      trail.Trail
	limitWait  bool     // its deadline is that of a wait for a server's limit
	waited     bool     // it was not given a backend server at once
	failure    *failure // the last failure that a backend server answered with
}

// failure is a backend server's own failed answer, held while others are tried.
type failure struct {
	status int
	header http.Header
	body   []byte
}

// run serves the call: one backend server after another until it is answered or
// may not be tried again.
func (c *call) run() {
	f := c.front
	if err := c.judge(c.begin); err != nil {
		c.end(err)
		return
	}
	f.suspects.addCall(c)
	defer f.suspects.removeCall(c)
	if err := c.findOrigin(); err != nil {
		c.end(err)
		return
	}
	f.fresh(c.begin, c.request.Pool)
	f.asked(c.begin, c.request)
	if !c.hasRoom(c.begin) {
		c.refused(c.begin, chicoryrock.ReasonServerLimit)
		return
	}
	defer func() {
		// A panic ends the call, and must not keep the slot.
		if c.granted != "" {
			now := time.Now()
			f.done(now, c.request, 0, false)
			f.Gate.Finish(now, c.request, c.granted)
		}
	}()
	replica, seen, err := f.Gate.Acquire(c.ctx, c.begin, c.request)
	if seen.Waits {
		c.waited = true
		c.trail.Write(event.Queued, time.Now(), zap.Int("higher", seen.Higher), zap.Bool("given", err == nil))
	}
	for err == nil {
		c.granted = replica.Name
		c.placed(&replica)
		matches := true
		if err = c.current(); err == nil {
			matches, err = c.verify(&replica)
		}
		if err == nil && matches {
			matches, err = c.mayBegin(time.Now(), &replica)
		}
		if err != nil {
			now := time.Now()
			f.done(now, c.request, 0, false)
			c.granted = ""
			f.Gate.Finish(now, c.request, replica.Name)
			if !errors.Is(err, errMoved) {
				break
			}
			c.request = c.describe(c.begin, f.Table())
			replica, _, err = f.Gate.Acquire(c.ctx, now, c.request)
			continue
		}
		sent := time.Now()
		if !matches || !f.Gate.Takes(sent, c.request, replica.Name) {
			// It has said so since, to another request, or is of another version.
			f.done(sent, c.request, 0, false)
			c.granted = ""
			replica, err = c.reacquire(sent, replica.Name)
			continue
		}
		replica, err = c.attempt(replica)
		now := time.Now()
		f.Needs.RecordSlotTime(c.request, now.Sub(sent))
		c.ended(now, &replica, err)
		f.done(now, c.request, c.pause, blames(err) && c.ctx.Err() == nil)
		if err == nil || !c.again(now, &replica, err) {
			c.granted = ""
			f.Gate.Finish(now, c.request, replica.Name)
			break
		}
		c.granted = ""
		replica, err = c.reacquire(now, replica.Name)
	}
	c.end(err)
}

// reacquire waits for another backend server after an attempt. A request whose stream has not
// begun stays with its recorded build only while that has servers.
func (c *call) reacquire(now time.Time, failed string) (chicoryrock.Replica, error) {
	replica, err := c.front.Gate.Reacquire(c.ctx, now, c.request, failed)
	var refused *gate.RefusedError
	if errors.As(err, &refused) && refused.Reason == chicoryrock.ReasonVersionGone && c.origin.Version == "" {
		c.request.Version = ""
		replica, _, err = c.front.Gate.Acquire(c.ctx, time.Now(), c.request)
	}
	return replica, err
}

// placed notes which backend server was chosen, and by what.
func (c *call) placed(replica *chicoryrock.Replica) {
	now := time.Now()
	choice, known := c.front.choice(c.request)
	if c.sent+c.turned == 0 {
		c.front.Metrics.Wait(c.route.Name, now.Sub(c.begin))
	}
	if known && c.request.PromptTokens > 0 {
		c.front.Metrics.Prompt(c.request.Pool, choice.UnreadTokens, c.request.PromptTokens-choice.UnreadTokens)
	}
	c.source = choice.FetchFrom
	c.trail.Write(event.Placed, now, zap.String("server", replica.Name), zap.String("software", replica.Version), zap.String("centre", replica.Centre),
		zap.Duration("first", choice.TimeToFirstToken), zap.Int("unread", choice.UnreadTokens), zap.Int("ahead", choice.BacklogTokens), zap.Int("open", choice.OpenRequests),
		zap.Float64("speed", choice.Slowdown), zap.Bool("reader", choice.TakesLongPrompts), zap.Duration("age", choice.PeerLoadAge), zap.Int("of", choice.Replicas), zap.Bool("limited", choice.Limited),
		zap.String("fetch", choice.FetchFrom), passed("evacuated", choice.Evacuated), passed("outside", choice.OutOfRegion))
}

// current checks a call that has waited against the configuration in force now: its
// key may have been withdrawn or given to another workspace. It returns errMoved where
// its route leads to other services. In a shutdown, what has not been sent yet isn't if it can't
// end before the process does.
func (c *call) current() error {
	table := c.front.Table()
	route, workspace, reason := admit(table, c.r, c.ask.Key)
	if reason != chicoryrock.ReasonNone {
		return &gate.RefusedError{Reason: reason}
	}
	c.route, c.workspace = route, workspace
	c.bind()
	if now := time.Now(); c.sent == 0 && !c.front.takes(now, route, c.until.Sub(now)) {
		return &gate.RefusedError{Reason: chicoryrock.ReasonShutdown}
	}
	switch {
	case route.HasService(c.request.Pool):
	case c.request.Only != "":
		// It has run already, and another service would run it from its start.
		return &gate.RefusedError{Reason: chicoryrock.ReasonNoServer}
	case c.request.Version != "":
		return &gate.RefusedError{Reason: chicoryrock.ReasonVersionGone}
	default:
		return errMoved
	}
	if err := c.maySend(); err != nil {
		return err
	}
	if c.hold.Move(memory.Running, nil) != nil {
		return &gate.RefusedError{Reason: chicoryrock.ReasonNoRoom}
	}
	return nil
}

// blames says whether a failed attempt speaks against its backend server.
func blames(err error) bool {
	return err != nil && !errors.Is(err, errCallerGone) && !errors.Is(err, errFailed)
}

// again decides whether a failed call goes on, and prepares the next attempt.
func (c *call) again(now time.Time, replica *chicoryrock.Replica, failure error) bool {
	if errors.Is(failure, errCallerGone) || c.ctx.Err() != nil {
		return false
	}
	c.countFailed(now, replica, failure)
	if c.verdict(now).State != suspect.Clean {
		return false
	}
	if c.takeOver(now, replica, failure) {
		return true
	}
	if c.sent >= c.route.MaxAttempts || c.turned >= maxTurns || c.request.Only != "" {
		return false
	}
	c.request.Deadline = c.until
	if c.started && !c.mayGoOn(now) {
		return false
	}
	if !c.started && !c.hasRoom(now) {
		return false
	}
	verdict := c.front.decide(now, c.request.Pool, retry.Attempt{
		Request:    c.request,
		Err:        failure,
		NoCapacity: errors.Is(failure, errUnsent),
		Sent:       c.sent,
		Rejections: c.turned,
		Tokens:     c.stream.Events(),
		Started:    c.started,
		Resumable:  c.route.Resumable,
	})
	if verdict.Action == retry.Fail {
		return false
	}
	c.front.served.repeated.Add(1)
	c.front.Metrics.Retry(c.route.Name)
	if verdict.Action == retry.Resume {
		c.trail.Write(event.Resumed, now, zap.String("after", c.stream.Last()))
	}
	return true
}

// attempt sends the request to a backend server and relays its answer. It returns the server
// that answered, which is another one where the request was hedged.
func (c *call) attempt(replica chicoryrock.Replica) (chicoryrock.Replica, error) {
	if c.mayHedge() {
		return c.race(replica)
	}
	sent := time.Now()
	answer, err := c.front.Upstream.Do(c.ctx, c.message(sent, &replica))
	return replica, c.take(sent, &replica, answer, err)
}

// message returns the request as it is sent to a backend server.
func (c *call) message(sent time.Time, replica *chicoryrock.Replica) *upstream.Call {
	c.attempts++
	stamp := platform.Stamp{
		Server:  replica.Name,
		Left:    c.until.Sub(sent),
		Rank:    c.request.Tier - 1,
		Ranks:   c.ranks,
		Resume:  c.stream.Last(),
		Fetch:   c.front.address(replica.Pool, c.source),
		Weights: c.expects(replica),
	}
	stamp.Backup, stamp.FromCopy = c.nextCopy(sent, replica)
	if c.workspace != nil {
		stamp.Workspace = c.workspace.Name
	}
	return &upstream.Call{
		Address: replica.Address,
		Method:  c.r.Method,
		Target:  target(c.r),
		Host:    c.r.Host,
		Header:  platform.Forward(c.r.Header, stamp),
		Body:    c.body,
		Framed:  c.r.ContentLength != 0,
		Fragile: !c.request.Idempotent,
		Most:    c.front.connections(c.request.Pool),
		Fresh:   slices.Contains(c.answeredBy, replica.Address),
		Mine:    func(header http.Header) bool { return platform.Answers(header, c.ask.ID) },
	}
}

// take takes in what came of an attempt, and relays its answer.
func (c *call) take(sent time.Time, replica *chicoryrock.Replica, answer *upstream.Answer, err error) error {
	c.got, c.pause = false, 0
	c.endKnown, c.settled = false, false
	c.software = origin.Software{Service: replica.Pool, Version: c.request.BuildAt(replica)}
	c.replica, c.attempted, c.expected = replica, attemptAt(sent, replica), c.expects(replica)
	if errors.Is(err, chicoryrock.ErrNotRun) {
		return errors.Wrap(errUnsent, err.Error())
	}
	c.front.countSent(sent, replica.Name, c.sent+c.turned > 0)
	if err != nil {
		c.begun = true
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	c.answeredBy = append(c.answeredBy, replica.Address)
	if platform.Identified(answer.Status, answer.Header) {
		c.observe(replica, answer)
		c.limited(sent, replica.Name, answer)
	}
	return c.relay(answer)
}

// count puts the request on its workspace's bill, once.
func (c *call) count() {
	if c.counted || c.workspace == nil {
		return
	}
	c.counted = true
	c.front.Began(time.Now(), c.workspace.Name)
}

// end gives the caller its final answer where it has none yet.
func (c *call) end(err error) {
	now := time.Now()
	switch {
	case err == nil:
		c.streamEnded(now)
		c.front.served.answered.Add(1)
		c.front.runs.Record(now, c.route.Name, now.Sub(c.begin))
		late := c.late()
		c.trail.Write(event.Answered, now, zap.Int("status", c.status), zap.Duration("first", c.first), zap.Duration("pause", c.longest),
			zap.Int("events", c.stream.Events()), zap.Int("sent", c.sent+1), zap.Bool("late", late))
		c.close(now, chicoryrock.OutcomeServed, chicoryrock.ReasonNone, late || c.sent > 0 || c.waited || c.ask.LastEvent != "")
	case c.r.Context().Err() != nil || errors.Is(err, errCallerGone):
		c.front.served.left.Add(1)
		c.trail.Write(event.Cancelled, now, zap.Int("sent", c.sent), zap.Int("events", c.stream.Events()), event.Cause(err))
		c.close(now, chicoryrock.OutcomeCancelled, chicoryrock.ReasonNone, true)
		// A caller that has only closed its sending side still reads: without this, the
		// server would complete the answer, which is none.
		c.abort()
	case c.started:
		c.failed(now, chicoryrock.ReasonBroken, err)
		c.abort()
	default:
		c.refuseOrFail(now, err)
	}
}

// late says whether an answer came later than its route's targets.
func (c *call) late() bool {
	return c.first > c.request.FirstTokenTarget || c.request.MaxTokenGap > 0 && c.longest > c.request.MaxTokenGap
}

// close writes the call's decisions and counts it.
func (c *call) close(now time.Time, outcome chicoryrock.Outcome, reason chicoryrock.Reason, unusual bool) {
	f := c.front
	f.Metrics.Request(metrics.Ended{Class: c.route.Name, Workspace: c.request.Workspace, Outcome: outcome, Reason: reason})
	f.Metrics.Verdict(c.route.Name, outcome == chicoryrock.OutcomeServed && !c.late())
	if c.first > 0 {
		f.Metrics.First(c.route.Name, c.first)
	}
	f.trails.End(now, &c.trail, unusual)
}

// failed notes a call that ran, or may have, and has no whole answer.
func (c *call) failed(now time.Time, reason chicoryrock.Reason, err error) {
	c.front.served.failed.Add(1)
	c.trail.Write(event.Failed, now, zap.Stringer("reason", reason), zap.Int("sent", c.sent), zap.Int("turned", c.turned),
		zap.Int("events", c.stream.Events()), event.Cause(err))
	c.close(now, chicoryrock.OutcomeFailed, reason, true)
}

// refuseOrFail answers a call that no backend server has answered.
func (c *call) refuseOrFail(now time.Time, err error) {
	f := c.front
	var refused *gate.RefusedError
	switch {
	case c.failure != nil && (c.request.Idempotent || !platform.Promises(c.failure.status)):
		c.failed(now, chicoryrock.ReasonBroken, err)
		// The caller may have left; there is nobody else to tell.
		_ = c.write(c.failure.status, c.failure.header, c.failure.body)
	case c.begun:
		reason := chicoryrock.ReasonUnknownOutcome
		status := http.StatusBadGateway
		switch {
		case c.heldBack():
			reason = chicoryrock.ReasonCrashPart
		case c.ctx.Err() != nil:
			status = http.StatusGatewayTimeout
		}
		c.failed(now, reason, err)
		f.answer(c.w, c.ask.ID, status, reason.Sentence(), 0)
	case errors.As(err, &refused) && refused.Reason == chicoryrock.ReasonLate && c.limitWait:
		c.refused(now, chicoryrock.ReasonServerLimit)
	case errors.As(err, &refused):
		c.refused(now, refused.Reason)
	case c.heldBack():
		c.refused(now, chicoryrock.ReasonCrashPart)
	case errors.Is(context.Cause(c.ctx), errShutdown):
		c.refused(now, chicoryrock.ReasonShutdown)
	case errors.Is(context.Cause(c.ctx), reserve.ErrNoRoom):
		c.refused(now, chicoryrock.ReasonNoRoom)
	case c.ctx.Err() != nil:
		c.refused(now, chicoryrock.ReasonLate)
	default:
		c.refused(now, chicoryrock.ReasonRetries)
	}
}

// refused answers a call that certainly has not run.
func (c *call) refused(now time.Time, reason chicoryrock.Reason) {
	wait := c.wait(now, reason)
	c.trail.Write(event.Refused, now, zap.Stringer("reason", reason), zap.Duration("wait", wait), zap.Int("turned", c.turned))
	c.front.Needs.RecordRefusal(c.request, reason)
	c.front.hedgeRefused(now, c.request.Pool, reason)
	c.close(now, chicoryrock.OutcomeRefused, reason, true)
	c.front.refuse(c.w, c.ask.ID, reason, wait)
}
