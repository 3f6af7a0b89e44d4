package routing

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func newTable(version uint64) *Table {
	low := &Workspace{Name: "low", Priority: 1}
	high := &Workspace{Name: "high", Priority: 0}
	unset := &Workspace{Name: "unset", Priority: -1}
	t := &Table{
		Version: version,
		Routes: []Route{
			{Name: "root", Host: "a.example", PathPrefix: "/", Priority: 0, Services: []WeightedService{{"llm", 1}}},
			{Name: "deep", Host: "A.example", PathPrefix: "/x/y/", Priority: 4, Services: []WeightedService{{"llm", 3}, {"app", 1}}},
			{Name: "mid", Host: "a.example", PathPrefix: "/x/", Priority: 2, Services: []WeightedService{{"app", 1}}},
		},
		Keys: map[KeyDigest]*Workspace{DigestOf("k1"): low, DigestOf("k2"): high, DigestOf("k3"): unset},
	}
	t.Build()
	return t
}

func TestMatchTakesLongestPrefixOfHost(t *testing.T) {
	cases := []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "deep"},
		{"A.EXAMPLE:8080", "/x/y/", "deep"},
		{"a.example", "/x/yy", "mid"},
		{"a.example", "/x", "root"},
		{"a.example", "/x/%2e%2e/y", "mid"},
		{"b.example", "/x/", ""},
	}
	for _, c := range cases {
		route := newTable(1).Match(c.host, c.path)
		if c.want == "" {
			require.Nil(t, route, "%v", c)
			continue
		}
		require.Equal(t, c.want, route.Name, "%v", c)
	}
}

// The workspace's priority takes precedence, and the route's decides among equals.
// Two routes of one workspace must not get the same result, or their requests would
// preempt each other.
func TestEffectivePriority(t *testing.T) {
	table := newTable(1)
	root, deep := &table.Routes[0], &table.Routes[1]
	high, low := table.Workspace(DigestOf("k2")), table.Workspace(DigestOf("k1"))
	require.Less(t, table.EffectivePriority(root, high, "llm"), table.EffectivePriority(deep, high, "llm"))
	require.Less(t, table.EffectivePriority(deep, high, "llm"), table.EffectivePriority(root, low, "llm"))
	require.Less(t, table.EffectivePriority(root, low, "llm"), table.EffectivePriority(deep, low, "llm"))
	require.Equal(t, 4, table.Priorities("llm"))
	require.Equal(t, table.Priorities("llm")-1, table.EffectivePriority(deep, low, "llm"))
	require.Equal(t, table.EffectivePriority(root, nil, "llm"), table.EffectivePriority(root, table.Workspace(DigestOf("k3")), "llm"))
}

func TestPickServiceFollowsWeights(t *testing.T) {
	deep := newTable(1).Routes[1]
	require.Equal(t, "llm", deep.PickService(0))
	require.Equal(t, "llm", deep.PickService(0.74))
	require.Equal(t, "app", deep.PickService(0.76))
	require.Equal(t, "app", deep.PickService(0.9999))
}

func TestNewer(t *testing.T) {
	require.True(t, newTable(1).Newer(nil))
	require.True(t, newTable(2).Newer(newTable(1)))
	require.False(t, newTable(1).Newer(newTable(1)))
	require.False(t, newTable(1).Newer(newTable(2)))
}

// A list that allows no region at all must not be taken for one that allows all.
func TestAllowedRegions(t *testing.T) {
	cases := []struct {
		name                   string
		route, workspace, want []string
	}{
		{"neither", nil, nil, nil},
		{"the route", []string{"a", "b"}, nil, []string{"a", "b"}},
		{"the workspace", nil, []string{"b"}, []string{"b"}},
		{"both", []string{"a", "b", "c"}, []string{"c", "d", "b"}, []string{"b", "c"}},
		{"nothing in common", []string{"a"}, []string{"b"}, []string{}},
	}
	for _, c := range cases {
		require.Equal(t, c.want, AllowedRegions(&Route{AllowedRegions: c.route}, &Workspace{AllowedRegions: c.workspace}), c.name)
	}
	require.Equal(t, []string{"a"}, AllowedRegions(&Route{AllowedRegions: []string{"a"}}, nil))
}
