package publish

import (
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/state/memory"
)

// check walks the whole chain in the store past its failures and compares it with
// what was there before and with what the publishers were told.
func (m *machine) check(t *rapid.T) {
	whole := &fake{Store: memory.Store{Entries: m.store.Entries}}
	head, _, err := readHead(background, whole)
	if errors.Is(err, chicoryrock.ErrNotFound) {
		require.Empty(t, m.chain)
		return
	}
	require.NoError(t, err)
	m.extend(t, whole, head)
	seen := map[string]bool{}
	for _, one := range m.chain {
		require.False(t, seen[one.head.ID], "publication %s took effect twice", one.head.ID)
		seen[one.head.ID] = true
		require.NotEqual(t, refused, m.told[one.head.ID], "publication %s was refused but is in force", one.head.ID)
	}
	for id, told := range m.told {
		require.False(t, told == accepted && !seen[id], "accepted publication %s is lost", id)
	}
}

// extend reads the revisions that are new and holds them against the oracle's.
func (m *machine) extend(t *rapid.T, whole *fake, head Head) {
	require.GreaterOrEqual(t, int(head.Revision), len(m.chain), "the head went back")
	var fresh []accept
	for int(head.Revision) > len(m.chain) {
		reader := Reader{Store: whole}
		set, err := reader.load(background, head)
		require.NoError(t, err, "revision %d cannot be read", head.Revision)
		fresh = append(fresh, accept{head, set})
		if head.Revision == 1 {
			break
		}
		head, err = previous(background, whole, head)
		require.NoError(t, err)
	}
	if len(m.chain) > 0 {
		require.Equal(t, m.chain[len(m.chain)-1].head, head, "an accepted revision changed")
	}
	for i := len(fresh) - 1; i >= 0; i-- {
		m.accept(t, fresh[i])
	}
}

func (m *machine) accept(t *rapid.T, one accept) {
	for _, key := range one.set.Keys {
		require.False(t, m.withdrew[key.Digest], "a withdrawn key came back")
	}
	for _, withdrawal := range one.set.Withdrawn {
		m.withdrew[withdrawal.Digest] = true
	}
	m.chain = append(m.chain, one)
	for _, from := range m.chain[:len(m.chain)-1] {
		delta, err := NewDelta(from.head, from.set, one.head, one.set)
		require.NoError(t, err)
		set, head, err := delta.Apply(from.head, from.set)
		require.NoError(t, err)
		require.Equal(t, one.set, set)
		require.Equal(t, one.head, head)
	}
}

// checkAll walks the chain as far as it was kept, at the end of a run.
func (m *machine) checkAll(t *rapid.T) {
	if len(m.chain) == 0 {
		return
	}
	whole := &fake{Store: memory.Store{Entries: m.store.Entries}}
	head, _, err := readHead(background, whole)
	require.NoError(t, err)
	for i := len(m.chain) - 1; i >= m.floor; i-- {
		require.Equal(t, m.chain[i].head, head)
		reader := Reader{Store: whole}
		set, err := reader.load(background, head)
		require.NoError(t, err)
		require.Equal(t, m.chain[i].set, set)
		if i > m.floor {
			head, err = previous(background, whole, head)
			require.NoError(t, err)
		}
	}
}
