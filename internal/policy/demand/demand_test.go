package demand

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
)

var (
	start  = time.Unix(1_000_000, 0)
	quan1  = PoolCentre{Pool: "lens", Centre: "quan-1"}
	lenses = []Pool{{Name: "lens", Slots: 10, Min: 1, Max: 9, StartupTime: time.Minute}}
)

func listVMs(servers int) []chicoryrock.VM {
	vms := []chicoryrock.VM{
		{Name: "entry-1", Role: RoleEntry, Centre: "quan-1", State: chicoryrock.VMLive},
		{Name: "entry-2", Role: RoleEntry, Centre: "quan-1", State: chicoryrock.VMLive},
	}
	for range servers {
		vms = append(vms, chicoryrock.VM{Role: "agent", Pool: "lens", Centre: "quan-1", State: chicoryrock.VMLive})
	}
	return vms
}

// report sends the planner a report of each named entry every two seconds, each with
// a demand of that many slots, and returns the time after the last report.
func report(p *Planner, span time.Duration, slots float64, names ...string) time.Time {
	now := start
	for ; now.Before(start.Add(span)); now = now.Add(2 * time.Second) {
		for _, name := range names {
			used := slots * now.Sub(start).Seconds()
			p.AddReport(now, Report{Entry: name, Totals: []Total{{Pool: "lens", Tier: 3, SlotSeconds: used}}})
		}
	}
	return now
}

func requireDesired(t *testing.T, p *Planner, now time.Time, servers, want int) {
	t.Helper()
	require.Equal(t, want, p.DesiredServers(now, lenses, listVMs(servers))[quan1])
}

func TestPlannerFollowsDemand(t *testing.T) {
	cases := []struct {
		name    string
		span    time.Duration
		slots   float64 // demand of each of two entries
		servers int     // listed now
		want    int
	}{
		{"raised at once", time.Minute, 10, 1, 3},
		{"at most the pool's maximum", 5 * time.Minute, 100, 3, 9},
		{"not lowered while the forecast is fresh", time.Minute, 1, 5, 5},
		{"lowered when warm", 5 * time.Minute, 1, 5, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := &Planner{StartedAt: start}
			now := report(p, c.span, c.slots, "entry-1", "entry-2")
			requireDesired(t, p, now, c.servers, c.want)
		})
	}
}

func TestMissingReportKeepsCount(t *testing.T) {
	p := &Planner{StartedAt: start}
	now := report(p, 5*time.Minute, 1, "entry-1")
	requireDesired(t, p, now, 5, 5)
}

func TestPlannerHandlesEntryRestart(t *testing.T) {
	p := &Planner{StartedAt: start}
	now := report(p, 5*time.Minute, 10, "entry-1", "entry-2")
	p.AddReport(now, Report{Entry: "entry-1", Totals: []Total{{Pool: "lens", Tier: 3, SlotSeconds: 1}}})
	require.InDelta(t, 1, p.reports["entry-1"].totals[poolTier{pool: "lens", tier: 3}], 0)
	requireDesired(t, p, now, 3, 3)
}
