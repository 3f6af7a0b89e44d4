// Package entry is the process that callers talk to. It checks keys, classifies
// and queues requests, chooses a backend server through the dispatch core, and
// relays the answers.
package entry

import (
	"context"
	"crypto/tls"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpc"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/ops/settings"
	"github.com/chicoryrock/chicoryrock/internal/policy/demand"
	"github.com/chicoryrock/chicoryrock/internal/policy/dispatch"
	"github.com/chicoryrock/chicoryrock/internal/serve/gate"
	"github.com/chicoryrock/chicoryrock/internal/serve/pause"
	"github.com/chicoryrock/chicoryrock/internal/serve/reserve"
	"github.com/chicoryrock/chicoryrock/internal/serve/roster"
	"github.com/chicoryrock/chicoryrock/internal/serve/web"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

// expireInterval is how often waiting requests are checked for lateness.
const expireInterval = 10 * time.Millisecond

// Entry is one entry process. Set the exported fields, then call Run.
type Entry struct {
	Settings   *settings.Entry
	Log        *event.Log
	Tables     *object.Holder
	Roster     *roster.Roster
	Safe       func(now time.Time) bool // whether the configuration may be acted on
	Dispatcher *dispatch.Dispatcher
	Rules      func(table *object.Table) // brings the queues up to date, under their lock
	Observer   *Observer
	Suspects   *Suspects
	Limits     *Limits
	Needs      *demand.Counter
	Claims     Claims
	Process    string // this process's name, never used by another one before
	Usage      UsageCounter
	CallerTLS  *tls.Config // nil for plain HTTP towards callers
	AgentTLS   *tls.Config // nil for plain HTTP towards agents
	Opened     func(callers netip.AddrPort)
	Room       *reserve.Pool // what callers may hold; nil for no limits

	gate     *gate.Gate
	calls    *registry
	retrier  retrier
	agents   httpc.Service
	draining atomic.Bool
	placing  sync.Mutex
	placed   atomic.Bool // a list of VMs has been sorted into the pools
}

// Prepare makes the entry ready for ServersChanged and ConfigChanged, which may
// come before Run.
func (e *Entry) Prepare() {
	e.gate = gate.New(e.Dispatcher)
	e.calls = newRegistry()
}

// Run serves until the context ends, then drains and returns. Prepare goes first.
func (e *Entry) Run(ctx context.Context) error {
	e.agents = web.NewService("agent", web.NewClient(e.AgentTLS))
	server := &web.Server{
		Name:     "entry",
		Listen:   e.Settings.Listen,
		Routes:   e.routes(),
		NotFound: e.handleOther,
		TLS:      e.CallerTLS,
		Log:      e.Log,
		Drain:    e.Settings.Drain,
		Room:     e.Room,
	}
	address, err := server.Open()
	if err != nil {
		return err
	}
	if e.Opened != nil {
		e.Opened(address)
	}
	e.Log.Write(event.Started, zap.String("name", e.Settings.Name), zap.Stringer("address", address))
	return e.serve(ctx, server)
}

// serve keeps the background loops alive until the last request has drained.
func (e *Entry) serve(ctx context.Context, server *web.Server) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, background := errgroup.WithContext(background)
	group.Go(func() error { return e.expire(background) })
	group.Go(func() error {
		defer cancel()
		defer e.Log.Write(event.Stopped)
		return server.Run(ctx)
	})
	group.Go(func() error { return e.drain(ctx, background) })
	return group.Wait()
}

func (e *Entry) drain(ctx, background context.Context) error {
	select {
	case <-ctx.Done():
		e.draining.Store(true)
		e.Log.Write(event.Draining)
	case <-background.Done():
	}
	return nil
}

func (e *Entry) routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: "/v1/chat/completions", Handler: e.handleModel},
		{Method: http.MethodPost, Path: "/v1/completions", Handler: e.handleModel},
		{Method: http.MethodGet, Path: "/v1/models", Handler: e.handleModels},
	}
}

// Ready says whether the entry can serve: it has a configuration and is not
// shutting down.
func (e *Entry) Ready() bool { return e.Safe(time.Now()) && !e.draining.Load() }

// Placed says whether the entry knows a list of backend servers.
func (e *Entry) Placed() bool { return e.placed.Load() }

// ServersChanged takes in the roster's list of VMs.
func (e *Entry) ServersChanged() { e.place() }

// ConfigChanged takes in a configuration: calls whose key it no longer has are
// ended, and the list of VMs is sorted into its pools.
func (e *Entry) ConfigChanged(table *object.Table) {
	e.gate.Change(func() { e.Rules(table) })
	e.Limits.update(time.Now(), table)
	e.calls.withdraw(table)
	e.Observer.configured(table)
	e.place()
}

// place sorts the VMs into the pools. Configurations and lists come in beside each other: the
// last to get here must know both.
func (e *Entry) place() {
	e.placing.Lock()
	defer e.placing.Unlock()
	table, vms := e.Tables.Table(), e.Roster.VMs()
	if table == nil {
		return
	}
	e.gate.SetReplicas(replicasByPool(e.Roster.Self, table, vms))
	e.placed.Store(len(vms) > 0)
}

// expire refuses waiting requests as soon as they can no longer be in time.
func (e *Entry) expire(ctx context.Context) error {
	pause.Every(ctx, expireInterval, e.gate.Expire)
	return nil
}
