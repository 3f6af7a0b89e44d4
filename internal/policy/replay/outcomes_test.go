package replay_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/replay"
)

// Targets for the load of the scenarios; they come from the users, never from a
// measured figure.
const (
	topTarget     = 0.99 // attainment of the top tier
	goodputTarget = 0.95 // of the clairvoyant schedule's
	wasteTarget   = 0.02 // of the tokens produced
	shareTarget   = 0.9  // of its fair share, for the worst-served workspace
	crashTarget   = 2    // crashes until a request that causes them is found
)

func goodput(t *testing.T, r *replay.Report) {
	assert.GreaterOrEqual(t, r.Goodput(), goodputTarget)
}

func wasted(t *testing.T, r *replay.Report) {
	assert.Less(t, r.WastedShare(), wasteTarget)
}

func worst(t *testing.T, r *replay.Report) {
	assert.GreaterOrEqual(t, r.WorstFairRatio, shareTarget, r.WorstWorkspace)
}

func top(t *testing.T, r *replay.Report) {
	class := r.Class("orders")
	assert.GreaterOrEqual(t, class.Attainment(), topTarget)
}

// whole checks that only calls that may not be repeated lost their answers.
func whole(t *testing.T, r *replay.Report) {
	for _, class := range r.Classes {
		if class.Name != "orders" {
			assert.Zero(t, class.Broken, class.Name)
		}
	}
}

// found checks that the poisoned request is refused after its second crash, at
// whatever entry its caller sends it again.
func found(t *testing.T, r *replay.Report) {
	assert.Equal(t, crashTarget, r.Crashes)
	assert.Contains(t, r.Refusals, replay.Refusal{Reason: chicoryrock.ReasonSuspect, Count: 7}, "once and after six comings")
}

// TestOutcomes states what the router, as the processes run it, achieves in each scenario.
func TestOutcomes(t *testing.T) {
	tests := []struct {
		scenario string
		target   string
		check    func(*testing.T, *replay.Report)
	}{
		{"morning", "top", top},
		{"morning", "goodput", goodput},
		{"morning", "wasted", wasted},
		{"morning", "worst", worst},
		{"rival", "top", top},
		{"rival", "goodput", goodput},
		{"rival", "wasted", wasted},
		{"rival", "worst", worst},
		{"straggler", "top", top},
		{"straggler", "goodput", goodput},
		{"straggler", "wasted", wasted},
		{"crash", "whole", whole},
		{"crash", "goodput", goodput},
		{"crash", "wasted", wasted},
		{"cut", "whole", whole},
		{"cut", "goodput", goodput},
		{"cut", "wasted", wasted},
		{"storm", "goodput", goodput},
		{"storm", "wasted", wasted},
		{"storm", "worst", worst},
		{"poison", "found", found},
		{"poison", "whole", whole},
		{"poison", "goodput", goodput},
		{"poison", "wasted", wasted},
	}
	reports := make(map[string]*replay.Report)
	for _, test := range tests {
		if reports[test.scenario] == nil {
			policy := replay.Deployed()
			report := replay.Run(load(t, test.scenario), &policy)
			reports[test.scenario] = &report
		}
		t.Run(test.scenario+"/"+test.target, func(t *testing.T) { test.check(t, reports[test.scenario]) })
	}
}
