package replay

import (
	"fmt"
	"strings"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// Report is what came of a replay.
type Report struct {
	Scenario          string
	Policy            string
	Classes           []ClassReport
	Refusals          []Refusal
	GoodTokens        int     // output tokens of answers that met both targets of their class
	ClairvoyantTokens int     // the same under the clairvoyant schedule
	ProducedTokens    int     // output tokens that engines produced
	WorstFairRatio    float64 // share of the worst-served workspace against its fair share
	WorstWorkspace    string  // that workspace
	Crashes           int
	NotRun            int           // calls that an agent turned away as not run
	Preempted         int           // streams that an agent stopped for a higher tier
	CrossRegionBytes  int           // bytes of prompts between regions
	EngineTime        time.Duration // time of all engines in service
}

// ClassReport is how the calls of one class fared. A caller that comes again
// counts once, and is attained when any of its calls was.
type ClassReport struct {
	Name                string
	Tier                int
	Offered             int
	FirstTokenOnTime    int // had their first token in time
	TokenIntervalOnTime int // had their tokens in time, as the mean over the whole answer
	Attained            int // both, and the answer was whole
	Broken              int // answers that broke off and were not completed
}

// Refusal counts the refusals for one reason.
type Refusal struct {
	Reason chicoryrock.Reason
	Count  int
}

// Attainment returns the share of the class's callers that were attained.
func (c *ClassReport) Attainment() float64 {
	if c.Offered == 0 {
		return 1
	}
	return float64(c.Attained) / float64(c.Offered)
}

// Goodput returns the good tokens as a share of the clairvoyant schedule's.
func (r *Report) Goodput() float64 {
	if r.ClairvoyantTokens == 0 {
		return 1
	}
	return float64(r.GoodTokens) / float64(r.ClairvoyantTokens)
}

// Wasted returns the share of the produced tokens that were part of no answer
// within its targets.
func (r *Report) WastedShare() float64 {
	if r.ProducedTokens == 0 {
		return 0
	}
	return 1 - float64(r.GoodTokens)/float64(r.ProducedTokens)
}

// Broken returns how many answers broke off and were not completed.
func (r *Report) Broken() int {
	broken := 0
	for i := range r.Classes {
		broken += r.Classes[i].Broken
	}
	return broken
}

// Class returns the report on one class, and an empty one when there is none.
func (r *Report) Class(name string) ClassReport {
	for i := range r.Classes {
		if r.Classes[i].Name == name {
			return r.Classes[i]
		}
	}
	return ClassReport{}
}

// String returns the report on one line of a table.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-16s %-14s goodput %5.3f wasted %5.3f worst %5.3f not-run %4d broken %3d stopped %3d crashes %d MB-across %5.2f server-hours %.2f |",
		r.Scenario, r.Policy, r.Goodput(), r.WastedShare(), r.WorstFairRatio, r.NotRun, r.Broken(), r.Preempted, r.Crashes, float64(r.CrossRegionBytes)/1e6, r.EngineTime.Hours())
	for i := range r.Classes {
		fmt.Fprintf(&b, " %s %.3f", r.Classes[i].Name, r.Classes[i].Attainment())
	}
	b.WriteString(" |")
	for _, refusal := range r.Refusals {
		fmt.Fprintf(&b, " %s %d", refusal.Reason, refusal.Count)
	}
	return b.String()
}

// outcome is how one record of the trace fared over all its comings.
type outcome struct {
	first, token, attained bool
}

// tally counts while a replay runs.
type tally struct {
	number    map[*Record]int
	outcomes  []outcome
	refusals  map[chicoryrock.Reason]int
	made      int
	crossed   int
	corrected int
	stopped   int
	lost      map[string]int // by class
}

func newTally(scenario *Scenario) *tally {
	return &tally{
		number:   make(map[*Record]int),
		outcomes: make([]outcome, len(scenario.Trace)),
		refusals: make(map[chicoryrock.Reason]int),
		lost:     make(map[string]int),
	}
}

func (t *tally) arrived(c *call, number int) { t.number[c.record] = number }

func (t *tally) refused(_ *call, reason chicoryrock.Reason) { t.refusals[reason]++ }

func (t *tally) broken(c *call) { t.lost[c.class.Name]++ }

// served judges a whole answer against its class.
func (t *tally) served(c *call) {
	o := &t.outcomes[t.number[c.record]]
	first := !epoch.Add(c.first).After(c.due)
	gaps := time.Duration(max(c.has-1, 1))
	token := (c.last-c.first)/gaps <= c.class.TokenIntervalTarget
	o.first = o.first || first
	o.token = o.token || token
	o.attained = o.attained || (first && token)
}

func (t *tally) finish(w *world, policy string) Report {
	r := Report{
		Scenario:          w.scenario.Name,
		Policy:            policy,
		ClairvoyantTokens: ClairvoyantTokens(w.scenario),
		ProducedTokens:    t.made,
		NotRun:            t.corrected,
		Preempted:         t.stopped,
		CrossRegionBytes:  t.crossed,
		EngineTime:        w.now * time.Duration(len(w.engines)),
	}
	for _, e := range w.engines {
		r.Crashes += e.crashes
	}
	for _, reason := range chicoryrock.Reasons() {
		if count := t.refusals[reason]; count > 0 {
			r.Refusals = append(r.Refusals, Refusal{Reason: reason, Count: count})
		}
	}
	for i := range w.scenario.Classes {
		r.Classes = append(r.Classes, t.class(w.scenario, &w.scenario.Classes[i]))
	}
	for i := range t.outcomes {
		if t.outcomes[i].attained {
			r.GoodTokens += w.scenario.Trace[i].OutputTokens
		}
	}
	r.WorstFairRatio, r.WorstWorkspace = t.worst(w.scenario)
	return r
}

func (t *tally) class(scenario *Scenario, class *Class) ClassReport {
	report := ClassReport{Name: class.Name, Tier: class.Tier, Broken: t.lost[class.Name]}
	for i := range scenario.Trace {
		if scenario.Trace[i].Class != class.Name {
			continue
		}
		report.Offered++
		report.FirstTokenOnTime += one(t.outcomes[i].first)
		report.TokenIntervalOnTime += one(t.outcomes[i].token)
		report.Attained += one(t.outcomes[i].attained)
	}
	return report
}

func one(b bool) int {
	if b {
		return 1
	}
	return 0
}
