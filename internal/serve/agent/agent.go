// Package agent is the process beside a backend server, and the only way to it.
// It admits requests, forwards them without anything that the backend server may
// not see, and states its load with every answer.
package agent

import (
	"context"
	"crypto/tls"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpc"
	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/ops/settings"
	"github.com/chicoryrock/chicoryrock/internal/serve/reserve"
	"github.com/chicoryrock/chicoryrock/internal/serve/web"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

// Agent is one agent process. Set the exported fields, then call Run.
type Agent struct {
	Settings *settings.Agent
	Log      *event.Log
	TLS      *tls.Config // nil for plain HTTP towards entries
	Opened   func(entries netip.AddrPort)
	Process  string // this process's name, never used by another one before
	Usage    UsageCounter
	Room     *reserve.Pool // for entries' connections; nil for no limits

	engine   httpc.Service
	room     *room
	crashes  crashes
	once     once
	draining atomic.Bool
}

// Prepare makes the agent ready for ConfigChanged, which may come before Run.
func (a *Agent) Prepare() {
	a.room = newRoom(a.Settings.Slots)
	a.crashes = crashes{name: a.Settings.Name, engine: a.Settings.Engine}
}

// Run serves until the context ends, then drains and returns. Prepare goes first.
func (a *Agent) Run(ctx context.Context) error {
	a.engine = web.NewService("engine", newEngineClient())
	server := &web.Server{
		Name:     "agent",
		Listen:   a.Settings.Listen,
		Routes:   a.routes(),
		NotFound: a.handle,
		TLS:      a.TLS,
		Log:      a.Log,
		Drain:    a.Settings.Drain,
		Room:     a.Room,
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
		a.room.drain(time.Now())
		a.Log.Write(event.Draining)
	})
	defer stop()
	ticking, stopTicking := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTicking()
	go a.room.run(ticking)
	defer a.Log.Write(event.Stopped)
	return server.Run(ctx)
}

func (a *Agent) routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: "/v1/chat/completions", Handler: a.handle},
		{Method: http.MethodPost, Path: "/v1/completions", Handler: a.handle},
	}
}

// ConfigChanged takes in a configuration.
func (a *Agent) ConfigChanged(table *object.Table) {
	save := false
	if pool := table.Pool(a.Settings.Pool); pool != nil {
		save = pool.Save
	}
	a.room.update(save, table.Floors(), table.Shares())
}

// Ready says whether the agent takes requests.
func (a *Agent) Ready() bool { return !a.draining.Load() }
