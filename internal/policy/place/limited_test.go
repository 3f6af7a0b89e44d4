package place

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/quota"
)

// limitedPlacer returns a placer in a process of its own for which replicas state limits.
func limitedPlacer(limits map[string]float64) *Placer {
	p := newPlacer()
	p.Quota = &quota.Member{Name: "front"}
	p.Quota.SetMembers(nil, true, 1)
	for name, limit := range limits {
		p.Quota.Observe(epoch, epoch, ServerKey(name), limit)
	}
	return p
}

// plain returns a request to a plain service.
func plain(id string) *chicoryrock.Request {
	return &chicoryrock.Request{ID: id, Pool: "app", Arrived: epoch, FirstTokenTarget: 300 * time.Millisecond}
}

// Requests that a replica's limit doesn't allow go to the other replicas, however they come
// to be placed: for the first time, again after a failure, or to resume a stream.
func TestLimitedReplicaIsPassedOver(t *testing.T) {
	cases := []struct {
		name string
		ask  func(n int) *chicoryrock.Request
	}{
		{"prompts", func(n int) *chicoryrock.Request { return question(uint64(n)) }},
		{"the same request again and again", func(int) *chicoryrock.Request { return question(1) }},
		{"plain services", func(int) *chicoryrock.Request { return plain("x") }},
	}
	for _, c := range cases {
		p := limitedPlacer(map[string]float64{"a": 2})
		replicas := replicasNamed("a", "b")
		sent := map[string]int{}
		now := epoch
		const span = 20 * time.Second
		for n := 0; now.Before(epoch.Add(span)); n++ {
			now = now.Add(50 * time.Millisecond)
			request := c.ask(n)
			at, placed := p.Pick(now, request, replicas)
			require.True(t, placed, c.name)
			sent[replicas[at].Name]++
			p.RecordEnd(now, request, 0, false)
		}
		require.LessOrEqual(t, float64(sent["a"]), 2*(span+quota.PermitLifetime).Seconds()+1, c.name)
		require.GreaterOrEqual(t, sent["a"], 20, c.name)
	}
}

// Where all replicas are limited, a request is refused if its turn would come too late,
// and told a time at which it is placed.
func TestNoRoomWhereAllReplicasAreLimited(t *testing.T) {
	replicas := append(replicasNamed("a", "b"), chicoryrock.Replica{Name: "c", Leaving: true})
	p := limitedPlacer(map[string]float64{"a": 0.5, "b": 0.5})
	now := epoch.Add(time.Minute)
	require.False(t, p.NoRoom(now, plain("first"), replicas, 0, now.Add(120*time.Millisecond)), "both take one")
	for _, id := range []string{"first", "second"} {
		_, placed := p.Pick(now, plain(id), replicas)
		require.True(t, placed, id)
	}
	require.True(t, p.NoRoom(now, plain("third"), replicas, 0, now.Add(120*time.Millisecond)))
	require.False(t, p.NoRoom(now, plain("third"), replicas, 0, now.Add(10*time.Second)), "it can wait")
	require.True(t, p.NoRoom(now, plain("third"), replicas, 20, now.Add(10*time.Second)), "others are ahead")
	wait, known := p.RecordRefusal(now, plain("third"), replicas)
	require.True(t, known)
	require.Greater(t, wait, 500*time.Millisecond)
	_, placed := p.Pick(now.Add(wait/4), plain("third"), replicas)
	require.False(t, placed)
	_, placed = p.Pick(now.Add(2*time.Second), plain("third"), replicas)
	require.True(t, placed)
	require.False(t, limitedPlacer(map[string]float64{"a": 0.5}).NoRoom(now, plain("x"), replicas, 0, now), "the other one has no limit")
}

// Requests that are refused together are told to return one after the other.
func TestRefusedByLimitsReturnSpreadOut(t *testing.T) {
	replicas := replicasNamed("a")
	p := limitedPlacer(map[string]float64{"a": 1})
	longest := time.Duration(0)
	for n := range 20 {
		request := plain(string(rune('a' + n)))
		p.NoRoom(epoch, request, replicas, 0, epoch)
		wait, known := p.RecordRefusal(epoch, request, replicas)
		require.True(t, known)
		longest = max(longest, wait)
	}
	require.Greater(t, longest, 8*time.Second, "one a second")
}
