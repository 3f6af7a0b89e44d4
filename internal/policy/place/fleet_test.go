package place

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fastEngine runs few requests at once and prefills fast.
var fastEngine = withLink(engineSpec{slots: 16, stepMs: 3.9, msPerRequest: 0.047, tokensPerMs: 92, msPerMegaPair: 0.2, startMs: 53, tokensPerEvent: 12, cacheTokens: 360_000, slowFactor: 1}, 0.002)

// The load of a market's morning over 103 processes and 150 engines. With reports as old
// as it takes to fill an engine, placing works badly: with 1.2 s between two reports of
// each process, 0.61 of the documents were in time. In a deployment, heads of groups
// relay reports in three steps of 0.05 s; the 0.3 s here allow for some that are lost.
// The bound is the users' target for this deployment.
func TestManyProcessesPlaceByFreshReports(t *testing.T) {
	const target = 0.74
	sc := scenario{
		spec: fastEngine, engines: 150, processes: 103, reportIntervalMs: 300, pick: pickByPlacer,
		kinds: []requestKind{
			documents(1000, 500*time.Millisecond),
			{perSecond: 400, sharedTokens: []int{119, 79}, variants: []int{8, 300}, ownTokens: 430, outputTokens: 288, target: 600 * time.Millisecond, maxTokenGap: 200 * time.Millisecond, tier: 1},
		},
	}
	sc.kinds[0].maxTokenGap = 300 * time.Millisecond
	fresh := newSimulation(&sc, 1).run(6)
	sc.reportIntervalMs = 1200
	stale := newSimulation(&sc, 1).run(6)
	for k := range sc.kinds {
		t.Logf("kind %d: %.3f in time of %d, %d refused; with old reports %.3f", k, fresh[k].onTimeShare(), fresh[k].requests, fresh[k].refused, stale[k].onTimeShare())
		require.GreaterOrEqual(t, fresh[k].onTimeShare(), target, "kind %d", k)
		require.Greater(t, fresh[k].onTimeShare(), stale[k].onTimeShare(), "kind %d", k)
	}
}
