package pick

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/chicoryrock/chicoryrock"
)

// minEntries is by how many entries each replica is seen at least. With fewer, a
// replica would idle when those entries are gone.
const minEntries = 3

// Subset returns the replicas of one pool that an entry sees: those of the given
// number that rank highest for it by rendezvous hashing, and those for which it
// is itself among the first minEntries of all entries. So no replica is left
// out, which chance alone would not grant: with 320 entries, 710 replicas and
// subsets of 20, some replicas would be in one or two subsets only. A replica or
// an entry that comes or goes moves few places. The order of the result is that
// of the input.
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

// ranksFirst says whether fewer than minEntries entries rank higher for a replica
// than the one with this score.
func ranksFirst(mine uint64, entries []string, replica string) bool {
	higher := 0
	for _, entry := range entries {
		if score(entry, replica) > mine {
			higher++
		}
		if higher >= minEntries {
			return false
		}
	}
	return true
}

func score(entry, replica string) uint64 {
	return mix(xxhash.Sum64String(entry) ^ mix(xxhash.Sum64String(replica)))
}
