// Package entry is the process that callers talk to. It checks keys, classifies
// and queues requests, chooses a backend server through the dispatch core, and
// relays the answers.
package entry

import (
	"context"
	"crypto/tls"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpc"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/ops/settings"
	"github.com/chicoryrock/chicoryrock/internal/policy/dispatch"
	"github.com/chicoryrock/chicoryrock/internal/serve/web"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

const (
	// serversInterval is how often the platform's list of VMs is read.
	serversInterval = time.Second
	// expireInterval is how often waiting requests are checked for lateness.
	expireInterval = 10 * time.Millisecond
)

// Entry is one entry process. Set the exported fields, then call Run.
type Entry struct {
	Settings   *settings.Entry
	Log        *event.Log
	Tables     *object.Holder
	Directory  chicoryrock.Directory
	Dispatcher *dispatch.Dispatcher
	CallerTLS  *tls.Config // nil for plain HTTP towards callers
	AgentTLS   *tls.Config // nil for plain HTTP towards agents
	Opened     func(callers netip.AddrPort)

	gate     *gate
	agents   httpc.Service
	draining atomic.Bool
}

// Run serves until the context ends, then drains and returns.
func (e *Entry) Run(ctx context.Context) error {
	e.gate = newGate(e.Dispatcher)
	e.agents = web.NewService("agent", web.NewClient(e.AgentTLS))
	server := &web.Server{
		Name:     "entry",
		Listen:   e.Settings.Listen,
		Routes:   e.routes(),
		NotFound: e.handleOther,
		TLS:      e.CallerTLS,
		Log:      e.Log,
		Drain:    e.Settings.Drain,
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
	group.Go(func() error { return e.followServers(background) })
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
func (e *Entry) Ready() bool { return e.Tables.Table() != nil && !e.draining.Load() }

// followServers reads the list of VMs again and again.
func (e *Entry) followServers(ctx context.Context) error {
	ticker := time.NewTicker(serversInterval)
	defer ticker.Stop()
	for {
		if err := e.readServers(ctx); err != nil && ctx.Err() == nil {
			e.Log.Write(event.ServersLost, zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (e *Entry) readServers(ctx context.Context) error {
	vms, err := e.Directory.List(ctx)
	if err != nil {
		return errors.Wrap(err, "read the list of VMs")
	}
	table := e.Tables.Table()
	if table == nil {
		return nil
	}
	pools := make(map[string][]chicoryrock.Replica)
	for i := range table.Set.Pools {
		pools[table.Set.Pools[i].Name] = nil
	}
	for i := range vms {
		if pool := table.Pool(vms[i].Pool); pool != nil && vms[i].Role == "agent" {
			pools[pool.Name] = append(pools[pool.Name], replicaOf(&vms[i], pool))
		}
	}
	e.gate.setReplicas(pools)
	e.Log.Write(event.ServersRead, zap.Int("vms", len(vms)))
	return nil
}

func replicaOf(vm *chicoryrock.VM, pool *object.Pool) chicoryrock.Replica {
	return chicoryrock.Replica{
		Name:    vm.Name,
		Pool:    pool.Name,
		Centre:  vm.Centre,
		Region:  vm.Region,
		Address: vm.Address,
		Slots:   pool.Slots,
		Leaving: vm.State == chicoryrock.VMLeaving,
	}
}

// expire refuses waiting requests as soon as they can no longer be in time.
func (e *Entry) expire(ctx context.Context) error {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			e.gate.expire(now)
		}
	}
}
