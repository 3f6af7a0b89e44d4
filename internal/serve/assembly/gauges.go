package assembly

import (
	"time"

	"github.com/chicoryrock/chicoryrock/internal/serve/duty"
	"github.com/chicoryrock/chicoryrock/internal/state/fleet"
)

// hold keeps a duty's holder for the gauges.
func (p *Front) hold(holder *duty.Holder) *duty.Holder {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.duties = append(p.duties, holder)
	return holder
}

// gauges brings the gauges up to date for a scrape.
func (p *Front) gauges(now time.Time) {
	confirmed := p.confirmed(now)
	table := p.front.Table()
	if !confirmed.IsZero() {
		p.metrics.Servers(now.Sub(confirmed))
		if table != nil {
			p.metrics.Configuration(table.Version, confirmed)
		}
	}
	if table != nil {
		for i := range table.Services {
			name := table.Services[i].Name
			p.metrics.Running(name, p.front.Gate.Open(name))
			p.metrics.Budget(name, p.front.Left(now, name))
		}
		for i := range table.Routes {
			route := &table.Routes[i]
			for _, share := range route.Services {
				tier := table.EffectivePriority(route, nil, share.Service) + 1
				p.metrics.Queue(share.Service, tier, p.front.Gate.Count(share.Service, tier))
			}
		}
	}
	measureRoom(p.front.Room, p.metrics)
	p.mutex.Lock()
	duties := p.duties
	p.mutex.Unlock()
	for _, holder := range duties {
		p.metrics.Duty(holder.Duty, holder.Status(now).Held)
	}
}

// confirmed returns when the configuration and the list of servers were last known
// to be the newest: when the store last answered a watch of this process, or of a
// peer that tells what it hears.
func (p *Front) confirmed(now time.Time) time.Time {
	p.mutex.Lock()
	confirmed := p.watched
	p.mutex.Unlock()
	p.peers.ask(func(f *fleet.Fleet) {
		if silence, found := f.StoreSilence(now); found && now.Add(-silence).After(confirmed) {
			confirmed = now.Add(-silence)
		}
	})
	return confirmed
}
