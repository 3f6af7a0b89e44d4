package place

import (
	"math"
	"slices"
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/backup"
	"github.com/chicoryrock/chicoryrock/internal/policy/jitter"
	"github.com/chicoryrock/chicoryrock/internal/policy/quota"
)

// Placer implements chicoryrock.Picker. Set the exported fields before use.
type Placer struct {
	Centre string // this process's data centre
	Region string // this process's region
	// SlotsPerEngine returns how many requests an engine of a pool runs at once; zero
	// for a pool without engines.
	SlotsPerEngine func(pool string) int
	// TokensPerEvent returns how many tokens an event of a pool's streams holds; zero
	// for a pool without engines.
	TokensPerEvent func(pool string) int
	// FetchTimePerToken returns how long an engine takes to fetch a prompt token from
	// another engine's prefix cache; zero where engines can't.
	FetchTimePerToken func(pool string) time.Duration
	// CopyTimePerToken returns how long it takes to copy the memory of one token of a running
	// request to another engine; zero where engines keep no copies.
	CopyTimePerToken func(pool string) time.Duration
	// Seed starts the random sequence by which replicas are sampled. It differs between
	// processes.
	Seed uint64
	// Quota keeps to the limits that replicas state; nil for none. Its keys are those of
	// ServerKey.
	Quota *quota.Member

	pools       map[string]*poolState
	limited     []candidate                // of the present Pick, those without a permit
	newPrefixes []chicoryrock.CachedPrefix // not yet returned by TakeCachedPrefixes
	backups     []backup.Server            // of the present ChooseBackup
	processes   int                        // as given to SetPeerLoads
	peerLoadsAt time.Time                  // of the last SetPeerLoads
}

var _ chicoryrock.Picker = (*Placer)(nil)

// poolState holds the replicas, open requests and estimates of one pool.
type poolState struct {
	name            string
	slots           int
	tokensPerEvent  int
	replicas        map[string]*replica
	byIndex         []*replica // in the order of the caller's list
	prefill         prefillModel
	serviceTime     serviceTime
	partition       partition
	reservations    reservations
	jobs            map[*chicoryrock.Request]*job
	freeJobs        []*job // of requests that have ended
	oversize        oversizeBudget
	longJobs        int // of jobs, those with long prompts
	hasReplicas     bool
	evacuated       int                // replicas in data centres that are being evacuated
	limitRefusals   jitter.RefusedWork // requests
	randomState     uint64             // of randomBelow
	fetchMsPerToken float64            // from another engine's prefix cache; zero for never
	copies          backup.Engines
	prefixHolders   map[uint32][maxHolders]prefixHolder // by sessionHash
	byKeyHash       map[uint32]*replica
	bound           bool       // the request that is being placed may use only the replicas of allowed
	allowed         []*replica // in the order of the partition; see setAllowed
	allowedShort    int        // index in allowed of the first replica outside of the part for long prompts
}

// replica holds the load and the estimates of one replica.
type replica struct {
	name          string
	keyHash       uint32 // identifies it in reports between processes
	nameHash      uint64 // sorts the pool and selects home replicas
	index         int    // in the caller's list of replicas
	fromEnd       int    // position in partition.order, counted from its end
	open          int    // open requests of this process
	awaitingFirst []*job // of these, those without a first token
	gapSensitive  int    // of these, streams with short prompts
	cache         prefixCache
	slowdown      float64 // observed over predicted time to first token, moving average
	failures      int     // in a row
	avoidUntil    time.Time
	leaving       bool // it gets no new work, or its data centre is being evacuated
	region        string
	weights       string    // that computed the memory of prompts that it has
	coldUntil     time.Time // it is slow until then
	coldLimited   bool      // until then it has a limit under coldKey
	coldKey       uint64    // see ColdKey
	takesLong     bool      // it is one of the replicas for long prompts
	roleSince     time.Time // last change of takesLong

	peerLoad      chicoryrock.OpenLoad // open load of the other processes
	cachedBacklog float64              // tokens; result of backlogTokens
	backlogAt     time.Time            // time of cachedBacklog; zero for none
}

// job is an open request of this process on a replica.
type job struct {
	request       *chicoryrock.Request
	replica       *replica
	sent          time.Time
	unreadTokens  float64 // prompt tokens to prefill when it was sent, estimated
	backlogTokens float64 // tokens to prefill before them at that time, estimated
	started       bool    // its first token has come
	late          bool    // a pause between its events was too long
	plain         bool    // it went to a plain service
	long          bool    // its prompt is long
	calibrates    bool    // it is a sample for the prefill model: unreadTokens is certain, no backlog
	placement     Placement
}

const (
	// initialSlowdown assumes a new replica to be as fast as predicted.
	initialSlowdown = 1
	// slowdownSmoothing is the weight of a new sample of a replica's slowdown.
	slowdownSmoothing = 0.08
	// minSlowdownSample is the lower bound of one sample.
	minSlowdownSample = 0.4
	// maxSlowdownSample is the upper bound of one sample.
	maxSlowdownSample = 6
	// failureBackoff is how long a replica is avoided after its first failure. Each
	// further failure in a row doubles it.
	failureBackoff = 300 * time.Millisecond
	// maxFailureBackoff bounds the doubling of failureBackoff.
	maxFailureBackoff = 4 * time.Second
	// crossCentrePenalty is added to the cost of a replica in another data centre of the
	// region: the round trip, and the price of its bytes.
	crossCentrePenalty = 6 * time.Millisecond
	// crossRegionPenalty is added to the cost of a replica in another region: the round
	// trip, and the price of its bytes.
	crossRegionPenalty = 45 * time.Millisecond
	// crossRegionPenaltyPerToken is added to the cost for each prompt token that goes to
	// another region.
	crossRegionPenaltyPerToken = 4 * time.Microsecond
	// unreadSharedWeight multiplies the time to prefill shared parts again, compared with
	// the request's own wait: other prompts wait for it too.
	unreadSharedWeight = 3.0
	// maxCandidates is how many replicas are considered at most where none of the
	// likely ones is good enough.
	maxCandidates = 48
	// randomCandidates is how many replicas are sampled for a request, besides those
	// that may have its session's prefix. What other processes have sent since their
	// last report is unknown: if each process considered all replicas, all would choose
	// the same one.
	randomCandidates = 8
	// maxUncertainTokens is how many tokens of a prompt may or may not be cached for its
	// time to first token to be used in the prefill model: about a tenth of a chunk.
	maxUncertainTokens = 100
	// coldSlowdown multiplies the slowdown of a replica that reports that it is cold:
	// empty caches cost about half of the time again.
	coldSlowdown = 1.5
	// plainDelayPerRequest is what each open request adds to the response time of a
	// plain service's replica.
	plainDelayPerRequest = 8 * time.Millisecond
	// admissionShare is the largest predicted time to first token with which a request
	// is placed, as a share of its target.
	admissionShare = 0.95
	// oversizeWaitShare is how long an oversize request, one that is late by the length
	// of its own prompt, may wait behind others, as a share of its target.
	oversizeWaitShare = 0.35
)

// Pick implements chicoryrock.Picker: it returns the index of the eligible replica with
// the least cost, and counts the request as sent there.
func (p *Placer) Pick(now time.Time, request *chicoryrock.Request, replicas []chicoryrock.Replica) (int, bool) {
	ps := p.pool(request.Pool)
	hasPrompt := request.PromptTokens > 0
	if !ps.hasReplicas {
		ps.setReplicas(replicas)
	}
	if hasPrompt {
		ps.assignParts(now, request)
		ps.computeLimits(now, request)
	}
	ps.setAllowed(request, replicas)
	affinity := ps.affinity(now, request)
	best := candidate{index: -1, costMs: math.Inf(1)}
	p.limited = p.limited[:0]
	limitMs, oversizeWaitMs, confidence := math.Inf(1), 0.0, ps.pauseConfidence()
	if hasPrompt {
		limitMs = admissionShare * milliseconds(request.FirstTokenTarget)
		oversizeWaitMs = oversizeWaitShare * milliseconds(request.FirstTokenTarget)
		ps.oversize.fill(now, oversizeShare*float64(len(ps.partition.order))/float64(max(p.processes, 1)))
	}
	anyHealthy := false
	consider := func(i int) {
		if replicas[i].Leaving || !request.Allows(&replicas[i]) {
			return
		}
		r := ps.replicaAt(i, &replicas[i])
		healthy := !now.Before(r.avoidUntil)
		anyHealthy = anyHealthy || healthy
		f := p.predict(now, ps, request, r, &replicas[i], affinity, hasPrompt)
		allowed := true
		if excessMs, hard := ps.excessBusyMs(r, f.busyMs); hasPrompt && excessMs > 0 {
			allowed = !hard
			f.penaltyMs += milliseconds(request.FirstTokenTarget)
		}
		// A request that can go on only here waits in vain for a better time, and a stream that
		// its caller has the beginning of is better late than never.
		onTime := allowed && (f.firstTokenMs+confidence*f.interferenceMs <= limitMs || request.Continues) || request.Only != ""
		oversized := allowed && !onTime && ps.oversize.allows(f.idleFirstTokenMs) && f.firstTokenMs+confidence*f.interferenceMs <= f.idleFirstTokenMs+oversizeWaitMs
		if !onTime && !oversized {
			return
		}
		c := candidate{index: i, costMs: f.firstTokenMs + f.interferenceMs + f.penaltyMs, firstMs: f.firstTokenMs, healthy: healthy}
		if oversized {
			c.oversizeMs = f.idleFirstTokenMs
		}
		switch {
		case !p.permits(now, r):
			p.limited = append(p.limited, c)
		case c.costMs < best.costMs:
			best = c
		}
	}
	if hasPrompt {
		ps.considerLikely(request, replicas, affinity, consider)
	}
	if best.index < 0 || hasPrompt && !best.healthy {
		ps.considerAll(replicas, affinity, consider)
	}
	best, passedOver := p.tryLimited(now, ps, request, replicas, best)
	// A replica that has just failed is used only where no replica is healthy. Otherwise
	// the request waits for a healthy one.
	if best.index < 0 || hasPrompt && anyHealthy && !best.healthy && request.Only == "" {
		return 0, false
	}
	ps.oversize.spend(best.oversizeMs)
	var source *replica
	if hasPrompt {
		source = ps.chooseSource(now, request, ps.replica(replicas[best.index].Name), affinity)
	}
	j := ps.assign(now, request, &replicas[best.index], affinity, hasPrompt)
	p.takePermit(now, request, j.replica)
	j.placement = Placement{
		TimeToFirstToken: duration(best.firstMs),
		UnreadTokens:     int(j.unreadTokens),
		BacklogTokens:    int(j.backlogTokens),
		OpenRequests:     j.replica.openRequests(),
		Slowdown:         j.replica.slowdown,
		TakesLongPrompts: j.replica.takesLong,
		PeerLoadAge:      now.Sub(p.peerLoadsAt),
		Replicas:         len(replicas),
		Limited:          passedOver,
		Evacuated:        ps.evacuated,
		OutOfRegion:      ps.outOfRegion(),
	}
	if source != nil {
		j.placement.FetchFrom = source.name
	}
	return best.index, true
}

// pool returns the state of a pool, created if needed.
func (p *Placer) pool(name string) *poolState {
	if ps, found := p.pools[name]; found {
		return ps
	}
	if p.pools == nil {
		p.pools = make(map[string]*poolState)
	}
	ps := &poolState{
		name:        name,
		replicas:    make(map[string]*replica),
		prefill:     newPrefillModel(),
		randomState: p.Seed,
		jobs:        make(map[*chicoryrock.Request]*job),
	}
	p.configure(ps)
	p.pools[name] = ps
	return ps
}

// configure copies the configuration of a pool's engines.
func (p *Placer) configure(ps *poolState) {
	if p.SlotsPerEngine != nil {
		ps.slots = p.SlotsPerEngine(ps.name)
	}
	if p.TokensPerEvent != nil {
		ps.tokensPerEvent = p.TokensPerEvent(ps.name)
	}
	if p.FetchTimePerToken != nil {
		ps.fetchMsPerToken = milliseconds(p.FetchTimePerToken(ps.name))
	}
	if p.CopyTimePerToken != nil {
		ps.copies.TransferTime = p.CopyTimePerToken(ps.name)
		ps.copies.Enabled = ps.copies.TransferTime > 0
	}
}

// replica returns the state of a replica, created if needed.
func (ps *poolState) replica(name string) *replica {
	if r, found := ps.replicas[name]; found {
		return r
	}
	r := &replica{
		name:     name,
		keyHash:  keyHash(name),
		slowdown: initialSlowdown,
		nameHash: ServerKey(name),
		coldKey:  ColdKey(name),
	}
	ps.replicas[name] = r
	return r
}

// replicaAt returns the state of the replica at an index of the caller's list, without
// a look-up by name where the list is the one that was last set.
func (ps *poolState) replicaAt(i int, listed *chicoryrock.Replica) *replica {
	if i < len(ps.byIndex) && ps.byIndex[i].name == listed.Name {
		return ps.byIndex[i]
	}
	return ps.replica(listed.Name)
}

// openRequests estimates how many requests all processes have open on a replica.
func (r *replica) openRequests() int { return r.open + r.peerLoad.Open }

// assign counts a request as sent to a replica.
func (ps *poolState) assign(now time.Time, request *chicoryrock.Request, listed *chicoryrock.Replica, affinity sessionAffinity, hasPrompt bool) *job {
	ps.release(now, request)
	r := ps.replica(listed.Name)
	j := ps.newJob()
	*j = job{request: request, replica: r, sent: now, plain: !hasPrompt, long: isLong(request)}
	if hasPrompt {
		j.unreadTokens, _ = r.cache.unreadTokens(request, affinity.cachedShare(r))
		ps.partition.addLoad(now, j.long, j.unreadTokens*ps.prefill.msPerToken())
		j.backlogTokens = r.backlogTokens(now, ps) + float64(r.peerLoad.UnreadTokens)
		atMost, _ := r.cache.unreadTokens(request, 0)
		j.calibrates = j.backlogTokens == 0 && atMost-j.unreadTokens < maxUncertainTokens
		r.cache.add(request)
	}
	r.open++
	if hasPrompt {
		r.awaitingFirst = append(r.awaitingFirst, j)
	}
	if j.long {
		ps.longJobs++
	}
	r.gapSensitive += j.gapSensitive()
	r.backlogAt = time.Time{}
	ps.jobs[request] = j
	return j
}

// newJob returns an unused job.
func (ps *poolState) newJob() *job {
	last := len(ps.freeJobs) - 1
	if last < 0 {
		return &job{}
	}
	reused := ps.freeJobs[last]
	ps.freeJobs = ps.freeJobs[:last]
	return reused
}

// release removes a request from its replica. The job is reused for a later request.
func (ps *poolState) release(now time.Time, request *chicoryrock.Request) *job {
	j := ps.jobs[request]
	if j == nil {
		return nil
	}
	delete(ps.jobs, request)
	j.replica.open--
	j.replica.removeAwaiting(j)
	if j.long {
		ps.longJobs--
	}
	j.replica.gapSensitive -= j.gapSensitive()
	if j.started {
		ps.serviceTime.add(milliseconds(now.Sub(j.sent)))
	}
	ps.freeJobs = append(ps.freeJobs, j)
	return j
}

// removeAwaiting removes a job from those that wait for their first token.
func (r *replica) removeAwaiting(j *job) {
	r.backlogAt = time.Time{}
	if at := slices.Index(r.awaitingFirst, j); at >= 0 {
		r.awaitingFirst = slices.Delete(r.awaitingFirst, at, at+1)
	}
}

// gapSensitive returns 1 for a stream that long prompts beside it would make late,
// else 0.
func (j *job) gapSensitive() int {
	if j.long || j.plain || j.request.MaxTokenGap <= 0 {
		return 0
	}
	return 1
}

// RecordFirstToken updates the estimates when a request's first token, or its whole
// answer, has come.
func (p *Placer) RecordFirstToken(now time.Time, request *chicoryrock.Request) {
	ps := p.pool(request.Pool)
	j := ps.jobs[request]
	if j == nil || j.started {
		return
	}
	r := j.replica
	r.failures = 0
	r.avoidUntil = time.Time{}
	j.started = true
	r.removeAwaiting(j)
	tookMs := milliseconds(now.Sub(j.sent))
	if !j.plain {
		p.recordPrefill(now, ps, request, r)
	}
	ratio := ps.slowdownSample(j, tookMs)
	if !j.plain && j.calibrates {
		ps.prefill.observe(j.backlogTokens+j.unreadTokens, tookMs/r.slowdown)
	}
	r.slowdown += slowdownSmoothing * (ratio - r.slowdown)
}

// slowdownSample returns the ratio of a time to the one that a replica of the predicted speed
// takes, within bounds.
func (ps *poolState) slowdownSample(j *job, tookMs float64) float64 {
	expectedMs := milliseconds(plainDelayPerRequest) * float64(j.replica.open)
	if !j.plain {
		expectedMs = ps.prefill.baseMs() + (j.backlogTokens+j.unreadTokens)*ps.prefill.msPerToken()
	}
	return min(max(tookMs/max(expectedMs, 1), minSlowdownSample), maxSlowdownSample)
}

// RecordEnd releases a request from its replica. Pause is the longest between two of
// its events, zero when it had too few. Failed is set where the replica caused the
// end.
func (p *Placer) RecordEnd(now time.Time, request *chicoryrock.Request, pause time.Duration, failed bool) {
	ps := p.pool(request.Pool)
	j := ps.release(now, request)
	if j != nil && j.long && pause > 0 {
		ps.recordPause(milliseconds(pause))
	}
	if j != nil && pause > 0 && !j.late {
		ps.recordStream(j, pause > request.MaxTokenGap)
	}
	if j == nil || !failed {
		return
	}
	r := j.replica
	if !j.started {
		r.cache.remove(request)
	}
	r.failures++
	r.avoidUntil = now.Add(min(failureBackoff<<min(r.failures-1, 8), maxFailureBackoff))
}
