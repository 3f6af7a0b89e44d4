package replay

import (
	"math/rand/v2"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/baseline"
	"github.com/chicoryrock/chicoryrock/internal/policy/pick"
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

// Picking returns the router's choice of a backend server behind a plain queue,
// which shows what the choice alone is worth.
func Picking() Policy {
	return Policy{
		Name:   "pick",
		Queue:  func(*Scenario, string) chicoryrock.Queue { return &baseline.Queue{} },
		Picker: newPicker,
	}
}

// newPicker gives each entry a seed of its own.
func newPicker(scenario *Scenario, entry int) chicoryrock.Picker {
	site := scenario.Entries[entry]
	return &pick.Picker{
		Centre: site.Centre,
		Region: site.Region,
		Random: rand.New(rand.NewPCG(uint64(entry), 1)),
	}
}
