// Package demand collects from all entries how much capacity each pool and tier
// needs, and plans the backend servers for it. Demand is counted in slot-seconds: the
// time for which requests held a slot of a backend server, and for requests refused
// for lack of capacity the time for which they would have held it. Totals only grow,
// so a report that is lost, repeated or late does no harm.
package demand

import (
	"slices"
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/scale"
)

const (
	// targetUtilization is the share of a backend server's slots that is planned for.
	// The rest absorbs uneven arrivals.
	targetUtilization = 0.8
	// protectedTiers is the number of top tiers that are served also when a data
	// centre is lost.
	protectedTiers = 2
	// warmUpTime is how long a process must have collected reports before its forecast
	// may lower an order.
	warmUpTime = 2 * time.Minute
	// maxReportAge is how old an entry's last report may be. With an older one, orders
	// are not lowered: the entry may still have demand, but be unable to report it.
	maxReportAge = 10 * time.Second
	// RoleEntry is the role of entries in the list of VMs.
	RoleEntry = "entry"
)

// Total is the demand of one entry for a pool and tier since the entry's start.
type Total struct {
	Pool        string  `json:"pool"`
	Tier        int     `json:"tier"`
	SlotSeconds float64 `json:"time"`
}

// Report holds the totals that one entry sends to the others.
type Report struct {
	Entry  string  `json:"entry"`
	Totals []Total `json:"cells,omitempty"`
}

// Pool holds the settings of a pool.
type Pool struct {
	Name        string
	Slots       int           // requests that one backend server runs at once
	Min         int           // least backend servers in each data centre
	Max         int           // most backend servers in each data centre
	StartupTime time.Duration // from the order to the first request
	CostPerHour float64       // money for each backend server
	// Centres are the data centres that may run the pool; nil for all in the list of VMs.
	Centres []string
}

// PoolCentre is a pool in a data centre.
type PoolCentre struct {
	Pool   string
	Centre string
}

// poolTier is a pool and a tier of its requests.
type poolTier struct {
	pool string
	tier int
}

// entryReport is the last report of one entry.
type entryReport struct {
	receivedAt time.Time
	totals     map[poolTier]float64 // slot-seconds
}

// Planner computes how many backend servers are desired. Set the exported field
// before use. It is not safe for concurrent use.
type Planner struct {
	StartedAt time.Time // when this process began to collect reports

	reports   map[string]*entryReport // by entry
	forecasts map[poolTier]*scale.Forecast
	states    map[string]*scale.State // by pool
	desired   map[PoolCentre]int      // last result of DesiredServers
}

// AddReport adds the report of an entry, also this process's own.
func (p *Planner) AddReport(now time.Time, report Report) {
	if p.reports == nil {
		p.reports = make(map[string]*entryReport)
		p.forecasts = make(map[poolTier]*scale.Forecast)
		p.states = make(map[string]*scale.State)
		p.desired = make(map[PoolCentre]int)
	}
	last := p.reports[report.Entry]
	if last == nil {
		last = &entryReport{totals: make(map[poolTier]float64)}
		p.reports[report.Entry] = last
	}
	last.receivedAt = now
	for _, total := range report.Totals {
		p.addTotal(now, last, total)
	}
}

// addTotal adds the increase of a total since the entry's last report to the
// forecast.
func (p *Planner) addTotal(now time.Time, last *entryReport, total Total) {
	key := poolTier{pool: total.Pool, tier: total.Tier}
	increase := total.SlotSeconds - last.totals[key]
	if increase < 0 {
		// The entry has restarted and counts from zero.
		increase = total.SlotSeconds
	}
	last.totals[key] = total.SlotSeconds
	if p.forecasts[key] == nil {
		p.forecasts[key] = &scale.Forecast{}
	}
	p.forecasts[key].Observe(now, increase)
}

// DesiredServers returns the desired count of backend servers of each pool in each of
// its data centres. Counts are raised at once. They are lowered only by a process
// that has collected reports for long enough and has a recent report of every live
// entry in the list of VMs.
func (p *Planner) DesiredServers(now time.Time, pools []Pool, vms []chicoryrock.VM) map[PoolCentre]int {
	desired := make(map[PoolCentre]int)
	mayLower := now.Sub(p.StartedAt) >= warmUpTime && p.allEntriesReporting(now, vms)
	for i := range pools {
		state := p.scaleState(&pools[i], vms)
		if state == nil {
			continue
		}
		for _, plan := range scale.Decide(now, state) {
			key := PoolCentre{Pool: plan.Pool, Centre: plan.Centre}
			// An order to the platform names no backend server, so none can be drained
			// beforehand: the platform selects the ones to stop, and their agents drain
			// them before they end.
			count := plan.Order - plan.Drain
			if !mayLower {
				count = max(count, p.desired[key], liveServers(vms, key))
			}
			desired[key] = count
		}
	}
	if p.desired != nil {
		p.desired = desired
	}
	return desired
}

// allEntriesReporting reports whether there is a recent report of every live entry in
// the list of VMs.
func (p *Planner) allEntriesReporting(now time.Time, vms []chicoryrock.VM) bool {
	for i := range vms {
		if vms[i].Role != RoleEntry || vms[i].State != chicoryrock.VMLive {
			continue
		}
		last := p.reports[vms[i].Name]
		if last == nil || now.Sub(last.receivedAt) > maxReportAge {
			return false
		}
	}
	return true
}

// scaleState updates the scaling state of a pool and returns it. It is nil before
// the first report.
func (p *Planner) scaleState(pool *Pool, vms []chicoryrock.VM) *scale.State {
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
		ReplicaRate:    targetUtilization * float64(pool.Slots),
		StartupTime:    pool.StartupTime,
		Min:            pool.Min,
		Max:            pool.Max,
		ProtectedTiers: protectedTiers,
	}
	state.Centres = p.centres(pool, vms)
	state.Demands = p.demands(pool.Name)
	return state
}

// demands returns the forecasts of a pool, by tier.
func (p *Planner) demands(pool string) []scale.TierDemand {
	var demands []scale.TierDemand
	for key, forecast := range p.forecasts {
		if key.pool == pool {
			demands = append(demands, scale.TierDemand{Tier: key.tier, Forecast: forecast})
		}
	}
	slices.SortFunc(demands, func(a, b scale.TierDemand) int { return a.Tier - b.Tier })
	return demands
}

// centres counts a pool's backend servers in each of its data centres. Those that
// were desired last and are not live in the list of VMs count as starting.
func (p *Planner) centres(pool *Pool, vms []chicoryrock.VM) []scale.Centre {
	names := pool.Centres
	if names == nil {
		names = centreNames(vms)
	}
	centres := make([]scale.Centre, len(names))
	for i, name := range names {
		key := PoolCentre{Pool: pool.Name, Centre: name}
		running := liveServers(vms, key)
		centres[i] = scale.Centre{
			Name:        name,
			Running:     running,
			Starting:    max(0, p.desired[key]-running),
			CostPerHour: pool.CostPerHour,
		}
	}
	return centres
}

// centreNames returns the data centres in a list of VMs, sorted.
func centreNames(vms []chicoryrock.VM) []string {
	var names []string
	for i := range vms {
		if !slices.Contains(names, vms[i].Centre) {
			names = append(names, vms[i].Centre)
		}
	}
	slices.Sort(names)
	return names
}

// liveServers counts the live backend servers of a pool in a data centre.
func liveServers(vms []chicoryrock.VM, key PoolCentre) int {
	count := 0
	for i := range vms {
		if vms[i].Pool == key.Pool && vms[i].Centre == key.Centre && vms[i].State == chicoryrock.VMLive {
			count++
		}
	}
	return count
}
