package place

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

const (
	// reservedLoad is the share of time that the replicas reserved for a group should
	// spend on prefilling its prompts: with more, these would wait for each other.
	reservedLoad = 0.4
	// maxReservedShare is the largest share of a pool that is reserved for groups with
	// shorter targets. The rest takes any request that can be on time there.
	maxReservedShare = 0.6
	// maxForeignShare is how much of a group's target other prompts may use up on a
	// replica that is reserved for it. The rest is left to the group's own prompts.
	maxForeignShare = 0.5
	// nearerTargetRatio is the largest ratio of a group's target to a request's target
	// with which replicas are reserved for the group against the request.
	nearerTargetRatio = 0.7
	// minDemand is the demand below which a group is dropped, tokens per second.
	minDemand = 1
	// demandKey, between a pool's name and a group's target and tier, makes the key that
	// stands for the group's demand in load reports.
	demandKey = "/ask/"
)

// Prompts with a long target may fill an engine's backlog up to that target and still
// be on time. If they do so on every engine, no prompt with a short target can begin in
// time anywhere, however urgent it is. Therefore replicas are reserved for the groups
// with shorter targets, as many as their demand requires. Other requests may use them
// only as far as the group's own prompts stay on time there. For requests of a more
// urgent tier than the group's this is a preference: they may use a reserved replica
// where they can't be on time elsewhere. Nothing is reserved for a group without demand.

// targetGroup is the requests of a pool with the same target and tier.
type targetGroup struct {
	targetMs   float64 // time to first token
	tier       int     // 1 is the highest
	keyHash    uint32  // stands for the group's demand in load reports
	demand     float64 // prompt tokens to prefill per second, of this process
	peerDemand float64 // the same of the other processes

	overload overload
}

// reservations holds the groups of a pool, sorted by target and tier.
type reservations struct {
	groups    []targetGroup
	decayedAt time.Time
	limits    []busyLimit // for the request that is being placed
}

// busyLimit bounds the time for which replicas reserved for a group may be busy before
// they can prefill a prompt of it.
type busyLimit struct {
	upTo      int     // it applies to the replicas with a lower fromEnd
	maxBusyMs float64 // milliseconds
	hard      bool    // it applies even where the request can't be on time elsewhere
}

// uncacheableTokens returns how many tokens of a prompt belong to no shared part, so
// that no engine can have them cached.
func uncacheableTokens(request *chicoryrock.Request) float64 {
	if len(request.Parts) == 0 {
		return float64(request.PromptTokens)
	}
	sharedTokens := 0
	for _, part := range request.Parts[:len(request.Parts)-1] {
		sharedTokens += part.Tokens
	}
	return float64(max(request.PromptTokens-sharedTokens, 0))
}

// RecordArrival adds a request to the demand, whether or not it can be placed.
func (p *Placer) RecordArrival(now time.Time, request *chicoryrock.Request) {
	if request.PromptTokens == 0 || request.FirstTokenTarget <= 0 {
		return
	}
	ps := p.pool(request.Pool)
	ps.reservations.decay(now)
	g := ps.reservations.ensureGroup(ps.name, milliseconds(request.FirstTokenTarget), request.Tier)
	g.demand += uncacheableTokens(request) / demandWindow.Seconds()
}

// ensureGroup returns the group with a target and a tier, created if needed.
func (rs *reservations) ensureGroup(pool string, targetMs float64, tier int) *targetGroup {
	index, found := slices.BinarySearchFunc(rs.groups, targetGroup{targetMs: targetMs, tier: tier}, func(a, b targetGroup) int {
		return cmp.Or(cmp.Compare(a.targetMs, b.targetMs), cmp.Compare(a.tier, b.tier))
	})
	if !found {
		name := pool + demandKey + strconv.FormatFloat(targetMs, 'f', -1, 64) + "/" + strconv.Itoa(tier)
		rs.groups = slices.Insert(rs.groups, index, targetGroup{targetMs: targetMs, tier: tier, keyHash: keyHash(name)})
	}
	return &rs.groups[index]
}

// decay lets the demand decay up to the present time, and drops groups without any.
func (rs *reservations) decay(now time.Time) {
	if !rs.decayedAt.IsZero() && now.After(rs.decayedAt) {
		kept := math.Exp(-now.Sub(rs.decayedAt).Seconds() / demandWindow.Seconds())
		for i := range rs.groups {
			rs.groups[i].demand *= kept
		}
		rs.groups = slices.DeleteFunc(rs.groups, func(g targetGroup) bool { return g.demand+g.peerDemand < minDemand })
	}
	rs.decayedAt = now
}

// loads returns this process's demand by group, for the peers. It leaves out groups for
// which nothing can be reserved: no other target is long enough.
func (rs *reservations) loads(now time.Time) []chicoryrock.OpenLoad {
	rs.decay(now)
	if len(rs.groups) == 0 {
		return nil
	}
	var loads []chicoryrock.OpenLoad
	furthest := rs.groups[len(rs.groups)-1].targetMs
	for i := range rs.groups {
		if demand := int(rs.groups[i].demand); demand > 0 && rs.groups[i].targetMs <= nearerTargetRatio*furthest {
			loads = append(loads, chicoryrock.OpenLoad{KeyHash: rs.groups[i].keyHash, UnreadTokens: demand})
		}
	}
	return loads
}

// setPeerDemand sets the sum of the peers' loads.
func (rs *reservations) setPeerDemand(peerLoads map[uint32]chicoryrock.OpenLoad) {
	for i := range rs.groups {
		rs.groups[i].peerDemand = float64(peerLoads[rs.groups[i].keyHash].UnreadTokens)
	}
}

// computeLimits sets the limits for a request. Replicas are reserved from the end of
// the order, where no long prompts run while the pool is partitioned: first for the
// groups that are at least as urgent as the request, then for the others.
func (ps *poolState) computeLimits(now time.Time, request *chicoryrock.Request) {
	rs := &ps.reservations
	rs.decay(now)
	rs.limits = rs.limits[:0]
	reserved := ps.appendLimits(0, request, true)
	ps.appendLimits(reserved, request, false)
}

// appendLimits adds the limits of the groups that are at least as urgent as a request,
// which are hard, or of the less urgent ones. Reserved is the number of replicas that
// earlier groups need; the result includes those of the added groups.
func (ps *poolState) appendLimits(reserved float64, request *chicoryrock.Request, hard bool) float64 {
	rs := &ps.reservations
	for i := range rs.groups {
		g := &rs.groups[i]
		if g.targetMs > nearerTargetRatio*milliseconds(request.FirstTokenTarget) {
			break
		}
		if hard != (g.tier <= request.Tier) {
			continue
		}
		reserved += (g.demand + g.peerDemand) * ps.prefill.msPerToken() / 1000 / reservedLoad
		upTo := min(reserved, maxReservedShare*float64(len(ps.partition.order)))
		rs.limits = append(rs.limits, busyLimit{int(math.Round(upTo)), maxForeignShare * g.targetMs, hard})
	}
	return reserved
}

// excessBusyMs returns by how much a replica would be busy for longer than its limit
// allows, milliseconds, and whether that limit is hard.
func (ps *poolState) excessBusyMs(r *replica, busyMs float64) (ms float64, hard bool) {
	for _, limit := range ps.reservations.limits {
		if r.fromEnd < limit.upTo {
			return max(0, busyMs-limit.maxBusyMs), limit.hard
		}
	}
	return 0, false
}
