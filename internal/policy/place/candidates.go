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
