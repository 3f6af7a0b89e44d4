package replay

import (
	"strconv"
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/suspect"
)

const (
	// maxCachedPrefixes is the number of prompt prefixes in an engine's cache.
	maxCachedPrefixes = 32
	// cachedPromptShare is the fraction of a prompt that a cached prefix covers.
	cachedPromptShare = 0.8
	// poisonCrashDelay is how long an engine runs a poisoned call before it crashes.
	poisonCrashDelay = 200 * time.Millisecond
	// loadSampleInterval is the resolution of an engine's load history.
	loadSampleInterval = 50 * time.Millisecond
)

// engine is the state of one simulated backend server.
type engine struct {
	*Engine
	sim            *simulation
	streams        map[*attempt]bool // running
	startOrder     []*attempt        // streams in the order of their start
	cachedPrefixes []uint64          // hashes, least recently used first
	slowdown       float64           // factor on every processing time
	down           bool
	unreachable    bool
	crashes        int
	agent          agent
	loadHistory    []loadSample
}

// loadSample is the number of streams that ran on an engine at a time.
type loadSample struct {
	at      time.Duration
	running int
}

// load returns the load that the agent reports: its load of LoadReportAge ago.
func (e *engine) load() chicoryrock.Load {
	load := chicoryrock.Load{Slots: e.Slots, Build: e.Version}
	if e.sim.scenario.LoadReportAge == 0 {
		load.Running = len(e.streams)
		load.Waiting = e.agent.queueLength()
		return load
	}
	for i := len(e.loadHistory) - 1; i >= 0; i-- {
		if e.loadHistory[i].at <= e.sim.now-e.sim.scenario.LoadReportAge {
			load.Running = e.loadHistory[i].running
			break
		}
	}
	return load
}

// recordLoad adds the current load to the history. A change within
// loadSampleInterval of the last sample replaces that sample's value.
func (e *engine) recordLoad() {
	last := len(e.loadHistory) - 1
	if last >= 0 && e.sim.now-e.loadHistory[last].at < loadSampleInterval {
		e.loadHistory[last].running = len(e.streams)
		return
	}
	e.loadHistory = append(e.loadHistory, loadSample{at: e.sim.now, running: len(e.streams)})
}

// start runs an attempt, for which the agent has found a free slot.
func (e *engine) start(a *attempt) {
	e.streams[a] = true
	e.startOrder = append(e.startOrder, a)
	e.recordLoad()
	if a.call.request.Suspect {
		e.sim.after(suspect.Probation, func() { e.endProbation(a) })
	}
	if a.call.record.Poison {
		e.sim.after(poisonCrashDelay, func() {
			if e.streams[a] {
				e.crash()
			}
		})
	}
	e.sim.after(e.slowed(e.prefillTime(a)+e.TokenInterval), func() { e.produceToken(a) })
}

// endProbation ends the probation of a suspect that still runs, at the agent and at
// its entry.
func (e *engine) endProbation(a *attempt) {
	if !e.streams[a] {
		return
	}
	if e.agent.suspect == a {
		e.agent.suspect = nil
	}
	entry := a.call.entry
	e.sim.after(a.networkDelay(), func() {
		entry.dispatcher.EndProbation(a.call.request, e.Name)
		entry.dispatch(entry.now())
	})
}

// prefillTime returns the time to prefill an attempt's prompt and the output tokens
// that it resumes after, and marks the prompt's prefix as most recently used.
func (e *engine) prefillTime(a *attempt) time.Duration {
	full := time.Duration(a.call.record.PromptTokens+a.resumeAfter) * e.PrefillPerToken
	prefix := a.call.record.PrefixHash
	if prefix == 0 {
		return full
	}
	for i, cached := range e.cachedPrefixes {
		if cached == prefix {
			e.cachedPrefixes = append(append(e.cachedPrefixes[:i:i], e.cachedPrefixes[i+1:]...), prefix)
			return time.Duration(float64(full) * (1 - cachedPromptShare))
		}
	}
	e.cachedPrefixes = append(e.cachedPrefixes, prefix)
	if len(e.cachedPrefixes) > maxCachedPrefixes {
		e.cachedPrefixes = e.cachedPrefixes[1:]
	}
	return full
}

func (e *engine) slowed(d time.Duration) time.Duration {
	return time.Duration(float64(d) * e.slowdown)
}

// produceToken delivers a token and schedules the next one.
func (e *engine) produceToken(a *attempt) {
	if !e.streams[a] {
		return
	}
	a.tokens++
	e.agent.addToken(a)
	remaining := a.call.record.OutputTokens - a.resumeAfter - a.tokens
	if remaining <= 0 {
		e.remove(a)
	}
	a.deliverToken(remaining <= 0)
	if remaining > 0 {
		e.sim.after(e.slowed(e.TokenInterval), func() { e.produceToken(a) })
	}
}

// remove ends a stream and frees its slot.
func (e *engine) remove(a *attempt) {
	delete(e.streams, a)
	for i := range e.startOrder {
		if e.startOrder[i] == a {
			e.startOrder = append(e.startOrder[:i], e.startOrder[i+1:]...)
			break
		}
	}
	e.recordLoad()
	e.agent.finish(a)
}

// crash breaks all streams and restarts the engine after RestartTime.
func (e *engine) crash() {
	if e.down {
		return
	}
	e.down = true
	e.crashes++
	e.cachedPrefixes = nil
	e.breakStreams(suspect.CrashID(e.Name + "/" + strconv.Itoa(e.crashes)))
	e.sim.after(e.RestartTime, func() { e.down = false })
}

// breakStreams ends all running streams and rejects all waiting requests. The crash
// ID is empty if the engine only became unreachable.
func (e *engine) breakStreams(crash suspect.CrashID) {
	e.agent.rejectWaiting()
	alone := len(e.startOrder) == 1
	for len(e.startOrder) > 0 {
		a := e.startOrder[0]
		e.remove(a)
		a.reportBreak(crash, alone)
	}
}
