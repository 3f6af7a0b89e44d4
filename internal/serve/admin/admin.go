// Package admin serves what operators and monitoring ask a process: health,
// readiness, metrics and status. It listens on an address of its own, so that
// callers can never reach it.
package admin

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/serve/duty"
	"github.com/chicoryrock/chicoryrock/internal/serve/reserve"
	"github.com/chicoryrock/chicoryrock/internal/serve/web"
)

// Status is what a process says of itself on GET /status.
type Status struct {
	Name     string        `json:"name"`
	Role     string        `json:"role"`
	Centre   string        `json:"centre"`
	Revision uint64        `json:"revision"`
	Age      time.Duration `json:"age"` // since the revision was last confirmed, nanoseconds
	Duties   []duty.Status `json:"duties,omitempty"`
}

// Admin describes one process to its operators.
type Admin struct {
	Listen  netip.AddrPort
	Log     *event.Log
	Ready   func() bool
	Status  func(now time.Time) Status
	Metrics http.Handler // nil for none
	Extra   []rest.Route
	Room    *reserve.Pool // for connections; nil for no limits
}

// Server returns the HTTP server to run.
func (a *Admin) Server() *web.Server {
	routes := []rest.Route{
		{Method: http.MethodGet, Path: "/healthz", Handler: a.health},
		{Method: http.MethodGet, Path: "/readyz", Handler: a.ready},
		{Method: http.MethodGet, Path: "/status", Handler: a.status},
	}
	if a.Metrics != nil {
		routes = append(routes, rest.Route{Method: http.MethodGet, Path: "/metrics", Handler: a.Metrics.ServeHTTP})
	}
	return &web.Server{
		Name:   "admin",
		Listen: a.Listen,
		Routes: append(routes, a.Extra...),
		Log:    a.Log,
		Room:   a.Room,
	}
}

func (a *Admin) health(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (a *Admin) ready(w http.ResponseWriter, _ *http.Request) {
	if !a.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (a *Admin) status(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// The asker may be gone already; nothing is left to tell it then.
	_ = json.NewEncoder(w).Encode(a.Status(time.Now()))
}
