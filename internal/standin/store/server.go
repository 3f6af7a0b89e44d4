package store

import (
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/serve/platform"
	"github.com/chicoryrock/chicoryrock/internal/standin/fault"
)

// Switches are the failures that the store can be put into.
type Switches = fault.Switches

// Server serves a Core over HTTP. The exported fields are set before Start.
type Server struct {
	Listen netip.AddrPort

	fault.Gate
	mutex   sync.Mutex
	core    Core
	changed chan struct{} // closed and replaced at each write
}

// Start listens and serves in the background.
func (s *Server) Start() error {
	s.changed = make(chan struct{})
	return s.Open(s.Listen,
		rest.Route{Method: http.MethodPost, Path: platform.PathGet, Handler: s.get},
		rest.Route{Method: http.MethodPost, Path: platform.PathList, Handler: s.list},
		rest.Route{Method: http.MethodPost, Path: platform.PathPut, Handler: s.put},
		rest.Route{Method: http.MethodPost, Path: platform.PathDelete, Handler: s.remove},
		rest.Route{Method: http.MethodPost, Path: platform.PathWatch, Handler: s.watch},
	)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	var request platform.GetRequest
	if !s.Enter(w, r, &request) {
		return
	}
	s.mutex.Lock()
	entry, err := s.core.Get(time.Now(), request.Key)
	s.mutex.Unlock()
	s.Answer(w, entry, err)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	var request platform.ListRequest
	if !s.Enter(w, r, &request) {
		return
	}
	s.mutex.Lock()
	entries := s.core.List(time.Now(), request.Prefix)
	s.mutex.Unlock()
	s.Answer(w, platform.ListAnswer{Entries: entries}, nil)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var request chicoryrock.Change
	if !s.Enter(w, r, &request) {
		return
	}
	s.mutex.Lock()
	revision, err := s.core.Put(time.Now(), request)
	s.wake(err)
	s.mutex.Unlock()
	if err == nil {
		s.Written()
	}
	s.Answer(w, platform.PutAnswer{Revision: revision}, err)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	var request platform.DeleteRequest
	if !s.Enter(w, r, &request) {
		return
	}
	s.mutex.Lock()
	err := s.core.Delete(time.Now(), request.Key, request.Prior)
	s.wake(err)
	s.mutex.Unlock()
	if err == nil {
		s.Written()
	}
	s.Answer(w, struct{}{}, err)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	var request platform.WatchRequest
	if !s.Enter(w, r, &request) {
		return
	}
	end := time.Now().Add(request.Wait)
	for s.sleep(r, request, end) {
	}
	if s.Out(w) {
		return
	}
	s.mutex.Lock()
	entry, err := s.core.Get(time.Now(), request.Key)
	s.mutex.Unlock()
	s.Answer(w, entry, err)
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

// wake ends the waits of the watches after a write that took effect. It runs
// with the mutex held.
func (s *Server) wake(err error) {
	if err == nil {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}
