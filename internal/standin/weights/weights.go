// Package weights is the stand-in for the rate-limited weight store. It sends no
// weights: a reading takes as long as the bytes would at the store's rate.
package weights

import (
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"github.com/chicoryrock/chicoryrock/internal/standin/host"
)

// Core is the weight store without sockets: one line that all readings share, in
// the order of their arrival. It is not safe for concurrent use.
type Core struct {
	Rate int64 // bytes per second, all readings together
	free time.Time
}

// Fetch queues a reading of size bytes and returns when it ends.
func (c *Core) Fetch(now time.Time, size int64) time.Time {
	if c.free.Before(now) {
		c.free = now
	}
	seconds := float64(size) / float64(c.Rate)
	c.free = c.free.Add(time.Duration(seconds * float64(time.Second)))
	return c.free
}

// Server serves a Core over HTTP. The exported fields are set before Start.
type Server struct {
	Listen netip.AddrPort
	Rate   int64            // bytes per second, all readings together
	Sizes  map[string]int64 // bytes of each model's weights

	host.Host
	mutex sync.Mutex
	core  Core
}

// Weights is the answer to a reading.
type Weights struct {
	Model string `json:"model"`
	Size  int64  `json:"size"` // bytes
}

// Start listens and serves in the background.
func (s *Server) Start() error {
	s.core.Rate = max(1, s.Rate)
	return s.Open(s.Listen, nil, rest.Route{Method: http.MethodGet, Path: "/weights", Handler: s.fetch})
}

func (s *Server) fetch(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("model")
	size, found := s.Sizes[name]
	if !found {
		host.WriteError(w, http.StatusNotFound, "no weights of model "+name)
		return
	}
	s.mutex.Lock()
	end := s.core.Fetch(time.Now(), size)
	s.mutex.Unlock()
	s.Wait(time.Until(end))
	host.WriteJSON(w, http.StatusOK, Weights{Model: name, Size: size})
}
