package place

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
)

// streamOnce runs a question to its end, with a pause.
func streamOnce(t *testing.T, p *Placer, now time.Time, id uint64, pause time.Duration, replicas []chicoryrock.Replica) {
	t.Helper()
	request := question(id)
	_, placed := p.Pick(now, request, replicas)
	require.True(t, placed)
	p.RecordFirstToken(now.Add(50*time.Millisecond), request)
	p.RecordEnd(now.Add(time.Second), request, pause, false)
}

// readOnce runs a document to its end, with a short pause: most such streams have
// few events.
func readOnce(t *testing.T, p *Placer, now time.Time, id uint64, replicas []chicoryrock.Replica) {
	t.Helper()
	request := document(id, 10_000+id)
	_, placed := p.Pick(now, request, replicas)
	require.True(t, placed)
	p.RecordFirstToken(now.Add(100*time.Millisecond), request)
	p.RecordEnd(now.Add(time.Second), request, 30*time.Millisecond, false)
}

// mixing returns a placer that has given up the sides, and the time.
func mixing(t *testing.T, replicas []chicoryrock.Replica) (*Placer, time.Time) {
	t.Helper()
	p := newPlacer()
	now := epoch
	for id := range uint64(200) {
		now = now.Add(10 * time.Millisecond)
		streamOnce(t, p, now, id, 40*time.Millisecond, replicas)
		readOnce(t, p, now, id, replicas)
	}
	require.False(t, p.pool("llm").harmed())
	return p, now
}

// Streams that are late where long prompts are read on all replicas are a reason to
// keep the sides, whatever the pauses of the few events beside long prompts say. They
// are kept for a while then, and longer the next time.
func TestSidesAreKeptWhereMixingDidHarm(t *testing.T) {
	replicas := replicasNamed("a", "b", "c", "d", "e", "f")
	p, now := mixing(t, replicas)
	var kept []time.Duration
	for range 2 {
		for id := uint64(1000); !p.pool("llm").harmed(); id++ {
			require.Less(t, id, uint64(1200), "late streams are noticed")
			now = now.Add(10 * time.Millisecond)
			streamOnce(t, p, now, id, 400*time.Millisecond, replicas)
		}
		since := now
		for p.pool("llm").harmed() {
			now = now.Add(time.Second)
			require.Less(t, now.Sub(since), longestApart)
			readOnce(t, p, now, 1, replicas)
		}
		kept = append(kept, now.Sub(since))
	}
	require.GreaterOrEqual(t, kept[0], firstApart)
	require.GreaterOrEqual(t, kept[1], 2*firstApart)
}

// A few late streams among many are none.
func TestSidesStayGivenUpWhereMixingDoesNoHarm(t *testing.T) {
	replicas := replicasNamed("a", "b", "c", "d", "e", "f")
	p, now := mixing(t, replicas)
	for id := range uint64(500) {
		now = now.Add(10 * time.Millisecond)
		pause := 40 * time.Millisecond
		if id%20 == 0 {
			pause = 400 * time.Millisecond
		}
		streamOnce(t, p, now, id, pause, replicas)
		require.False(t, p.pool("llm").harmed())
	}
}

// Processes tell each other how streams fare, so that they agree.
func TestHarmOfMixingIsTold(t *testing.T) {
	replicas := replicasNamed("a", "b", "c", "d", "e", "f")
	saw, now := mixing(t, replicas)
	heard, _ := mixing(t, replicas)
	for range mixedSure {
		saw.pool("llm").sides.mixed.add(true)
	}
	name := hashOf("llm" + mixedName)
	others := make(map[uint32]chicoryrock.OpenLoad)
	for _, load := range saw.OpenLoads(now) {
		if load.KeyHash == name {
			others[name] = load
		}
	}
	require.Len(t, others, 1)
	require.False(t, heard.pool("llm").harmed())
	heard.SetPeerLoads(now, others, 2)
	later := now.Add(10 * time.Second)
	streamOnce(t, heard, later, 1, 40*time.Millisecond, replicas)
	require.True(t, heard.pool("llm").harmed())
}

// With too few replicas for both sides the sides are not kept, although streams are
// late: prompts would wait that could be in time elsewhere.
func TestSidesAreNotKeptWithTooFewReplicas(t *testing.T) {
	replicas := replicasNamed("a", "b", "c", "d", "e", "f")
	p, now := mixing(t, replicas)
	s := &p.pool("llm").sides
	for range mixedSure {
		s.mixed.add(true)
	}
	s.others = float64(len(replicas))
	streamOnce(t, p, now, 1, 40*time.Millisecond, replicas)
	require.False(t, p.pool("llm").harmed())
	s.others = 0
	later := now.Add(10 * time.Second)
	streamOnce(t, p, later, 2, 40*time.Millisecond, replicas)
	require.True(t, p.pool("llm").harmed())
}
