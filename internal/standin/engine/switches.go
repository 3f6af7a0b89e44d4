package engine

import (
	"net/http"
	"strings"
	"time"

	"github.com/chicoryrock/chicoryrock/internal/standin/host"
)

// Switches are the failures that the engine can be put into. A JSON object sent
// to /switch changes the fields that it names.
type Switches struct {
	Crash    time.Duration `json:"crash"`    // crash now and refuse connections for this long; then zero again
	Poison   string        `json:"poison"`   // crash when a prompt with this word begins to run
	Down     time.Duration `json:"down"`     // how long a crash by poison lasts
	Straggle float64       `json:"straggle"` // factor on every token's time; zero means 1
	Lag      time.Duration `json:"lag"`      // age of the load that /load reports
	Hangup   int           `json:"hangup"`   // cut this many next requests after reading them
	Truncate int           `json:"truncate"` // end each answer after this many tokens, without its end marker
	Cross    int           `json:"cross"`    // let this many next requests swap answers with their successors
	Deaf     bool          `json:"deaf"`     // go on making tokens after the client has hung up
	Limit    float64       `json:"limit"`    // state this limit in answers, requests a second; zero for none
	Version  string        `json:"version"`  // state this software version; empty for the server's own
	Weights  string        `json:"weights"`  // replace the weights by these versions; empty for the server's own
	Heedless bool          `json:"heedless"` // run requests that expect other weights
	Fence    bool          `json:"fence"`    // refuse orders with an old fencing number
}

// Stats counts what the engine has done since its start.
type Stats struct {
	Begun     int `json:"begun"`     // requests that began to run
	Ended     int `json:"ended"`     // requests answered in full
	Cancelled int `json:"cancelled"` // requests whose client hung up before the end
	Tokens    int `json:"tokens"`    // tokens made
	Wasted    int `json:"wasted"`    // tokens made after the client had hung up
	Crashes   int `json:"crashes"`
}

// Sighting is one request as it reached the engine.
type Sighting struct {
	URL    string      `json:"url"`
	Header http.Header `json:"header"`
}

// Order asks the engine to load or unload a model.
type Order struct {
	Kind  string `json:"kind"` // "load" or "unload"
	Model string `json:"model"`
	Fence uint64 `json:"fence"`
}

// maxSightings bounds the sightings kept.
const maxSightings = 20_000

// Switch sets all switches.
func (s *Server) Switch(switches Switches) {
	crash := s.set(&switches)
	if crash > 0 {
		s.Crash(crash)
	}
}

// set keeps the switches but that of a crash, which acts once: it is returned.
func (s *Server) set(switches *Switches) time.Duration {
	crash := switches.Crash
	switches.Crash = 0
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.switches = *switches
	return crash
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stats
}

// Sightings returns the requests that reached the engine, oldest first.
func (s *Server) Sightings() []Sighting {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]Sighting(nil), s.sightings...)
}

// Saw tells whether a text, e.g. a caller's key, came in the URL or in a header
// of any request.
func (s *Server) Saw(text string) bool {
	for _, sighting := range s.Sightings() {
		if sighting.contains(text) {
			return true
		}
	}
	return false
}

func (s Sighting) contains(text string) bool {
	if strings.Contains(s.URL, text) {
		return true
	}
	for name, values := range s.Header {
		if strings.Contains(name, text) || strings.Contains(strings.Join(values, "\n"), text) {
			return true
		}
	}
	return false
}

// Orders returns the orders that were carried out.
func (s *Server) Orders() []Order {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]Order(nil), s.orders...)
}

// Crash resets all connections and forgets all that ran, as a new process would.
func (s *Server) Crash(down time.Duration) {
	s.mutex.Lock()
	s.stats.Crashes++
	s.mutex.Unlock()
	s.Host.Crash(down)
}

func (s *Server) change(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	switches := s.switches
	s.mutex.Unlock()
	if !host.ReadJSON(w, r, &switches) {
		return
	}
	crash := s.set(&switches)
	host.WriteJSON(w, http.StatusOK, switches)
	if crash > 0 {
		// The answer goes out before the crash cuts its connection.
		_ = http.NewResponseController(w).Flush()
		s.Crash(crash)
	}
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var order Order
	if !host.ReadJSON(w, r, &order) {
		return
	}
	s.mutex.Lock()
	refused := s.switches.Fence && order.Fence < s.fence
	if !refused {
		s.fence = max(s.fence, order.Fence)
		s.orders = append(s.orders, order)
		s.carryOut(order)
	}
	s.mutex.Unlock()
	if refused {
		host.WriteError(w, http.StatusConflict, "old fencing number")
		return
	}
	host.WriteJSON(w, http.StatusOK, struct{}{})
}

// carryOut changes the loaded models. It runs with the mutex held.
func (s *Server) carryOut(order Order) {
	delete(s.models, order.Model)
	if order.Kind == "load" {
		s.models[order.Model] = struct{}{}
	}
}
