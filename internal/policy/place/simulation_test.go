package place

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// engineSpec holds the timing of an emulated engine with chunked prefill.
type engineSpec struct {
	slots           int
	stepMs          float64 // an empty step
	msPerRequest    float64 // added to a step for each request in the batch
	tokensPerMs     float64 // prompt tokens prefilled in a millisecond
	msPerMegaPair   float64 // attention, for a million pairs of tokens
	startMs         float64 // constant delay of the first token
	tokensPerEvent  int
	cacheTokens     int     // capacity of the prefix cache
	slowFactor      float64 // slowdown of each third engine
	fetchMsPerToken float64 // to fetch a token from another engine; zero for never
}

// emulatedRequest is a request on an emulated engine. Times are in milliseconds of the
// simulation.
type emulatedRequest struct {
	request        *chicoryrock.Request
	placer         *Placer
	sentMs         float64
	unreadTokens   int // prompt tokens yet to be prefilled
	contextTokens  int
	readyMs        float64 // when the parts that it fetches have come
	outputLeft     int     // tokens yet to be generated
	outputMade     int
	firstTokenMs   float64 // zero before
	lastEventMs    float64
	longestPauseMs float64 // between two events
}

// engine emulates an engine that prefills prompts in chunks between the tokens of its
// streams.
type engine struct {
	spec       engineSpec
	slowdown   float64
	lastUsed   map[uint64]float64 // prefix cache: time of last use by part, milliseconds
	partTokens map[uint64]int     // by part in the cache
	keptTokens int                // sum of partTokens
	running    []*emulatedRequest
	waiting    []*emulatedRequest
	freeMs     float64 // end of the present step
	linkFreeMs float64 // when its link to other engines is free
}

// admit queues a request. The parts of its prompt that the engine has cached, or can
// fetch from a source, if there is one, need no prefill.
func (e *engine) admit(nowMs float64, r *emulatedRequest, source *engine) {
	missing, missingThere := false, source == nil
	partTokens, fetched := 0, 0
	for _, part := range r.request.Parts {
		partTokens += part.Tokens
		if _, found := e.lastUsed[part.ID]; !found {
			missing = true
		}
		if source != nil {
			if _, found := source.lastUsed[part.ID]; !found {
				missingThere = true
			}
		}
		switch {
		case missing && missingThere:
			r.unreadTokens += part.Tokens
		case missing:
			fetched += part.Tokens
		}
		e.store(nowMs, part)
	}
	if fetched > 0 {
		source.linkFreeMs = max(source.linkFreeMs, nowMs) + minFetchSavingMs/10 + float64(fetched)*e.spec.fetchMsPerToken
		r.readyMs = source.linkFreeMs
	}
	r.unreadTokens += max(r.request.PromptTokens-partTokens, 1)
	r.contextTokens = r.request.PromptTokens
	e.waiting = append(e.waiting, r)
}

// store adds a part to the cache and evicts the parts that were unused for longest.
func (e *engine) store(nowMs float64, part chicoryrock.Part) {
	if _, found := e.lastUsed[part.ID]; !found {
		e.keptTokens += part.Tokens
		e.partTokens[part.ID] = part.Tokens
	}
	e.lastUsed[part.ID] = nowMs
	for e.keptTokens > e.spec.cacheTokens {
		oldest, oldestMs := uint64(0), nowMs+1
		for id, usedMs := range e.lastUsed {
			if usedMs < oldestMs {
				oldest, oldestMs = id, usedMs
			}
		}
		e.keptTokens -= e.partTokens[oldest]
		delete(e.lastUsed, oldest)
		delete(e.partTokens, oldest)
	}
}

// advance runs steps until a time, and returns the requests that ended.
func (e *engine) advance(untilMs float64) []*emulatedRequest {
	var ended []*emulatedRequest
	for e.freeMs <= untilMs && len(e.running)+len(e.waiting) > 0 {
		ended = append(ended, e.step()...)
	}
	e.freeMs = max(e.freeMs, untilMs)
	return ended
}

// step runs one step: a chunk of prefill and a token of each stream. It returns the
// requests that ended.
func (e *engine) step() []*emulatedRequest {
	spec := &e.spec
	waiting := e.waiting[:0]
	for _, r := range e.waiting {
		if r.readyMs <= e.freeMs && len(e.running) < spec.slots {
			e.running = append(e.running, r)
		} else {
			waiting = append(waiting, r)
		}
	}
	e.waiting = waiting
	tookMs := spec.stepMs + spec.msPerRequest*float64(len(e.running))
	chunkLeft := prefillChunkTokens
	for _, r := range e.running {
		tokens := min(chunkLeft, r.unreadTokens)
		chunkLeft -= tokens
		r.unreadTokens -= tokens
		tookMs += float64(tokens)/spec.tokensPerMs + spec.msPerMegaPair*float64(tokens)*float64(r.contextTokens)/2e6
	}
	e.freeMs += tookMs * e.slowdown
	var ended []*emulatedRequest
	running := e.running[:0]
	for _, r := range e.running {
		if r.unreadTokens == 0 {
			r.emitToken(e.freeMs, spec)
		}
		if r.outputLeft > 0 {
			running = append(running, r)
		} else {
			ended = append(ended, r)
		}
	}
	e.running = running
	return ended
}

// emitToken counts a generated token, and a pause at the end of an event.
func (r *emulatedRequest) emitToken(nowMs float64, spec *engineSpec) {
	r.outputMade++
	r.outputLeft--
	switch {
	case r.firstTokenMs == 0:
		r.firstTokenMs = nowMs + spec.startMs
		r.lastEventMs = nowMs
	case r.outputMade%spec.tokensPerEvent == 0 || r.outputLeft == 0:
		r.longestPauseMs = max(r.longestPauseMs, nowMs-r.lastEventMs)
		r.lastEventMs = nowMs
	}
}

// requestKind is a kind of request in a simulated load.
type requestKind struct {
	perSecond    float64
	sharedTokens []int         // tokens of each shared part
	variants     []int         // number of different parts for each of sharedTokens
	ownTokens    int           // mean tokens of the part that is not shared
	outputTokens int           // mean tokens of the answer
	target       time.Duration // time to first token
	maxTokenGap  time.Duration
	tier         int
}

// scenario is a load on emulated engines, placed by several processes that report their
// load to each other.
type scenario struct {
	spec             engineSpec
	engines          int
	processes        int
	kinds            []requestKind
	reportIntervalMs float64 // time between two reports
	surges           []surge // none for a steady load
	pick             func(p *Placer, now time.Time, request *chicoryrock.Request, replicas []chicoryrock.Replica) (int, bool)
}

// surge multiplies the load of one kind for some seconds.
type surge struct {
	kind                    int
	fromSecond, untilSecond float64 // of the simulation
	factor                  float64
}

// rate returns how many requests of a kind arrive in a millisecond.
func (sc *scenario) rate(nowMs float64, k int) float64 {
	rate := sc.kinds[k].perSecond / 1000
	for _, s := range sc.surges {
		if s.kind == k && nowMs >= 1000*s.fromSecond && nowMs < 1000*s.untilSecond {
			rate *= s.factor
		}
	}
	return rate
}

// result counts the requests of one kind.
type result struct {
	requests, onTime, refused int
}

func (r result) onTimeShare() float64 { return float64(r.onTime) / float64(max(r.requests, 1)) }

// epoch is the start of every simulation.
var epoch = time.Unix(1_767_000_000, 0)

func timeAt(ms float64) time.Time { return epoch.Add(time.Duration(ms * float64(time.Millisecond))) }

// simulation runs a scenario.
type simulation struct {
	scenario *scenario
	random   *rand.Rand
	engines  []*engine
	placers  []*Placer
	replicas []chicoryrock.Replica
	pending  []*emulatedRequest // those whose first token was not yet recorded
	results  []result
	kindOf   map[*chicoryrock.Request]int
}

func newSimulation(sc *scenario, seed uint64) *simulation {
	sim := &simulation{
		scenario: sc, random: rand.New(rand.NewPCG(seed, 1)),
		results: make([]result, len(sc.kinds)), kindOf: map[*chicoryrock.Request]int{},
	}
	for i := range sc.engines {
		slowdown := 1.0
		if i%3 == 2 {
			slowdown = sc.spec.slowFactor
		}
		sim.engines = append(sim.engines, &engine{spec: sc.spec, slowdown: slowdown, lastUsed: map[uint64]float64{}, partTokens: map[uint64]int{}})
		sim.replicas = append(sim.replicas, chicoryrock.Replica{Name: string(rune('A'+i%26)) + string(rune('a'+i/26)), Pool: "llm", Slots: sc.spec.slots})
	}
	for range sc.processes {
		sim.placers = append(sim.placers, &Placer{
			SlotsPerEngine:    func(string) int { return sc.spec.slots },
			TokensPerEvent:    func(string) int { return sc.spec.tokensPerEvent },
			FetchTimePerToken: func(string) time.Duration { return duration(sc.spec.fetchMsPerToken) },
		})
	}
	return sim
}

// run simulates a number of seconds of load and returns the result of each kind.
func (sim *simulation) run(seconds float64) []result {
	next := make([]float64, len(sim.scenario.kinds))
	reportedMs := 0.0
	for nowMs := 0.0; nowMs < seconds*1000; nowMs++ {
		sim.advance(nowMs)
		if nowMs-reportedMs >= sim.scenario.reportIntervalMs {
			reportedMs = nowMs
			sim.report(nowMs)
		}
		for k := range sim.scenario.kinds {
			for next[k] <= nowMs {
				sim.arrive(nowMs, k)
				next[k] += sim.random.ExpFloat64() / sim.scenario.rate(nowMs, k)
			}
		}
	}
	for nowMs := seconds * 1000; nowMs < seconds*1000+20_000; nowMs += 10 {
		sim.advance(nowMs)
	}
	return sim.results
}

// arrive creates and places a request of a kind.
func (sim *simulation) arrive(nowMs float64, k int) {
	kind := &sim.scenario.kinds[k]
	request := &chicoryrock.Request{
		Pool: "llm", Tier: kind.tier, FirstTokenTarget: kind.target, MaxTokenGap: kind.maxTokenGap, MaxOutputTokens: kind.outputTokens, Arrived: timeAt(nowMs),
	}
	for i, tokens := range kind.sharedTokens {
		id := uint64(k+1)<<40 | uint64(i)<<20 | uint64(sim.random.IntN(kind.variants[i]))
		request.Parts = append(request.Parts, chicoryrock.Part{ID: id, Tokens: tokens})
		request.PromptTokens += tokens
	}
	own := sim.drawLength(kind.ownTokens, 1)
	request.Parts = append(request.Parts, chicoryrock.Part{ID: sim.random.Uint64(), Tokens: own})
	request.PromptTokens += own
	sim.kindOf[request] = k
	sim.results[k].requests++
	placer := sim.placers[sim.random.IntN(len(sim.placers))]
	placer.RecordArrival(timeAt(nowMs), request)
	at, placed := sim.scenario.pick(placer, timeAt(nowMs), request, sim.replicas)
	if !placed {
		sim.results[k].refused++
		return
	}
	r := &emulatedRequest{request: request, placer: placer, sentMs: nowMs, outputLeft: sim.drawLength(kind.outputTokens, 0.7)}
	sim.engines[at].admit(nowMs, r, sim.fetchSource(placer, request))
	sim.pending = append(sim.pending, r)
}

// fetchSource returns the engine from which a placed request may fetch, or nil.
func (sim *simulation) fetchSource(placer *Placer, request *chicoryrock.Request) *engine {
	placement, _ := placer.Placement(request)
	for i := range sim.replicas {
		if placement.FetchFrom == sim.replicas[i].Name {
			return sim.engines[i]
		}
	}
	return nil
}

// drawLength draws a length from a log-normal distribution with a mean: most are below
// it and a few far above.
func (sim *simulation) drawLength(mean int, spread float64) int {
	drawn := float64(mean) * math.Exp(spread*sim.random.NormFloat64()-spread*spread/2)
	return int(min(max(drawn, 1), 6*float64(mean)))
}

// advance runs the engines until a time and records first tokens and ends with the
// placers.
func (sim *simulation) advance(nowMs float64) {
	for _, e := range sim.engines {
		for _, r := range e.advance(nowMs) {
			sim.end(r)
		}
	}
	waiting := sim.pending[:0]
	for _, r := range sim.pending {
		if r.firstTokenMs == 0 || r.firstTokenMs > nowMs {
			waiting = append(waiting, r)
			continue
		}
		r.placer.RecordFirstToken(timeAt(r.firstTokenMs), r.request)
	}
	sim.pending = waiting
}

// end counts the result of a request and releases it.
func (sim *simulation) end(r *emulatedRequest) {
	k := sim.kindOf[r.request]
	timeToFirstToken := time.Duration((r.firstTokenMs - r.sentMs) * float64(time.Millisecond))
	pause := time.Duration(r.longestPauseMs * float64(time.Millisecond))
	if timeToFirstToken <= r.request.FirstTokenTarget && pause <= r.request.MaxTokenGap {
		sim.results[k].onTime++
	}
	r.placer.RecordFirstToken(timeAt(r.firstTokenMs), r.request)
	r.placer.RecordEnd(timeAt(r.lastEventMs), r.request, pause, false)
}

// report gives each placer the loads and the cached prefixes of the others.
func (sim *simulation) report(nowMs float64) {
	loads := make([][]chicoryrock.OpenLoad, len(sim.placers))
	for i, p := range sim.placers {
		loads[i] = p.OpenLoads(timeAt(nowMs))
		prefixes := p.TakeCachedPrefixes()
		for _, other := range sim.placers {
			if other != p {
				other.AddCachedPrefixes(timeAt(nowMs), prefixes)
			}
		}
	}
	for i, p := range sim.placers {
		peerLoads := make(map[uint32]chicoryrock.OpenLoad)
		for j := range sim.placers {
			if i == j {
				continue
			}
			for _, load := range loads[j] {
				sum := peerLoads[load.KeyHash]
				sum.Open += load.Open
				sum.GapSensitive += load.GapSensitive
				sum.UnreadTokens += load.UnreadTokens
				peerLoads[load.KeyHash] = sum
			}
		}
		p.SetPeerLoads(timeAt(nowMs), peerLoads, len(sim.placers))
	}
}
