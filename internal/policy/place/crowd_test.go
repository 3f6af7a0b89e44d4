package place

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// market is an engine that runs few requests at once and reads fast.
var market = with(sheet{slots: 16, step: 3.9, slot: 0.047, rate: 92, pairs: 0.2, first: 53, stride: 12, memory: 360_000, slowest: 1}, 0.002)

// The load of a market's morning over 103 processes and 150 engines. Where reports are
// as old as it takes to fill an engine, nobody's choice is worth much: with 1.2 s
// between two reports of each process 0.61 of the sheets were in time. Heads of groups
// relay them in three steps of 0.05 s; with 0.3 s some are lost. The bound is the users'
// target for this deployment.
func TestManyProcessesPlaceByFreshReports(t *testing.T) {
	const target = 0.74
	load := play{
		sheet: market, engines: 150, processes: 103, tell: 300, pick: byPlacer,
		kinds: []kind{
			documents(1000, 500*time.Millisecond),
			{perSecond: 400, shared: []int{119, 79}, things: []int{8, 300}, own: 430, output: 288, target: 600 * time.Millisecond, gap: 200 * time.Millisecond, tier: 1},
		},
	}
	load.kinds[0].gap = 300 * time.Millisecond
	got := newWorld(&load, 1).run(6)
	load.tell = 1200
	old := newWorld(&load, 1).run(6)
	for k := range load.kinds {
		t.Logf("kind %d: %.3f in time of %d, %d refused; with old reports %.3f", k, got[k].share(), got[k].asked, got[k].refused, old[k].share())
		require.GreaterOrEqual(t, got[k].share(), target, "kind %d", k)
		require.Greater(t, got[k].share(), old[k].share(), "kind %d", k)
	}
}
