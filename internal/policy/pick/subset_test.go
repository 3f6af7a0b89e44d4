package pick_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/pick"
)

func names(replicas []chicoryrock.Replica) []string {
	list := make([]string, len(replicas))
	for i := range replicas {
		list[i] = replicas[i].Name
	}
	return list
}

// At the size expected in two years, each replica is in the subsets of several
// entries, and no subset is much larger than asked for.
func TestSubsetCoversAllReplicas(t *testing.T) {
	entries := make([]string, 320)
	for i := range entries {
		entries[i] = fmt.Sprintf("entry-%d", i)
	}
	replicas := fleet(710, 5)
	subsetsWith := make(map[string]int)
	for _, entry := range entries {
		subset := pick.Subset(entry, entries, replicas, 20)
		assert.GreaterOrEqual(t, len(subset), 20)
		assert.LessOrEqual(t, len(subset), 24)
		for _, name := range names(subset) {
			subsetsWith[name]++
		}
	}
	for i := range replicas {
		assert.GreaterOrEqual(t, subsetsWith[replicas[i].Name], 3, replicas[i].Name)
	}
}

// A replica that leaves changes at most one place of a subset.
func TestSubsetIsStable(t *testing.T) {
	entries := []string{"entry-1", "entry-2", "entry-3", "entry-4", "entry-5"}
	replicas := fleet(100, 5)
	for _, entry := range entries {
		before := names(pick.Subset(entry, entries, replicas, 20))
		after := names(pick.Subset(entry, entries, slices.Delete(slices.Clone(replicas), 40, 41), 20))
		dropped := 0
		for _, name := range before {
			if !slices.Contains(after, name) {
				dropped++
			}
		}
		assert.LessOrEqual(t, dropped, 1)
	}
}
