package routing

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func table(version uint64) *Table {
	calm := &Workspace{Name: "calm", Priority: 1}
	keen := &Workspace{Name: "keen", Priority: 0}
	plain := &Workspace{Name: "plain", Priority: -1}
	t := &Table{
		Version: version,
		Routes: []Route{
			{Name: "root", Host: "a.example", PathPrefix: "/", Priority: 0, Services: []WeightedService{{"llm", 1}}},
			{Name: "deep", Host: "A.example", PathPrefix: "/x/y/", Priority: 4, Services: []WeightedService{{"llm", 3}, {"app", 1}}},
			{Name: "mid", Host: "a.example", PathPrefix: "/x/", Priority: 2, Services: []WeightedService{{"app", 1}}},
		},
		Keys: map[KeyDigest]*Workspace{DigestOf("k1"): calm, DigestOf("k2"): keen, DigestOf("k3"): plain},
	}
	t.Build()
	return t
}

func TestMatchTakesTheLongestPrefixOfTheHost(t *testing.T) {
	cases := []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "deep"},
		{"A.EXAMPLE:8080", "/x/y/", "deep"},
		{"a.example", "/x/yy", "mid"},
		{"a.example", "/x", "root"},
		{"a.example", "/x/%2e%2e/y", "mid"},
		{"b.example", "/x/", ""},
	}
	for _, c := range cases {
		route := table(1).Match(c.host, c.path)
		if c.want == "" {
			require.Nil(t, route, "%v", c)
			continue
		}
		require.Equal(t, c.want, route.Name, "%v", c)
	}
}

// A request that is more urgent by its workspace goes first; among equals, the
// route decides. Two kinds of one workspace with the same number would preempt
// each other.
func TestUrgency(t *testing.T) {
	one := table(1)
	root, deep := &one.Routes[0], &one.Routes[1]
	keen, calm := one.Workspace(DigestOf("k2")), one.Workspace(DigestOf("k1"))
	require.Less(t, one.EffectivePriority(root, keen, "llm"), one.EffectivePriority(deep, keen, "llm"))
	require.Less(t, one.EffectivePriority(deep, keen, "llm"), one.EffectivePriority(root, calm, "llm"))
	require.Less(t, one.EffectivePriority(root, calm, "llm"), one.EffectivePriority(deep, calm, "llm"))
	require.Equal(t, one.EffectivePriority(root, nil, "llm"), one.EffectivePriority(root, one.Workspace(DigestOf("k3")), "llm"))
}

func TestPickFollowsTheWeights(t *testing.T) {
	deep := table(1).Routes[1]
	require.Equal(t, "llm", deep.PickService(0))
	require.Equal(t, "llm", deep.PickService(0.74))
	require.Equal(t, "app", deep.PickService(0.76))
	require.Equal(t, "app", deep.PickService(0.9999))
}

func TestNewer(t *testing.T) {
	require.True(t, table(1).Newer(nil))
	require.True(t, table(2).Newer(table(1)))
	require.False(t, table(1).Newer(table(1)))
	require.False(t, table(1).Newer(table(2)))
}
