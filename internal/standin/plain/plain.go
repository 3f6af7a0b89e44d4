// Package plain is the stand-in for a plain service beside the model engines. It
// books lots, which may not be repeated, and reads their status, which may. It
// takes no care of repeats itself: it counts them, so that a test can see them.
package plain

import (
	"io"
	"maps"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
	"github.com/chicoryrock/chicoryrock/internal/standin/host"
)

// Switches are the failures that the service can be put into. A JSON object sent
// to /switch changes the fields that it names.
type Switches struct {
	Hangup int           `json:"hangup"` // cut this many next calls after running them
	Slow   time.Duration `json:"slow"`   // wait before running a call
	Late   time.Duration `json:"late"`   // wait between running a call and answering it
}

// Receipt is the answer to every call.
type Receipt struct {
	Key  string `json:"key"`  // idempotency key, or the body without one, or the path of a reading
	Runs int    `json:"runs"` // how often a call with this key has run, this one included
	Body string `json:"body"` // the body as it came
}

// Server is one plain service. It takes a call to any path: GET and HEAD read,
// all other methods book. The exported fields are set before Start.
type Server struct {
	Listen netip.AddrPort

	host.Host
	mutex    sync.Mutex
	switches Switches
	books    map[string]int
	reads    map[string]int
	headers  []http.Header
}

// maxHeaders bounds the headers kept.
const maxHeaders = 20_000

// Start listens and serves in the background.
func (s *Server) Start() error {
	s.books = make(map[string]int)
	s.reads = make(map[string]int)
	return s.Open(s.Listen, http.HandlerFunc(s.serve),
		rest.Route{Method: http.MethodPost, Path: "/switch", Handler: s.change},
		rest.Route{Method: http.MethodGet, Path: "/runs", Handler: s.runs},
	)
}

// Switch sets all switches.
func (s *Server) Switch(switches Switches) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.switches = switches
}

// Runs returns how often bookings ran, by key.
func (s *Server) Runs() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.books)
}

// Reads returns how often readings ran, by path.
func (s *Server) Reads() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.reads)
}

// Headers returns the headers of the calls that reached the service.
func (s *Server) Headers() []http.Header {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]http.Header(nil), s.headers...)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, host.MaxBody))
	if err != nil {
		host.WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	s.mutex.Lock()
	switches := s.switches
	s.mutex.Unlock()
	s.Wait(switches.Slow)
	receipt, hangup := s.run(r, string(body))
	if hangup {
		host.HangUp()
	}
	s.Wait(switches.Late)
	host.WriteJSON(w, http.StatusOK, receipt)
}

// run carries out one call and tells whether its answer is to be cut.
func (s *Server) run(r *http.Request, body string) (Receipt, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.headers) < maxHeaders {
		s.headers = append(s.headers, r.Header.Clone())
	}
	hangup := s.switches.Hangup > 0
	if hangup {
		s.switches.Hangup--
	}
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		s.reads[r.URL.Path]++
		return Receipt{Key: r.URL.Path, Runs: s.reads[r.URL.Path], Body: body}, hangup
	}
	key := r.Header.Get(wire.IdempotencyKey)
	if key == "" {
		key = body
	}
	s.books[key]++
	return Receipt{Key: key, Runs: s.books[key], Body: body}, hangup
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

func (s *Server) runs(w http.ResponseWriter, _ *http.Request) {
	host.WriteJSON(w, http.StatusOK, s.Runs())
}
