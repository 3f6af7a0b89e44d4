package pick

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/chicoryrock/chicoryrock"
)

// minEntries is the least number of entries that see each replica. With fewer, a
// replica would be idle once those entries are gone.
const minEntries = 3

// Subset returns the replicas of one pool that an entry uses: the size ones that
// rank highest for it by rendezvous hashing, and those for which it ranks itself
// among the first minEntries of all entries. The second rule makes sure that every
// replica is used: by the first one alone, with 320 entries, 710 replicas and
// subsets of 20, some replicas would be in only one or two subsets. A replica or an
// entry that joins or leaves changes few places of the subsets. The result is in
// the order of the input.
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
