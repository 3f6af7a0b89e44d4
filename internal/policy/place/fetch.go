package place

import (
	"math"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

const (
	// fetchWorth is the time for reading that a fetch has to save at the most,
	// milliseconds: ten times what it takes to begin one.
	fetchWorth = 40.0
	// holderTrust is the share of a session's parts that the replica which last read
	// them has in memory, right after.
	holderTrust = 0.95
	// holderMemory is the time in which that falls to a third: a busy engine's memory
	// is used up by other prompts in about as long.
	holderMemory = 30 * time.Second
)

// source is a replica from which another may fetch parts of a prompt.
type source struct {
	on    *replica
	trust float64 // share of the shared parts that it has in memory, about
}

// sources are the two likeliest ones, the surer first.
type sources [2]source

// holderCount is how many replicas are remembered that have read a session's parts:
// as many as share a busy session in a burst.
const holderCount = 4

// maxReads bounds what is remembered to be told to the other processes.
const maxReads = 255

// holder is a replica that has read a session's parts, for this process or another.
type holder struct {
	server uint32 // hash of its name
	at     time.Time
}

// trust is the share of the parts that it has in memory still.
func (h holder) trust(now time.Time) float64 {
	if h.at.IsZero() {
		return 0
	}
	return holderTrust * math.Exp(-now.Sub(h.at).Seconds()/holderMemory.Seconds())
}

// short is a session's part as processes tell of it.
func short(session uint64) uint32 { return uint32(session) ^ uint32(session>>32) }

// TakeCachedPrefixes returns which sessions' parts were read where since it was last asked, as
// far as this process saw it.
func (p *Placer) TakeCachedPrefixes() []chicoryrock.CachedPrefix {
	reads := p.reads
	p.reads = nil
	return reads
}

// AddCachedPrefixes takes in what other processes saw of that.
func (p *Placer) AddCachedPrefixes(now time.Time, reads []chicoryrock.CachedPrefix) {
	for _, read := range reads {
		for _, t := range p.pools {
			if t.byHash[read.ServerHash] != nil {
				t.remember(now, read)
			}
		}
	}
}

// readBy notes that a replica has read a request's parts.
func (p *Placer) readBy(now time.Time, t *pool, request *chicoryrock.Request, on *replica) {
	id, found := session(request)
	if !found || t.fetch <= 0 {
		return
	}
	read := chicoryrock.CachedPrefix{SessionHash: short(id), ServerHash: on.hash}
	t.remember(now, read)
	if len(p.reads) < maxReads {
		p.reads = append(p.reads, read)
	}
}

// remember puts a replica first among those that have read a session's parts.
func (t *pool) remember(now time.Time, read chicoryrock.CachedPrefix) {
	if t.holders == nil || len(t.holders) > cacheParts {
		t.holders = make(map[uint32][holderCount]holder)
	}
	known := t.holders[read.SessionHash]
	at := holderCount - 1
	for i := range known {
		if known[i].server == read.ServerHash {
			at = i
			break
		}
	}
	copy(known[1:at+1], known[:at])
	known[0] = holder{read.ServerHash, now}
	t.holders[read.SessionHash] = known
}

// sources returns where a request's shared parts probably are.
func (t *pool) sources(now time.Time, home *homes) (best sources) {
	if t.fetch <= 0 {
		return best
	}
	consider := func(r *replica, trust float64) {
		switch {
		case r == nil || r.leaving || now.Before(r.until) || r == best[0].on:
		case trust > best[0].trust:
			best[0], best[1] = source{r, trust}, best[0]
		case trust > best[1].trust:
			best[1] = source{r, trust}
		}
	}
	for _, known := range home.holders {
		consider(t.byHash[known.server], known.trust(now))
	}
	consider(t.replicas[home.first], firstTrust)
	consider(t.replicas[home.second], secondTrust)
	return best
}

// source returns the likeliest replica from which another one may fetch what it
// lacks of a prompt, or nil where that saves little. It is named also where the
// other is believed to have all parts: they may have made room by now. Nothing is
// taken off the predicted times for it: placed as if every replica had all parts,
// sessions spread over all of them, and then none keeps their parts for long.
func (t *pool) source(now time.Time, request *chicoryrock.Request, r *replica, home homes) *replica {
	if saved := float64(request.PromptTokens) * (t.pace.perToken() - t.fetch); saved < fetchWorth {
		return nil
	}
	for _, one := range t.sources(now, &home) {
		if one.on != nil && one.on != r {
			return one.on
		}
	}
	return nil
}
