package agent

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/policy/admit"
	"github.com/chicoryrock/chicoryrock/internal/serve/web"
	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
)

// forwarded lists the headers that a backend server may see. It is a list of
// what passes, not of what is held back, so that a header that nobody thought of
// stays out.
var forwarded = []string{
	"Content-Type",
	"Accept",
	"Accept-Language",
	wire.IdempotencyKey,
	wire.RequestID,
	wire.Tier,
	wire.Resume,
}

// defaultDue is how long a request may wait whose entry states no deadline.
const defaultDue = time.Minute

// visit is one request on its way through the agent.
type visit struct {
	agent   *Agent
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context // ends when the entry goes or the request is preempted
	request *chicoryrock.Request
	told    time.Time // when a stream last told the load
}

// handle admits one request and forwards it.
func (a *Agent) handle(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	ctx, preempt := context.WithCancelCause(r.Context())
	defer preempt(nil)
	v := &visit{agent: a, w: w, r: r, ctx: ctx, request: readRequest(now, r.Header)}
	action, err := a.room.enter(ctx, now, v.request, &seat{
		verdict: make(chan admit.Action, 1),
		preempt: preempt,
		suspect: r.Header.Get(wire.Suspect) != "",
	})
	switch {
	case err != nil:
		v.gaveUp()
	case action.Kind == admit.Refuse:
		a.refuse(w, action.Reason, action.RetryAfter)
	default:
		v.run()
	}
}

// gaveUp answers for a request that was given up before it ran. Its entry has gone,
// unless it was preempted in the moment in which it got its slot: an answer without
// a word would read as an empty one then.
func (v *visit) gaveUp() {
	if errors.Is(context.Cause(v.ctx), errPreempted) {
		v.agent.refuse(v.w, chicoryrock.ReasonQueueFull, 0)
	}
}

// run forwards a request that has a slot.
func (v *visit) run() {
	a := v.agent
	defer func() { a.room.finish(time.Now(), v.request) }()
	if !a.once.begin(time.Now(), v.r.Header) {
		a.duplicate(v.w)
		return
	}
	a.room.started(v.request)
	v.forward()
}

// readRequest reads what the entry says of the request.
func readRequest(now time.Time, header http.Header) *chicoryrock.Request {
	due := defaultDue
	if header.Get(wire.Due) != "" {
		due = time.Duration(number(header, wire.Due)) * time.Millisecond
	}
	return &chicoryrock.Request{
		ID:           header.Get(wire.RequestID),
		Workspace:    header.Get(wire.Workspace),
		Class:        header.Get(wire.Class),
		Tier:         number(header, wire.Tier),
		Arrived:      now,
		Deadline:     now.Add(due),
		PromptTokens: number(header, wire.Prompt),
		Idempotent:   header.Get(wire.Once) == "",
	}
}

// number reads a header that an entry always sets to a number.
func number(header http.Header, name string) int {
	value, err := strconv.Atoi(header.Get(name))
	if err != nil {
		return 0
	}
	return value
}

// refuse answers a request that certainly did not reach the backend server.
func (a *Agent) refuse(w http.ResponseWriter, reason chicoryrock.Reason, after time.Duration) {
	wire.SetLoad(w.Header(), a.room.load())
	wire.Refusal{Reason: reason, Outcome: wire.OutcomeNotRun, After: after}.Write(w)
}

func (v *visit) forward() {
	a := v.agent
	if !v.fits(a.room.load().Build, true) {
		a.once.forget(v.r.Header)
		a.refuse(v.w, chicoryrock.ReasonVersionGone, 0)
		return
	}
	request, err := v.newRequest()
	if err != nil {
		a.once.forget(v.r.Header)
		a.refuse(v.w, chicoryrock.ReasonMalformed, 0)
		return
	}
	sent := time.Now()
	response, err := a.engine.DoRequest(request)
	if err != nil {
		v.failed(err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	a.crashes.answered()
	v.limited(sent, response)
	build := wire.BuildOf(response.Header)
	a.room.built(build)
	if response.StatusCode == http.StatusMisdirectedRequest && request.Header.Get(wire.Weights) != "" {
		a.once.forget(v.r.Header)
		a.refuse(v.w, chicoryrock.ReasonVersionGone, 0)
		return
	}
	if !v.fits(build, false) {
		a.Log.Write(event.EngineFailed, zap.String("ref", v.request.ID), zap.String("server", a.Settings.Name), zap.String("software", build))
		v.refuseUnknown(wire.OutcomeUnknown)
		return
	}
	if echoed := response.Header.Get(wire.RequestID); echoed != "" && echoed != v.request.ID {
		v.crossed(echoed)
		return
	}
	v.relay(response)
}

// resumes reports whether the caller has the beginning of the answer.
func (v *visit) resumes() bool { return v.r.Header.Get(wire.Resume) != "" }

// fits reports whether a build may answer: a stream goes on only at the build that began it, which
// the entry names. Before the request is sent, the build may be unknown.
func (v *visit) fits(build string, unknown bool) bool {
	began := v.r.Header.Get(wire.Build)
	switch {
	case !v.resumes():
		return true
	case build == "" && unknown:
		return began != ""
	}
	return build != "" && build == began
}

// limited takes in the limit that an answer to a request states that was sent at a time.
func (v *visit) limited(sent time.Time, response *http.Response) {
	limit, err := chicoryrock.ParseLimit(response.Header.Get(wire.Limit))
	if err != nil {
		v.agent.Log.Write(event.LimitBad, zap.String("ref", v.request.ID), zap.Error(err))
		return
	}
	v.agent.room.limited(time.Now(), sent, limit)
}

func (v *visit) newRequest() (*http.Request, error) {
	address := "http://" + v.agent.Settings.Engine.String() + v.r.URL.RequestURI()
	request, err := http.NewRequestWithContext(v.ctx, v.r.Method, address, v.r.Body)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	// The body is a stream that cannot be rewound, so that the transport never
	// sends the call twice on its own.
	request.GetBody = nil
	request.ContentLength = v.r.ContentLength
	// What comes behind an answer would be read as the next request's.
	request.Close = true
	for _, name := range forwarded {
		if value := v.r.Header.Get(name); value != "" {
			request.Header.Set(name, value)
		}
	}
	// The engine may have replaced its weights since its last answer.
	if weights := wire.WeightsOf(v.r.Header.Get(wire.Build)); v.resumes() && weights != "" {
		request.Header.Set(wire.Weights, weights)
	}
	return request, nil
}

// failed answers for a backend server that gave no answer. The call certainly did
// not run only when no connection stood.
func (v *visit) failed(err error) {
	a := v.agent
	if errors.Is(context.Cause(v.ctx), errPreempted) {
		v.refuseUnknown(wire.OutcomePreempted)
		return
	}
	if v.ctx.Err() != nil {
		return
	}
	a.Log.Write(event.EngineFailed, zap.String("ref", v.request.ID), zap.String("server", v.agent.Settings.Name), event.Cause(err))
	if web.DialFailed(err) {
		a.once.forget(v.r.Header)
		a.refuse(v.w, chicoryrock.ReasonNoServer, 0)
		return
	}
	if crash, crashed := a.crashes.failed(a.room.load().Running); crashed {
		v.w.Header().Set(wire.CrashName, crash.String())
	}
	v.refuseUnknown(wire.OutcomeUnknown)
}

func (v *visit) refuseUnknown(outcome string) {
	wire.SetLoad(v.w.Header(), v.agent.room.load())
	wire.Refusal{Reason: chicoryrock.ReasonUnknownOutcome, Outcome: outcome}.Write(v.w)
}

// crossed drops an answer that belongs to another request.
func (v *visit) crossed(echoed string) {
	v.agent.Log.Write(event.EngineFailed, zap.String("ref", v.request.ID), zap.String("server", v.agent.Settings.Name), zap.String("crossed", echoed))
	v.refuseUnknown(wire.OutcomeUnknown)
}
