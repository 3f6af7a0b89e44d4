package scale_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/chicoryrock/chicoryrock/internal/policy/scale"
)

var start = time.Date(2026, time.January, 5, 0, 0, 0, 0, time.UTC)

var pool = scale.Pool{Name: "small", ReplicaRate: 100, StartupTime: 90 * time.Second, Min: 1, Max: 5, ProtectedTiers: 2}

// steady returns a forecast after ten minutes of the same demand, in tokens a second.
func steady(rate float64) *scale.Forecast {
	f := &scale.Forecast{}
	for at := time.Duration(0); at < 10*time.Minute; at += time.Second {
		f.Observe(start.Add(at), rate)
	}
	return f
}

// afterSteady is the time at which a steady forecast ends.
var afterSteady = start.Add(10 * time.Minute)

func TestDecide(t *testing.T) {
	tests := []struct {
		name    string
		top     float64 // tokens a second
		low     float64
		centres []scale.Centre
		want    []scale.CentrePlan
	}{
		{
			"the minimum without demand", 0, 0,
			[]scale.Centre{{Running: 1}, {Running: 1}, {Running: 1}},
			[]scale.CentrePlan{{Order: 1}, {Order: 1}, {Order: 1}},
		},
		{
			"the demand spread evenly, one more where one is running", 0, 690,
			[]scale.Centre{{Running: 2}, {Running: 2}, {Running: 3}},
			[]scale.CentrePlan{{Order: 2}, {Order: 2}, {Order: 3}},
		},
		{
			"one more where it is cheaper", 0, 690,
			[]scale.Centre{{Running: 2, CostPerHour: 3}, {Running: 2, CostPerHour: 1}, {Running: 2, CostPerHour: 2}},
			[]scale.CentrePlan{{Order: 2}, {Order: 3}, {Order: 2}},
		},
		{
			"the top tiers survive the loss of a data centre", 590, 0,
			[]scale.Centre{{Running: 3}, {Running: 3}, {Running: 3}},
			[]scale.CentrePlan{{Order: 3}, {Order: 3}, {Order: 3}},
		},
		{
			"the maximum when the demand is higher", 0, 9000,
			[]scale.Centre{{Running: 3}, {Running: 3}, {Running: 3}},
			[]scale.CentrePlan{{Order: 5}, {Order: 5}, {Order: 5}},
		},
		{
			"a surplus drains first and stays ordered", 0, 290,
			[]scale.Centre{{Running: 3}, {Running: 1}, {Running: 1}},
			[]scale.CentrePlan{{Order: 3, Drain: 2}, {Order: 1}, {Order: 1}},
		},
		{
			"a draining replica stays ordered", 0, 290,
			[]scale.Centre{{Running: 1, Draining: 2}, {Running: 1}, {Running: 1}},
			[]scale.CentrePlan{{Order: 3}, {Order: 1}, {Order: 1}},
		},
		{
			"a draining replica returns before another starts", 0, 890,
			[]scale.Centre{{Running: 1, Draining: 1}, {Running: 3}, {Running: 3}},
			[]scale.CentrePlan{{Order: 3, Undrain: 1}, {Order: 3}, {Order: 3}},
		},
		{
			"a starting replica is not ordered again", 0, 890,
			[]scale.Centre{{Running: 1, Starting: 2, Draining: 1}, {Running: 3}, {Running: 3}},
			[]scale.CentrePlan{{Order: 4}, {Order: 3}, {Order: 3}},
		},
	}
	for _, test := range tests {
		state := &scale.State{Pool: pool, Centres: test.centres, Demands: []scale.TierDemand{
			{Tier: 1, Forecast: steady(test.top)},
			{Tier: 4, Forecast: steady(test.low)},
		}}
		got := scale.Decide(afterSteady, state)
		for i := range test.want {
			test.want[i].Pool = "small"
		}
		assert.Equal(t, test.want, got, test.name)
	}
}

func totalOrder(plans []scale.CentrePlan) int {
	total := 0
	for _, plan := range plans {
		total += plan.Order
	}
	return total
}

// The order for a rising demand covers the time until a replica ordered now has
// started. A slow weight store makes that time longer and the order larger.
func TestOrdersAhead(t *testing.T) {
	rising := &scale.Forecast{}
	for at := time.Duration(0); at < 30*time.Minute; at += time.Second {
		rising.Observe(start.Add(at), at.Seconds()/3)
	}
	now := start.Add(30 * time.Minute)
	state := &scale.State{Pool: pool, Centres: make([]scale.Centre, 3), Demands: []scale.TierDemand{{Tier: 4, Forecast: rising}}}
	fast := totalOrder(scale.Decide(now, state))
	assert.GreaterOrEqual(t, fast, 7, "600 tokens a second now, and 30 more when a replica starts")
	state = &scale.State{Pool: pool, Centres: make([]scale.Centre, 3), Demands: state.Demands, StoreBandwidth: 1e9}
	state.Pool.WeightBytes = 600e9
	assert.Greater(t, totalOrder(scale.Decide(now, state)), fast)
}

// A dip in demand shorter than the startup time does not lower the order, a longer
// one does.
func TestHysteresis(t *testing.T) {
	centres := []scale.Centre{{Running: 3}, {Running: 3}, {Running: 3}}
	state := &scale.State{Pool: pool, Centres: centres, Demands: []scale.TierDemand{{Tier: 4, Forecast: steady(890)}}}
	assert.Equal(t, 9, totalOrder(scale.Decide(afterSteady, state)))
	state.Demands[0].Forecast = steady(290)
	assert.Zero(t, scale.Decide(afterSteady.Add(80*time.Second), state)[0].Drain)
	assert.Equal(t, 2, scale.Decide(afterSteady.Add(91*time.Second), state)[0].Drain)
}
