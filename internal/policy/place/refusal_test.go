package place

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An overload is expected to last as long again as it has lasted: a caller that retries
// earlier would be refused again.
func TestRetryDelayFollowsTheOverload(t *testing.T) {
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
		require.GreaterOrEqual(t, refuse(after), after, "the overload has lasted for so long")
	}
	require.Less(t, refuse(10*time.Second), time.Second, "no refusal for a while: a new overload")
}
