// Package scale decides how many backend servers each pool should have in each
// data centre. It orders ahead of the need by the time that a replica takes to
// start, gives replicas back only after the need has stayed low, keeps enough for
// the top tiers when a whole data centre is lost, and drains before it stops.
package scale

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Pool is what is fixed about a pool.
type Pool struct {
	Name           string
	ReplicaRate    float64       // tokens a second that one replica serves within its targets
	StartupTime    time.Duration // from the order to the first request, weights not counted
	WeightBytes    float64       // size of the weights, bytes
	Min            int           // replicas kept in each data centre
	Max            int           // most replicas in each data centre
	ProtectedTiers int           // tiers 1 to Top must be served when a data centre is lost
}

// Centre is what is known of a pool's replicas in one data centre.
type Centre struct {
	Name        string
	Running     int     // taking work
	Starting    int     // ordered and not yet taking work
	Draining    int     // finishing their work, taking no more; not those that are empty
	CostPerHour float64 // money for each replica and hour
}

// TierDemand is the forecast of one tier.
type TierDemand struct {
	Tier     int
	Forecast *Forecast
}

// State is a pool with what was observed, and what was decided before. Set the
// exported fields anew before each Decide.
type State struct {
	Pool           Pool
	Centres        []Centre
	Demands        []TierDemand
	StoreBandwidth float64 // bytes a second that the weight store gives to all together

	recent []decision // what was needed of late, the highest first
}

// decision is a total that was needed at a time.
type decision struct {
	at    time.Time
	total int
}

// CentrePlan is what a pool should have in one data centre. The order to the platform
// states Order, which counts replicas that still drain, so that none is stopped
// before its work has ended.
type CentrePlan struct {
	Pool    string
	Centre  string
	Order   int // replicas to be ordered from the platform, all states together
	Drain   int // running replicas to be drained
	Undrain int // draining replicas to be taken back, which is quicker than a start
}

// Decide returns what a pool should have, one Want for each data centre in the
// order of the state.
func Decide(now time.Time, state *State) []CentrePlan {
	total := state.held(now, state.needed(now))
	targets := place(&state.Pool, state.Centres, total)
	wants := make([]CentrePlan, len(state.Centres))
	for i := range state.Centres {
		wants[i] = want(&state.Pool, &state.Centres[i], targets[i])
	}
	return wants
}

// needed returns how many replicas the forecast asks for, over the time that a
// replica ordered now would take to come.
func (s *State) needed(now time.Time) int {
	ahead := s.ahead()
	all, top := 0.0, 0.0
	for _, need := range s.Demands {
		tokens := need.Forecast.Peak(now, ahead)
		all += tokens
		if need.Tier <= s.Pool.ProtectedTiers {
			top += tokens
		}
	}
	return max(replicas(all, s.Pool.ReplicaRate), spare(replicas(top, s.Pool.ReplicaRate), len(s.Centres)))
}

func replicas(tokens, rate float64) int { return int(math.Ceil(tokens / rate)) }

// spare returns the smallest total that, spread evenly, still leaves the given
// number when the data centre with the most replicas is lost.
func spare(left, centres int) int {
	if centres < 2 {
		return left
	}
	total := left
	for total-(total+centres-1)/centres < left {
		total++
	}
	return total
}

// ahead returns how long a replica takes to start, behind those that already
// load their weights from the store.
func (s *State) ahead() time.Duration {
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

// held returns the highest total that was needed of late. A replica that is given
// back and ordered anew costs as long as it takes to start without serving, so
// shorter dips are sat out.
func (s *State) held(now time.Time, total int) int {
	s.recent = slices.DeleteFunc(s.recent, func(d decision) bool {
		return now.Sub(d.at) >= s.ahead() || d.total <= total
	})
	s.recent = append(s.recent, decision{at: now, total: total})
	return s.recent[0].total
}

// place spreads a total over the data centres within their bounds: as evenly as
// possible. Where one has to have more, it is the one where more are running
// already, or else the cheaper one.
func place(pool *Pool, centres []Centre, total int) []int {
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

// present counts the replicas that take work or will.
func (c *Centre) present() int { return c.Running + c.Starting }

// want turns a target into orders. Too few: draining replicas come back first.
// Too many: running ones drain, and stay ordered until they are empty.
func want(pool *Pool, centre *Centre, target int) CentrePlan {
	w := CentrePlan{Pool: pool.Name, Centre: centre.Name}
	missing := target - centre.present()
	w.Undrain = min(max(missing, 0), centre.Draining)
	w.Drain = min(max(-missing, 0), centre.Running)
	w.Order = max(target, centre.Running) + centre.Draining - w.Undrain
	return w
}
