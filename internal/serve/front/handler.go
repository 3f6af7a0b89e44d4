package front

import (
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/ops/metrics"
	"github.com/chicoryrock/chicoryrock/internal/policy/jitter"
	"github.com/chicoryrock/chicoryrock/internal/serve/reserve"
	"github.com/chicoryrock/chicoryrock/internal/state/routing"
	"github.com/chicoryrock/chicoryrock/platform"
)

const (
	// unconfigured is when to come back to a process that knows no configuration.
	unconfigured = time.Second
	// defaultBody bounds a request's body where the operator sets no limit, bytes.
	defaultBody = 8 << 20
	// defaultTimeout bounds a request where neither its caller nor its route does.
	defaultTimeout = 30 * time.Second
	// holdShare is how long a request may wait for a backend server that can serve
	// it in time, as a share of its target. What waits longer is late in any case.
	holdShare = 0.4
	// defaultTarget is when an answer is on time where the route doesn't say.
	defaultTarget = time.Second
)

// counts are the requests since the last line about them.
type counts struct {
	answered, refused, failed, left, repeated atomic.Int64
}

func (c *counts) write(log *event.Log, open, unwritten, dropped int64) {
	answered, refused, failed := c.answered.Swap(0), c.refused.Swap(0), c.failed.Swap(0)
	left, repeated := c.left.Swap(0), c.repeated.Swap(0)
	if answered+refused+failed+left == 0 {
		return
	}
	log.Write(event.Served, zap.Int64("answered", answered), zap.Int64("refused", refused), zap.Int64("failed", failed),
		zap.Int64("left", left), zap.Int64("repeated", repeated), zap.Int64("open", open),
		zap.Int64("unwritten", unwritten), zap.Int64("dropped", dropped))
}

// safely serves one request. A panic ends just that request: its connection is closed
// without the end of an answer, which promises its caller nothing.
func (f *Front) safely(w http.ResponseWriter, r *http.Request) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		if err, isError := cause.(error); !isError || !errors.Is(err, http.ErrAbortHandler) {
			f.Log.Write(event.Panicked, zap.String("ref", platform.ReadAsk(r.Header).ID), zap.String("path", r.URL.Path), zap.Any("cause", cause), zap.Stack("stack"))
		}
		panic(http.ErrAbortHandler)
	}()
	f.handle(w, r)
}

// handle serves one request.
func (f *Front) handle(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	if conn := reserve.Find(callerOf(r)); conn != nil && conn.Begin() != nil {
		panic(http.ErrAbortHandler) // it was closed to make room
	}
	f.open.Add(1)
	defer f.open.Add(-1)
	if f.Draining() {
		w.Header().Set("Connection", "close")
	}
	ask := platform.ReadAsk(r.Header)
	table := f.Table()
	if table == nil || !f.known.Load() {
		f.turnAway(now, w, ask, table, chicoryrock.ReasonStaleConfig, unconfigured)
		return
	}
	route, workspace, reason := admit(table, r, ask.Key)
	if reason != chicoryrock.ReasonNone {
		f.turnAway(now, w, ask, table, reason, 0)
		return
	}
	limit := patience(route, ask)
	if !f.takes(now, route, limit) {
		f.turnAway(now, w, ask, table, chicoryrock.ReasonShutdown, 0)
		return
	}
	body, hold, reason := f.read(now, now.Add(limit), w, r, table, workspace)
	defer hold.Release()
	if reason != chicoryrock.ReasonNone {
		hold.Release()
		f.turnOut(now, w, r, ask, reason)
		return
	}
	f.serve(now, limit, table, &call{
		front:     f,
		w:         w,
		r:         r,
		ask:       ask,
		route:     route,
		workspace: workspace,
		body:      body,
		hold:      hold,
	})
}

// serve runs a call within the time that its caller and its route allow.
func (f *Front) serve(now time.Time, limit time.Duration, table *routing.Table, c *call) {
	c.begin = now
	c.until = now.Add(limit)
	c.request = c.describe(now, table)
	c.trail = f.trails.Begin(now, c.ask.ID)
	c.trail.Write(event.Accepted, now, zap.String("route", c.route.Name), zap.String("service", c.request.Pool),
		zap.String("workspace", c.request.Workspace), zap.Int("tier", c.request.Tier), zap.Int("prompt", c.request.PromptTokens),
		zap.Duration("patience", c.ask.Timeout), zap.Uint64("version", table.Version), zap.String("parts", sharedParts(c.request.Parts)),
		zap.String("resumes", c.ask.Resumes), zap.String("after", c.ask.LastEvent), c.regions())
	ctx, cancel := context.WithDeadline(c.r.Context(), c.until)
	defer cancel()
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	c.ctx, c.stop = ctx, stop
	if err := http.NewResponseController(c.w).SetWriteDeadline(c.until.Add(time.Second)); err != nil {
		c.trail.Write(event.Failed, now, event.Cause(err))
	}
	if !c.lend() {
		c.w.Header().Set("Connection", "close")
		c.refused(now, chicoryrock.ReasonNoRoom)
		return
	}
	c.run()
}

// loggedParts bounds the parts of a prompt that are logged.
const loggedParts = 16

// sharedParts lists the IDs of a prompt's parts that other requests may have too: all
// but the last one.
func sharedParts(parts []chicoryrock.Part) string {
	var list strings.Builder
	for i := 0; i < min(len(parts)-1, loggedParts); i++ {
		if i > 0 {
			list.WriteByte(',')
		}
		list.WriteString(strconv.FormatUint(parts[i].ID, 16))
	}
	return list.String()
}

// patience is how long a request may take, by its caller and its route.
func patience(route *routing.Route, ask chicoryrock.RequestHeader) time.Duration {
	limit := route.Timeout
	if ask.Timeout > 0 && (limit <= 0 || ask.Timeout < limit) {
		limit = ask.Timeout
	}
	if limit <= 0 {
		limit = defaultTimeout
	}
	return limit
}

// admit finds a request's route and workspace.
func admit(table *routing.Table, r *http.Request, key string) (*routing.Route, *routing.Workspace, chicoryrock.Reason) {
	route := table.Match(r.Host, path(r))
	if route == nil {
		return nil, nil, chicoryrock.ReasonNoRoute
	}
	if !table.RequireKey {
		return route, nil, chicoryrock.ReasonNone
	}
	workspace := table.Workspace(routing.DigestOf(key))
	if workspace == nil && !route.Public {
		return nil, nil, chicoryrock.ReasonUnknownKey
	}
	return route, workspace, chicoryrock.ReasonNone
}

// target returns a request's path and query as the caller sent them.
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

func path(r *http.Request) string {
	path, _, _ := strings.Cut(target(r), "?")
	return path
}

// read reserves a request's memory and takes in its body whole, as it may have to be sent
// again. It may take until a deadline. The hold is to be released in any case.
func (f *Front) read(now, deadline time.Time, w http.ResponseWriter, r *http.Request, table *routing.Table,
	workspace *routing.Workspace) ([]byte, *reserve.Hold, chicoryrock.Reason) {
	limit := table.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	if r.ContentLength > limit {
		return nil, nil, chicoryrock.ReasonTooLarge
	}
	control := http.NewResponseController(w)
	size := int64(0)
	switch {
	case r.ContentLength > 0:
		size = r.ContentLength + 1 // so that the end is found without more room
	case r.ContentLength < 0:
		size = firstRead
	}
	claim := f.claim(now, deadline, r, workspace, size)
	hold, err := f.Room.Reserve(r.Context(), claim, func() {
		// It ends the reading. Where that fails the body ends by its deadline.
		_ = control.SetReadDeadline(now)
	})
	if err != nil {
		return nil, nil, chicoryrock.ReasonNoRoom
	}
	if r.Body == nil || r.Body == http.NoBody {
		return nil, hold, chicoryrock.ReasonNone
	}
	if err := control.SetReadDeadline(deadline); err != nil {
		f.Log.Write(event.Failed, event.Cause(err))
	}
	body, err := hold.ReadAll(r.Context(), claim.Wait, make([]byte, 0, size), limit+1, http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		// From here on the server only looks whether the caller is still there.
		err = control.SetReadDeadline(time.Time{})
	}
	var large *http.MaxBytesError
	switch {
	case err == nil:
		return body, hold, chicoryrock.ReasonNone
	case noRoom(hold, err):
		return nil, hold, chicoryrock.ReasonNoRoom
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, hold, chicoryrock.ReasonLate
	case errors.As(err, &large):
		return nil, hold, chicoryrock.ReasonTooLarge
	default:
		return nil, hold, chicoryrock.ReasonMalformed
	}
}

// describe says of a call what the decisions need.
func (c *call) describe(now time.Time, table *routing.Table) *chicoryrock.Request {
	id := c.ask.ID
	if c.takesUp() && c.ask.Resumes != "" {
		id = c.ask.Resumes // so that it goes where the stream began
	}
	service := c.route.PickService(jitter.Fraction(id))
	if c.origin.Service != "" {
		service = c.origin.Service
	}
	target := c.route.TargetLatency
	if target <= 0 {
		target = defaultTarget
	}
	// A stream that its caller has the beginning of waits for servers of its build.
	continues := c.origin.Version != ""
	patience := c.until.Sub(now)
	if !continues {
		patience = min(time.Duration(holdShare*float64(target)), patience)
	}
	request := &chicoryrock.Request{
		ID:               c.ask.ID,
		Class:            c.route.Name,
		Route:            c.route.Name,
		Pool:             service,
		Tier:             table.EffectivePriority(c.route, c.workspace, service) + 1,
		Arrived:          now,
		Deadline:         now.Add(patience),
		PromptTokens:     c.ask.PromptTokens,
		Idempotent:       c.route.Retryable(),
		Model:            c.ask.Model,
		Version:          c.origin.Version,
		Continues:        continues,
		Resumable:        c.route.Kind == routing.Stream && c.route.Resumable,
		Regions:          routing.AllowedRegions(c.route, c.workspace),
		Parts:            c.ask.Parts,
		MaxOutputTokens:  c.ask.MaxOutputTokens,
		FirstTokenTarget: target,
		MaxTokenGap:      c.route.MaxTokenGap,
	}
	if c.workspace != nil {
		request.Workspace = c.workspace.Name
	}
	c.ranks = table.Priorities(service)
	return request
}

// turnAway refuses a request before anything is known of it but its headers.
func (f *Front) turnAway(now time.Time, w http.ResponseWriter, ask chicoryrock.RequestHeader, table *routing.Table, reason chicoryrock.Reason, wait time.Duration) {
	version := uint64(0)
	if table != nil {
		version = table.Version
	}
	t := f.trails.Begin(now, ask.ID)
	t.Write(event.Refused, now, zap.Stringer("reason", reason), zap.Duration("wait", wait), zap.Uint64("version", version),
		zap.Stringer("key", event.NewSecret(ask.Key)))
	f.trails.End(now, &t, true)
	f.Metrics.Request(metrics.Ended{Outcome: chicoryrock.OutcomeRefused, Reason: reason})
	f.refuse(w, ask.ID, reason, wait)
}

// refuse answers a request that certainly has not run.
func (f *Front) refuse(w http.ResponseWriter, id string, reason chicoryrock.Reason, wait time.Duration) {
	f.served.refused.Add(1)
	f.answer(w, id, reason.Status(), reason.Sentence(), wait)
}

// answer writes an answer of the system's own.
func (f *Front) answer(w http.ResponseWriter, id string, status int, text string, wait time.Duration) {
	header := w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	platform.Refuse(header, id, wait)
	w.WriteHeader(status)
	if _, err := io.WriteString(w, text+"\n"); err != nil { //nolint:gosec // the text is one of the system's own sentences
		f.served.left.Add(1)
	}
}
