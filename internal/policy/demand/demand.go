// Package demand gathers from all entries how much service each pool and tier needs,
// as slot-seconds: the time that requests held a slot of a backend server, and for
// those refused for want of room the time that they would have held it. Figures
// only grow, so a statement that is lost, repeated or late does no harm.
package demand

import (
	"slices"
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/scale"
)

const (
	// busyShare is the share of a backend server's slots that is planned for. The
	// rest takes up what arrives unevenly.
	busyShare = 0.8
	// topTiers are served also when a data centre is lost.
	topTiers = 2
	// warmTime is how long a process must have listened before its forecast may
	// lower an order.
	warmTime = 2 * time.Minute
	// silence is how long an entry may be unheard before orders are not lowered: its
	// need may only be out of hearing.
	silence = 10 * time.Second
	// RoleEntry is the role of entries in the list of VMs.
	RoleEntry = "entry"
)

// Total is what one entry has needed of a pool for one tier since its start.
type Total struct {
	Pool        string  `json:"pool"`
	Tier        int     `json:"tier"`
	SlotSeconds float64 `json:"time"` // slot-seconds
}

// Report is what one entry tells the others.
type Report struct {
	Entry  string  `json:"entry"`
	Totals []Total `json:"cells,omitempty"`
}

// Pool is what the configuration says of a pool.
type Pool struct {
	Name        string
	Slots       int           // requests that one backend server runs at once
	Min         int           // backend servers kept in each data centre
	Max         int           // most backend servers in each data centre
	StartupTime time.Duration // from the order to the first request
	CostPerHour float64       // money for each backend server and hour
	// Centres are the data centres in which there may be any; nil for all of the list.
	Centres []string
}

// PoolCentre is a pool in a data centre.
type PoolCentre struct {
	Pool   string
	Centre string
}

// flow is the requests of one tier for one pool.
type flow struct {
	pool string
	tier int
}

type source struct {
	heard time.Time
	told  map[flow]float64
}

// Planner works out how many backend servers are wanted. Set the exported field
// before use. It is not safe for concurrent use.
type Planner struct {
	StartedAt time.Time // when this process began to listen

	sources   map[string]*source
	forecasts map[flow]*scale.Forecast
	states    map[string]*scale.State
	wanted    map[PoolCentre]int
}

// AddReport takes in a statement, also the process's own.
func (p *Planner) AddReport(now time.Time, statement Report) {
	if p.sources == nil {
		p.sources = make(map[string]*source)
		p.forecasts = make(map[flow]*scale.Forecast)
		p.states = make(map[string]*scale.State)
		p.wanted = make(map[PoolCentre]int)
	}
	from := p.sources[statement.Entry]
	if from == nil {
		from = &source{told: make(map[flow]float64)}
		p.sources[statement.Entry] = from
	}
	from.heard = now
	for _, cell := range statement.Totals {
		p.add(now, from, cell)
	}
}

func (p *Planner) add(now time.Time, from *source, cell Total) {
	at := flow{pool: cell.Pool, tier: cell.Tier}
	grown := cell.SlotSeconds - from.told[at]
	if grown < 0 {
		// The entry has started anew and counts from zero.
		grown = cell.SlotSeconds
	}
	from.told[at] = cell.SlotSeconds
	if p.forecasts[at] == nil {
		p.forecasts[at] = &scale.Forecast{}
	}
	p.forecasts[at].Observe(now, grown)
}

// DesiredServers returns the wanted count for each pool and data centre that the list of
// VMs shows. Counts are raised at once, and lowered only by a process that has
// listened long enough and hears every listed entry.
func (p *Planner) DesiredServers(now time.Time, pools []Pool, vms []chicoryrock.VM) map[PoolCentre]int {
	wanted := make(map[PoolCentre]int)
	lower := now.Sub(p.StartedAt) >= warmTime && p.hearsAll(now, vms)
	for i := range pools {
		state := p.state(&pools[i], vms)
		if state == nil {
			continue
		}
		for _, want := range scale.Decide(now, state) {
			at := PoolCentre{Pool: want.Pool, Centre: want.Centre}
			// The platform's order names no backend server, so none can be drained
			// beforehand: the platform picks, and the agent beside the one it stops
			// drains it before it ends.
			count := want.Order - want.Drain
			if !lower {
				count = max(count, p.wanted[at], live(vms, at))
			}
			wanted[at] = count
		}
	}
	if p.wanted != nil {
		p.wanted = wanted
	}
	return wanted
}

// hearsAll says whether every live entry of the list has been heard of late.
func (p *Planner) hearsAll(now time.Time, vms []chicoryrock.VM) bool {
	for i := range vms {
		if vms[i].Role != RoleEntry || vms[i].State != chicoryrock.VMLive {
			continue
		}
		from := p.sources[vms[i].Name]
		if from == nil || now.Sub(from.heard) > silence {
			return false
		}
	}
	return true
}

// state brings what the scale core knows of a pool up to date. It is nil before
// anything was heard.
func (p *Planner) state(pool *Pool, vms []chicoryrock.VM) *scale.State {
	if p.states == nil {
		return nil
	}
	state := p.states[pool.Name]
	if state == nil {
		state = &scale.State{}
		p.states[pool.Name] = state
	}
	state.Pool = scale.Pool{
		Name:           pool.Name,
		ReplicaRate:    busyShare * float64(pool.Slots),
		StartupTime:    pool.StartupTime,
		Min:            pool.Min,
		Max:            pool.Max,
		ProtectedTiers: topTiers,
	}
	state.Centres = p.centres(pool, vms)
	state.Demands = p.needs(pool.Name)
	return state
}

func (p *Planner) needs(pool string) []scale.TierDemand {
	var needs []scale.TierDemand
	for at, forecast := range p.forecasts {
		if at.pool == pool {
			needs = append(needs, scale.TierDemand{Tier: at.tier, Forecast: forecast})
		}
	}
	slices.SortFunc(needs, func(a, b scale.TierDemand) int { return a.Tier - b.Tier })
	return needs
}

// centres counts a pool's backend servers in every data centre of the list. What
// was wanted and is not listed yet counts as starting.
func (p *Planner) centres(pool *Pool, vms []chicoryrock.VM) []scale.Centre {
	names := pool.Centres
	if names == nil {
		names = listed(vms)
	}
	centres := make([]scale.Centre, len(names))
	for i, name := range names {
		at := PoolCentre{Pool: pool.Name, Centre: name}
		running := live(vms, at)
		centres[i] = scale.Centre{
			Name:        name,
			Running:     running,
			Starting:    max(0, p.wanted[at]-running),
			CostPerHour: pool.CostPerHour,
		}
	}
	return centres
}

// listed returns the data centres of a list of VMs, in order.
func listed(vms []chicoryrock.VM) []string {
	var names []string
	for i := range vms {
		if !slices.Contains(names, vms[i].Centre) {
			names = append(names, vms[i].Centre)
		}
	}
	slices.Sort(names)
	return names
}

func live(vms []chicoryrock.VM, at PoolCentre) int {
	count := 0
	for i := range vms {
		if vms[i].Pool == at.Pool && vms[i].Centre == at.Centre && vms[i].State == chicoryrock.VMLive {
			count++
		}
	}
	return count
}
