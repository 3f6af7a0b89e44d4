package replay_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/replay"
)

// Targets for the load of the scenarios. They are the users' targets and must not be
// derived from measured figures.
const (
	minTopAttainment  = 0.99 // of the top tier's callers
	minGoodput        = 0.95 // fraction of the clairvoyant schedule's good tokens
	maxWastedShare    = 0.02 // fraction of the produced tokens
	minFairRatio      = 0.9  // fraction of the fair share, for the worst-served workspace
	crashesUntilFound = 2    // crashes until the request that causes them is refused
)

func checkGoodput(t *testing.T, r *replay.Report) {
	assert.GreaterOrEqual(t, r.Goodput(), minGoodput)
}

func checkWasted(t *testing.T, r *replay.Report) {
	assert.Less(t, r.WastedShare(), maxWastedShare)
}

func checkWorst(t *testing.T, r *replay.Report) {
	assert.GreaterOrEqual(t, r.WorstFairRatio, minFairRatio, r.WorstWorkspace)
}

func checkTopTier(t *testing.T, r *replay.Report) {
	class := r.Class("orders")
	assert.GreaterOrEqual(t, class.Attainment(), minTopAttainment)
}

// checkWholeAnswers checks that only calls that are not idempotent lost their answers.
func checkWholeAnswers(t *testing.T, r *replay.Report) {
	for _, class := range r.Classes {
		if class.Name != "orders" {
			assert.Zero(t, class.Broken, class.Name)
		}
	}
}

// checkSuspectFound checks that the poisoned request is refused after its second
// crash, at every entry to which its caller sends it again.
func checkSuspectFound(t *testing.T, r *replay.Report) {
	assert.Equal(t, crashesUntilFound, r.Crashes)
	assert.Contains(t, r.Refusals, replay.Refusal{Reason: chicoryrock.ReasonSuspect, Count: 7}, "the first call and its six retries")
}

// TestOutcomes checks that the deployed policy meets the users' targets in each scenario.
func TestOutcomes(t *testing.T) {
	tests := []struct {
		scenario string
		target   string
		check    func(*testing.T, *replay.Report)
	}{
		{"morning", "top", checkTopTier},
		{"morning", "goodput", checkGoodput},
		{"morning", "wasted", checkWasted},
		{"morning", "worst", checkWorst},
		{"rival", "top", checkTopTier},
		{"rival", "goodput", checkGoodput},
		{"rival", "wasted", checkWasted},
		{"rival", "worst", checkWorst},
		{"straggler", "top", checkTopTier},
		{"straggler", "goodput", checkGoodput},
		{"straggler", "wasted", checkWasted},
		{"crash", "whole", checkWholeAnswers},
		{"crash", "goodput", checkGoodput},
		{"crash", "wasted", checkWasted},
		{"cut", "whole", checkWholeAnswers},
		{"cut", "goodput", checkGoodput},
		{"cut", "wasted", checkWasted},
		{"storm", "goodput", checkGoodput},
		{"storm", "wasted", checkWasted},
		{"storm", "worst", checkWorst},
		{"poison", "found", checkSuspectFound},
		{"poison", "whole", checkWholeAnswers},
		{"poison", "goodput", checkGoodput},
		{"poison", "wasted", checkWasted},
	}
	reports := make(map[string]*replay.Report)
	for _, test := range tests {
		if reports[test.scenario] == nil {
			policy := replay.Deployed()
			report := replay.Run(loadScenario(t, test.scenario), &policy)
			reports[test.scenario] = &report
		}
		t.Run(test.scenario+"/"+test.target, func(t *testing.T) { test.check(t, reports[test.scenario]) })
	}
}
