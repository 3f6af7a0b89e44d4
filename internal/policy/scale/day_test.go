package scale_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/chicoryrock/chicoryrock/internal/policy/scale"
)

const (
	dayStep  = 10 * time.Second
	daySteps = int(24 * time.Hour / dayStep)
)

// day returns the tokens a second of one tier for each step of a day: low at night,
// a peak in the morning, a lower one in the afternoon, and the noise of single
// arrivals.
func day(seed uint64, peak float64) []float64 {
	r := rand.New(rand.NewPCG(seed, 1))
	rates := make([]float64, daySteps)
	for i := range rates {
		hour := float64(i) * dayStep.Hours()
		shape := 0.15 + math.Exp(-(hour-7)*(hour-7)/6) + 0.5*math.Exp(-(hour-16)*(hour-16)/10)
		rates[i] = peak * shape * (1 + 0.03*r.NormFloat64())
	}
	return rates
}

// fleet simulates a pool that follows the plans: an ordered replica starts after the
// startup time, and a draining one is empty in the next step.
type fleet struct {
	state          *scale.State
	ready          [][]int // by data centre, the steps at which starting replicas are ready
	empty          [][]int // by data centre, the steps at which draining replicas are empty
	served         float64 // sum over the steps, tokens a second
	requested      float64 // sum over the steps, tokens a second
	replicaSeconds float64 // in all states together
}

func (f *fleet) step(step int, rate float64) {
	running := 0
	for i := range f.state.Centres {
		centre := &f.state.Centres[i]
		centre.Running += popDue(&f.ready[i], step)
		popDue(&f.empty[i], step)
		centre.Starting, centre.Draining = len(f.ready[i]), len(f.empty[i])
		running += centre.Running
		f.replicaSeconds += float64(centre.Running+centre.Starting+centre.Draining) * dayStep.Seconds()
	}
	f.requested += rate
	f.served += min(rate, float64(running)*f.state.Pool.ReplicaRate)
	now := start.Add(time.Duration(step) * dayStep)
	for i, plan := range scale.Decide(now, f.state) {
		centre := &f.state.Centres[i]
		for range plan.Undrain {
			f.empty[i] = f.empty[i][1:]
			centre.Running++
		}
		for range plan.Drain {
			f.empty[i] = append(f.empty[i], step+1)
			centre.Running--
		}
		for ordered := centre.Running + centre.Starting + len(f.empty[i]); ordered < plan.Order; ordered++ {
			f.ready[i] = append(f.ready[i], step+int(f.state.Pool.StartupTime/dayStep))
		}
	}
}

// popDue removes the steps up to the given one from a list and returns their count.
func popDue(list *[]int, step int) int {
	count := 0
	for len(*list) > 0 && (*list)[0] <= step {
		*list = (*list)[1:]
		count++
	}
	return count
}

// smooth returns the rates averaged over one minute. Queues absorb shorter noise, so
// an optimal schedule orders nothing for it.
func smooth(rates []float64) []float64 {
	const steps = int(time.Minute / dayStep)
	mean := make([]float64, len(rates))
	for i := range rates {
		window := rates[max(0, i-steps/2):min(len(rates), i+steps/2)]
		for _, rate := range window {
			mean[i] += rate / float64(len(window))
		}
	}
	return mean
}

// optimalReplicaSeconds returns the replica seconds of an optimal schedule that knows
// the whole day. Each replica runs only while it is required, each start costs the
// startup time, and a replica runs through a gap if that is cheaper than a start.
func optimalReplicaSeconds(p scale.Pool, centres int, top, all []float64) float64 {
	seconds := 0.0
	for level := 1; level <= p.Max*centres; level++ {
		last := -1
		for step := range all {
			if requiredReplicas(p, centres, top[step], all[step]) < level {
				continue
			}
			gap := float64(step-last-1) * dayStep.Seconds()
			if last < 0 {
				gap = p.StartupTime.Seconds()
			}
			seconds += dayStep.Seconds() + min(gap, p.StartupTime.Seconds())
			last = step
		}
	}
	return seconds
}

// requiredReplicas returns how many replicas a known demand requires, with the same
// rules for data centres as Decide.
func requiredReplicas(p scale.Pool, centres int, top, all float64) int {
	left := int(math.Ceil(top / p.ReplicaRate))
	total := max(int(math.Ceil(all/p.ReplicaRate)), p.Min*centres)
	for total-(total+centres-1)/centres < left {
		total++
	}
	return min(total, p.Max*centres)
}

// At half the load, a day costs at most 3% more than an optimal schedule that knows
// the day beforehand, and at least 99% of the demand is served.
func TestDayCost(t *testing.T) {
	p := scale.Pool{Name: "small", ReplicaRate: 500, StartupTime: 90 * time.Second, Min: 2, Max: 20, ProtectedTiers: 2}
	top, low := day(1, 0.2*15000), day(2, 0.3*15000)
	forecasts := [2]*scale.Forecast{{}, {}}
	f := &fleet{ready: make([][]int, 3), empty: make([][]int, 3)}
	f.state = &scale.State{Pool: p, Centres: make([]scale.Centre, 3), Demands: []scale.TierDemand{{Tier: 1, Forecast: forecasts[0]}, {Tier: 4, Forecast: forecasts[1]}}}
	all := make([]float64, daySteps)
	for i := range f.state.Centres {
		f.state.Centres[i].Running = p.Min
	}
	for step := range daySteps {
		now := start.Add(time.Duration(step) * dayStep)
		forecasts[0].Observe(now, top[step]*dayStep.Seconds())
		forecasts[1].Observe(now, low[step]*dayStep.Seconds())
		all[step] = top[step] + low[step]
		f.step(step, all[step])
	}
	best := optimalReplicaSeconds(p, 3, smooth(top), smooth(all))
	t.Logf("replica hours %.1f, bound %.1f, ratio %.3f, served %.4f", f.replicaSeconds/3600, best/3600, f.replicaSeconds/best, f.served/f.requested)
	assert.LessOrEqual(t, f.replicaSeconds/best, 1.03)
	assert.GreaterOrEqual(t, f.served/f.requested, 0.99)
}
