package replay

import (
	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/baseline"
)

// Baselines returns the plain policies that others are measured against.
func Baselines() []Policy {
	return []Policy{
		{
			Name:   "round robin",
			Queue:  func(*Scenario, string) chicoryrock.Queue { return &baseline.Queue{} },
			Picker: func(*Scenario, int) chicoryrock.Picker { return &baseline.RoundRobin{} },
		},
		{
			Name:   "least open",
			Queue:  func(*Scenario, string) chicoryrock.Queue { return &baseline.Queue{} },
			Picker: func(*Scenario, int) chicoryrock.Picker { return baseline.LeastOutstanding{} },
		},
	}
}
