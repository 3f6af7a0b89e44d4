package place

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// sheet is what an emulated engine does in what time. The figures are those of a
// large model, whose reading of long prompts makes streams beside it late.
type engineSpec struct {
	slots           int
	stepMs          float64 // milliseconds of a step without anything
	msPerRequest    float64 // more for each request in the batch
	tokensPerMs     float64 // prompt tokens read in a millisecond
	msPerMegaPair   float64 // milliseconds for a million pairs of tokens in attention
	startMs         float64 // milliseconds before anything
	tokensPerEvent  int     // tokens in an event
	cacheTokens     int     // tokens that are kept
	slowFactor      float64 // how much slower each third engine is
	fetchMsPerToken float64 // milliseconds to fetch a token from another engine; zero for never
}

// run is a request on an emulated engine.
type emulatedRequest struct {
	request        *chicoryrock.Request
	placer         *Placer
	sentMs         float64
	unreadTokens   int
	contextTokens  int
	readyMs        float64 // when what it fetches is there
	outputLeft     int     // tokens yet to be made
	outputMade     int
	firstTokenMs   float64
	lastEventMs    float64
	longestPauseMs float64
}

// engine reads prompts in chunks between the tokens of its streams.
type engine struct {
	spec       engineSpec
	slowdown   float64
	lastUsed   map[uint64]float64 // parts with the time of their last use
	partTokens map[uint64]int
	keptTokens int
	running    []*emulatedRequest
	waiting    []*emulatedRequest
	freeMs     float64 // when the step under way ends
	linkFreeMs float64 // when its link to other engines is free
}

// take admits a request: what it keeps of the prompt need not be read, nor what
// the other engine keeps from which it fetches, if there is one.
func (e *engine) admit(now float64, r *emulatedRequest, source *engine) {
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
		e.store(now, part)
	}
	if fetched > 0 {
		source.linkFreeMs = max(source.linkFreeMs, now) + minFetchSavingMs/10 + float64(fetched)*e.spec.fetchMsPerToken
		r.readyMs = source.linkFreeMs
	}
	r.unreadTokens += max(r.request.PromptTokens-partTokens, 1)
	r.contextTokens = r.request.PromptTokens
	e.waiting = append(e.waiting, r)
}

func (e *engine) store(now float64, part chicoryrock.Part) {
	if _, found := e.lastUsed[part.ID]; !found {
		e.keptTokens += part.Tokens
		e.partTokens[part.ID] = part.Tokens
	}
	e.lastUsed[part.ID] = now
	for e.keptTokens > e.spec.cacheTokens {
		oldest, oldestMs := uint64(0), now+1
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

// advance makes steps until a time, and returns the requests that ended.
func (e *engine) advance(untilMs float64) []*emulatedRequest {
	var ended []*emulatedRequest
	for e.freeMs <= untilMs && len(e.running)+len(e.waiting) > 0 {
		ended = append(ended, e.step()...)
	}
	e.freeMs = max(e.freeMs, untilMs)
	return ended
}

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
		read := min(chunkLeft, r.unreadTokens)
		chunkLeft -= read
		r.unreadTokens -= read
		tookMs += float64(read)/spec.tokensPerMs + spec.msPerMegaPair*float64(read)*float64(r.contextTokens)/2e6
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

func (r *emulatedRequest) emitToken(now float64, spec *engineSpec) {
	r.outputMade++
	r.outputLeft--
	switch {
	case r.firstTokenMs == 0:
		r.firstTokenMs = now + spec.startMs
		r.lastEventMs = now
	case r.outputMade%spec.tokensPerEvent == 0 || r.outputLeft == 0:
		r.longestPauseMs = max(r.longestPauseMs, now-r.lastEventMs)
		r.lastEventMs = now
	}
}

// kind is a kind of request in a played load.
type requestKind struct {
	perSecond    float64
	sharedTokens []int // tokens of the shared parts
	variants     []int // how many different ones there are of each
	ownTokens    int
	outputTokens int
	target       time.Duration
	maxTokenGap  time.Duration
	tier         int
}

// play is a load on emulated engines, placed by several processes that tell each
// other what they have open.
type scenario struct {
	spec             engineSpec
	engines          int
	processes        int
	kinds            []requestKind
	reportIntervalMs float64 // milliseconds between two reports
	surges           []surge // of the loads; none for steady ones
	pick             func(p *Placer, now time.Time, request *chicoryrock.Request, replicas []chicoryrock.Replica) (int, bool)
}

// swing multiplies the load of one kind for some seconds.
type surge struct {
	kind                    int
	fromSecond, untilSecond float64 // seconds
	factor                  float64
}

// rate is how many requests of a kind arrive in a millisecond.
func (sc *scenario) rate(now float64, k int) float64 {
	rate := sc.kinds[k].perSecond / 1000
	for _, s := range sc.surges {
		if s.kind == k && now >= 1000*s.fromSecond && now < 1000*s.untilSecond {
			rate *= s.factor
		}
	}
	return rate
}

// result is what callers of one kind got.
type result struct {
	requests, onTime, refused int
}

func (r result) onTimeShare() float64 { return float64(r.onTime) / float64(max(r.requests, 1)) }

var epoch = time.Unix(1_767_000_000, 0)

func timeAt(ms float64) time.Time { return epoch.Add(time.Duration(ms * float64(time.Millisecond))) }

// world is a play under way.
type simulation struct {
	scenario *scenario
	random   *rand.Rand
	engines  []*engine
	placers  []*Placer
	replicas []chicoryrock.Replica
	pending  []*emulatedRequest // first tokens that their placer has not been told of
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

// run plays so many seconds and returns what the callers of each kind got.
func (sim *simulation) run(seconds float64) []result {
	next := make([]float64, len(sim.scenario.kinds))
	reportedMs := 0.0
	for now := 0.0; now < seconds*1000; now++ {
		sim.advance(now)
		if now-reportedMs >= sim.scenario.reportIntervalMs {
			reportedMs = now
			sim.report(now)
		}
		for k := range sim.scenario.kinds {
			for next[k] <= now {
				sim.arrive(now, k)
				next[k] += sim.random.ExpFloat64() / sim.scenario.rate(now, k)
			}
		}
	}
	for now := seconds * 1000; now < seconds*1000+20_000; now += 10 {
		sim.advance(now)
	}
	return sim.results
}

func (sim *simulation) arrive(now float64, k int) {
	kind := &sim.scenario.kinds[k]
	request := &chicoryrock.Request{
		Pool: "llm", Tier: kind.tier, FirstTokenTarget: kind.target, MaxTokenGap: kind.maxTokenGap, MaxOutputTokens: kind.outputTokens, Arrived: timeAt(now),
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
	placer.RecordArrival(timeAt(now), request)
	at, placed := sim.scenario.pick(placer, timeAt(now), request, sim.replicas)
	if !placed {
		sim.results[k].refused++
		return
	}
	r := &emulatedRequest{request: request, placer: placer, sentMs: now, outputLeft: sim.drawLength(kind.outputTokens, 0.7)}
	sim.engines[at].admit(now, r, sim.fetchSource(placer, request))
	sim.pending = append(sim.pending, r)
}

// source returns the engine from which a placed request may fetch, or nil.
func (sim *simulation) fetchSource(placer *Placer, request *chicoryrock.Request) *engine {
	placement, _ := placer.Placement(request)
	for i := range sim.replicas {
		if placement.FetchFrom == sim.replicas[i].Name {
			return sim.engines[i]
		}
	}
	return nil
}

// length draws a length with a mean, most below it and a few far above.
func (sim *simulation) drawLength(mean int, spread float64) int {
	drawn := float64(mean) * math.Exp(spread*sim.random.NormFloat64()-spread*spread/2)
	return int(min(max(drawn, 1), 6*float64(mean)))
}

// advance lets the engines work and tells the placers what came of it.
func (sim *simulation) advance(now float64) {
	for _, e := range sim.engines {
		for _, r := range e.advance(now) {
			sim.end(r)
		}
	}
	waiting := sim.pending[:0]
	for _, r := range sim.pending {
		if r.firstTokenMs == 0 || r.firstTokenMs > now {
			waiting = append(waiting, r)
			continue
		}
		r.placer.RecordFirstToken(timeAt(r.firstTokenMs), r.request)
	}
	sim.pending = waiting
}

func (sim *simulation) end(r *emulatedRequest) {
	k := sim.kindOf[r.request]
	first := time.Duration((r.firstTokenMs - r.sentMs) * float64(time.Millisecond))
	pause := time.Duration(r.longestPauseMs * float64(time.Millisecond))
	if first <= r.request.FirstTokenTarget && pause <= r.request.MaxTokenGap {
		sim.results[k].onTime++
	}
	r.placer.RecordFirstToken(timeAt(r.firstTokenMs), r.request)
	r.placer.RecordEnd(timeAt(r.lastEventMs), r.request, pause, false)
}

// report tells each placer what the others have open.
func (sim *simulation) report(now float64) {
	loads := make([][]chicoryrock.OpenLoad, len(sim.placers))
	for i, p := range sim.placers {
		loads[i] = p.OpenLoads(timeAt(now))
		reads := p.TakeCachedPrefixes()
		for _, other := range sim.placers {
			if other != p {
				other.AddCachedPrefixes(timeAt(now), reads)
			}
		}
	}
	for i, p := range sim.placers {
		others := make(map[uint32]chicoryrock.OpenLoad)
		for j := range sim.placers {
			if i == j {
				continue
			}
			for _, load := range loads[j] {
				sum := others[load.KeyHash]
				sum.Running += load.Running
				sum.GapSensitive += load.GapSensitive
				sum.UnreadTokens += load.UnreadTokens
				others[load.KeyHash] = sum
			}
		}
		p.SetPeerLoads(timeAt(now), others, len(sim.placers))
	}
}
