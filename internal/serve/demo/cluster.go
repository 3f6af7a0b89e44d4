// Package demo runs the whole path in one process over loopback sockets: entries,
// agents and the stand-ins for what the platform gives. It replays a recorded
// trace with an overload and a crash in it, and prints a report.
package demo

import (
	"context"
	"crypto/rand"
	"embed"
	"fmt"
	"io/fs"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/ops/settings"
	"github.com/chicoryrock/chicoryrock/internal/serve/assembly"
	"github.com/chicoryrock/chicoryrock/internal/serve/platform"
	"github.com/chicoryrock/chicoryrock/internal/standin/engine"
	"github.com/chicoryrock/chicoryrock/internal/standin/host"
	"github.com/chicoryrock/chicoryrock/internal/standin/store"
	"github.com/chicoryrock/chicoryrock/internal/standin/vms"
	"github.com/chicoryrock/chicoryrock/internal/state/member"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
	"github.com/chicoryrock/chicoryrock/internal/state/publish"
)

//go:embed testdata
var files embed.FS

const (
	entryCount  = 2
	engineCount = 4
	engineSlots = 8
	poolName    = "garland"
	region      = "ahmedabad"
	// tokenTime and prefillTime are the engines' speed at full batch.
	tokenTime   = 10 * time.Millisecond
	prefillTime = 100 * time.Microsecond
	// drainTime bounds the shutdown of the processes.
	drainTime = 2 * time.Second
	// readyLimit bounds the wait for the entries to take up the configuration.
	readyLimit = 10 * time.Second
)

var centres = []string{"jamalpur", "kalupur"}

// cluster is the running system.
type cluster struct {
	store   *store.Server
	vms     *vms.Server
	engines []*engine.Server
	entries []*assembly.Entry
	callers []netip.AddrPort
	group   *errgroup.Group
	stop    context.CancelFunc
}

// startCluster starts everything and returns when the entries serve.
func startCluster(ctx context.Context) (*cluster, error) {
	ctx, stop := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	c := &cluster{group: group, stop: stop}
	for _, step := range []func(context.Context) error{c.startPlatform, c.startAgents, c.publish, c.startEntries, c.await} {
		if err := step(ctx); err != nil {
			c.close()
			return nil, err
		}
	}
	return c, nil
}

func (c *cluster) startPlatform(context.Context) error {
	c.store = &store.Server{Listen: host.Loopback()}
	if err := c.store.Start(); err != nil {
		return err
	}
	c.vms = &vms.Server{Listen: host.Loopback()}
	return c.vms.Start()
}

func (c *cluster) startAgents(ctx context.Context) error {
	var list []chicoryrock.VM
	for i := range engineCount {
		server := &engine.Server{
			Listen:  host.Loopback(),
			Model:   "garland-7b",
			Slots:   engineSlots,
			Token:   tokenTime,
			Prefill: prefillTime,
		}
		if err := server.Start(); err != nil {
			return err
		}
		c.engines = append(c.engines, server)
		vm, err := c.startAgent(ctx, i, server.Addr())
		if err != nil {
			return err
		}
		list = append(list, vm)
	}
	c.vms.Set(list)
	return nil
}

func (c *cluster) startAgent(ctx context.Context, i int, engine netip.AddrPort) (chicoryrock.VM, error) {
	vm := chicoryrock.VM{
		Name:   fmt.Sprintf("backend-%d", i+1),
		Role:   member.RoleAgent,
		Pool:   poolName,
		Centre: centres[i%len(centres)],
		Region: region,
		State:  chicoryrock.VMLive,
	}
	opened := make(chan netip.AddrPort, 1)
	agent := &assembly.Agent{
		Settings: &settings.Agent{
			Common: c.common(vm.Name, vm.Centre),
			Listen: host.Loopback(),
			Engine: engine,
			Pool:   poolName,
			Slots:  engineSlots,
		},
		Log:    event.NewNop(),
		Opened: func(address netip.AddrPort) { opened <- address },
	}
	c.group.Go(func() error { return agent.Run(ctx) })
	address, err := await(ctx, opened)
	vm.Address = address
	return vm, err
}

func (c *cluster) startEntries(ctx context.Context) error {
	for i := range entryCount {
		opened := make(chan netip.AddrPort, 1)
		entry := &assembly.Entry{
			Settings: &settings.Entry{
				Common:  c.common(fmt.Sprintf("entry-%d", i+1), centres[i%len(centres)]),
				Listen:  host.Loopback(),
				MaxBody: 16 << 20,
			},
			Log:    event.NewNop(),
			Opened: func(address netip.AddrPort) { opened <- address },
		}
		c.group.Go(func() error { return entry.Run(ctx) })
		address, err := await(ctx, opened)
		if err != nil {
			return err
		}
		c.entries = append(c.entries, entry)
		c.callers = append(c.callers, address)
	}
	return nil
}

func (c *cluster) common(name, centre string) settings.Common {
	return settings.Common{
		Name:   name,
		Centre: centre,
		Region: region,
		Home:   region,
		Peer:   host.Loopback(),
		Admin:  host.Loopback(),
		Store:  c.store.Addr(),
		VMs:    c.vms.Addr(),
		Plain:  true,
		Drain:  drainTime,
	}
}

// publish puts the declarations of the demonstration in force.
func (c *cluster) publish(ctx context.Context) error {
	folder, err := fs.Sub(files, "testdata")
	if err != nil {
		return errors.WithStack(err)
	}
	declared, faults := object.Load(folder)
	if len(faults) > 0 {
		return errors.Wrap(chicoryrock.ErrInvalid, faults[0].Text)
	}
	publisher := publish.Publisher{Store: &platform.Store{Address: c.store.Addr()}}
	_, err = publisher.Publish(ctx, time.Now(), publish.Publication{ID: rand.Text()}, declared.Set)
	return err
}

// await waits until every entry is ready and sees the backend servers.
func (c *cluster) await(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for _, entry := range c.entries {
		for !entry.Ready() {
			select {
			case <-ctx.Done():
				return errors.Wrap(ctx.Err(), "the entries did not become ready")
			case <-time.After(tokenTime):
			}
		}
	}
	return nil
}

func (c *cluster) close() {
	c.stop()
	// Every part has been asked to stop; what one of them reports now changes nothing.
	_ = c.group.Wait()
	for _, server := range c.engines {
		server.Close()
	}
	if c.vms != nil {
		c.vms.Close()
	}
	if c.store != nil {
		c.store.Close()
	}
}

func await(ctx context.Context, opened <-chan netip.AddrPort) (netip.AddrPort, error) {
	select {
	case address := <-opened:
		return address, nil
	case <-ctx.Done():
		return netip.AddrPort{}, errors.WithStack(ctx.Err())
	}
}
