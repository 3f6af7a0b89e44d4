package replay

import (
	"strconv"
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/suspect"
)

const (
	// cachedPrefixes is how many prompt prefixes an engine keeps.
	cachedPrefixes = 32
	// cachedShare is the share of a prompt that its cached prefix makes up.
	cachedShare = 0.8
	// poisonDelay is how long an engine runs a poisoned call before it crashes.
	poisonDelay = 200 * time.Millisecond
	// loadInterval is the resolution of an engine's load history.
	loadInterval = 50 * time.Millisecond
)

// engine is the state of one fake backend server.
type engine struct {
	*Engine
	world    *world
	streams  map[*attempt]bool
	order    []*attempt // streams in the order of their start
	prefixes []uint64
	factor   float64
	down     bool
	cut      bool
	crashes  int
	agent    agent
	history  []sample
}

// sample is what an engine's load was at a time.
type sample struct {
	at      time.Duration
	running int
}

// load returns what the agent reports: its load some time ago.
func (e *engine) load() chicoryrock.Load {
	load := chicoryrock.Load{Slots: e.Slots}
	if e.world.scenario.Lag == 0 {
		load.Running = len(e.streams)
		load.Waiting = e.agent.waiting()
		return load
	}
	for i := len(e.history) - 1; i >= 0; i-- {
		if e.history[i].at <= e.world.now-e.world.scenario.Lag {
			load.Running = e.history[i].running
			break
		}
	}
	return load
}

func (e *engine) note() {
	last := len(e.history) - 1
	if last >= 0 && e.world.now-e.history[last].at < loadInterval {
		e.history[last].running = len(e.streams)
		return
	}
	e.history = append(e.history, sample{at: e.world.now, running: len(e.streams)})
}

// start begins to run an attempt. The agent has found a free slot for it.
func (e *engine) start(a *attempt) {
	e.streams[a] = true
	e.order = append(e.order, a)
	e.note()
	if a.call.request.Suspect {
		e.world.after(suspect.Probation, func() { e.pass(a) })
	}
	if a.call.record.Poison {
		e.world.after(poisonDelay, func() {
			if e.streams[a] {
				e.crash()
			}
		})
	}
	e.world.after(e.slowed(e.prefill(a)+e.Token), func() { e.step(a) })
}

// pass ends the probation of a suspect, at the agent and at its entry.
func (e *engine) pass(a *attempt) {
	if !e.streams[a] {
		return
	}
	if e.agent.suspect == a {
		e.agent.suspect = nil
	}
	entry := a.call.entry
	e.world.after(a.delay(), func() {
		entry.core.EndProbation(a.call.request, e.Name)
		entry.pump(entry.now())
	})
}

func (e *engine) prefill(a *attempt) time.Duration {
	full := time.Duration(a.call.record.Prompt+a.from) * e.Prefill
	prefix := a.call.record.Prefix
	if prefix == 0 {
		return full
	}
	for i, known := range e.prefixes {
		if known == prefix {
			e.prefixes = append(append(e.prefixes[:i:i], e.prefixes[i+1:]...), prefix)
			return time.Duration(float64(full) * (1 - cachedShare))
		}
	}
	e.prefixes = append(e.prefixes, prefix)
	if len(e.prefixes) > cachedPrefixes {
		e.prefixes = e.prefixes[1:]
	}
	return full
}

func (e *engine) slowed(d time.Duration) time.Duration {
	return time.Duration(float64(d) * e.factor)
}

// step hands over a token and plans the next one.
func (e *engine) step(a *attempt) {
	if !e.streams[a] {
		return
	}
	a.made++
	e.agent.produced(a)
	left := a.call.record.Output - a.from - a.made
	if left <= 0 {
		e.remove(a)
	}
	a.produced(left <= 0)
	if left > 0 {
		e.world.after(e.slowed(e.Token), func() { e.step(a) })
	}
}

func (e *engine) remove(a *attempt) {
	delete(e.streams, a)
	for i := range e.order {
		if e.order[i] == a {
			e.order = append(e.order[:i], e.order[i+1:]...)
			break
		}
	}
	e.note()
	e.agent.ended(a)
}

// crash ends everything that runs, and starts the engine again later.
func (e *engine) crash() {
	if e.down {
		return
	}
	e.down = true
	e.crashes++
	e.prefixes = nil
	e.breakStreams(suspect.CrashID(e.Name + "/" + strconv.Itoa(e.crashes)))
	e.world.after(e.Restart, func() { e.down = false })
}

// breakStreams ends all that runs or waits. The agent names the crash; when the
// engine was only cut off, there is none to name.
func (e *engine) breakStreams(crash suspect.CrashID) {
	e.agent.clear()
	alone := len(e.order) == 1
	for len(e.order) > 0 {
		a := e.order[0]
		e.remove(a)
		a.broke(crash, alone)
	}
}
