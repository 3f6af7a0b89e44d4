package assembly

import (
	"net/netip"
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/serve/duty"
	"github.com/chicoryrock/chicoryrock/internal/serve/platform"
	"github.com/chicoryrock/chicoryrock/internal/state/order"
)

// newDuties returns the duties that this entry may carry out. The entries that
// read the store for their data centre try to get them.
func (p *Entry) newDuties() []*duty.Holder {
	var duties []*duty.Holder
	if p.Settings.Orderer.IsValid() {
		orders := &duty.Orders{
			Store:   p.feed.Store,
			Orderer: &platform.Orderer{Address: p.Settings.Orderer, Timeout: callTimeout},
			Wanted:  p.floors,
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

// floors wants each pool's minimum in every data centre that has fewer live
// backend servers of it.
func (p *Entry) floors(time.Time) map[order.Place]int {
	wanted := make(map[order.Place]int)
	table := p.tables.Table()
	if table == nil {
		return wanted
	}
	live, centres := countLive(p.roster.VMs())
	for i := range table.Set.Pools {
		pool := &table.Set.Pools[i]
		for centre := range centres {
			place := order.Place{Pool: pool.Name, Centre: centre}
			if live[place] < pool.Min {
				wanted[place] = pool.Min
			}
		}
	}
	return wanted
}

// countLive counts the live backend servers of each place, and names the data
// centres.
func countLive(vms []chicoryrock.VM) (live map[order.Place]int, centres map[string]bool) {
	live = make(map[order.Place]int)
	centres = make(map[string]bool)
	for i := range vms {
		centres[vms[i].Centre] = true
		if vms[i].Pool != "" && vms[i].State == chicoryrock.VMLive {
			live[order.Place{Pool: vms[i].Pool, Centre: vms[i].Centre}]++
		}
	}
	return live, centres
}

// dutyStatus says what this process knows of each duty.
func (p *Entry) dutyStatus(now time.Time) []duty.Status {
	status := make([]duty.Status, 0, len(p.duties))
	for _, holder := range p.duties {
		status = append(status, holder.Status(now))
	}
	return status
}
