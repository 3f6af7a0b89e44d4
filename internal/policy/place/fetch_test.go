package place

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
)

// linkedPlacer returns a placer for engines that fetch a token in two microseconds.
func linkedPlacer() *Placer {
	p := newPlacer()
	p.FetchTimePerToken = func(string) time.Duration { return 2 * time.Microsecond }
	return p
}

// placeUntilSpread places documents of one session until one goes to another replica
// than the first, and returns the first replica's name and the other's placement.
func placeUntilSpread(t *testing.T, p *Placer, replicas []chicoryrock.Replica) (string, Placement) {
	t.Helper()
	first := ""
	for i := range uint64(20) {
		request := document(10, 100+i)
		at, placed := p.Pick(epoch, request, replicas)
		require.True(t, placed)
		if first == "" {
			first = replicas[at].Name
		}
		if replicas[at].Name != first {
			placement, _ := p.Placement(request)
			return first, placement
		}
	}
	require.Fail(t, "all went to one replica")
	return "", Placement{}
}

// A replica that is chosen because the session's home is busy fetches the session's
// parts from there.
func TestPartsAreFetchedFromTheirHome(t *testing.T) {
	p := linkedPlacer()
	home, placement := placeUntilSpread(t, p, replicasNamed("a", "b", "c"))
	require.Equal(t, home, placement.FetchFrom)
}

// Guards against memory of a prompt that other weights have computed.
func TestPartsAreFetchedFromTheSameWeightsOnly(t *testing.T) {
	for _, weights := range [][]string{{"m=1", "m=2", "m=1"}, {"m=1,n=1", "m=2,n=1", "m=1"}} {
		replicas := replicasNamed("a", "b", "c")
		for i := range replicas {
			replicas[i].Weights = weights[i]
		}
		p := linkedPlacer()
		p.SetReplicas("llm", replicas)
		fetched := 0
		for i := range uint64(20) {
			request := document(10, 100+i)
			request.Model = "m"
			at, placed := p.Pick(epoch, request, replicas)
			if !placed {
				break // all are busy
			}
			placement, _ := p.Placement(request)
			for j := range replicas {
				if replicas[j].Name == placement.FetchFrom {
					require.Equal(t, chicoryrock.WeightsOf(weights[at], "m"), chicoryrock.WeightsOf(weights[j], "m"))
					fetched++
				}
			}
		}
		require.Positive(t, fetched, weights)
	}
}

func TestNothingIsFetched(t *testing.T) {
	cases := []struct {
		name    string
		placer  *Placer
		request *chicoryrock.Request
	}{
		{"engines without links", newPlacer(), document(10, 20)},
		{"a short prompt", linkedPlacer(), question(10)},
		{"a prompt of unknown parts", linkedPlacer(), &chicoryrock.Request{Pool: "llm", PromptTokens: 9000, FirstTokenTarget: time.Second}},
	}
	for _, tc := range cases {
		_, placed := tc.placer.Pick(epoch, tc.request, replicasNamed("a", "b", "c"))
		require.True(t, placed, tc.name)
		placement, _ := tc.placer.Placement(tc.request)
		require.Empty(t, placement.FetchFrom, tc.name)
	}
}

// A replica that is leaving or has just failed is no source: a request that waits for it
// would be late.
func TestFailingReplicaIsNoSource(t *testing.T) {
	for _, leaves := range []bool{true, false} {
		p := linkedPlacer()
		replicas := replicasNamed("a", "b", "c")
		request := document(10, 20)
		at, _ := p.Pick(epoch, request, replicas)
		p.RecordFirstToken(epoch.Add(100*time.Millisecond), request)
		now := epoch.Add(200 * time.Millisecond)
		if replicas[at].Leaving = leaves; leaves {
			p.SetReplicas("llm", replicas)
		}
		p.RecordEnd(now, request, 0, !leaves)
		for i := range uint64(3) {
			next := document(10, 30+i)
			_, placed := p.Pick(now, next, replicas)
			require.True(t, placed)
			placement, _ := p.Placement(next)
			require.NotEqual(t, replicas[at].Name, placement.FetchFrom)
		}
	}
}

// A configuration that arrives after the list of servers is applied to the engines.
func TestLateConfigurationIsApplied(t *testing.T) {
	slots := 0
	p := &Placer{SlotsPerEngine: func(string) int { return slots }}
	p.SetReplicas("llm", replicasNamed("a", "b"))
	slots = 4
	p.SetReplicas("llm", replicasNamed("a", "b"))
	_, known := p.RecordRefusal(epoch, question(1), replicasNamed("a", "b"))
	require.True(t, known)
}

// A prefix that a replica has prefilled for one process counts as cached there in
// another process, which sends the session there or names it as a source.
func TestCachedPrefixesReachOtherProcesses(t *testing.T) {
	sender, receiver := linkedPlacer(), linkedPlacer()
	replicas := replicasNamed("a", "b", "c", "d", "e", "f")
	for _, p := range []*Placer{sender, receiver} {
		p.SetReplicas("llm", replicas)
	}
	pool := receiver.pool("llm")
	affinity := pool.affinity(epoch, document(10, 20))
	var other *replica
	for _, r := range pool.byIndex {
		if r.name != affinity.first && r.name != affinity.second {
			other = r
		}
	}
	sender.recordPrefill(epoch, sender.pool("llm"), document(10, 20), sender.pool("llm").replica(other.name))
	receiver.AddCachedPrefixes(epoch, sender.TakeCachedPrefixes())
	require.Empty(t, sender.TakeCachedPrefixes(), "returned once")
	now := epoch.Add(time.Second)
	affinity = pool.affinity(now, document(10, 21))
	require.Greater(t, affinity.cachedShare(other), firstHomeCachedShare)
	require.Equal(t, other, pool.likelySources(now, &chicoryrock.Request{}, other.weights, &affinity)[0].replica)
	later := epoch.Add(10 * cachedShareDecay)
	affinity = pool.affinity(later, document(10, 22))
	require.Less(t, affinity.cachedShare(other), secondHomeCachedShare)
}

func TestHoldersAreBounded(t *testing.T) {
	p := linkedPlacer()
	p.SetReplicas("llm", replicasNamed("a", "b", "c", "d", "e", "f"))
	pool := p.pool("llm")
	for i := range 3 * maxNewPrefixes {
		p.recordPrefill(epoch, pool, document(uint64(i), 1), pool.byIndex[i%6])
		p.recordPrefill(epoch, pool, document(7, 1), pool.byIndex[i%6])
	}
	require.Len(t, p.TakeCachedPrefixes(), maxNewPrefixes)
	seen := map[uint32]bool{}
	for _, holder := range pool.prefixHolders[sessionHash(7)] {
		require.False(t, seen[holder.serverHash], "each replica is kept once")
		seen[holder.serverHash] = true
	}
	p.AddCachedPrefixes(epoch, []chicoryrock.CachedPrefix{{SessionHash: 1, ServerHash: 12345}})
}
