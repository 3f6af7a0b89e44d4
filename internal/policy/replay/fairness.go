package replay

import (
	"maps"
	"slices"
)

// need is what one workspace asked for in a tier, what it got in answers within
// their targets, and what would have been fair. All are in tokens of answers.
type need struct {
	workspace string
	weight    float64
	asked     float64
	got       float64
	fair      float64
}

// worst returns the smallest ratio, over all workspaces, of what a workspace got
// in all tiers to the sum of its fair shares in them. The fair share divides what
// all workspaces of a tier got by max-min fairness: nobody's is above what it
// asked for, and what one leaves the others share by their weights.
func (t *tally) worst(scenario *Scenario) (float64, string) {
	got := make(map[string]float64)
	fair := make(map[string]float64)
	for _, tier := range tiers(scenario) {
		needs := t.needs(scenario, tier)
		fill(needs)
		for _, n := range needs {
			got[n.workspace] += n.got
			fair[n.workspace] += n.fair
		}
	}
	worst, poorest := 1.0, ""
	for _, workspace := range slices.Sorted(maps.Keys(fair)) {
		if fair[workspace] > 0 && got[workspace]/fair[workspace] < worst {
			worst, poorest = got[workspace]/fair[workspace], workspace
		}
	}
	return worst, poorest
}

func tiers(scenario *Scenario) []int {
	var list []int
	for i := range scenario.Classes {
		list = append(list, scenario.Classes[i].Tier)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

func (t *tally) needs(scenario *Scenario, tier int) []need {
	var needs []need
	for i := range scenario.Trace {
		record := &scenario.Trace[i]
		if scenario.class(record.Class).Tier != tier {
			continue
		}
		at := slices.IndexFunc(needs, func(n need) bool { return n.workspace == record.Workspace })
		if at < 0 {
			at = len(needs)
			needs = append(needs, need{workspace: record.Workspace, weight: scenario.share(record.Workspace)})
		}
		needs[at].asked += float64(record.OutputTokens)
		if t.outcomes[i].attained {
			needs[at].got += float64(record.OutputTokens)
		}
	}
	return needs
}

// fill sets the fair shares, from the workspace that asked for least for its
// weight to the one that asked for most.
func fill(needs []need) {
	left, weight := 0.0, 0.0
	for _, n := range needs {
		left += n.got
		weight += n.weight
	}
	slices.SortFunc(needs, func(a, b need) int {
		if a.asked*b.weight < b.asked*a.weight {
			return -1
		}
		return 1
	})
	for i := range needs {
		n := &needs[i]
		n.fair = min(n.asked, left*n.weight/weight)
		left -= n.fair
		weight -= n.weight
	}
}
