package replay

import (
	"cmp"
	"slices"
	"time"
)

// callerRetryDelay is the time from a refusal by the clairvoyant schedule to the
// caller's next attempt.
const callerRetryDelay = time.Second

// gridStep is the resolution of the clairvoyant schedule.
const gridStep = 10 * time.Millisecond

// ClairvoyantTokens returns the output tokens, in answers that meet both targets, of
// a schedule that knows the whole trace in advance, including output lengths and
// faults. It is the reference for policies without that knowledge.
//
// Assumptions:
//   - Each pool has one queue.
//   - The network has no delay.
//   - All slots of a pool run at the speed of its fastest engine.
//   - An engine that is down, unreachable or slow has no slots, and no call is
//     running on it when the fault begins.
//   - Poisoned calls are left out, so no call crashes an engine.
//   - A call that would miss a target is never started.
//   - Floors and fair shares are ignored.
//   - Each retry of a caller extends the latest start of its call by
//     callerRetryDelay.
//
// Calls are placed by tier, and within a tier in descending order of tokens per
// second of slot time, each at the earliest time at which a slot is free for its
// whole duration. The placement is greedy and therefore not an upper bound: a better
// schedule may exist.
func ClairvoyantTokens(scenario *Scenario) int {
	good := 0
	for _, pool := range poolNames(scenario) {
		good += newSchedule(scenario, pool).placeJobs()
	}
	return good
}

// poolNames returns the pools of the scenario's classes, sorted.
func poolNames(scenario *Scenario) []string {
	var names []string
	for i := range scenario.Classes {
		names = append(names, scenario.Classes[i].Pool)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// schedule is the timeline of one pool's free slots.
type schedule struct {
	jobs      []job
	freeSlots []int // by grid step
}

// job is one call with its actual duration.
type job struct {
	tier        int
	tokens      int
	arrival     time.Duration
	latestStart time.Duration // to meet the first-token target
	duration    time.Duration
}

func newSchedule(scenario *Scenario, pool string) *schedule {
	s := &schedule{}
	interval, prefill := fastestTimes(scenario, pool)
	var end time.Duration
	for i := range scenario.Trace {
		record := &scenario.Trace[i]
		class := scenario.class(record.Class)
		if class.Pool != pool || record.Poison {
			continue
		}
		firstToken := time.Duration(record.PromptTokens)*prefill + interval
		if record.PrefixHash != 0 {
			firstToken = time.Duration(float64(record.PromptTokens)*(1-cachedPromptShare))*prefill + interval
		}
		j := job{
			tier:        class.Tier,
			tokens:      record.OutputTokens,
			arrival:     record.At,
			latestStart: record.At + class.FirstTokenTarget - firstToken + time.Duration(record.CallerRetries)*callerRetryDelay,
			duration:    firstToken + time.Duration(record.OutputTokens-1)*interval,
		}
		end = max(end, j.latestStart+j.duration)
		if j.latestStart >= j.arrival && interval <= class.TokenIntervalTarget {
			s.jobs = append(s.jobs, j)
		}
	}
	s.freeSlots = make([]int, end/gridStep+2)
	s.addSlots(scenario, pool)
	return s
}

// fastestTimes returns the shortest token interval and the shortest prefill time per
// prompt token of the pool's engines.
func fastestTimes(scenario *Scenario, pool string) (interval, prefill time.Duration) {
	interval, prefill = time.Hour, time.Hour
	for i := range scenario.Engines {
		if engine := &scenario.Engines[i]; engine.Pool == pool {
			interval = min(interval, engine.TokenInterval)
			prefill = min(prefill, engine.PrefillPerToken)
		}
	}
	return interval, prefill
}

// addSlots adds the slots of the pool's engines for the times without faults.
func (s *schedule) addSlots(scenario *Scenario, pool string) {
	for i := range scenario.Engines {
		engine := &scenario.Engines[i]
		if engine.Pool != pool {
			continue
		}
		for step := range s.freeSlots {
			if !isFaulty(scenario, engine, time.Duration(step)*gridStep) {
				s.freeSlots[step] += engine.Slots
			}
		}
	}
}

// isFaulty reports whether a fault affects the engine at the given time.
func isFaulty(scenario *Scenario, engine *Engine, at time.Duration) bool {
	return slices.ContainsFunc(scenario.Faults, func(f Fault) bool {
		until := f.Until
		if f.Kind == Crash {
			until = f.From + engine.RestartTime
		}
		return (f.Target == engine.Name || f.Target == engine.Centre) && at >= f.From && at < until
	})
}

// placeJobs places the jobs greedily and returns the tokens of those placed.
func (s *schedule) placeJobs() int {
	slices.SortStableFunc(s.jobs, func(a, b job) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(b.tokensPerSecond(), a.tokensPerSecond()))
	})
	good := 0
	for i := range s.jobs {
		if s.tryPlace(&s.jobs[i]) {
			good += s.jobs[i].tokens
		}
	}
	return good
}

func (j *job) tokensPerSecond() float64 { return float64(j.tokens) / j.duration.Seconds() }

// tryPlace occupies a slot for the job at its earliest possible start, or returns
// false if there is none.
func (s *schedule) tryPlace(j *job) bool {
	steps := int((j.duration + gridStep - 1) / gridStep)
	lastStart := int(j.latestStart / gridStep)
	for start := int(j.arrival / gridStep); start <= lastStart; {
		full := s.lastFullStep(start, steps)
		if full < 0 {
			for step := start; step < start+steps; step++ {
				s.freeSlots[step]--
			}
			return true
		}
		start = full + 1
	}
	return false
}

// lastFullStep returns the last of the steps from start on that has no free slot, or
// -1 if all have one.
func (s *schedule) lastFullStep(start, steps int) int {
	for step := min(start+steps, len(s.freeSlots)) - 1; step >= start; step-- {
		if s.freeSlots[step] <= 0 {
			return step
		}
	}
	return -1
}
