// Package agent is the process beside a backend server, and the only way to it.
// It admits requests, forwards them without anything that the backend server may
// not see, and states its load with every answer.
package agent

import (
	"context"
	"crypto/tls"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpc"
	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/ops/settings"
	"github.com/chicoryrock/chicoryrock/internal/serve/web"
)

// Agent is one agent process. Set the exported fields, then call Run.
type Agent struct {
	Settings *settings.Agent
	Log      *event.Log
	TLS      *tls.Config // nil for plain HTTP towards entries
	Opened   func(entries netip.AddrPort)

	engine   httpc.Service
	slots    slots
	once     once
	draining atomic.Bool
}

// Run serves until the context ends, then drains and returns.
func (a *Agent) Run(ctx context.Context) error {
	a.engine = web.NewService("engine", web.NewClient(nil))
	a.slots.total = a.Settings.Slots
	server := &web.Server{
		Name:     "agent",
		Listen:   a.Settings.Listen,
		Routes:   a.routes(),
		NotFound: a.handle,
		TLS:      a.TLS,
		Log:      a.Log,
		Drain:    a.Settings.Drain,
	}
	address, err := server.Open()
	if err != nil {
		return err
	}
	if a.Opened != nil {
		a.Opened(address)
	}
	a.Log.Write(event.Started, zap.String("name", a.Settings.Name), zap.Stringer("address", address))
	stop := context.AfterFunc(ctx, func() {
		a.draining.Store(true)
		a.Log.Write(event.Draining)
	})
	defer stop()
	defer a.Log.Write(event.Stopped)
	return server.Run(ctx)
}

func (a *Agent) routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: "/v1/chat/completions", Handler: a.handle},
		{Method: http.MethodPost, Path: "/v1/completions", Handler: a.handle},
	}
}

// load states what the agent knows of its backend server.
func (a *Agent) load() chicoryrock.Load {
	load := a.slots.load()
	load.Leaving = a.draining.Load()
	return load
}

// slots counts the requests that run on the backend server.
type slots struct {
	mu      sync.Mutex
	total   int
	running int
}

func (s *slots) take() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.total {
		return false
	}
	s.running++
	return true
}

func (s *slots) free() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *slots) load() chicoryrock.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return chicoryrock.Load{Slots: s.total, Running: s.running}
}

// Ready says whether the agent takes requests.
func (a *Agent) Ready() bool { return !a.draining.Load() }
