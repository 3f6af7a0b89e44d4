package orderer

import (
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/standin/fault"
	"github.com/chicoryrock/chicoryrock/internal/standin/host"
	"github.com/chicoryrock/chicoryrock/platform"
)

// Server serves a Core over HTTP. The exported fields are set before Start.
type Server struct {
	Listen  netip.AddrPort
	Startup time.Duration // from the order to the running backend server
	Fence   bool          // refuse orders with an old fencing number
	Cost    float64       // money per backend server and hour
	Up      func(Backend) // called when a backend server starts; may be nil
	Down    func(Backend) // called when one stops; may be nil

	fault.Gate
	mutex  sync.Mutex
	core   Core
	orders []chicoryrock.Order
	timer  *time.Timer
}

// Start listens and serves in the background.
func (s *Server) Start() error {
	s.core = Core{Startup: s.Startup, Fence: s.Fence, Cost: s.Cost}
	return s.Open(s.Listen,
		rest.Route{Method: http.MethodPost, Path: platform.PathOrder, Handler: s.order},
		rest.Route{Method: http.MethodGet, Path: "/spent", Handler: s.money},
	)
}

// Close stops the server at once. No backend server starts or stops after it.
func (s *Server) Close() {
	s.Gate.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.timer != nil {
		s.timer.Stop()
	}
}

// Orders returns the orders that were carried out, oldest first.
func (s *Server) Orders() []chicoryrock.Order {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]chicoryrock.Order(nil), s.orders...)
}

// Count returns how many backend servers a pool has in a data centre, those that
// start included.
func (s *Server) Count(pool, centre string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.Count(pool, centre)
}

// Spent returns the money spent so far.
func (s *Server) Spent() float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.Spent(time.Now())
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var message platform.OrderMessage
	if !s.Enter(w, r, &message) {
		return
	}
	order, err := platform.ReadOrder(r.Header, message)
	if err != nil {
		s.Answer(w, nil, err)
		return
	}
	s.mutex.Lock()
	err = s.core.Order(time.Now(), order)
	if err == nil {
		s.orders = append(s.orders, order)
	}
	s.mutex.Unlock()
	if err == nil {
		s.step()
		s.Written()
	}
	s.Answer(w, struct{}{}, err)
}

func (s *Server) money(w http.ResponseWriter, _ *http.Request) {
	host.WriteJSON(w, http.StatusOK, s.Spent())
}

// step carries out what is due and sets the timer for what comes next.
func (s *Server) step() {
	s.mutex.Lock()
	due := s.core.Step(time.Now())
	if next := s.core.Next(); !next.IsZero() {
		if s.timer != nil {
			s.timer.Stop()
		}
		s.timer = time.AfterFunc(time.Until(next), s.step)
	}
	s.mutex.Unlock()
	for _, action := range due {
		if action.Up {
			call(s.Up, action.Backend)
		} else {
			call(s.Down, action.Backend)
		}
	}
}

func call(callback func(Backend), backend Backend) {
	if callback != nil {
		callback(backend)
	}
}
