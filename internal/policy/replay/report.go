package replay

import (
	"fmt"
	"strings"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// Report is the result of a replay.
type Report struct {
	Scenario          string
	Policy            string
	Classes           []ClassReport
	Refusals          []Refusal
	GoodTokens        int     // output tokens of answers that met both targets of their class
	ClairvoyantTokens int     // the same for the clairvoyant schedule
	ProducedTokens    int     // output tokens that engines produced
	WorstFairRatio    float64 // good tokens over fair share, of the worst-served workspace; at most 1
	WorstWorkspace    string  // the worst-served workspace; empty if none is below its fair share
	Crashes           int
	NotRun            int           // attempts that a full agent rejected
	Preempted         int           // streams that an agent stopped for a higher tier
	JoinedTokens      int           // tokens from another software version than the one that began their answer
	CrossRegionBytes  int           // of prompts sent between regions
	EngineTime        time.Duration // length of the replay times the number of engines
}

// ClassReport counts the callers of one class. A caller that retries counts once, with
// the best outcome of its calls.
type ClassReport struct {
	Name                string
	Tier                int
	Offered             int // callers in the trace
	FirstTokenOnTime    int // first token on time
	TokenIntervalOnTime int // mean time between tokens, over the whole answer, on time
	Attained            int // both in one complete answer
	Broken              int // answers that broke and were not completed
}

// Refusal counts the refusals for one reason.
type Refusal struct {
	Reason chicoryrock.Reason
	Count  int
}

// Attainment returns the fraction of the class's callers with both targets met, 1 if
// it has no callers.
func (c *ClassReport) Attainment() float64 {
	if c.Offered == 0 {
		return 1
	}
	return float64(c.Attained) / float64(c.Offered)
}

// Goodput returns the good tokens as a fraction of the clairvoyant schedule's, which a
// policy can exceed.
func (r *Report) Goodput() float64 {
	if r.ClairvoyantTokens == 0 {
		return 1
	}
	return float64(r.GoodTokens) / float64(r.ClairvoyantTokens)
}

// WastedShare returns the fraction of the produced tokens that were not part of an
// answer within its targets.
func (r *Report) WastedShare() float64 {
	if r.ProducedTokens == 0 {
		return 0
	}
	return 1 - float64(r.GoodTokens)/float64(r.ProducedTokens)
}

// Broken returns how many answers broke and were not completed, over all classes.
func (r *Report) Broken() int {
	broken := 0
	for i := range r.Classes {
		broken += r.Classes[i].Broken
	}
	return broken
}

// Class returns the report on one class, or an empty report if there is none.
func (r *Report) Class(name string) ClassReport {
	for i := range r.Classes {
		if r.Classes[i].Name == name {
			return r.Classes[i]
		}
	}
	return ClassReport{}
}

// String returns the report as one row of a table.
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

// outcome is the result of one record of the trace, over all calls of its caller.
type outcome struct {
	firstTokenOnTime, tokenIntervalOnTime, attained bool
}

// stats collects the counts of a replay.
type stats struct {
	recordIndex      map[*Record]int // in the trace
	outcomes         []outcome       // by index in the trace
	refusals         map[chicoryrock.Reason]int
	producedTokens   int
	joinedTokens     int
	crossRegionBytes int
	notRun           int
	preempted        int
	brokenByClass    map[string]int // answers not completed, by class
}

func newStats(scenario *Scenario) *stats {
	return &stats{
		recordIndex:   make(map[*Record]int),
		outcomes:      make([]outcome, len(scenario.Trace)),
		refusals:      make(map[chicoryrock.Reason]int),
		brokenByClass: make(map[string]int),
	}
}

func (s *stats) recordArrival(c *call, index int) { s.recordIndex[c.record] = index }

func (s *stats) recordRefusal(_ *call, reason chicoryrock.Reason) { s.refusals[reason]++ }

func (s *stats) recordBroken(c *call) { s.brokenByClass[c.class.Name]++ }

// recordAnswer compares a complete answer with the targets of its class.
func (s *stats) recordAnswer(c *call) {
	o := &s.outcomes[s.recordIndex[c.record]]
	firstOnTime := !epoch.Add(c.firstTokenAt).After(c.firstTokenDeadline)
	gaps := time.Duration(max(c.tokens-1, 1))
	intervalOnTime := (c.lastTokenAt-c.firstTokenAt)/gaps <= c.class.TokenIntervalTarget
	o.firstTokenOnTime = o.firstTokenOnTime || firstOnTime
	o.tokenIntervalOnTime = o.tokenIntervalOnTime || intervalOnTime
	o.attained = o.attained || (firstOnTime && intervalOnTime)
}

// newReport returns the report at the end of a replay.
func (s *stats) newReport(sim *simulation, policy string) Report {
	r := Report{
		Scenario:          sim.scenario.Name,
		Policy:            policy,
		ClairvoyantTokens: ClairvoyantTokens(sim.scenario),
		ProducedTokens:    s.producedTokens,
		NotRun:            s.notRun,
		Preempted:         s.preempted,
		JoinedTokens:      s.joinedTokens,
		CrossRegionBytes:  s.crossRegionBytes,
		EngineTime:        sim.now * time.Duration(len(sim.engines)),
	}
	for _, e := range sim.engines {
		r.Crashes += e.crashes
	}
	for _, reason := range chicoryrock.Reasons() {
		if count := s.refusals[reason]; count > 0 {
			r.Refusals = append(r.Refusals, Refusal{Reason: reason, Count: count})
		}
	}
	for i := range sim.scenario.Classes {
		r.Classes = append(r.Classes, s.classReport(sim.scenario, &sim.scenario.Classes[i]))
	}
	for i := range s.outcomes {
		if s.outcomes[i].attained {
			r.GoodTokens += sim.scenario.Trace[i].OutputTokens
		}
	}
	r.WorstFairRatio, r.WorstWorkspace = s.worstWorkspace(sim.scenario)
	return r
}

func (s *stats) classReport(scenario *Scenario, class *Class) ClassReport {
	report := ClassReport{Name: class.Name, Tier: class.Tier, Broken: s.brokenByClass[class.Name]}
	for i := range scenario.Trace {
		if scenario.Trace[i].Class != class.Name {
			continue
		}
		report.Offered++
		report.FirstTokenOnTime += boolToInt(s.outcomes[i].firstTokenOnTime)
		report.TokenIntervalOnTime += boolToInt(s.outcomes[i].tokenIntervalOnTime)
		report.Attained += boolToInt(s.outcomes[i].attained)
	}
	return report
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
