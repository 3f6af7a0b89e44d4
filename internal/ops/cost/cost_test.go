package cost

import (
	"bytes"
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

var (
	start = time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)
	pools = []object.Pool{{Name: "lens", Slots: 4, Cost: 3}}
	terms = Terms{Pools: pools, Missing: []string{"e9"}}
)

// list returns a list of VMs with some backend servers of pool lens and an entry.
func list(servers int) []chicoryrock.VM {
	vms := []chicoryrock.VM{{Name: "e1", Role: "entry", Centre: "quan1"}}
	for range servers {
		vms = append(vms, chicoryrock.VM{Role: roleAgent, Pool: "lens", Centre: "quan1", State: chicoryrock.VMLeaving})
	}
	return vms
}

// watched returns a meter that read the list each minute, with so many servers.
func watched(process string, servers ...int) *Meter {
	meter := &Meter{Process: process}
	for minute, count := range servers {
		meter.Observe(start.Add(time.Duration(minute)*time.Minute), list(count))
	}
	return meter
}

func report(t *testing.T, now time.Time, snapshots ...Snapshot) *Report {
	t.Helper()
	var book Book
	for _, snapshot := range snapshots {
		book.Merge(snapshot)
	}
	report, err := book.Report(now, terms)
	require.NoError(t, err)
	return report
}

func TestPaidTime(t *testing.T) {
	meter := watched("e1", 2, 2, 3, 0, 0)
	cells := meter.Snapshot(start).Cells
	require.Len(t, cells, 1)
	require.Equal(t, 7*time.Minute, cells[0].Paid, "2 + 2 + 3 + 0 server minutes")
	crossing := watched("e1", 0, 0, 0, 0)
	crossing.Observe(start.Add(4*time.Minute), list(1))
	crossing.Observe(start.Add(7*time.Minute), nil)
	cells = crossing.Snapshot(start).Cells
	require.Equal(t, []time.Duration{time.Minute, 2 * time.Minute}, []time.Duration{cells[0].Paid, cells[1].Paid}, "split at the end of a cell")
	blind := watched("e1", 1)
	blind.Observe(start.Add(maxUnseen+1), list(1))
	require.Empty(t, blind.Snapshot(start).Cells, "time that nobody saw is not made up")
}

func TestReport(t *testing.T) {
	one, two := watched("e1", 2, 2, 2, 2, 2), watched("e2", 2, 2, 2)
	for range 10 {
		one.Serve(start, Served{Pool: "lens", Centre: "quan1", Busy: time.Minute, Good: true, Output: 100})
		two.Serve(start, Served{Pool: "lens", Centre: "quan1", Busy: 12 * time.Second, Output: 50, Wasted: 50})
	}
	two.Serve(start, Served{Pool: "gone", Centre: "quan1", Good: true})
	early := one.Snapshot(start)
	early.Cells = slices.Clone(early.Cells)
	early.Cells[0].Good = 1
	got := report(t, start.Add(time.Hour), one.Snapshot(start), two.Snapshot(start), early, two.Snapshot(start))
	require.Equal(t, Line{Pool: "lens", Centre: "quan1", Paid: 8 * time.Minute, Money: 0.4, Used: 0.375, Good: 10, Bad: 10,
		Output: 1500, Wasted: 500, Price: 40}, got.Lines[0])
	require.Equal(t, "gone", got.Lines[1].Pool)
	require.InDelta(t, 0.4, got.Total.Money, 1e-9)
	require.Equal(t, int64(11), got.Total.Good)
	var out bytes.Buffer
	require.NoError(t, got.WriteTable(&out))
	for _, want := range []string{"from 2 processes", "no answer came from e9", "37.5%", "40.00", "total"} {
		require.Contains(t, out.String(), want)
	}
	require.NoError(t, got.WriteJSON(&out))
}

func TestEmptyAndOld(t *testing.T) {
	var book Book
	_, err := book.Report(start, terms)
	require.ErrorIs(t, err, ErrEmpty)
	book.Merge(watched("e1", 1, 1).Snapshot(start))
	_, err = book.Report(start.Add(25*time.Hour), terms)
	require.ErrorIs(t, err, ErrEmpty)
}

func TestSnapshotSurvivesJSON(t *testing.T) {
	snapshot := watched("e1", 1, 1).Snapshot(start)
	text, err := json.Marshal(snapshot)
	require.NoError(t, err)
	var back Snapshot
	require.NoError(t, json.Unmarshal(text, &back))
	require.Equal(t, snapshot, back)
}
