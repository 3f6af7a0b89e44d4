package store

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/standin/property"
)

func TestMain(m *testing.M) { property.Run(m, property.Size{}) }

var start = time.Unix(1_000, 0)

func TestLeaseEndsUnlessWrittenAgain(t *testing.T) {
	var core Core
	first, err := core.Put(start, chicoryrock.Change{Key: "a", TTL: 10 * time.Second})
	require.NoError(t, err)
	second, err := core.Put(start.Add(9*time.Second), chicoryrock.Change{Key: "a", PriorRevision: first, TTL: 10 * time.Second})
	require.NoError(t, err)
	require.False(t, core.Changed(start.Add(18*time.Second), "a", second))
	require.True(t, core.Changed(start.Add(19*time.Second), "a", second))
	_, err = core.Get(start.Add(19*time.Second), "a")
	require.ErrorIs(t, err, chicoryrock.ErrNotFound)
}

// model is the oracle: the plainest map with a counter.
type model struct {
	core     Core
	now      time.Time
	values   map[string]string
	priors   map[string]uint64
	revision uint64
}

func (m *model) put(t *rapid.T) {
	key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
	prior := rapid.Uint64Range(0, m.revision+1).Draw(t, "prior")
	if rapid.Bool().Draw(t, "right") {
		prior = m.priors[key]
	}
	value := rapid.StringN(0, 3, -1).Draw(t, "value")
	revision, err := m.core.Put(m.now, chicoryrock.Change{Key: key, Value: []byte(value), PriorRevision: prior})
	if prior != m.priors[key] {
		require.ErrorIs(t, err, chicoryrock.ErrConflict)
		return
	}
	require.NoError(t, err)
	require.Greater(t, revision, m.revision)
	m.revision, m.priors[key], m.values[key] = revision, revision, value
}

func (m *model) remove(t *rapid.T) {
	key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
	prior := rapid.Uint64Range(0, m.revision).Draw(t, "prior")
	err := m.core.Delete(m.now, key, prior)
	switch {
	case m.priors[key] == 0:
		require.ErrorIs(t, err, chicoryrock.ErrNotFound)
	case prior != m.priors[key]:
		require.ErrorIs(t, err, chicoryrock.ErrConflict)
	default:
		require.NoError(t, err)
		delete(m.priors, key)
		delete(m.values, key)
	}
}

func (m *model) check(t *rapid.T) {
	entries := m.core.List(m.now, "")
	require.Len(t, entries, len(m.values))
	for _, entry := range entries {
		require.Equal(t, m.values[entry.Key], string(entry.Value))
		require.Equal(t, m.priors[entry.Key], entry.Revision)
	}
}

func TestCoreAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{now: start, values: map[string]string{}, priors: map[string]uint64{}}
		t.Repeat(map[string]func(*rapid.T){"put": m.put, "delete": m.remove, "": m.check})
	})
}
