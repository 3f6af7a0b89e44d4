// Package local runs a small whole system in one process over loopback sockets:
// entries, agents, and stand-ins for what the platform gives. The demonstration
// and tests use it.
package local

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/ops/settings"
	"github.com/chicoryrock/chicoryrock/internal/serve/assembly"
	"github.com/chicoryrock/chicoryrock/internal/standin/engine"
	"github.com/chicoryrock/chicoryrock/internal/standin/host"
	"github.com/chicoryrock/chicoryrock/internal/standin/plain"
	"github.com/chicoryrock/chicoryrock/internal/standin/store"
	"github.com/chicoryrock/chicoryrock/internal/standin/vms"
	"github.com/chicoryrock/chicoryrock/internal/state/member"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
	"github.com/chicoryrock/chicoryrock/internal/state/publish"
	"github.com/chicoryrock/chicoryrock/platform"
)

const (
	// drainTime bounds the shutdown of the processes.
	drainTime = time.Minute
	// usageWindow is the length of a usage window.
	usageWindow = 5 * time.Minute
	// readyLimit bounds the wait for the entries to take up the configuration.
	readyLimit = 20 * time.Second
	// readyPause is how often readiness is looked at.
	readyPause = 5 * time.Millisecond
	// maxBody is the largest request body, bytes.
	maxBody = 16 << 20
)

// Centre is one data centre of the system.
type Centre struct {
	Name    string
	Region  string
	Entries int
	Engines int // of the pool that System.Pool names
	Plains  int // plain services of the pool that System.Service names
}

// System is a running system. Set the fields of the first group, then call Start.
// The store stands in the first data centre's region.
type System struct {
	Centres []Centre
	Set     *object.Set           // published at the start
	Pool    string                // pool of the model engines
	Service string                // pool of the plain services
	Slots   int                   // streams of one backend server
	Token   time.Duration         // time of one token
	Prefill time.Duration         // time of one prompt token
	Address func() netip.AddrPort // where each process listens next; nil for any free port
	Log     *event.Log            // of the entries that start; nil for none

	Store   *store.Server
	VMs     *vms.Server
	Engines []*engine.Server
	Plains  []*plain.Server
	Entries []*assembly.Entry
	Callers []netip.AddrPort // addresses of the entries, in their order

	list    []chicoryrock.VM
	stops   map[string]context.CancelFunc
	running sync.WaitGroup
	ctx     context.Context
	stop    context.CancelFunc
}

// Start starts everything and returns when the entries serve. Close goes with it,
// also after an error.
func (s *System) Start(ctx context.Context) error {
	event.DropCalls()
	s.ctx, s.stop = context.WithCancel(ctx)
	s.stops = make(map[string]context.CancelFunc)
	if err := s.startPlatform(); err != nil {
		return err
	}
	if err := s.Publish(s.Set); err != nil {
		return err
	}
	for i := range s.Centres {
		if err := s.startCentre(&s.Centres[i]); err != nil {
			return err
		}
	}
	return s.awaitReady()
}

// Close stops every process gracefully, then the stand-ins.
func (s *System) Close() {
	s.stop()
	s.running.Wait()
	for _, server := range s.Engines {
		server.Close()
	}
	for _, server := range s.Plains {
		server.Close()
	}
	if s.VMs != nil {
		s.VMs.Close()
	}
	if s.Store != nil {
		s.Store.Close()
	}
}

// Stop shuts one process down gracefully, by its name.
func (s *System) Stop(name string) { s.stops[name]() }

// Publish puts a set in force.
func (s *System) Publish(set *object.Set) error {
	publisher := publish.Publisher{Store: &platform.Store{Address: s.Store.Addr()}}
	_, err := publisher.Publish(s.ctx, time.Now(), publish.Publication{ID: rand.Text()}, set)
	return err
}

// Leave marks a VM as leaving in the platform's list.
func (s *System) Leave(name string) {
	for i := range s.list {
		if s.list[i].Name == name {
			s.list[i].State = chicoryrock.VMLeaving
		}
	}
	s.showList()
}

func (s *System) listen() netip.AddrPort {
	if s.Address != nil {
		return s.Address()
	}
	return host.Loopback()
}

func (s *System) startPlatform() error {
	s.Store = &store.Server{Listen: s.listen()}
	if err := s.Store.Start(); err != nil {
		return err
	}
	s.VMs = &vms.Server{Listen: s.listen()}
	return s.VMs.Start()
}

func (s *System) startCentre(centre *Centre) error {
	for range centre.Engines {
		if err := s.startEngine(centre); err != nil {
			return err
		}
	}
	for range centre.Plains {
		if err := s.startPlain(centre); err != nil {
			return err
		}
	}
	for range centre.Entries {
		if err := s.StartEntry(centre); err != nil {
			return err
		}
	}
	return nil
}

func (s *System) startEngine(centre *Centre) error {
	server := &engine.Server{
		Listen:  s.listen(),
		Model:   s.modelOf(s.Pool),
		Slots:   s.Slots,
		Token:   s.Token,
		Prefill: s.Prefill,
	}
	if err := server.Start(); err != nil {
		return err
	}
	s.Engines = append(s.Engines, server)
	return s.startAgent(centre, fmt.Sprintf("backend-%d", len(s.Engines)), s.Pool, server.Addr())
}

func (s *System) startPlain(centre *Centre) error {
	server := &plain.Server{Listen: s.listen()}
	if err := server.Start(); err != nil {
		return err
	}
	s.Plains = append(s.Plains, server)
	return s.startAgent(centre, fmt.Sprintf("service-%d", len(s.Plains)), s.Service, server.Addr())
}

func (s *System) modelOf(pool string) string {
	for i := range s.Set.Pools {
		if s.Set.Pools[i].Name == pool {
			return s.Set.Pools[i].Model
		}
	}
	return ""
}

func (s *System) startAgent(centre *Centre, name, pool string, backend netip.AddrPort) error {
	opened := make(chan netip.AddrPort, 1)
	agent := &assembly.Agent{
		Settings: &settings.Agent{
			Common: s.common(name, centre),
			Listen: s.listen(),
			Engine: backend,
			Pool:   pool,
			Slots:  s.Slots,
		},
		Log:    event.NewNop(),
		Opened: func(address netip.AddrPort) { opened <- address },
	}
	address, err := s.run(name, agent.Run, opened)
	if err != nil {
		return err
	}
	s.show(centre, chicoryrock.VM{Name: name, Role: member.RoleAgent, Pool: pool, Address: address})
	return nil
}

// StartEntry starts one more entry in a data centre.
func (s *System) StartEntry(centre *Centre) error {
	name := fmt.Sprintf("entry-%d", len(s.Entries)+1)
	opened := make(chan netip.AddrPort, 1)
	log := s.Log
	if log == nil {
		log = event.NewNop()
	}
	entry := &assembly.Entry{
		Settings: &settings.Entry{Common: s.common(name, centre), Listen: s.listen(), MaxBody: maxBody},
		Log:      log,
		Opened:   func(address netip.AddrPort) { opened <- address },
	}
	address, err := s.run(name, entry.Run, opened)
	if err != nil {
		return err
	}
	s.Entries = append(s.Entries, entry)
	s.Callers = append(s.Callers, address)
	s.show(centre, chicoryrock.VM{Name: name, Role: member.RoleEntry, Address: entry.PeerAddress()})
	return nil
}

// run starts one process and returns its address once it is open.
func (s *System) run(name string, run func(context.Context) error, opened <-chan netip.AddrPort) (netip.AddrPort, error) {
	ctx, cancel := context.WithCancel(s.ctx)
	s.stops[name] = cancel
	failed := make(chan error, 1)
	s.running.Go(func() { failed <- run(ctx) })
	select {
	case address := <-opened:
		return address, nil
	case err := <-failed:
		return netip.AddrPort{}, errors.Wrapf(err, "start %s", name)
	}
}

func (s *System) common(name string, centre *Centre) settings.Common {
	return settings.Common{
		Name:   name,
		Centre: centre.Name,
		Region: centre.Region,
		Home:   s.Centres[0].Region,
		Peer:   s.listen(),
		Admin:  s.listen(),
		Store:  s.Store.Addr(),
		VMs:    s.VMs.Addr(),
		Plain:  true,
		Drain:  drainTime,
		Window: usageWindow,
	}
}

func (s *System) show(centre *Centre, vm chicoryrock.VM) {
	vm.Centre = centre.Name
	vm.Region = centre.Region
	vm.State = chicoryrock.VMLive
	s.list = append(s.list, vm)
	s.showList()
}

func (s *System) showList() {
	s.VMs.Set(append([]chicoryrock.VM(nil), s.list...))
}

// awaitReady waits until every entry is ready and sees all VMs of the list.
func (s *System) awaitReady() error {
	ctx, cancel := context.WithTimeout(s.ctx, readyLimit)
	defer cancel()
	for _, entry := range s.Entries {
		for !entry.Ready() || entry.Sees() < len(s.list) {
			select {
			case <-ctx.Done():
				return errors.Wrap(ctx.Err(), "the entries did not become ready")
			case <-time.After(readyPause):
			}
		}
	}
	return nil
}
