package place

import "github.com/chicoryrock/chicoryrock"

// considerLikely considers the replicas that probably have a request's session cached,
// and a random sample of those that take its kind of prompt.
func (ps *poolState) considerLikely(request *chicoryrock.Request, replicas []chicoryrock.Replica, affinity sessionAffinity, consider func(i int)) {
	considerReplica(ps.replicas[affinity.first], replicas, consider)
	considerReplica(ps.replicas[affinity.second], replicas, consider)
	for _, holder := range affinity.holders {
		considerReplica(ps.byKeyHash[holder.serverHash], replicas, consider)
	}
	candidates := ps.replicasFor(request)
	if len(candidates) == 0 {
		return
	}
	for range randomCandidates {
		considerReplica(candidates[ps.randomBelow(len(candidates))], replicas, consider)
	}
}

// setAllowed finds the replicas that a request may be sent to which is bound to regions, so
// that they are sampled as those of the pool are for other requests. A list without some of
// the pool's replicas is short, and its replicas are considered as they come.
func (ps *poolState) setAllowed(request *chicoryrock.Request, replicas []chicoryrock.Replica) {
	ps.bound = request.Regions != nil && len(replicas) == len(ps.byIndex)
	if !ps.bound {
		return
	}
	ps.allowed = ps.allowed[:0]
	ps.allowedShort = 0
	for i, r := range ps.partition.order {
		if !request.AllowsRegion(r.region) {
			continue
		}
		ps.allowed = append(ps.allowed, r)
		if i < ps.partition.longReplicas {
			ps.allowedShort = len(ps.allowed)
		}
	}
}

// outOfRegion returns how many replicas the request that is being placed may not use by their
// regions.
func (ps *poolState) outOfRegion() int {
	if !ps.bound {
		return 0
	}
	return len(ps.partition.order) - len(ps.allowed)
}

// considerReplica considers a replica if it is still at its index of the list.
func considerReplica(r *replica, replicas []chicoryrock.Replica, consider func(i int)) {
	if r != nil && r.index < len(replicas) && replicas[r.index].Name == r.name {
		consider(r.index)
	}
}

const (
	// lcgFactor is Knuth's multiplier for a linear congruential generator of 64 bits. Its
	// upper bits are uniform enough for sampling, and it needs no allocation.
	lcgFactor = 6364136223846793005
	// lcgIncrement is the increment that goes with lcgFactor.
	lcgIncrement = 1442695040888963407
)

// randomBelow returns a pseudo-random number below n. The sequence differs between
// processes.
func (ps *poolState) randomBelow(n int) int {
	ps.randomState = ps.randomState*lcgFactor + lcgIncrement
	return int(ps.randomState >> 33 % uint64(n))
}

// considerAll considers all replicas of a small pool. In a large one it considers the
// session's home replicas and a random sample: the best of a few dozen is hardly worse
// than the best of all, the time doesn't grow with the pool, and other processes sample
// other replicas.
func (ps *poolState) considerAll(replicas []chicoryrock.Replica, affinity sessionAffinity, consider func(i int)) {
	if ps.bound {
		ps.considerAllowed(replicas, affinity, consider)
		return
	}
	if len(replicas) <= maxCandidates {
		for i := range replicas {
			consider(i)
		}
		return
	}
	considerReplica(ps.replicas[affinity.first], replicas, consider)
	considerReplica(ps.replicas[affinity.second], replicas, consider)
	for range maxCandidates {
		consider(ps.randomBelow(len(replicas)))
	}
}

// considerAllowed is considerAll for a request that is bound to regions.
func (ps *poolState) considerAllowed(replicas []chicoryrock.Replica, affinity sessionAffinity, consider func(i int)) {
	if len(ps.allowed) <= maxCandidates {
		for _, r := range ps.allowed {
			considerReplica(r, replicas, consider)
		}
		return
	}
	considerReplica(ps.replicas[affinity.first], replicas, consider)
	considerReplica(ps.replicas[affinity.second], replicas, consider)
	for range maxCandidates {
		considerReplica(ps.allowed[ps.randomBelow(len(ps.allowed))], replicas, consider)
	}
}
