package replay

import (
	"strconv"
	"time"
)

// The standard scenarios have three data centres in two regions, with one entry and
// two engines in each data centre.
const (
	slotsPerEngine   = 24
	tokenInterval    = 40 * time.Millisecond  // between two tokens of a stream
	prefillPerToken  = 200 * time.Microsecond // for each prompt token
	restartTime      = 6 * time.Second        // from a crash to the next start
	enginesPerCentre = 2
	standardPool     = "small"
)

func standardSites() []Site {
	return []Site{
		{Centre: "jamalpur", Region: "ahmedabad"},
		{Centre: "kalupur", Region: "ahmedabad"},
		{Centre: "varachha", Region: "surat"},
	}
}

func standardEngines() []Engine {
	var list []Engine
	for _, site := range standardSites() {
		for i := range enginesPerCentre {
			list = append(list, Engine{
				Name:            site.Centre + "-" + strconv.Itoa(i+1),
				Pool:            standardPool,
				Centre:          site.Centre,
				Region:          site.Region,
				Slots:           slotsPerEngine,
				TokenInterval:   tokenInterval,
				PrefillPerToken: prefillPerToken,
				RestartTime:     restartTime,
				CanResume:       true,
			})
		}
	}
	return list
}

func standardClasses() []Class {
	return []Class{
		{Name: "orders", Pool: standardPool, Tier: 1, FirstTokenTarget: 2 * time.Second, TokenIntervalTarget: time.Second, Floor: 0.1},
		{Name: "questions", Pool: standardPool, Tier: 2, FirstTokenTarget: 400 * time.Millisecond, TokenIntervalTarget: 50 * time.Millisecond, Floor: 0.2, Idempotent: true},
		{Name: "sheets", Pool: standardPool, Tier: 4, FirstTokenTarget: 8 * time.Second, TokenIntervalTarget: 80 * time.Millisecond, Floor: 0.2, Idempotent: true},
		{Name: "office", Pool: standardPool, Tier: 6, FirstTokenTarget: 20 * time.Second, TokenIntervalTarget: 200 * time.Millisecond, Floor: 0.05, Idempotent: true},
	}
}

// Scenarios returns the standard scenarios without their traces, which are in
// testdata/traces under the scenario's name.
func Scenarios() []Scenario {
	list := []Scenario{
		{Name: "morning"},
		{Name: "rival"},
		{Name: "straggler", LoadReportAge: 3 * time.Second, Faults: []Fault{
			{Kind: Slow, Target: "jamalpur-1", From: 3 * time.Second, Until: 12 * time.Second, Factor: 4},
		}},
		{Name: "crash", Faults: []Fault{
			{Kind: Crash, Target: "kalupur-1", From: 3 * time.Second},
			{Kind: Crash, Target: "varachha-2", From: 7 * time.Second},
		}},
		{Name: "cut", Faults: []Fault{
			{Kind: Unreachable, Target: "varachha", From: 4 * time.Second, Until: 10 * time.Second},
		}},
		{Name: "storm", Faults: []Fault{
			{Kind: Crash, Target: "jamalpur", From: 4 * time.Second},
		}},
		{Name: "poison"},
	}
	for i := range list {
		list[i].Classes = standardClasses()
		list[i].Entries = standardSites()
		list[i].Engines = standardEngines()
	}
	return list
}
