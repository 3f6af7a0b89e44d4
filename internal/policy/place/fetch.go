package place

import (
	"math"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

const (
	// minFetchSavingMs is the prefill time, in milliseconds, that fetching a whole prompt
	// has to save for a fetch to be worth it: ten times what it takes to start one.
	minFetchSavingMs = 40.0
	// freshCachedShare is the share of a session's parts that a replica has cached right
	// after it has prefilled them.
	freshCachedShare = 0.95
	// cachedShareDecay is the time in which that share falls to a third (1/e): other
	// prompts fill a busy engine's cache in about as long.
	cachedShareDecay = 30 * time.Second
)

// fetchSource is a replica from which another may fetch parts of a prompt.
type fetchSource struct {
	replica     *replica
	cachedShare float64 // expected share of the shared parts in its cache
}

// fetchSources holds the two likeliest sources, the better one first.
type fetchSources [2]fetchSource

// maxHolders is how many replicas are kept that have prefilled a session's parts: as
// many as share a busy session in a burst.
const maxHolders = 4

// maxNewPrefixes bounds the prefixes that wait for the next report to the peers.
const maxNewPrefixes = 255

// prefixHolder is a replica that has prefilled a session's parts, for this process or
// another.
type prefixHolder struct {
	serverHash  uint32 // keyHash of its name
	prefilledAt time.Time
}

// cachedShare estimates the share of the parts that the replica still has cached.
func (h prefixHolder) cachedShare(now time.Time) float64 {
	if h.prefilledAt.IsZero() {
		return 0
	}
	return freshCachedShare * math.Exp(-now.Sub(h.prefilledAt).Seconds()/cachedShareDecay.Seconds())
}

// sessionHash returns the hash that stands for a session in reports between processes.
func sessionHash(partID uint64) uint32 { return uint32(partID) ^ uint32(partID>>32) }

// TakeCachedPrefixes returns which replicas have prefilled which sessions' parts for
// this process since the last call, to be sent to the peers.
func (p *Placer) TakeCachedPrefixes() []chicoryrock.CachedPrefix {
	prefixes := p.newPrefixes
	p.newPrefixes = nil
	return prefixes
}

// AddCachedPrefixes adds what a peer's TakeCachedPrefixes returned.
func (p *Placer) AddCachedPrefixes(now time.Time, prefixes []chicoryrock.CachedPrefix) {
	for _, prefix := range prefixes {
		for _, ps := range p.pools {
			if ps.byKeyHash[prefix.ServerHash] != nil {
				ps.addHolder(now, prefix)
			}
		}
	}
}

// recordPrefill records that a replica has prefilled a request's parts.
func (p *Placer) recordPrefill(now time.Time, ps *poolState, request *chicoryrock.Request, r *replica) {
	id, found := sessionPartID(request)
	if !found || ps.fetchMsPerToken <= 0 {
		return
	}
	prefix := chicoryrock.CachedPrefix{SessionHash: sessionHash(id), ServerHash: r.keyHash}
	ps.addHolder(now, prefix)
	if len(p.newPrefixes) < maxNewPrefixes {
		p.newPrefixes = append(p.newPrefixes, prefix)
	}
}

// addHolder puts a replica first among those that have prefilled a session's parts.
func (ps *poolState) addHolder(now time.Time, prefix chicoryrock.CachedPrefix) {
	if ps.prefixHolders == nil || len(ps.prefixHolders) > maxCachedParts {
		ps.prefixHolders = make(map[uint32][maxHolders]prefixHolder)
	}
	holders := ps.prefixHolders[prefix.SessionHash]
	at := maxHolders - 1
	for i := range holders {
		if holders[i].serverHash == prefix.ServerHash {
			at = i
			break
		}
	}
	copy(holders[1:at+1], holders[:at])
	holders[0] = prefixHolder{prefix.ServerHash, now}
	ps.prefixHolders[prefix.SessionHash] = holders
}

// sameWeights reports whether two servers have the same weights of a model.
func sameWeights(a, b, model string) bool {
	return a == b || model != "" && chicoryrock.WeightsOf(a, model) != "" && chicoryrock.WeightsOf(a, model) == chicoryrock.WeightsOf(b, model)
}

// likelySources returns the replicas with some weights that probably have a request's shared
// parts cached. What other weights have computed doesn't fit.
func (ps *poolState) likelySources(now time.Time, request *chicoryrock.Request, weights string, affinity *sessionAffinity) (best fetchSources) {
	if ps.fetchMsPerToken <= 0 {
		return best
	}
	consider := func(r *replica, cachedShare float64) {
		switch {
		case r == nil || !sameWeights(r.weights, weights, request.Model) || r.leaving || !request.AllowsRegion(r.region) || now.Before(r.avoidUntil) || r == best[0].replica:
		case cachedShare > best[0].cachedShare:
			best[0], best[1] = fetchSource{r, cachedShare}, best[0]
		case cachedShare > best[1].cachedShare:
			best[1] = fetchSource{r, cachedShare}
		}
	}
	for _, holder := range affinity.holders {
		consider(ps.byKeyHash[holder.serverHash], holder.cachedShare(now))
	}
	consider(ps.replicas[affinity.first], firstHomeCachedShare)
	consider(ps.replicas[affinity.second], secondHomeCachedShare)
	return best
}

// chooseSource returns the likeliest replica with r's weights from which it may fetch the parts
// of a prompt that it lacks, or nil where that saves little. It does so even where r is
// expected to have all parts: they may have been evicted by now. Predicted times don't
// count on the fetch: if requests were placed as if every replica had all parts,
// sessions would spread over all replicas, and none would keep their parts for long.
func (ps *poolState) chooseSource(now time.Time, request *chicoryrock.Request, r *replica, affinity sessionAffinity) *replica {
	if savedMs := float64(request.PromptTokens) * (ps.prefill.msPerToken() - ps.fetchMsPerToken); savedMs < minFetchSavingMs {
		return nil
	}
	for _, source := range ps.likelySources(now, request, r.weights, &affinity) {
		if source.replica != nil && source.replica != r {
			return source.replica
		}
	}
	return nil
}
