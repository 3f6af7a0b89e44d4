package place

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
)

// runQuestion runs a question to its end, with a longest pause.
func runQuestion(t *testing.T, p *Placer, now time.Time, id uint64, pause time.Duration, replicas []chicoryrock.Replica) {
	t.Helper()
	request := question(id)
	_, placed := p.Pick(now, request, replicas)
	require.True(t, placed)
	p.RecordFirstToken(now.Add(50*time.Millisecond), request)
	p.RecordEnd(now.Add(time.Second), request, pause, false)
}

// runDocument runs a document to its end, with a short pause: most such streams have
// few events.
func runDocument(t *testing.T, p *Placer, now time.Time, id uint64, replicas []chicoryrock.Replica) {
	t.Helper()
	request := document(id, 10_000+id)
	_, placed := p.Pick(now, request, replicas)
	require.True(t, placed)
	p.RecordFirstToken(now.Add(100*time.Millisecond), request)
	p.RecordEnd(now.Add(time.Second), request, 30*time.Millisecond, false)
}

// unpartitionedPlacer returns a placer whose pool is not partitioned, as no stream was
// late, and the time.
func unpartitionedPlacer(t *testing.T, replicas []chicoryrock.Replica) (*Placer, time.Time) {
	t.Helper()
	p := newPlacer()
	now := epoch
	for id := range uint64(200) {
		now = now.Add(10 * time.Millisecond)
		runQuestion(t, p, now, id, 40*time.Millisecond, replicas)
		runDocument(t, p, now, id, replicas)
	}
	require.False(t, p.pool("llm").partitioned())
	return p, now
}

// Late streams are a reason to partition the pool, even where the few pauses of streams
// with long prompts are short. It stays partitioned for a while, and for longer the next
// time.
func TestPoolIsPartitionedWhenMixingMakesStreamsLate(t *testing.T) {
	replicas := replicasNamed("a", "b", "c", "d", "e", "f")
	p, now := unpartitionedPlacer(t, replicas)
	var partitionTimes []time.Duration
	for range 2 {
		for id := uint64(1000); !p.pool("llm").partitioned(); id++ {
			require.Less(t, id, uint64(1200), "late streams partition the pool")
			now = now.Add(10 * time.Millisecond)
			runQuestion(t, p, now, id, 400*time.Millisecond, replicas)
		}
		since := now
		for p.pool("llm").partitioned() {
			now = now.Add(time.Second)
			require.Less(t, now.Sub(since), maxPartitionTime)
			runDocument(t, p, now, 1, replicas)
		}
		partitionTimes = append(partitionTimes, now.Sub(since))
	}
	require.GreaterOrEqual(t, partitionTimes[0], firstPartitionTime)
	require.GreaterOrEqual(t, partitionTimes[1], 2*firstPartitionTime)
}

// One late stream among twenty is no reason to partition the pool.
func TestFewLateStreamsDontPartitionThePool(t *testing.T) {
	replicas := replicasNamed("a", "b", "c", "d", "e", "f")
	p, now := unpartitionedPlacer(t, replicas)
	for id := range uint64(500) {
		now = now.Add(10 * time.Millisecond)
		pause := 40 * time.Millisecond
		if id%20 == 0 {
			pause = 400 * time.Millisecond
		}
		runQuestion(t, p, now, id, pause, replicas)
		require.False(t, p.pool("llm").partitioned())
	}
}

// Processes report their shares of late streams, so that they agree on partitioning.
func TestLateSharesReachOtherProcesses(t *testing.T) {
	replicas := replicasNamed("a", "b", "c", "d", "e", "f")
	sender, now := unpartitionedPlacer(t, replicas)
	receiver, _ := unpartitionedPlacer(t, replicas)
	for range minLateShareStreams {
		sender.pool("llm").partition.unpartitioned.add(true)
	}
	name := keyHash("llm" + unpartitionedLateKey)
	peerLoads := make(map[uint32]chicoryrock.OpenLoad)
	for _, load := range sender.OpenLoads(now) {
		if load.KeyHash == name {
			peerLoads[name] = load
		}
	}
	require.Len(t, peerLoads, 1)
	require.False(t, receiver.pool("llm").partitioned())
	receiver.SetPeerLoads(now, peerLoads, 2)
	later := now.Add(10 * time.Second)
	runQuestion(t, receiver, later, 1, 40*time.Millisecond, replicas)
	require.True(t, receiver.pool("llm").partitioned())
}

// With too few replicas for both parts the pool is not partitioned, although streams
// are late: prompts would wait in one part that could be on time in the other.
func TestPoolIsNotPartitionedWithTooFewReplicas(t *testing.T) {
	replicas := replicasNamed("a", "b", "c", "d", "e", "f")
	p, now := unpartitionedPlacer(t, replicas)
	pt := &p.pool("llm").partition
	for range minLateShareStreams {
		pt.unpartitioned.add(true)
	}
	pt.peerLongLoad = float64(len(replicas))
	runQuestion(t, p, now, 1, 40*time.Millisecond, replicas)
	require.False(t, p.pool("llm").partitioned())
	pt.peerLongLoad = 0
	later := now.Add(10 * time.Second)
	runQuestion(t, p, later, 2, 40*time.Millisecond, replicas)
	require.True(t, p.pool("llm").partitioned())
}
