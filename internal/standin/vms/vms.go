// Package vms is the stand-in for the platform's lagging list of VMs.
package vms

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeromicro/go-zero/rest"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/standin/fault"
	"github.com/chicoryrock/chicoryrock/internal/standin/host"
	"github.com/chicoryrock/chicoryrock/platform"
)

// Core is the list without sockets. It is not safe for concurrent use.
type Core struct {
	Lag     time.Duration // after which a change shows
	history []version     // oldest first; the first one shows now
}

type version struct {
	at   time.Time
	list []chicoryrock.VM
}

// Set replaces the list; readers see it after the lag.
func (c *Core) Set(now time.Time, list []chicoryrock.VM) {
	c.history = append(c.history, version{at: now, list: list})
}

// List returns the list as it was a lag ago.
func (c *Core) List(now time.Time) []chicoryrock.VM {
	for len(c.history) > 1 && !now.Before(c.history[1].at.Add(c.Lag)) {
		c.history = c.history[1:]
	}
	if len(c.history) == 0 || now.Before(c.history[0].at.Add(c.Lag)) {
		return []chicoryrock.VM{}
	}
	return c.history[0].list
}

// Server serves a Core over HTTP. The exported fields are set before Start.
type Server struct {
	Listen netip.AddrPort
	Lag    time.Duration

	fault.Gate
	mutex sync.Mutex
	core  Core
}

// Start listens and serves in the background.
func (s *Server) Start() error {
	s.core.Lag = s.Lag
	return s.Open(s.Listen,
		rest.Route{Method: http.MethodGet, Path: platform.PathVMs, Handler: s.list},
		rest.Route{Method: http.MethodPost, Path: platform.PathVMs, Handler: s.set},
	)
}

// Set replaces the list; readers see it after the lag.
func (s *Server) Set(list []chicoryrock.VM) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.core.Set(time.Now(), list)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	if !s.Enter(w, r, nil) {
		return
	}
	s.mutex.Lock()
	list := s.core.List(time.Now())
	s.mutex.Unlock()
	tag := tagOf(list)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("ETag", tag)
	s.Answer(w, list, nil)
}

func (s *Server) set(w http.ResponseWriter, r *http.Request) {
	var list []chicoryrock.VM
	if host.ReadJSON(w, r, &list) {
		s.Set(list)
		host.WriteJSON(w, http.StatusOK, struct{}{})
	}
}

// tagOf returns the entity tag of a list.
func tagOf(list []chicoryrock.VM) string {
	// A list of VMs always has a JSON form.
	text, _ := json.Marshal(list)
	return `"` + strconv.FormatUint(xxhash.Sum64(text), 16) + `"`
}
