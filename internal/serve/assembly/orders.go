package assembly

import (
	"context"
	"slices"
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/demand"
	"github.com/chicoryrock/chicoryrock/internal/serve/duty"
	"github.com/chicoryrock/chicoryrock/internal/state/order"
	"github.com/chicoryrock/chicoryrock/internal/state/routing"
	"github.com/chicoryrock/chicoryrock/platform"
)

// orders returns the duty of ordering backend servers for the services that state
// that they may be scaled. Without such a service no process tries for it.
func (p *Front) orders(process string) *duty.Holder {
	planner := &planner{}
	orders := &duty.Orders{
		Store:   p.store,
		Orderer: &platform.API{Address: p.Node.API, Timeout: apiTimeout, Holder: p.Node.Name},
		Log:     p.Log,
	}
	work := func(ctx context.Context, grant duty.Grant) {
		// What this process heard when it last had the duty says little of now.
		planner.core = demand.Planner{StartedAt: time.Now()}
		orders.Wanted = func(now time.Time) map[order.PoolCentre]int {
			p.hearNeeds(ctx, now, planner)
			return planner.wanted(now, p.scaled(), p.listed(now))
		}
		orders.Work(ctx, grant)
	}
	return &duty.Holder{
		Duty:      duty.OrdersDuty,
		Process:   process,
		Store:     p.store,
		Log:       p.Log,
		Candidate: func() bool { return p.candidate() && len(p.scaled()) > 0 },
		Work:      work,
		TTL:       p.Node.Bounds.Lease,
		Renew:     p.Node.Bounds.Lease / renewPart,
	}
}

// hearNeeds asks every process what its requests needed.
func (p *Front) hearNeeds(ctx context.Context, now time.Time, planner *planner) {
	planner.hear(now, p.needs.Report())
	p.eachPeer(now, func(process string) error {
		var statement demand.Report
		if err := p.peers.call(ctx, process, callNeeds, nil, &statement); err != nil {
			return err
		}
		planner.hear(now, statement)
		return nil
	})
}

// scaled returns the services whose backend servers may be ordered.
func (p *Front) scaled() []demand.Pool {
	table := p.front.Table()
	if table == nil {
		return nil
	}
	p.mutex.Lock()
	known := p.servers.Servers()
	p.mutex.Unlock()
	var pools []demand.Pool
	for i := range table.Services {
		if table.Services[i].Scaling != nil {
			pools = append(pools, scaledPool(&table.Services[i], known))
		}
	}
	return pools
}

// scaledPool says of a service what the orders need. It is ordered in the data
// centres in which it runs.
func scaledPool(service *routing.Service, known []chicoryrock.Server) demand.Pool {
	pool := demand.Pool{
		Name:        service.Name,
		Min:         service.Scaling.Min,
		Max:         service.Scaling.Max,
		StartupTime: service.Scaling.BootTime,
		CostPerHour: 1,
		// An empty list is not nil: nothing is ordered where nothing is known to run.
		Centres: []string{},
	}
	if service.Engine != nil {
		pool.Slots = service.Engine.Slots
	}
	for i := range known {
		if known[i].Service != service.Name {
			continue
		}
		if pool.Slots == 0 {
			pool.Slots = known[i].Slots
		}
		if !slices.Contains(pool.Centres, known[i].Centre) {
			pool.Centres = append(pool.Centres, known[i].Centre)
		}
	}
	slices.Sort(pool.Centres)
	return pool
}

// listed returns the backend servers that take new work, and the processes whose
// needs have to be heard, in the form of the list of VMs.
func (p *Front) listed(now time.Time) []chicoryrock.VM {
	var vms []chicoryrock.VM
	for _, process := range p.peers.alive(now) {
		vms = append(vms, chicoryrock.VM{Name: process, Role: demand.RoleEntry, State: chicoryrock.VMLive})
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, one := range p.servers.Servers() {
		if !one.Leaving {
			vms = append(vms, chicoryrock.VM{Name: one.ID, Pool: one.Service, Centre: one.Centre, State: chicoryrock.VMLive})
		}
	}
	return vms
}
