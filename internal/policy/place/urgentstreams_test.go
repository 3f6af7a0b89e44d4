package place

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
)

// Guards against a pool that is divided and joined by turns under a steady overload: with
// too few replicas for both parts, streams that are more urgent keep theirs.
func TestMoreUrgentStreamsKeepTheirPart(t *testing.T) {
	replicas := replicasNamed("a", "b", "c", "d", "e", "f")
	p, now := unpartitionedPlacer(t, replicas)
	pt := &p.pool("llm").partition
	for range minLateShareStreams {
		pt.unpartitioned.add(true)
	}
	pt.peerLongLoad = float64(len(replicas))
	pick := func(request *chicoryrock.Request, tier int) {
		request.Tier = tier
		p.Pick(now, request, replicas)
	}
	pick(document(1, 1), 2)
	pick(question(1), 1)
	require.True(t, p.pool("llm").partitioned())
	now = now.Add(firstPartitionTime / 2)
	pick(question(2), 1)
	require.True(t, p.pool("llm").partitioned())
}

// Guards against late streams that are noticed only when they end, while others begin that
// will be late as well.
func TestLatePausesCountAtOnce(t *testing.T) {
	replicas := replicasNamed("a", "b", "c", "d", "e", "f")
	p, now := unpartitionedPlacer(t, replicas)
	now = now.Add(10 * time.Second) // the load of the documents has ended
	var open []*chicoryrock.Request
	for id := uint64(1000); !p.pool("llm").partitioned(); id++ {
		require.Less(t, id, uint64(1100), "streams that run late partition the pool")
		request := question(id)
		_, placed := p.Pick(now, request, replicas)
		require.True(t, placed)
		p.RecordFirstToken(now.Add(50*time.Millisecond), request)
		p.RecordLatePause(request)
		p.RecordLatePause(request)
		open = append(open, request)
		if len(open) == 12 {
			p.RecordEnd(now, open[0], 400*time.Millisecond, false)
			open = open[1:]
		}
	}
}
