package place

import (
	"math"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

const (
	// prefillChunkTokens is how many prompt tokens an engine prefills between two tokens
	// of its streams: the usual setting of engines with chunked prefill.
	prefillChunkTokens = 1024
	// longPromptTokens is the length from which a prompt takes several chunks, tokens.
	longPromptTokens = 2200
	// prefillPauseShare is the share of a pause beside long prompts that their prefill
	// takes. The rest goes to the decode steps of the batch and to attention over long
	// contexts.
	prefillPauseShare = 0.8
	// pauseQuantile is the quantile of the longest pauses of streams with long prompts
	// that is compared with the longest pause that streams of short prompts allow.
	pauseQuantile = 0.6
	// minPauseStep is how far one observation moves the estimate of that quantile at
	// least, as a share of it. The first ones move it further.
	minPauseStep = 0.02
	// priorPauses is how many observations the initial estimate counts for.
	priorPauses = 2
	// halfConfidencePauses is the number of observed pauses with which pauseConfidence
	// is a half.
	halfConfidencePauses = 40
	// unpartitionShare is the usual longest pause, as a share of the allowed one, below
	// which the partition is given up.
	unpartitionShare = 0.93
	// targetLongLoad is the share of time that the replicas for long prompts should
	// spend on their prefill: with more, prompts wait for each other.
	targetLongLoad = 0.30
	// targetShortLoad is the share of time that the replicas for short prompts should
	// spend on their prefill.
	targetShortLoad = 0.18
	// maxLongLoad is the load at which the replicas for long prompts still work, though
	// with waits.
	maxLongLoad = 0.85
	// maxShortLoad is the same for short prompts.
	maxShortLoad = 0.5
	// maxSlotLoad is the same for the share of used slots on either part.
	maxSlotLoad = 0.95
	// shortPromptWeight multiplies the replicas that the part for short prompts needs.
	shortPromptWeight = 1.3
	// targetSlotLoad is the share of their slots that the replicas of either part should
	// use.
	targetSlotLoad = 0.85
	// shrinkInterval is the least time from a change of the number of replicas for long
	// prompts to a decrease, so that the prefixes cached on them are used.
	shrinkInterval = 700 * time.Millisecond
	// growInterval is the least time from such a change to an increase. It is shorter as
	// prompts wait then.
	growInterval = 500 * time.Millisecond
	// spareLongReplicas is how many replicas for long prompts are kept beyond the wanted
	// number before it is decreased.
	spareLongReplicas = 1
	// interferenceShare is the cost of a long prompt on a replica for each stream there
	// that it would make late, as a share of its target.
	interferenceShare = 0.05
	// roleChangeTime is the time in which the cost of a long prompt on a replica that has
	// joined the part for long prompts falls from wrongPartShare to zero, so that its
	// streams can end.
	roleChangeTime = 2 * time.Second
	// demandWindow is the time constant of the moving averages of load and demand.
	demandWindow = 3 * time.Second
	// wrongPartShare is the cost of a replica of the other part, as a share of the
	// request's target.
	wrongPartShare = 0.6
	// maxGrowthShare is the largest share of a pool by which the part for long prompts
	// grows at once.
	maxGrowthShare = 0.16
	// maxShrinkShare is the largest share of a pool by which it shrinks at once: half as
	// fast, as the long prompts cached on the replicas are lost.
	maxShrinkShare = 0.08
)

// partition divides a pool into a part for long prompts, a number of replicas from the
// start of the order, and a part for the streams of short prompts. It is in force only
// while active.
type partition struct {
	order        []*replica // those that are not leaving, by nameHash
	longReplicas int        // size of the part for long prompts
	resizedFor   int        // size of order at the last resize
	orderChanged bool       // since the last assignParts
	resizedAt    time.Time
	maxTokenGap  time.Duration // longest pause that streams of short prompts allow; zero for none seen
	longTier     int           // of the last long prompt
	shortTier    int           // of the last stream of a short prompt

	longLoad      float64      // prefill of long prompts by this process, seconds per second
	shortLoad     float64      // the same for short prompts
	pauseMs       float64      // pauseQuantile of the longest pauses of streams with long prompts
	pauseCount    int          // streams observed for pauseMs
	peerPauseMs   peerEstimate // pauseMs of the other processes
	active        bool
	unpartitioned unpartitionedStats // of the streams of short prompts while not active
	decayedAt     time.Time
	peerLongLoad  float64 // longLoad of the other processes
	peerShortLoad float64 // shortLoad of the other processes
	peerLongJobs  int     // open requests of the other processes with long prompts
	peerShortJobs int     // their other open requests
}

// isLong reports whether the prefill of a prompt takes several chunks.
func isLong(request *chicoryrock.Request) bool { return request.PromptTokens >= longPromptTokens }

// Each key, behind the pool's name, stands for a part's load in load reports.
const (
	longLoadKey  = "/long"
	shortLoadKey = "/short"
)

// loads returns this process's load on each part, for the peers. UnreadTokens holds the
// prefill time, in thousandths of a second per second.
func (pt *partition) loads(now time.Time, ps *poolState) []chicoryrock.OpenLoad {
	pt.decay(now)
	return []chicoryrock.OpenLoad{
		{KeyHash: keyHash(ps.name + longLoadKey), Open: ps.longJobs, UnreadTokens: int(1000 * pt.longLoad)},
		{KeyHash: keyHash(ps.name + shortLoadKey), Open: len(ps.jobs) - ps.longJobs, UnreadTokens: int(1000 * pt.shortLoad)},
	}
}

// setPeerLoads sets the sum of the peers' loads.
func (pt *partition) setPeerLoads(ps *poolState, peerLoads map[uint32]chicoryrock.OpenLoad) {
	load := peerLoads[keyHash(ps.name+longLoadKey)]
	pt.peerLongLoad = float64(load.UnreadTokens) / 1000
	pt.peerLongJobs = load.Open
	load = peerLoads[keyHash(ps.name+shortLoadKey)]
	pt.peerShortLoad = float64(load.UnreadTokens) / 1000
	pt.peerShortJobs = load.Open
}

// decay lets the loads decay up to the present time.
func (pt *partition) decay(now time.Time) {
	if !pt.decayedAt.IsZero() && now.After(pt.decayedAt) {
		kept := math.Exp(-now.Sub(pt.decayedAt).Seconds() / demandWindow.Seconds())
		pt.longLoad *= kept
		pt.shortLoad *= kept
	}
	pt.decayedAt = now
}

// assignParts updates the partition and the part of each replica. All processes sort
// the replicas alike and share their load reports, so that they roughly agree.
func (ps *poolState) assignParts(now time.Time, request *chicoryrock.Request) {
	pt := &ps.partition
	pt.decay(now)
	if isLong(request) {
		pt.longTier = request.Tier
	} else if request.MaxTokenGap > 0 {
		pt.maxTokenGap, pt.shortTier = request.MaxTokenGap, request.Tier
	}
	ps.updatePartitioned(now)
	if !pt.resize(now, pt.wantedLongReplicas(ps)) && !pt.orderChanged {
		return
	}
	pt.orderChanged = false
	for i, r := range pt.order {
		if takesLong := i < pt.longReplicas; takesLong != r.takesLong {
			r.takesLong = takesLong
			r.roleSince = now
		}
	}
}

// needs holds how many replicas each part needs: at least, and to stay at its target
// load.
type needs struct {
	minLong, targetLong   float64
	minShort, targetShort float64
}

// needs returns the needs by the load of all processes.
func (pt *partition) needs(ps *poolState) needs {
	slots := float64(max(ps.slots, 1))
	longLoad, shortLoad := pt.longLoad+pt.peerLongLoad, pt.shortLoad+pt.peerShortLoad
	longJobs, shortJobs := float64(ps.longJobs+pt.peerLongJobs), float64(len(ps.jobs)-ps.longJobs+pt.peerShortJobs)
	var n needs
	n.minLong = max(longLoad/maxLongLoad, longJobs/(maxSlotLoad*slots))
	n.targetLong = max(n.minLong, longLoad/targetLongLoad, longJobs/(targetSlotLoad*slots))
	n.minShort = shortPromptWeight * max(shortLoad/maxShortLoad, shortJobs/(maxSlotLoad*slots))
	n.targetShort = max(n.minShort, shortPromptWeight*max(shortLoad/targetShortLoad, shortJobs/(targetSlotLoad*slots)))
	return n
}

// spare returns how many of a number of replicas are left when each part has its
// minimum.
func (n *needs) spare(replicas int) float64 { return float64(replicas) - n.minLong - n.minShort }

// wantedLongReplicas returns how many replicas the load requires for long prompts. Both
// parts get their minimum, and share the rest in proportion to what each lacks to its
// target. Too few replicas for both minimums are shared in proportion to these, which
// favours the streams by shortPromptWeight.
func (pt *partition) wantedLongReplicas(ps *poolState) int {
	n := pt.needs(ps)
	all := float64(len(pt.order))
	long := n.targetLong
	switch spare := n.spare(len(pt.order)); {
	case spare <= 0:
		long = all * n.minLong / (n.minLong + n.minShort)
	case n.targetLong+n.targetShort > all:
		extraLong, extraShort := n.targetLong-n.minLong, n.targetShort-n.minShort
		long = n.minLong + spare*extraLong/(extraLong+extraShort)
	}
	return max(1, min(int(math.Ceil(long)), len(pt.order)-1))
}

// addLoad adds the prefill time of a placed prompt, milliseconds.
func (pt *partition) addLoad(now time.Time, long bool, prefillMs float64) {
	pt.decay(now)
	rate := prefillMs / 1000 / demandWindow.Seconds()
	if long {
		pt.longLoad += rate
	} else {
		pt.shortLoad += rate
	}
}

// resize moves the number of replicas for long prompts towards the wanted one, a few at
// a time, and reports whether it has changed it. When replicas have left, that part gives
// up to its share of them at once: else the part for short prompts, which may have none left,
// would get them back one by one.
func (pt *partition) resize(now time.Time, wanted int) bool {
	before := pt.resizedFor
	pt.resizedFor = len(pt.order)
	switch {
	case pt.longReplicas == 0 || pt.longReplicas > len(pt.order):
		pt.longReplicas = max(wanted, len(pt.order)/3)
	case len(pt.order) < before && wanted < pt.longReplicas:
		share := max(wanted, (pt.longReplicas*len(pt.order)+before/2)/before)
		if share == pt.longReplicas {
			return false
		}
		pt.longReplicas = share
	case wanted > pt.longReplicas && now.Sub(pt.resizedAt) >= growInterval:
		pt.longReplicas = min(wanted, pt.longReplicas+max(1, int(maxGrowthShare*float64(len(pt.order)))))
	case wanted < pt.longReplicas-spareLongReplicas && now.Sub(pt.resizedAt) >= shrinkInterval:
		pt.longReplicas = max(wanted+spareLongReplicas, pt.longReplicas-max(1, int(maxShrinkShare*float64(len(pt.order)))))
	default:
		return false
	}
	pt.resizedAt = now
	return true
}

// sessionAffinity holds the replicas that probably have the prompts of a request's
// session cached. Its two home replicas come from rendezvous hashing: those of its part
// whose hash with the session is highest. All processes send the session there while
// they can, so that both have it cached.
type sessionAffinity struct {
	first, second string                   // home replicas
	holders       [maxHolders]prefixHolder // have prefilled its parts lately, the last first
	now           time.Time
}

// affinity returns the affinity of a request's session, empty for a request without one.
func (ps *poolState) affinity(now time.Time, request *chicoryrock.Request) sessionAffinity {
	id, found := sessionPartID(request)
	if !found {
		return sessionAffinity{}
	}
	a := sessionAffinity{now: now, holders: ps.prefixHolders[sessionHash(id)]}
	candidates := ps.replicasFor(request)
	if len(candidates) > homeCandidates {
		// A window at a position given by the session takes as little time in a large
		// pool as in a small one.
		from := int(hashPair(id, 0) % uint64(len(candidates)-homeCandidates+1))
		candidates = candidates[from : from+homeCandidates]
	}
	var highest, next uint64
	for _, r := range candidates {
		switch score := hashPair(id, r.nameHash); {
		case score >= highest:
			a.second, next = a.first, highest
			a.first, highest = r.name, score
		case score >= next:
			a.second, next = r.name, score
		}
	}
	return a
}

// replicasFor returns the replicas of the part for a request's prompt, or all of them
// while the pool is not partitioned. For a request that is bound to regions, it returns those
// that may serve it, from the other part if its own has none of them.
func (ps *poolState) replicasFor(request *chicoryrock.Request) []*replica {
	all, longReplicas := ps.partition.order, ps.partition.longReplicas
	if ps.bound {
		all, longReplicas = ps.allowed, ps.allowedShort
	}
	if !ps.partitioned() || ps.bound && (longReplicas == 0 || longReplicas == len(all)) {
		return all
	}
	longReplicas = min(longReplicas, len(all))
	if isLong(request) {
		return all[:longReplicas]
	}
	return all[longReplicas:]
}

// homeCandidates is how many replicas are hashed to find a session's home replicas.
const homeCandidates = 64

// cachedShare returns the share of the session's parts that a replica is expected to
// have cached although this process has sent none there.
func (a *sessionAffinity) cachedShare(r *replica) float64 {
	share := 0.0
	switch r.name {
	case a.first:
		share = firstHomeCachedShare
	case a.second:
		share = secondHomeCachedShare
	}
	for _, holder := range a.holders {
		if holder.serverHash == r.keyHash {
			return max(share, holder.cachedShare(a.now))
		}
	}
	return share
}

// interferenceMs returns the cost, in milliseconds, of a replica of the other part and
// of making the streams of a replica late.
func (ps *poolState) interferenceMs(now time.Time, request *chicoryrock.Request, r *replica) float64 {
	if !ps.partitioned() {
		return 0
	}
	targetMs := milliseconds(request.FirstTokenTarget)
	longPrompt := isLong(request)
	costMs := 0.0
	if longPrompt {
		costMs = interferenceShare * float64(r.gapSensitive+r.peerLoad.GapSensitive) * targetMs
	}
	switch {
	case longPrompt != r.takesLong:
		costMs += wrongPartShare * targetMs
	case longPrompt && now.Sub(r.roleSince) < roleChangeTime:
		costMs += wrongPartShare * targetMs * (1 - float64(now.Sub(r.roleSince))/float64(roleChangeTime))
	}
	return costMs
}

// recordPause adds the longest pause of a stream with a long prompt, milliseconds, to
// the estimate of the quantile. Such streams run where other long prompts are prefilled.
func (ps *poolState) recordPause(ms float64) {
	pt := &ps.partition
	estimateMs := ps.localPauseMs()
	pt.pauseCount++
	stepMs := max(minPauseStep, 1/float64(priorPauses+pt.pauseCount)) * estimateMs
	if ms > estimateMs {
		pt.pauseMs = estimateMs + stepMs*pauseQuantile
	} else {
		pt.pauseMs = estimateMs - stepMs*(1-pauseQuantile)
	}
}

// localPauseMs returns the longest pause that most streams beside long prompts stay
// below, milliseconds: as this process observed it, or before that computed from the
// prefill time of a chunk for each token of an event.
func (ps *poolState) localPauseMs() float64 {
	if ps.partition.pauseCount == 0 {
		return float64(ps.tokensPerEvent) * prefillChunkTokens * ps.prefill.msPerToken() / prefillPauseShare
	}
	return ps.partition.pauseMs
}

// longestPauseMs returns localPauseMs blended with the estimates of the peers.
func (ps *poolState) longestPauseMs() float64 {
	return ps.partition.peerPauseMs.blend(ps.localPauseMs(), float64(min(ps.partition.pauseCount, maxEstimateWeight)))
}

// pauseConfidence returns how much of the interference counts in the decision to place
// a request at all, from 0 to 1. An estimate from few pauses steers long prompts away
// from streams, but is no reason to refuse a request.
func (ps *poolState) pauseConfidence() float64 {
	pauses := float64(ps.partition.pauseCount) + ps.partition.peerPauseMs.weight
	return pauses / (pauses + halfConfidencePauses)
}

// partitioned reports whether the pool is partitioned, as long prompts make the pauses
// of its streams too long.
func (ps *poolState) partitioned() bool { return ps.partition.active }

// updatePartitioned decides whether the pool is partitioned.
func (ps *poolState) updatePartitioned(now time.Time) {
	pt := &ps.partition
	if pt.maxTokenGap == 0 {
		return // no stream that long prompts could make late was seen
	}
	allowedMs := milliseconds(pt.maxTokenGap)
	pauseMs := ps.longestPauseMs()
	// With too few replicas for both parts, prompts would wait in one that would be on
	// time in the other. That is right only where the streams are more urgent than the
	// long prompts that wait for them.
	n := pt.needs(ps)
	tooFewReplicas := n.spare(len(pt.order)) <= 0 && pt.shortTier >= pt.longTier
	switch {
	case pt.active:
		if pauseMs <= unpartitionShare*allowedMs && (tooFewReplicas || !now.Before(pt.unpartitioned.retryAt)) {
			pt.active = false
			pt.unpartitioned.reset()
		}
	case pauseMs > allowedMs:
		pt.active = true
	case !tooFewReplicas && pt.unpartitioned.tooManyLate():
		pt.active = true
		pt.unpartitioned.backOff(now)
	}
}
