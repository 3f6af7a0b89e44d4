package place

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An overload that has lasted is taken to last as long again: whoever is sent away
// for less comes back in vain.
func TestReturnsFollowTheOverload(t *testing.T) {
	p := newPlacer()
	replicas := replicasNamed("a", "b")
	for i := range uint64(200) {
		if _, placed := p.Pick(epoch, question(100+i), replicas); !placed {
			break
		}
	}
	refuse := func(after time.Duration) time.Duration {
		request := question(1000)
		p.RecordArrival(epoch.Add(after), request)
		wait, known := p.RecordRefusal(epoch.Add(after), request, replicas)
		require.True(t, known)
		return wait
	}
	first := refuse(0)
	require.Positive(t, first)
	for after := 200 * time.Millisecond; after < 3*time.Second; after += 200 * time.Millisecond {
		require.GreaterOrEqual(t, refuse(after), after, "it has lasted for so long")
	}
	require.Less(t, refuse(10*time.Second), time.Second, "nobody was refused for a while: another overload")
}
