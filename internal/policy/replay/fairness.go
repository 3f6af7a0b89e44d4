package replay

import (
	"maps"
	"slices"
)

// entitlement compares what one workspace got in a tier with its fair share, in
// output tokens.
type entitlement struct {
	workspace string
	weight    float64
	requested float64
	attained  float64 // in answers that met both targets
	fairShare float64 // set by setFairShares
}

// worstWorkspace returns the smallest ratio, over all workspaces, of the tokens that
// a workspace attained in all tiers to the sum of its fair shares in them, at most 1,
// and the workspace that it belongs to. Fair shares divide the tokens attained in a
// tier by weighted max-min fairness: no share is above what its workspace requested,
// and the rest is divided among the others by their weights.
func (s *stats) worstWorkspace(scenario *Scenario) (float64, string) {
	attained := make(map[string]float64)
	fair := make(map[string]float64)
	for _, tier := range tiers(scenario) {
		list := s.entitlements(scenario, tier)
		setFairShares(list)
		for _, e := range list {
			attained[e.workspace] += e.attained
			fair[e.workspace] += e.fairShare
		}
	}
	worst, name := 1.0, ""
	for _, workspace := range slices.Sorted(maps.Keys(fair)) {
		if fair[workspace] > 0 && attained[workspace]/fair[workspace] < worst {
			worst, name = attained[workspace]/fair[workspace], workspace
		}
	}
	return worst, name
}

// tiers returns the tiers of the scenario's classes in ascending order.
func tiers(scenario *Scenario) []int {
	var list []int
	for i := range scenario.Classes {
		list = append(list, scenario.Classes[i].Tier)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// entitlements returns the workspaces with calls in a tier, without fair shares.
func (s *stats) entitlements(scenario *Scenario, tier int) []entitlement {
	var list []entitlement
	for i := range scenario.Trace {
		record := &scenario.Trace[i]
		if scenario.class(record.Class).Tier != tier {
			continue
		}
		at := slices.IndexFunc(list, func(e entitlement) bool { return e.workspace == record.Workspace })
		if at < 0 {
			at = len(list)
			list = append(list, entitlement{workspace: record.Workspace, weight: scenario.share(record.Workspace)})
		}
		list[at].requested += float64(record.OutputTokens)
		if s.outcomes[i].attained {
			list[at].attained += float64(record.OutputTokens)
		}
	}
	return list
}

// setFairShares sets the fair shares, in ascending order of the requested tokens per
// weight, which it sorts by.
func setFairShares(list []entitlement) {
	remaining, weight := 0.0, 0.0
	for _, e := range list {
		remaining += e.attained
		weight += e.weight
	}
	slices.SortFunc(list, func(a, b entitlement) int {
		if a.requested*b.weight < b.requested*a.weight {
			return -1
		}
		return 1
	})
	for i := range list {
		e := &list[i]
		e.fairShare = min(e.requested, remaining*e.weight/weight)
		remaining -= e.fairShare
		weight -= e.weight
	}
}
