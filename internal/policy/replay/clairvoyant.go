package replay

import (
	"cmp"
	"slices"
	"time"
)

// retryAfter is when a caller whom the bound refused comes again.
const retryAfter = time.Second

// grid is the resolution of the clairvoyant schedule.
const grid = 10 * time.Millisecond

// Clairvoyant returns the good tokens of a schedule that knows the whole trace
// beforehand, output lengths and faults included. It is what a policy without
// that knowledge is measured against.
//
// It assumes: one queue for each pool; no delay on any network; every slot of
// the pool alike, at the speed of its fastest engine; an engine that is down,
// cut off or slow has no slots, and nothing runs on it when that begins; no
// call is poisoned into crashing (poisoned ones are left out); a call that would
// miss a target is never begun. Calls are placed by tier, and in a tier those
// with the most tokens for each second of a slot first, each at the earliest time
// at which a slot is free from its start to its end. The placing is greedy, so a
// cleverer one could be a little better; that is why it is named a schedule and
// not a limit. Floors and fair shares don't bind it. A caller that comes again
// may be served retryAfter later for each coming.
func ClairvoyantTokens(scenario *Scenario) int {
	good := 0
	for _, pool := range pools(scenario) {
		good += newPlan(scenario, pool).place()
	}
	return good
}

func pools(scenario *Scenario) []string {
	var names []string
	for i := range scenario.Classes {
		names = append(names, scenario.Classes[i].Pool)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// plan is the timeline of one pool's free slots.
type plan struct {
	jobs []job
	free []int // slots by grid step
}

// job is one call with its true length.
type job struct {
	tier   int
	tokens int
	from   time.Duration // arrival
	until  time.Duration // the latest start that meets the first token's target
	run    time.Duration
}

func newPlan(scenario *Scenario, pool string) *plan {
	p := &plan{}
	token, prefill := fastest(scenario, pool)
	var end time.Duration
	for i := range scenario.Trace {
		record := &scenario.Trace[i]
		class := scenario.class(record.Class)
		if class.Pool != pool || record.Poison {
			continue
		}
		first := time.Duration(record.PromptTokens)*prefill + token
		if record.PrefixHash != 0 {
			first = time.Duration(float64(record.PromptTokens)*(1-cachedShare))*prefill + token
		}
		j := job{
			tier:   class.Tier,
			tokens: record.OutputTokens,
			from:   record.At,
			until:  record.At + class.FirstTokenTarget - first + time.Duration(record.CallerRetries)*retryAfter,
			run:    first + time.Duration(record.OutputTokens-1)*token,
		}
		end = max(end, j.until+j.run)
		if j.until >= j.from && token <= class.TokenIntervalTarget {
			p.jobs = append(p.jobs, j)
		}
	}
	p.free = make([]int, end/grid+2)
	p.fill(scenario, pool)
	return p
}

// fastest returns the pool's shortest times for a token, made and read.
func fastest(scenario *Scenario, pool string) (token, prefill time.Duration) {
	token, prefill = time.Hour, time.Hour
	for i := range scenario.Engines {
		if engine := &scenario.Engines[i]; engine.Pool == pool {
			token = min(token, engine.TokenInterval)
			prefill = min(prefill, engine.PrefillPerToken)
		}
	}
	return token, prefill
}

func (p *plan) fill(scenario *Scenario, pool string) {
	for i := range scenario.Engines {
		engine := &scenario.Engines[i]
		if engine.Pool != pool {
			continue
		}
		for step := range p.free {
			if !faulty(scenario, engine, time.Duration(step)*grid) {
				p.free[step] += engine.Slots
			}
		}
	}
}

func faulty(scenario *Scenario, engine *Engine, at time.Duration) bool {
	return slices.ContainsFunc(scenario.Faults, func(f Fault) bool {
		until := f.Until
		if f.Kind == Crash {
			until = f.From + engine.RestartTime
		}
		return (f.Target == engine.Name || f.Target == engine.Centre) && at >= f.From && at < until
	})
}

func (p *plan) place() int {
	slices.SortStableFunc(p.jobs, func(a, b job) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(b.density(), a.density()))
	})
	good := 0
	for i := range p.jobs {
		if p.placed(&p.jobs[i]) {
			good += p.jobs[i].tokens
		}
	}
	return good
}

func (j *job) density() float64 { return float64(j.tokens) / j.run.Seconds() }

// placed takes the slots of a job's earliest possible run.
func (p *plan) placed(j *job) bool {
	length := int((j.run + grid - 1) / grid)
	last := int(j.until / grid)
	for start := int(j.from / grid); start <= last; {
		full := p.lastFull(start, length)
		if full < 0 {
			for step := start; step < start+length; step++ {
				p.free[step]--
			}
			return true
		}
		start = full + 1
	}
	return false
}

// lastFull returns the last step of a run without a free slot, or -1.
func (p *plan) lastFull(start, length int) int {
	for step := min(start+length, len(p.free)) - 1; step >= start; step-- {
		if p.free[step] <= 0 {
			return step
		}
	}
	return -1
}
