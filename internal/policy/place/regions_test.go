package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
)

// quietTime passes between requests that don't meet each other.
const quietTime = 500 * time.Millisecond

// regional returns replicas of which each tenth stands in the region south, in a data centre
// of its own, and the others in north.
func regional(count int) []chicoryrock.Replica {
	list := make([]chicoryrock.Replica, count)
	for i := range list {
		list[i] = chicoryrock.Replica{Name: fmt.Sprintf("r-%d", i), Pool: "llm", Slots: 64, Centre: "a", Region: "north"}
		if i%10 == 0 {
			list[i].Centre, list[i].Region = "c", "south"
		}
	}
	return list
}

// Guards against requests that leave their regions, and against those that are placed worse
// than others because most of the sampled replicas are not allowed: each finds a replica, all
// of those allowed are used, and a session stays where its parts are.
func TestBoundRequestsArePlacedInTheirRegions(t *testing.T) {
	for _, partitioned := range []bool{false, true} {
		p := linkedPlacer()
		replicas := regional(100)
		p.SetReplicas("llm", replicas)
		ps := p.pool("llm")
		ps.partition.active, ps.partition.maxTokenGap = partitioned, 1
		used, moved := map[string]int{}, 0
		now := epoch
		for session := range uint64(40) {
			home := ""
			for n := range uint64(5) {
				request := document(1000+session, 10*session+n)
				request.Regions = []string{"south", "west"}
				now = now.Add(quietTime)
				at, placed := p.Pick(now, request, replicas)
				require.True(t, placed, "session %d", session)
				require.Equal(t, "south", replicas[at].Region)
				if choice, _ := p.Placement(request); choice.FetchFrom != "" {
					require.Equal(t, "south", ps.replica(choice.FetchFrom).region)
				}
				p.RecordFirstToken(now.Add(quietTime/2), request)
				p.RecordEnd(now.Add(quietTime/2), request, 0, false)
				if home != "" && home != replicas[at].Name {
					moved++
				}
				home = replicas[at].Name
				used[home]++
			}
		}
		require.GreaterOrEqual(t, len(used), 3, "%v", used)
		require.LessOrEqual(t, moved, 16, "of 160 that could stay")
		free := document(1, 1)
		_, placed := p.Pick(now, free, replicas)
		require.True(t, placed)
		require.False(t, ps.bound, "a request without regions is placed as before")
	}
}

// Guards against requests to replicas of an evacuated data centre, and parts fetched from them.
func TestEvacuatedReplicasGetNothing(t *testing.T) {
	p := linkedPlacer()
	replicas := regional(20)
	p.SetReplicas("llm", replicas)
	now := epoch
	place := func(session uint64) string {
		request := document(1000+session, uint64(now.UnixNano()))
		now = now.Add(quietTime)
		at, placed := p.Pick(now, request, replicas)
		require.True(t, placed)
		choice, _ := p.Placement(request)
		if choice.FetchFrom != "" {
			require.False(t, p.pool("llm").replica(choice.FetchFrom).leaving)
		}
		p.RecordFirstToken(now, request)
		p.RecordEnd(now, request, 0, false)
		return replicas[at].Centre
	}
	centres := map[string]int{}
	evacuate := func(centre string, from uint64) {
		for i := range replicas {
			replicas[i].Evacuated = replicas[i].Centre == centre
		}
		p.SetReplicas("llm", replicas)
		clear(centres)
		for session := range uint64(60) {
			centres[place(from+session)]++
		}
	}
	evacuate("", 0)
	require.Len(t, centres, 2)
	evacuate("c", 0)
	require.Equal(t, map[string]int{"a": 60}, centres)
	evacuate("", 100)
	require.Positive(t, centres["c"], "it is used again at once")
}

// Guards against a cost for each request that is bound.
func TestPickOfBoundRequestDoesNotAllocate(t *testing.T) {
	p := newPlacer()
	replicas := regional(710)
	request := question(7)
	request.Regions = []string{"south"}
	now := epoch
	pickOnce := func() {
		now = now.Add(quietTime)
		_, placed := p.Pick(now, request, replicas)
		require.True(t, placed)
		p.RecordFirstToken(now, request)
		p.RecordEnd(now, request, 0, false)
	}
	for range 100 {
		pickOnce()
	}
	require.Less(t, testing.AllocsPerRun(1000, pickOnce), 1.0)
}
