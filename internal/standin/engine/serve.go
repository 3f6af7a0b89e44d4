package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
	"github.com/chicoryrock/chicoryrock/internal/standin/host"
	"github.com/chicoryrock/chicoryrock/internal/standin/word"
)

func (s *Server) chat(w http.ResponseWriter, r *http.Request) { s.serve(w, r, true) }
func (s *Server) text(w http.ResponseWriter, r *http.Request) { s.serve(w, r, false) }

func (s *Server) serve(w http.ResponseWriter, r *http.Request, chat bool) {
	var body request
	if !host.ReadJSON(w, r, &body) {
		return
	}
	work := newWork(r.Header, &body, chat, s.Output)
	if !s.enter(w, r, work) {
		return
	}
	leave, ok := s.begin(r.Context(), work.tier)
	if !ok {
		s.cancelled()
		return
	}
	defer leave()
	if !s.expected(w, r) {
		return
	}
	s.started(work)
	if !s.meet(r.Context(), work) || !s.pause(r.Context(), s.Prefill*time.Duration(work.prompt+work.first)) {
		s.cancelled()
		return
	}
	w.Header().Set(wire.RequestID, work.source.id)
	if work.stream {
		s.stream(w, r, work)
		return
	}
	s.answer(w, r, work)
}

// enter remembers the request and applies the switches that act before it is
// queued. It returns false when the request is already answered.
func (s *Server) enter(w http.ResponseWriter, r *http.Request, work *work) bool {
	s.mutex.Lock()
	if len(s.sightings) < maxSightings {
		s.sightings = append(s.sightings, Sighting{URL: r.URL.String(), Header: r.Header.Clone()})
	}
	hangup := s.switches.Hangup > 0
	if hangup {
		s.switches.Hangup--
	}
	_, loaded := s.models[work.model]
	version := s.Version
	if s.switches.Version != "" {
		version = s.switches.Version
	}
	w.Header().Set(wire.Version, version)
	w.Header().Set(wire.Weights, s.weights())
	if s.switches.Limit > 0 {
		w.Header().Set(wire.Limit, strconv.FormatFloat(s.switches.Limit, 'f', -1, 64))
	}
	s.mutex.Unlock()
	if hangup {
		host.HangUp()
	}
	if !loaded {
		host.WriteError(w, http.StatusNotFound, "the model "+work.model+" is not loaded")
	}
	return loaded
}

// weights returns the versions of the present weights. It runs with the mutex held.
func (s *Server) weights() string {
	if s.switches.Weights != "" {
		return s.switches.Weights
	}
	return s.Weights
}

// expected states the weights that a request runs with, as it joins the batch. It returns false
// when the request expects others and is turned away.
func (s *Server) expected(w http.ResponseWriter, r *http.Request) bool {
	s.mutex.Lock()
	weights, heeds := s.weights(), !s.switches.Heedless
	s.mutex.Unlock()
	w.Header().Set(wire.Weights, weights)
	expects := r.Header.Get(wire.Weights)
	if heeds && expects != "" && expects != weights {
		host.WriteError(w, http.StatusMisdirectedRequest, "the weights are "+weights)
		return false
	}
	return true
}

// started counts the request and crashes the engine when its prompt is poison.
func (s *Server) started(work *work) {
	s.mutex.Lock()
	s.stats.Begun++
	poisoned := s.switches.Poison != "" && strings.Contains(work.text, s.switches.Poison)
	down := s.switches.Down
	s.mutex.Unlock()
	if poisoned {
		s.Crash(down)
		host.HangUp()
	}
}

func (s *Server) cancelled() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stats.Cancelled++
}

func (s *Server) ended() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stats.Ended++
}

// pause waits for a piece of work that takes the given time at full speed. It
// returns false when the client has hung up.
func (s *Server) pause(ctx context.Context, alone time.Duration) bool {
	s.mutex.Lock()
	took := s.core.Step(alone)
	if s.switches.Straggle > 0 {
		took = time.Duration(float64(took) * s.switches.Straggle)
	}
	deaf := s.switches.Deaf
	s.mutex.Unlock()
	timer := time.NewTimer(took)
	defer timer.Stop()
	if deaf {
		<-timer.C
		return true
	}
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// token makes one token. It returns false when the client has hung up.
func (s *Server) token(ctx context.Context) bool {
	if !s.pause(ctx, s.Token) {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stats.Tokens++
	if ctx.Err() != nil {
		s.stats.Wasted++
	}
	return true
}

// cut tells whether the answer is to end early after so many tokens.
func (s *Server) cut(made int) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.switches.Truncate > 0 && made >= s.switches.Truncate
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, work *work) {
	var text strings.Builder
	for n := work.first; n < work.total; n++ {
		if !s.token(r.Context()) {
			s.cancelled()
			return
		}
		text.WriteString(word.At(work.source.id, n))
	}
	made := max(0, work.total-work.first)
	encoded, err := json.Marshal(work.whole(text.String(), made))
	if err != nil {
		host.WriteError(w, http.StatusInternalServerError, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(encoded)))
	if s.cut(made) {
		_, _ = w.Write(encoded[:len(encoded)/2])
		_ = http.NewResponseController(w).Flush()
		host.HangUp()
	}
	s.ended()
	_, _ = w.Write(encoded)
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, work *work) {
	w.Header().Set("Content-Type", "text/event-stream")
	for n := work.first; n < work.total; n++ {
		if s.cut(n - work.first) {
			return
		}
		if !s.token(r.Context()) {
			s.cancelled()
			return
		}
		send(w, work.chunk(word.At(work.source.id, n), false))
	}
	send(w, work.chunk("", true))
	if work.usage {
		last := work.frame("text_completion", "chat.completion.chunk")
		last.Usage = work.used(max(0, work.total-work.first))
		send(w, last)
	}
	s.ended()
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

// send writes one event of a stream. A client that has hung up is noticed by the
// request's context.
func send(w http.ResponseWriter, chunk answer) {
	encoded, err := json.Marshal(chunk)
	if err != nil {
		host.HangUp()
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", encoded)
	_ = http.NewResponseController(w).Flush()
}
