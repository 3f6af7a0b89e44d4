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

// At the size of two years every replica is seen by several entries, and no entry
// sees many more than it should.
func TestSubsetCoversAllReplicas(t *testing.T) {
	entries := make([]string, 320)
	for i := range entries {
		entries[i] = fmt.Sprintf("entry-%d", i)
	}
	replicas := fleet(710, 5)
	seen := make(map[string]int)
	for _, entry := range entries {
		subset := pick.Subset(entry, entries, replicas, 20)
		assert.GreaterOrEqual(t, len(subset), 20)
		assert.LessOrEqual(t, len(subset), 24)
		for _, name := range names(subset) {
			seen[name]++
		}
	}
	for i := range replicas {
		assert.GreaterOrEqual(t, seen[replicas[i].Name], 3, replicas[i].Name)
	}
}

// One replica that leaves changes one place of a subset and no more.
func TestSubsetIsStable(t *testing.T) {
	entries := []string{"entry-1", "entry-2", "entry-3", "entry-4", "entry-5"}
	replicas := fleet(100, 5)
	for _, entry := range entries {
		before := names(pick.Subset(entry, entries, replicas, 20))
		after := names(pick.Subset(entry, entries, slices.Delete(slices.Clone(replicas), 40, 41), 20))
		lost := 0
		for _, name := range before {
			if !slices.Contains(after, name) {
				lost++
			}
		}
		assert.LessOrEqual(t, lost, 1)
	}
}
