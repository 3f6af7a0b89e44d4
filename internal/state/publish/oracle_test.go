package publish

import (
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/state/memory"
)

// check reads the chain from the store without faults and compares it with the
// oracle's revisions and with the results that the publishers got.
func (m *machine) check(t *rapid.T) {
	withoutFaults := &fakeStore{Store: memory.Store{Entries: m.store.Entries}}
	head, _, err := readHead(background, withoutFaults)
	if errors.Is(err, chicoryrock.ErrNotFound) {
		require.Empty(t, m.revisions)
		return
	}
	require.NoError(t, err)
	m.extend(t, withoutFaults, head)
	seen := map[string]bool{}
	for _, rev := range m.revisions {
		require.False(t, seen[rev.head.ID], "publication %s took effect twice", rev.head.ID)
		seen[rev.head.ID] = true
		require.NotEqual(t, refused, m.results[rev.head.ID], "publication %s was refused but is in force", rev.head.ID)
	}
	for id, outcome := range m.results {
		require.False(t, outcome == accepted && !seen[id], "accepted publication %s is lost", id)
	}
}

// extend adds the new revisions to the oracle, after a check that the chain
// continues from its newest one.
func (m *machine) extend(t *rapid.T, withoutFaults *fakeStore, head Head) {
	require.GreaterOrEqual(t, int(head.Revision), len(m.revisions), "the head went back")
	var added []publishedRevision
	for int(head.Revision) > len(m.revisions) {
		reader := Reader{Store: withoutFaults}
		set, err := reader.loadSet(background, head)
		require.NoError(t, err, "revision %d cannot be read", head.Revision)
		added = append(added, publishedRevision{head, set})
		if head.Revision == 1 {
			break
		}
		head, err = previousHead(background, withoutFaults, head)
		require.NoError(t, err)
	}
	if len(m.revisions) > 0 {
		require.Equal(t, m.revisions[len(m.revisions)-1].head, head, "an accepted revision changed")
	}
	for i := len(added) - 1; i >= 0; i-- {
		m.addRevision(t, added[i])
	}
}

func (m *machine) addRevision(t *rapid.T, added publishedRevision) {
	for _, key := range added.set.Keys {
		require.False(t, m.withdrawn[key.Digest], "a withdrawn key came back")
	}
	for _, withdrawal := range added.set.Withdrawn {
		m.withdrawn[withdrawal.Digest] = true
	}
	m.revisions = append(m.revisions, added)
	for _, from := range m.revisions[:len(m.revisions)-1] {
		delta, err := NewDelta(from.head, from.set, added.head, added.set)
		require.NoError(t, err)
		set, head, err := delta.Apply(from.head, from.set)
		require.NoError(t, err)
		require.Equal(t, added.set, set)
		require.Equal(t, added.head, head)
	}
}

// checkKept compares the revisions that were not pruned with the oracle, at the end
// of a run.
func (m *machine) checkKept(t *rapid.T) {
	if len(m.revisions) == 0 {
		return
	}
	withoutFaults := &fakeStore{Store: memory.Store{Entries: m.store.Entries}}
	head, _, err := readHead(background, withoutFaults)
	require.NoError(t, err)
	for i := len(m.revisions) - 1; i >= m.prunedUpTo; i-- {
		require.Equal(t, m.revisions[i].head, head)
		reader := Reader{Store: withoutFaults}
		set, err := reader.loadSet(background, head)
		require.NoError(t, err)
		require.Equal(t, m.revisions[i].set, set)
		if i > m.prunedUpTo {
			head, err = previousHead(background, withoutFaults, head)
			require.NoError(t, err)
		}
	}
}
