package store

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/rest"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/serve/platform"
	"github.com/chicoryrock/chicoryrock/internal/standin/host"
)

// Switches are the failures that the store can be put into.
type Switches struct {
	Outage  bool          `json:"outage"`  // answer every call with status 503 and do nothing
	Slow    time.Duration `json:"slow"`    // wait before each call
	Lose    int           `json:"lose"`    // cut the connection after this many next writes took effect
	Rubbish bool          `json:"rubbish"` // do the call and answer with bytes that are not JSON
}

// Server serves a Core over HTTP. The exported fields are set before Start.
type Server struct {
	Listen netip.AddrPort

	host     host.Host
	mutex    sync.Mutex
	core     Core
	switches Switches
	calls    map[string]int
	changed  chan struct{} // closed and replaced at each write
	closing  context.Context
	close    context.CancelFunc
}

// Start listens and serves in the background.
func (s *Server) Start() error {
	s.calls = make(map[string]int)
	s.changed = make(chan struct{})
	s.closing, s.close = context.WithCancel(context.Background())
	handler, err := host.Routes(nil,
		rest.Route{Method: http.MethodPost, Path: platform.PathGet, Handler: s.get},
		rest.Route{Method: http.MethodPost, Path: platform.PathList, Handler: s.list},
		rest.Route{Method: http.MethodPost, Path: platform.PathPut, Handler: s.put},
		rest.Route{Method: http.MethodPost, Path: platform.PathDelete, Handler: s.remove},
		rest.Route{Method: http.MethodPost, Path: platform.PathWatch, Handler: s.watch},
		rest.Route{Method: http.MethodPost, Path: "/switch", Handler: s.change},
		rest.Route{Method: http.MethodGet, Path: "/calls", Handler: s.count},
	)
	if err != nil {
		return err
	}
	s.host.Listen = s.Listen
	s.host.Handler = handler
	return s.host.Start()
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() netip.AddrPort { return s.host.Addr() }

// Close stops the server at once.
func (s *Server) Close() {
	s.close()
	s.host.Close()
}

// Switch sets all switches.
func (s *Server) Switch(switches Switches) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.switches = switches
}

// Calls returns the number of calls by path, e.g. "/get", since the start.
func (s *Server) Calls() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	copied := make(map[string]int, len(s.calls))
	for path, count := range s.calls {
		copied[path] = count
	}
	return copied
}

func (s *Server) change(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	switches := s.switches
	s.mutex.Unlock()
	if host.ReadJSON(w, r, &switches) {
		s.Switch(switches)
		host.WriteJSON(w, http.StatusOK, switches)
	}
}

func (s *Server) count(w http.ResponseWriter, _ *http.Request) {
	host.WriteJSON(w, http.StatusOK, s.Calls())
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	var request platform.GetRequest
	if !s.enter(w, r, &request) {
		return
	}
	s.mutex.Lock()
	entry, err := s.core.Get(time.Now(), request.Key)
	s.mutex.Unlock()
	s.answer(w, entry, err)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	var request platform.ListRequest
	if !s.enter(w, r, &request) {
		return
	}
	s.mutex.Lock()
	entries := s.core.List(time.Now(), request.Prefix)
	s.mutex.Unlock()
	s.answer(w, platform.ListAnswer{Entries: entries}, nil)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var request chicoryrock.Change
	if !s.enter(w, r, &request) {
		return
	}
	s.mutex.Lock()
	revision, err := s.core.Put(time.Now(), request)
	s.mutex.Unlock()
	s.written(err)
	s.answer(w, platform.PutAnswer{Revision: revision}, err)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	var request platform.DeleteRequest
	if !s.enter(w, r, &request) {
		return
	}
	s.mutex.Lock()
	err := s.core.Delete(time.Now(), request.Key, request.Prior)
	s.mutex.Unlock()
	s.written(err)
	s.answer(w, struct{}{}, err)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	var request platform.WatchRequest
	if !s.enter(w, r, &request) {
		return
	}
	end := time.Now().Add(request.Wait)
	for s.sleep(r, request, end) {
	}
	s.mutex.Lock()
	entry, err := s.core.Get(time.Now(), request.Key)
	outage := s.switches.Outage
	s.mutex.Unlock()
	if outage {
		host.WriteError(w, http.StatusServiceUnavailable, "outage")
		return
	}
	s.answer(w, entry, err)
}

// sleep waits for the next write, the end of the key's lease or the end of the
// watch. It returns false when the watch is over.
func (s *Server) sleep(r *http.Request, request platform.WatchRequest, end time.Time) bool {
	now := time.Now()
	s.mutex.Lock()
	over := s.core.Changed(now, request.Key, request.After) || !now.Before(end)
	wake := end
	if expiry := s.core.Expiry(request.Key); !expiry.IsZero() && expiry.Before(end) {
		wake = expiry
	}
	changed := s.changed
	s.mutex.Unlock()
	if over {
		return false
	}
	timer := time.NewTimer(wake.Sub(now))
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// enter reads the request, counts it and applies the switches that act before
// the call. It returns false when the call is already answered.
func (s *Server) enter(w http.ResponseWriter, r *http.Request, request any) bool {
	s.mutex.Lock()
	s.calls[r.URL.Path]++
	switches := s.switches
	s.mutex.Unlock()
	if !host.ReadJSON(w, r, request) {
		return false
	}
	// The call goes on after the wait even when its client has given up: that is
	// how an answer comes to be lost after a write took effect.
	s.wait(switches.Slow)
	if switches.Outage {
		host.WriteError(w, http.StatusServiceUnavailable, "outage")
		return false
	}
	return true
}

// wait sleeps for a time, or until the server closes.
func (s *Server) wait(slow time.Duration) {
	if slow <= 0 {
		return
	}
	timer := time.NewTimer(slow)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.closing.Done():
	}
}

// written wakes the watches after a write that took effect, and loses its answer
// when that switch is set.
func (s *Server) written(err error) {
	if err != nil {
		return
	}
	s.mutex.Lock()
	close(s.changed)
	s.changed = make(chan struct{})
	lose := s.switches.Lose > 0
	if lose {
		s.switches.Lose--
	}
	s.mutex.Unlock()
	if lose {
		host.HangUp()
	}
}

func (s *Server) answer(w http.ResponseWriter, value any, err error) {
	s.mutex.Lock()
	rubbish := s.switches.Rubbish
	s.mutex.Unlock()
	switch {
	case rubbish:
		_, _ = w.Write([]byte("<html>\x00not what was asked for"))
	case err == nil:
		host.WriteJSON(w, http.StatusOK, value)
	case errors.Is(err, chicoryrock.ErrNotFound):
		host.WriteError(w, http.StatusNotFound, err.Error())
	case errors.Is(err, chicoryrock.ErrConflict):
		host.WriteError(w, http.StatusConflict, err.Error())
	default:
		host.WriteError(w, http.StatusBadRequest, err.Error())
	}
}
