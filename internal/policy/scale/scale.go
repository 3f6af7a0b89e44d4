// Package scale decides how many backend servers, the replicas of a pool, each pool
// should have in each data centre. It orders replicas ahead of the demand by the
// time that a replica takes to start, releases them only after the demand has stayed
// low, keeps enough for the top tiers when a whole data centre is lost, and drains
// replicas before they are stopped.
//
// The caller chooses the unit of work and uses it throughout, such as tokens.
// Package demand uses slot-seconds, the time for which requests hold a slot, or would
// have held it if refused for lack of capacity.
package scale

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Pool is the fixed description of a pool.
type Pool struct {
	Name           string
	ReplicaRate    float64       // work a second that one replica serves within its targets
	StartupTime    time.Duration // from the order to the first request, without loading the weights
	WeightBytes    float64       // size of the model weights
	Min            int           // least replicas in each data centre
	Max            int           // most replicas in each data centre
	ProtectedTiers int           // tiers 1 to ProtectedTiers must be served when a data centre is lost
}

// Centre holds the replica counts and the cost of a pool in one data centre.
type Centre struct {
	Name        string
	Running     int     // replicas that accept requests
	Starting    int     // ordered, but not accepting requests yet
	Draining    int     // finishing their requests and accepting no more; without those that have finished
	CostPerHour float64 // money for each replica
}

// TierDemand is the forecast demand of one tier.
type TierDemand struct {
	Tier     int
	Forecast *Forecast
}

// State holds a pool's observed state and the totals that earlier decisions
// required. The exported fields are to be set anew before each Decide.
type State struct {
	Pool           Pool
	Centres        []Centre
	Demands        []TierDemand
	StoreBandwidth float64 // bytes a second of the weight store, shared by all that load from it; 0 means that loading takes no time

	recent []requirement // oldest first, with decreasing totals
}

// requirement is the total of replicas that was required at a time.
type requirement struct {
	at    time.Time
	total int
}

// CentrePlan is the plan for a pool in one data centre. Order is the count to state
// to the platform. It includes replicas that still drain, so that none is stopped
// before its requests have ended.
type CentrePlan struct {
	Pool    string
	Centre  string
	Order   int // replicas to order from the platform, in all states together
	Drain   int // running replicas to drain
	Undrain int // draining replicas to return to service, which is quicker than a start
}

// Decide returns the plans for a pool, one for each data centre in the order of
// state.Centres.
func Decide(now time.Time, state *State) []CentrePlan {
	total := state.recentMax(now, state.required(now))
	targets := distribute(&state.Pool, state.Centres, total)
	plans := make([]CentrePlan, len(state.Centres))
	for i := range state.Centres {
		plans[i] = planCentre(&state.Pool, &state.Centres[i], targets[i])
	}
	return plans
}

// required returns how many replicas the forecasts require within the time that a
// replica ordered now takes to start.
func (s *State) required(now time.Time) int {
	horizon := s.startupTime()
	all, protected := 0.0, 0.0
	for _, demand := range s.Demands {
		work := demand.Forecast.Peak(now, horizon)
		all += work
		if demand.Tier <= s.Pool.ProtectedTiers {
			protected += work
		}
	}
	return max(replicas(all, s.Pool.ReplicaRate), withSpare(replicas(protected, s.Pool.ReplicaRate), len(s.Centres)))
}

// replicas returns how many replicas serve a demand; both rates are work a second.
func replicas(demand, replicaRate float64) int { return int(math.Ceil(demand / replicaRate)) }

// withSpare returns the smallest total that, spread evenly, leaves the given number
// of replicas when the data centre with the most replicas is lost.
func withSpare(left, centres int) int {
	if centres < 2 {
		return left
	}
	total := left
	for total-(total+centres-1)/centres < left {
		total++
	}
	return total
}

// startupTime returns how long a replica ordered now takes to start, including the
// time to load its weights from the store after the replicas that already load theirs.
func (s *State) startupTime() time.Duration {
	if s.StoreBandwidth <= 0 {
		return s.Pool.StartupTime
	}
	loading := 1
	for i := range s.Centres {
		loading += s.Centres[i].Starting
	}
	seconds := s.Pool.WeightBytes * float64(loading) / s.StoreBandwidth
	return s.Pool.StartupTime + time.Duration(seconds*float64(time.Second))
}

// recentMax adds a required total and returns the highest one within the startup
// time. A replica that is released and ordered anew costs its startup time without
// serving, so shorter dips are ignored.
func (s *State) recentMax(now time.Time, total int) int {
	s.recent = slices.DeleteFunc(s.recent, func(r requirement) bool {
		return now.Sub(r.at) >= s.startupTime() || r.total <= total
	})
	s.recent = append(s.recent, requirement{at: now, total: total})
	return s.recent[0].total
}

// distribute spreads a total over the data centres as evenly as possible, within Min
// and Max of each. A remainder goes first to the data centres with more replicas
// present, and among equals to the cheaper ones.
func distribute(pool *Pool, centres []Centre, total int) []int {
	order := make([]int, len(centres))
	targets := make([]int, len(centres))
	for i := range centres {
		order[i] = i
		targets[i] = pool.Min
		total -= pool.Min
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(centres[b].present(), centres[a].present()),
			cmp.Compare(centres[a].CostPerHour, centres[b].CostPerHour))
	})
	for total > 0 {
		least := -1
		for _, i := range order {
			if targets[i] < pool.Max && (least < 0 || targets[i] < targets[least]) {
				least = i
			}
		}
		if least < 0 {
			break
		}
		targets[least]++
		total--
	}
	return targets
}

// present returns how many replicas accept requests now or once started.
func (c *Centre) present() int { return c.Running + c.Starting }

// planCentre returns the plan that reaches a target. If replicas are missing,
// draining ones return to service before new ones are ordered. If there are too
// many, running ones are drained and stay ordered until they are empty.
func planCentre(pool *Pool, centre *Centre, target int) CentrePlan {
	plan := CentrePlan{Pool: pool.Name, Centre: centre.Name}
	missing := target - centre.present()
	plan.Undrain = min(max(missing, 0), centre.Draining)
	plan.Drain = min(max(-missing, 0), centre.Running)
	plan.Order = max(target, centre.Running) + centre.Draining - plan.Undrain
	return plan
}
