package entry

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/policy/sequence"
	"github.com/chicoryrock/chicoryrock/internal/policy/suspect"
	"github.com/chicoryrock/chicoryrock/internal/serve/web"
	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

// call is one request on its way through the entry.
type call struct {
	entry      *Entry
	w          http.ResponseWriter
	r          *http.Request
	request    *chicoryrock.Request
	pool       *object.Pool
	progress   *progress
	path       string
	name       string // the model as the caller named it
	original   []byte // the body as it came
	body       []byte // the body as the agent gets it
	model      bool   // a completion, not a plain service
	stream     bool
	wantsUsage bool

	ctx        context.Context // ends when the caller goes or its key is withdrawn
	granted    bool            // a replica was given the request
	begun      bool            // an attempt may have run
	done       bool            // the answer has gone out whole
	tries      tries
	print      *suspect.Fingerprint  // once it has been taken
	parts      []suspect.Fingerprint // messages that other calls may share
	trial      bool                  // it is the trial of a ban
	sent       int                   // output tokens that the caller has
	build      string                // that answers the attempt under way
	timing     timing                // of the attempt under way
	started    bool                  // the answer's header has gone out
	completion sequence.Completion   // what the caller has of a stream
	status     int                   // of the answer
	claimed    *claimed              // nil for a call that needs no claim
	used       used                  // by the attempt under way
}

// run serves the call under its key's watch: it ends when the key is withdrawn,
// also while the request waits or runs.
func (c *call) run(who caller) {
	ctx, cancel := context.WithCancelCause(c.r.Context())
	defer cancel(nil)
	c.ctx = ctx
	c.entry.calls.add(who.key.Digest, c, cancel)
	defer c.entry.calls.remove(who.key.Digest, c)
	// The key may have been withdrawn between its check and the line above.
	c.entry.calls.withdraw(c.entry.Tables.Table())
	c.serve()
}

// serve sends the request to one replica after another until it is answered,
// refused, or may not be tried again.
func (c *call) serve() {
	c.progress.begin()
	replica, err := c.acquire(time.Now())
	for err == nil && !c.done {
		replica, err = c.try(replica)
	}
	if err != nil {
		c.fail(err)
		return
	}
	c.settle("")
	if len(c.parts) > 0 {
		c.entry.Suspects.ranWell(time.Now(), c)
	}
	if c.request.Suspect {
		c.entry.Suspects.cleared(time.Now(), c)
	}
	c.progress.end(time.Now(), chicoryrock.OutcomeServed, chicoryrock.ReasonNone)
}

// try makes one attempt on a replica. If that did not answer the call, and it may
// go on, the next replica is returned.
func (c *call) try(replica chicoryrock.Replica) (chicoryrock.Replica, error) {
	err := c.observedAttempt(&replica)
	if err == nil {
		c.done = true
	} else {
		err = c.again(time.Now(), &replica, err)
	}
	if err != nil || c.done {
		c.entry.gate.Finish(time.Now(), c.request, replica.Name)
		return replica, err
	}
	next, err := c.entry.gate.Reacquire(c.ctx, time.Now(), c.request, replica.Name)
	return next, fromGate(err)
}

// observedAttempt is an attempt with what its course says of the replica and of the
// need for more of them.
func (c *call) observedAttempt(replica *chicoryrock.Replica) error {
	c.granted = true
	now := time.Now()
	c.progress.sent(now, replica, c.sent > 0)
	c.timing = timing{sent: now}
	err := c.attemptWatched(replica)
	c.begun = c.begun || mayHaveRun(err)
	now = time.Now()
	c.entry.gate.Observe(now, replica, c.timing.observation(err))
	if !errors.Is(err, chicoryrock.ErrNotRun) {
		c.entry.Needs.RecordSlotTime(c.request, now.Sub(c.timing.sent))
	}
	return err
}

// acquire claims a call that may not be repeated, before it takes up a place in
// the queue, and waits for a replica.
func (c *call) acquire(now time.Time) (chicoryrock.Replica, error) {
	c.entry.retrier.fresh(now)
	if err := c.judge(now); err != nil {
		return chicoryrock.Replica{}, err
	}
	if err := c.entry.Limits.allow(now, c.request); err != nil {
		return chicoryrock.Replica{}, err
	}
	if err := c.claim(); err != nil {
		return chicoryrock.Replica{}, err
	}
	begin := time.Now()
	replica, seen, err := c.entry.gate.Acquire(c.ctx, begin, c.request)
	c.progress.waited(begin, seen)
	if now := time.Now(); err == nil && !c.entry.Suspects.allows(now, c) {
		c.entry.gate.Finish(now, c.request, replica.Name)
		return chicoryrock.Replica{}, &refusedError{reason: chicoryrock.ReasonCrashPart}
	}
	return replica, fromGate(err)
}

// attemptWatched is attempt, with the replica open to other suspects again after a
// suspect has run there for a while.
func (c *call) attemptWatched(replica *chicoryrock.Replica) error {
	if c.request.Suspect {
		name := replica.Name
		timer := time.AfterFunc(suspect.Probation, func() { c.entry.gate.Passed(c.request, name) })
		defer timer.Stop()
	}
	return c.attempt(replica)
}

// attempt sends the request to one replica and relays the answer. Errors:
// chicoryrock.ErrNotRun, chicoryrock.ErrTruncated, chicoryrock.ErrUnknownOutcome,
// or the context's.
func (c *call) attempt(replica *chicoryrock.Replica) error {
	if !c.usable(time.Now()) {
		return &refusedError{reason: chicoryrock.ReasonLate}
	}
	request, err := c.newRequest(replica)
	if err != nil {
		return err
	}
	response, err := c.entry.agents.DoRequest(request)
	if err != nil {
		if errors.Is(err, chicoryrock.ErrUnsoundHead) {
			c.entry.Log.Write(event.EngineFailed, zap.String("ref", c.request.ID), zap.String("server", replica.Name), event.Cause(err))
		}
		return c.classify(err)
	}
	response.Body = c.metered(replica, response.Body)
	defer func() { _ = response.Body.Close() }()
	defer c.hear(replica, response)
	defer c.countUsage(response.Header)
	if err := agentError(response.Header); err != nil {
		return err
	}
	if err := c.keepBuild(response.Header); err != nil {
		return err
	}
	if err := c.fits(response); err != nil {
		return err
	}
	if c.stream && response.StatusCode == http.StatusOK {
		return c.relayStream(replica, response.Body)
	}
	return c.relayWhole(response)
}

// fits checks that an answer's head is that of a completion, or of a stream of one. An error
// may be passed on instead, unless the caller has the beginning of a stream. Errors:
// chicoryrock.ErrTruncated, chicoryrock.ErrUnknownOutcome.
func (c *call) fits(response *http.Response) error {
	status := response.StatusCode
	switch {
	case c.started && status != http.StatusOK:
		return errors.Wrapf(chicoryrock.ErrTruncated, "status %d within a stream", status)
	case c.model && status != http.StatusOK && status < http.StatusMultipleChoices:
		return errors.Wrapf(chicoryrock.ErrUnknownOutcome, "status %d for a completion", status)
	case c.stream && status == http.StatusOK && !wire.IsEventStream(response.Header):
		return errors.Wrapf(chicoryrock.ErrTruncated, "type %.40q for a stream", response.Header.Get("Content-Type"))
	}
	return nil
}

// keepBuild takes in which build answers. What it writes doesn't fit to what another one has
// begun. Error: chicoryrock.ErrUnknownOutcome.
func (c *call) keepBuild(header http.Header) error {
	load, _ := wire.ReadLoad(header) // without it no build is stated
	if c.sent == 0 {
		c.request.Version = ""
		c.build = load.Build
		return nil
	}
	if load.Build == "" || load.Build != c.request.Version {
		return errors.Wrapf(chicoryrock.ErrUnknownOutcome, "build %q answers for %q", load.Build, c.request.Version)
	}
	return nil
}

// agentError returns what an agent says of a call that it has no answer for.
func agentError(header http.Header) error {
	switch header.Get(wire.Outcome) {
	case "":
		return nil
	case wire.OutcomeNotRun:
		return notRun(header.Get(wire.Reason))
	case wire.OutcomePreempted:
		return errors.WithStack(wire.ErrPreempted)
	}
	if crash := header.Get(wire.CrashName); crash != "" {
		return errors.WithStack(&wire.CrashError{Crash: wire.ParseCrash(crash)})
	}
	return errors.Wrap(chicoryrock.ErrUnknownOutcome, header.Get(wire.Reason))
}

func (c *call) newRequest(replica *chicoryrock.Replica) (*http.Request, error) {
	scheme := "http"
	if c.entry.AgentTLS != nil {
		scheme = "https"
	}
	address := scheme + "://" + replica.Address.String() + c.path
	request, err := http.NewRequestWithContext(c.ctx, c.r.Method, address, bytes.NewReader(c.body)) //nolint:gosec // the address is the replica's, only the path is the caller's
	if err != nil {
		return nil, errors.Wrap(chicoryrock.ErrNotRun, err.Error())
	}
	// The transport would silently send a call again on a broken connection if it
	// could rewind the body.
	request.GetBody = nil
	copyHeaders(request.Header, c.r.Header)
	request.Header.Set(wire.RequestID, c.request.ID)
	request.Header.Set(wire.Workspace, c.request.Workspace)
	request.Header.Set(wire.Class, c.request.Class)
	request.Header.Set(wire.Tier, strconv.Itoa(c.request.Tier))
	request.Header.Set(wire.Prompt, strconv.Itoa(c.request.PromptTokens))
	request.Header.Set(wire.Due, strconv.FormatInt(time.Until(c.request.Deadline).Milliseconds(), 10))
	if c.request.Suspect {
		request.Header.Set(wire.Suspect, "1")
	}
	c.stampClaim(request.Header)
	c.stampUsage(time.Now(), request.Header)
	if c.sent > 0 {
		request.Header.Set(wire.Resume, strconv.Itoa(c.sent))
		request.Header.Set(wire.Build, c.request.Version)
	}
	return request, nil
}

// passed lists the caller's headers that go on to the agent.
var passed = []string{"Content-Type", "Accept", "Accept-Language", wire.IdempotencyKey}

// copyHeaders copies the caller's headers that a backend server may see.
func copyHeaders(to, from http.Header) {
	for _, name := range passed {
		if value := from.Get(name); value != "" {
			to.Set(name, value)
		}
	}
}

// classify says what a transport error means for the request.
func (c *call) classify(err error) error {
	if c.ctx.Err() != nil {
		return errors.WithStack(c.ctx.Err())
	}
	if web.DialFailed(err) {
		return &notRunError{reason: chicoryrock.ReasonNoServer}
	}
	if errors.Is(err, chicoryrock.ErrTruncated) || errors.Is(err, wire.ErrPreempted) {
		return err
	}
	return errors.Wrap(chicoryrock.ErrUnknownOutcome, err.Error())
}

// hear takes in the load that the agent stated, in the header or, after a long
// answer, in the trailer.
func (c *call) hear(replica *chicoryrock.Replica, response *http.Response) {
	load, found := wire.ReadLoad(response.Trailer)
	if !found {
		load, found = wire.ReadLoad(response.Header)
	}
	if found {
		c.entry.gate.Heard(time.Now(), replica.Pool, replica.Name, load)
	}
}

// charge puts output on the workspace's account in the queue and for its limit.
func (c *call) charge(now time.Time, tokens int) {
	c.entry.gate.Charge(now, c.request, tokens)
	c.entry.Limits.charge(now, c.request.Workspace, tokens)
}

// fail tells the caller why it gets no answer, or no whole one.
func (c *call) fail(err error) {
	if c.r.Context().Err() != nil {
		c.settle(c.outcome())
		c.progress.end(time.Now(), chicoryrock.OutcomeCancelled, chicoryrock.ReasonNone)
		// A caller that has only closed its sending side still reads: without this, the
		// server would complete the answer, which is none.
		panic(http.ErrAbortHandler)
	}
	refusal := c.refusalFor(err)
	c.entry.Needs.RecordRefusal(c.request, refusal.Reason)
	c.settle(refusal.Outcome)
	c.progress.end(time.Now(), outcomeOf(refusal, c.started), refusal.Reason)
	if !c.started {
		c.entry.answer(c.w, c.request, refusal)
		return
	}
	c.entry.Log.Write(event.Failed, zap.String("ref", c.request.ID), zap.Error(err))
	c.breakStream(refusal)
}

// outcome says what is certain of a call that was ended from here: one that never
// got a replica did not run.
func (c *call) outcome() string {
	if c.granted {
		return wire.OutcomeUnknown
	}
	return wire.OutcomeNotRun
}

// refusalFor returns what the caller is told. After an attempt that may have run,
// nothing that ends the call later makes "not run" true again.
func (c *call) refusalFor(err error) wire.Refusal {
	refusal := c.lastRefusal(err)
	if c.begun {
		refusal.Outcome = wire.OutcomeUnknown
	}
	return refusal
}

func (c *call) lastRefusal(err error) wire.Refusal {
	var refused, withdrawn *refusedError
	switch {
	case errors.As(context.Cause(c.ctx), &withdrawn):
		return wire.Refusal{Reason: withdrawn.reason, Outcome: c.outcome()}
	case c.started:
		return wire.Refusal{Reason: chicoryrock.ReasonBroken, Outcome: wire.OutcomeUnknown}
	case errors.As(err, &refused):
		return refused.refusal()
	case errors.Is(err, chicoryrock.ErrNotRun):
		return wire.Refusal{Reason: chicoryrock.ReasonRetries, Outcome: wire.OutcomeNotRun}
	default:
		return wire.Refusal{Reason: chicoryrock.ReasonUnknownOutcome, Outcome: wire.OutcomeUnknown}
	}
}
