// Package fault holds the failures that the platform's stand-ins have in common:
// outage, slowness, lost answers and rubbish.
package fault

import (
	"maps"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/rest"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/standin/host"
)

// Paths that every stand-in with a Gate serves.
const (
	PathSwitch = "/switch" // POST a JSON object with the switches to change
	PathCalls  = "/calls"  // GET the number of calls by path
)

// Switches are the failures that a stand-in can be put into.
type Switches struct {
	Outage  bool          `json:"outage"`  // answer every call with status 503 and do nothing
	Slow    time.Duration `json:"slow"`    // wait before each call
	Lose    int           `json:"lose"`    // cut the connection after this many next writes took effect
	Rubbish bool          `json:"rubbish"` // do the call and answer with bytes that are not JSON
}

// Gate stands between the calls and the core of a stand-in. The zero value is
// ready, without a failure.
type Gate struct {
	host.Host
	mutex    sync.Mutex
	switches Switches
	calls    map[string]int
}

// Open listens and serves the routes and those of the switches and the counts.
// Port 0 means any free port.
func (g *Gate) Open(listen netip.AddrPort, routes ...rest.Route) error {
	return g.Host.Open(listen, nil, append(routes,
		rest.Route{Method: http.MethodPost, Path: PathSwitch, Handler: g.change},
		rest.Route{Method: http.MethodGet, Path: PathCalls, Handler: g.count},
	)...)
}

// Switch sets all switches.
func (g *Gate) Switch(switches Switches) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.switches = switches
}

// Calls returns the number of calls by path, e.g. "/get", since the start.
func (g *Gate) Calls() map[string]int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return maps.Clone(g.calls)
}

// Enter reads a call's body into request, unless that is nil, counts the call
// and applies the switches that act before it. It returns false when the call
// is already answered.
func (g *Gate) Enter(w http.ResponseWriter, r *http.Request, request any) bool {
	switches := g.enter(r.URL.Path)
	if request != nil && !host.ReadJSON(w, r, request) {
		return false
	}
	// The call goes on after the wait even when its client has given up: that is
	// how an answer comes to be lost after a write took effect.
	g.Wait(switches.Slow)
	return !g.Out(w)
}

// Out answers with status 503 during an outage, and returns whether it did.
func (g *Gate) Out(w http.ResponseWriter) bool {
	g.mutex.Lock()
	outage := g.switches.Outage
	g.mutex.Unlock()
	if outage {
		host.WriteError(w, http.StatusServiceUnavailable, "outage")
	}
	return outage
}

// Written is called after a write that took effect. When its answer is to be
// lost, it cuts the connection and does not return.
func (g *Gate) Written() {
	g.mutex.Lock()
	lose := g.switches.Lose > 0
	if lose {
		g.switches.Lose--
	}
	g.mutex.Unlock()
	if lose {
		host.HangUp()
	}
}

// Answer sends the value, or the status that belongs to the error.
func (g *Gate) Answer(w http.ResponseWriter, value any, err error) {
	g.mutex.Lock()
	rubbish := g.switches.Rubbish
	g.mutex.Unlock()
	switch {
	case rubbish:
		_, _ = w.Write([]byte("<html>\x00not what was asked for"))
	case err == nil:
		host.WriteJSON(w, http.StatusOK, value)
	case errors.Is(err, chicoryrock.ErrNotFound):
		host.WriteError(w, http.StatusNotFound, err.Error())
	case errors.Is(err, chicoryrock.ErrConflict), errors.Is(err, chicoryrock.ErrFenced):
		host.WriteError(w, http.StatusConflict, err.Error())
	default:
		host.WriteError(w, http.StatusBadRequest, err.Error())
	}
}

func (g *Gate) enter(path string) Switches {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.calls == nil {
		g.calls = make(map[string]int)
	}
	g.calls[path]++
	return g.switches
}

func (g *Gate) change(w http.ResponseWriter, r *http.Request) {
	g.mutex.Lock()
	switches := g.switches
	g.mutex.Unlock()
	if host.ReadJSON(w, r, &switches) {
		g.Switch(switches)
		host.WriteJSON(w, http.StatusOK, switches)
	}
}

func (g *Gate) count(w http.ResponseWriter, _ *http.Request) {
	host.WriteJSON(w, http.StatusOK, g.Calls())
}
