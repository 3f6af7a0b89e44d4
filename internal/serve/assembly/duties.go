package assembly

import (
	"net/netip"
	"sync"
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/demand"
	"github.com/chicoryrock/chicoryrock/internal/serve/duty"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
	"github.com/chicoryrock/chicoryrock/internal/state/order"
	"github.com/chicoryrock/chicoryrock/platform"
)

// newDuties returns the duties that this entry may carry out. The entries that
// read the store for their data centre try to get them.
func (p *Entry) newDuties() []*duty.Holder {
	var duties []*duty.Holder
	if p.Settings.Orderer.IsValid() {
		orders := &duty.Orders{
			Store:   p.feed.Store,
			Orderer: &platform.API{Address: p.Settings.Orderer, Timeout: callTimeout, Holder: p.Settings.Name},
			Wanted:  p.wanted,
			Log:     p.Log,
		}
		duties = append(duties, p.newHolder(duty.OrdersDuty, orders.Work))
	}
	if p.Settings.Intake.IsValid() {
		holder := p.newHolder(duty.UsageDuty, p.collector.Work)
		p.collector.Holder = holder.Other
		duties = append(duties, holder)
	}
	return duties
}

func (p *Entry) newHolder(name string, work duty.WorkFunc) *duty.Holder {
	return &duty.Holder{
		Duty:      name,
		Process:   p.instance,
		Address:   p.peerAddress,
		Store:     p.feed.Store,
		Log:       p.Log,
		Candidate: p.roster.Reader,
		Work:      work,
	}
}

func (p *Entry) newCollector() *duty.Collector {
	return &duty.Collector{
		Store:  p.feed.Store,
		Intake: &platform.Intake{Address: p.Settings.Intake, Timeout: callTimeout},
		Window: p.Settings.Window,
		Holder: func() netip.AddrPort { return netip.AddrPort{} },
		TLS:    p.secrets.dialPeers,
		Log:    p.Log,
	}
}

func (p *Entry) newUsage() *duty.Counter {
	return &duty.Counter{
		Process: p.instance,
		Window:  p.Settings.Window,
		Sources: p.roster.Sources,
		Local:   p.collector.Take,
		TLS:     p.secrets.dialPeers,
		Log:     p.Log,
	}
}

// planner puts a lock round the core that works out how many backend servers are
// wanted.
type planner struct {
	mu   sync.Mutex
	core demand.Planner
}

func (p *planner) hear(now time.Time, statement demand.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.AddReport(now, statement)
}

func (p *planner) wanted(now time.Time, pools []demand.Pool, vms []chicoryrock.VM) map[order.PoolCentre]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	wanted := make(map[order.PoolCentre]int)
	for place, count := range p.core.DesiredServers(now, pools, vms) {
		wanted[order.PoolCentre(place)] = count
	}
	return wanted
}

func poolOf(pool *object.Pool) demand.Pool {
	return demand.Pool{
		Name:        pool.Name,
		Slots:       pool.Slots,
		Min:         pool.Min,
		Max:         pool.Max,
		StartupTime: pool.Start,
		CostPerHour: pool.Cost,
	}
}

// wanted returns how many backend servers each pool should have in each data
// centre. Without a configuration nothing is wanted otherwise than it is.
func (p *Entry) wanted(now time.Time) map[order.PoolCentre]int {
	table := p.tables.Table()
	if table == nil {
		return make(map[order.PoolCentre]int)
	}
	pools := make([]demand.Pool, len(table.Set.Pools))
	for i := range pools {
		pools[i] = poolOf(&table.Set.Pools[i])
	}
	return p.planner.wanted(now, pools, p.roster.VMs())
}

// dutyStatus says what this process knows of each duty.
func (p *Entry) dutyStatus(now time.Time) []duty.Status {
	status := make([]duty.Status, 0, len(p.duties))
	for _, holder := range p.duties {
		status = append(status, holder.Status(now))
	}
	return status
}
