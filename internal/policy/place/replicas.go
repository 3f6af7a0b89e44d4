package place

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/chicoryrock/chicoryrock"
)

// keyHash returns the hash that stands for a name in reports between processes.
func keyHash(name string) uint32 { return uint32(xxhash.Sum64String(name) >> 32) }

// SetReplicas sets the replicas of a pool. The state of those that are no longer listed
// is dropped, once they have no open request.
func (p *Placer) SetReplicas(name string, replicas []chicoryrock.Replica) {
	ps := p.pool(name)
	// The configuration may have arrived or changed since the pool's state was created.
	p.configure(ps)
	ps.setReplicas(replicas)
}

func (ps *poolState) setReplicas(replicas []chicoryrock.Replica) {
	ps.hasReplicas = len(replicas) > 0
	ps.evacuated = 0
	present := make(map[string]bool, len(replicas))
	ps.partition.order = ps.partition.order[:0]
	ps.byIndex = ps.byIndex[:0]
	ps.byKeyHash = make(map[uint32]*replica, len(replicas))
	for i := range replicas {
		r := ps.replica(replicas[i].Name)
		r.index = i
		ps.byIndex = append(ps.byIndex, r)
		ps.byKeyHash[r.keyHash] = r
		r.leaving = replicas[i].Leaving || replicas[i].Evacuated
		r.region = replicas[i].Region
		r.weights = replicas[i].Weights
		r.coldUntil = replicas[i].ColdUntil
		r.coldLimited = replicas[i].ColdLimited
		present[r.name] = true
		if replicas[i].Evacuated {
			ps.evacuated++
		}
		if !r.leaving {
			ps.partition.order = append(ps.partition.order, r)
		}
	}
	ps.partition.orderChanged = true
	slices.SortFunc(ps.partition.order, func(a, b *replica) int { return cmp.Compare(a.nameHash, b.nameHash) })
	for i, r := range ps.partition.order {
		r.fromEnd = len(ps.partition.order) - 1 - i
	}
	for name, r := range ps.replicas {
		if !present[name] && r.open == 0 {
			delete(ps.replicas, name)
		}
	}
}
