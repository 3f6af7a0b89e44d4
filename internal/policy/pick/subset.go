package pick

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/chicoryrock/chicoryrock"
)

// minEntries is the least number of entries that use each replica. With fewer, a
// replica would be idle once those entries are gone.
const minEntries = 3

// Subset returns the replicas of one pool that an entry uses, in the order of the
// input. By rendezvous hashing, these are the replicas with the highest scores for
// the entry, as many as size says, and those for which the entry itself is among the
// minEntries with the highest scores. The second rule makes sure that several
// entries use each replica: by the first alone, with 320 entries, 710 replicas and
// subsets of 20, some replicas would be in only one or two subsets. Adding or
// removing a replica or an entry changes few places of the subsets.
func Subset(entry string, entries []string, replicas []chicoryrock.Replica, size int) []chicoryrock.Replica {
	if len(replicas) <= size {
		return slices.Clone(replicas)
	}
	scores := make([]uint64, len(replicas))
	for i := range replicas {
		scores[i] = score(entry, replicas[i].Name)
	}
	ranked := slices.Clone(scores)
	slices.SortFunc(ranked, func(a, b uint64) int { return cmp.Compare(b, a) })
	chosen := make([]chicoryrock.Replica, 0, size)
	for i := range replicas {
		if scores[i] >= ranked[size-1] || ranksFirst(scores[i], entries, replicas[i].Name) {
			chosen = append(chosen, replicas[i])
		}
	}
	return chosen
}

// ranksFirst reports whether fewer than minEntries of the entries have a higher
// score for the replica than the given one.
func ranksFirst(entryScore uint64, entries []string, replica string) bool {
	higher := 0
	for _, entry := range entries {
		if score(entry, replica) > entryScore {
			higher++
		}
		if higher >= minEntries {
			return false
		}
	}
	return true
}

// score is the rendezvous hash of an entry and a replica.
func score(entry, replica string) uint64 {
	return hash64(xxhash.Sum64String(entry) ^ hash64(xxhash.Sum64String(replica)))
}
