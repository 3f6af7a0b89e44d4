package engine

import (
	"context"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/standin/host"
)

// Settings that a zero field of Server stands for.
const (
	DefaultSlots   = 8
	DefaultToken   = 20 * time.Millisecond
	DefaultOutput  = 64
	DefaultVersion = "1"
	DefaultWeights = "garland=1"
)

// Server is one engine. The exported fields are set before Start.
type Server struct {
	Listen  netip.AddrPort
	Model   string        // the model loaded at the start
	Slots   int           // streams that run at full speed
	Batch   int           // streams that run at once; zero means as many as Slots
	Token   time.Duration // time of a token at full speed
	Prefill time.Duration // time of a prompt token at full speed
	Output  int           // tokens of an answer whose request sets no limit
	Version string        // of its software
	Weights string        // versions of its weights

	host.Host
	mutex     sync.Mutex
	core      Core
	switches  Switches
	stats     Stats
	sightings []Sighting
	orders    []Order
	fence     uint64
	models    map[string]struct{}
	admitted  map[uint64]chan struct{} // closed when the request joins the batch
	cross     *crossing
}

// Start listens and serves in the background.
func (s *Server) Start() error {
	s.setDefaults()
	return s.Open(s.Listen, nil,
		rest.Route{Method: http.MethodPost, Path: "/v1/chat/completions", Handler: s.chat},
		rest.Route{Method: http.MethodPost, Path: "/v1/completions", Handler: s.text},
		rest.Route{Method: http.MethodGet, Path: "/v1/models", Handler: s.list},
		rest.Route{Method: http.MethodGet, Path: "/load", Handler: s.load},
		rest.Route{Method: http.MethodGet, Path: "/stats", Handler: s.count},
		rest.Route{Method: http.MethodGet, Path: "/seen", Handler: s.seen},
		rest.Route{Method: http.MethodPost, Path: "/order", Handler: s.order},
		rest.Route{Method: http.MethodPost, Path: "/switch", Handler: s.change},
	)
}

func (s *Server) setDefaults() {
	if s.Slots <= 0 {
		s.Slots = DefaultSlots
	}
	if s.Token <= 0 {
		s.Token = DefaultToken
	}
	if s.Version == "" {
		s.Version = DefaultVersion
	}
	if s.Weights == "" {
		s.Weights = DefaultWeights
	}
	if s.Output <= 0 {
		s.Output = DefaultOutput
	}
	s.core.Slots = s.Slots
	s.core.Batch = max(s.Batch, s.Slots)
	s.models = map[string]struct{}{s.Model: {}}
	s.admitted = make(map[uint64]chan struct{})
}

// Load returns the present load, without the lag.
func (s *Server) Load() chicoryrock.Load {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.Load()
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	report := s.core.Report(time.Now(), s.switches.Lag)
	s.mutex.Unlock()
	host.WriteJSON(w, http.StatusOK, report)
}

func (s *Server) count(w http.ResponseWriter, _ *http.Request) {
	host.WriteJSON(w, http.StatusOK, s.Stats())
}

func (s *Server) seen(w http.ResponseWriter, _ *http.Request) {
	host.WriteJSON(w, http.StatusOK, s.Sightings())
}

// modelList is the answer to /v1/models.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (s *Server) list(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	names := slices.Sorted(maps.Keys(s.models))
	s.mutex.Unlock()
	list := modelList{Object: "list", Data: []model{}}
	for _, name := range names {
		list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: "standin"})
	}
	host.WriteJSON(w, http.StatusOK, list)
}

// begin waits until the request is in the batch. The returned function takes it
// out again. It returns false when the client hung up before.
func (s *Server) begin(ctx context.Context, tier int) (func(), bool) {
	ready := make(chan struct{})
	s.mutex.Lock()
	id := s.core.Arrive(time.Now(), tier)
	s.admitted[id] = ready
	s.admit()
	s.mutex.Unlock()
	leave := func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		delete(s.admitted, id)
		s.core.Leave(time.Now(), id)
		s.admit()
	}
	select {
	case <-ready:
		return leave, true
	case <-ctx.Done():
		leave()
		return nil, false
	}
}

// admit wakes the requests that now join the batch. It runs with the mutex held.
func (s *Server) admit() {
	for _, id := range s.core.Admit(time.Now()) {
		close(s.admitted[id])
	}
}
