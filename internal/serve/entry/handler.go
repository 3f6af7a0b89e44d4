package entry

import (
	"crypto/rand"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

const (
	// bytesPerToken turns a prompt's length into an estimate of its tokens.
	bytesPerToken = 4
	// prefixBytes is how much of a body's beginning identifies its prompt prefix.
	prefixBytes = 1024
	// retryAfter is when a refused caller should come back.
	retryAfter  = time.Second
	servicePath = "/svc/"
	// firstRead is what is reserved for a body of unknown length, bytes, and then doubled.
	firstRead = 16 << 10
	// requestBytes is what a request takes beside its body: stacks, headers and buffers.
	requestBytes = 24 << 10
	// roomWait is how long a body waits for room.
	roomWait = 400 * time.Millisecond
	// copies is how often a body is there besides as it came: taken apart, and written anew.
	copies = 2
)

// handleModel serves the two completion calls.
func (e *Entry) handleModel(w http.ResponseWriter, r *http.Request) {
	request := e.begin(w)
	who, ok := e.admit(w, r, request)
	if !ok {
		return
	}
	data, hold, ok := e.readBody(w, r, request, who)
	defer hold.Release()
	if !ok {
		return
	}
	body, model, stream, err := parseModelBody(data)
	if err != nil {
		e.refuse(w, request, chicoryrock.ReasonMalformed, err.Error())
		return
	}
	route, err := who.table.Model(model, who.workspace.Name)
	if err != nil {
		e.refuse(w, request, chicoryrock.ReasonNoRoute, "")
		return
	}
	call := e.newCall(w, r, request, who, route)
	if call == nil {
		return
	}
	call.original = data
	call.prepareModel(body, stream, model)
	call.run(who)
}

// handleModels lists the models that are open to the caller's workspace.
func (e *Entry) handleModels(w http.ResponseWriter, r *http.Request) {
	request := e.begin(w)
	who, ok := e.admit(w, r, request)
	if !ok {
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range who.table.Models(who.workspace.Name) {
		list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: "chicoryrock"})
	}
	w.Header().Set("Content-Type", "application/json")
	// The caller may be gone already; nothing is left to tell it then.
	_ = json.NewEncoder(w).Encode(list)
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// handleOther serves the plain services, whose paths are free below /svc/ROUTE/.
func (e *Entry) handleOther(w http.ResponseWriter, r *http.Request) {
	request := e.begin(w)
	name, _, found := strings.Cut(strings.TrimPrefix(r.URL.Path, servicePath), "/")
	if !strings.HasPrefix(r.URL.Path, servicePath) || !found || name == "" {
		e.refuse(w, request, chicoryrock.ReasonNoRoute, "The path is none that this system serves.")
		return
	}
	who, ok := e.admit(w, r, request)
	if !ok {
		return
	}
	data, hold, ok := e.readBody(w, r, request, who)
	defer hold.Release()
	if !ok {
		return
	}
	route, err := who.table.Service(name, who.workspace.Name)
	if err != nil {
		e.refuse(w, request, chicoryrock.ReasonNoRoute, "")
		return
	}
	call := e.newCall(w, r, request, who, route)
	if call == nil {
		return
	}
	call.original = data
	call.body = data
	call.run(who)
}

// begin names the request; the name is the reference for chicoryctl explain.
func (e *Entry) begin(w http.ResponseWriter) *chicoryrock.Request {
	request := &chicoryrock.Request{ID: rand.Text(), Arrived: time.Now()}
	w.Header().Set(wire.RequestID, request.ID)
	return request
}

func parseModelBody(data []byte) (body *wire.Body, model string, stream bool, err error) {
	if body, err = wire.ParseBody(data); err != nil {
		return nil, "", false, err
	}
	if model, err = body.String("model"); err != nil {
		return nil, "", false, err
	}
	if stream, err = body.Bool("stream"); err != nil {
		return nil, "", false, err
	}
	return body, model, stream, nil
}

// newCall classifies a request. It refuses, and returns nil, when no backend
// server of the route's pools is known.
func (e *Entry) newCall(w http.ResponseWriter, r *http.Request, request *chicoryrock.Request, who caller, route *object.Route) *call {
	class := who.table.Class(route.Class)
	request.Class = class.Name
	request.Route = route.Name
	request.Tier = class.Tier
	request.Arrived = time.Now()
	request.Deadline = request.Arrived.Add(class.First)
	request.Idempotent = route.Repeat
	progress := &progress{observer: e.Observer, request: request, class: class, table: who.table, key: who.key.Name}
	pool, found := e.gate.Live(route.Pools)
	if !found {
		progress.begin()
		progress.end(request.Arrived, chicoryrock.OutcomeRefused, chicoryrock.ReasonNoServer)
		e.answer(w, request, wire.Refusal{Reason: chicoryrock.ReasonNoServer, Outcome: wire.OutcomeNotRun})
		return nil
	}
	request.Pool = pool
	return &call{
		entry:    e,
		w:        w,
		r:        r,
		path:     r.URL.RequestURI(),
		pool:     who.table.Pool(pool),
		request:  request,
		progress: progress,
	}
}

// prepareModel writes the body that the engine gets: its own name of the model,
// and a usage count also for streams.
func (c *call) prepareModel(body *wire.Body, stream bool, model string) {
	c.model = true
	c.stream = stream
	c.wantsUsage = asksForUsage(body)
	c.name = model
	if c.pool.Model != "" && c.pool.Model != model {
		// A string always has a JSON form.
		name, _ := json.Marshal(c.pool.Model)
		body.Set("model", name)
	}
	if stream && !c.wantsUsage {
		body.Set("stream_options", json.RawMessage(`{"include_usage":true}`))
	}
	c.body = body.Bytes()
	c.parts = partsOf(c.request.Pool, body)
	c.request.PromptTokens = len(c.body) / bytesPerToken
	c.request.PrefixHash = xxhash.Sum64(c.body[:min(len(c.body), prefixBytes)])
}

func asksForUsage(body *wire.Body) bool {
	var options struct {
		IncludeUsage bool `json:"include_usage"`
	}
	if err := json.Unmarshal(body.Get("stream_options"), &options); err != nil {
		return false
	}
	return options.IncludeUsage
}

// refuse answers a request that was not classified and certainly did not run.
func (e *Entry) refuse(w http.ResponseWriter, request *chicoryrock.Request, reason chicoryrock.Reason, detail string) {
	e.Observer.refused(time.Now(), request, reason)
	e.answer(w, request, wire.Refusal{Reason: reason, Detail: detail, Outcome: wire.OutcomeNotRun})
}

// comesBack says whether it makes sense to send the same request again later.
func comesBack(reason chicoryrock.Reason) bool {
	return reason.Status() >= http.StatusInternalServerError || reason == chicoryrock.ReasonLimit
}

// after returns when the caller of a refused request should come back. The queue
// of its pool knows; without a pool it is a fixed time.
func (e *Entry) after(request *chicoryrock.Request) time.Duration {
	if request.Pool == "" {
		return retryAfter
	}
	return e.gate.After(time.Now(), request)
}

func (e *Entry) answer(w http.ResponseWriter, request *chicoryrock.Request, refusal wire.Refusal) {
	if refusal.After == 0 && comesBack(refusal.Reason) {
		refusal.After = e.after(request)
	}
	e.Log.Write(event.Refused,
		zap.String("ref", request.ID),
		zap.Stringer("reason", refusal.Reason),
		zap.String("outcome", refusal.Outcome))
	refusal.Write(w)
}
