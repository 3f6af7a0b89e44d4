package orderer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
)

var start = time.Unix(1_000, 0)

func want(t *testing.T, core *Core, at time.Duration, wanted int, fence uint64) {
	t.Helper()
	order := chicoryrock.Order{ID: "1", Pool: "p", Centre: "c", Replicas: wanted, Fence: fence}
	require.NoError(t, core.Order(start.Add(at), order))
}

func TestBackendServersStartLaterAndCostAtOnce(t *testing.T) {
	core := &Core{Startup: time.Minute, Cost: 2}
	want(t, core, 0, 2, 1)
	want(t, core, time.Second, 2, 1) // a repeat
	require.Equal(t, 2, core.Count("p", "c"))
	require.Empty(t, core.Step(start.Add(59*time.Second)))
	require.Equal(t, start.Add(time.Minute), core.Next())
	require.Len(t, core.Step(start.Add(time.Minute)), 2)
	require.Empty(t, core.Step(start.Add(time.Minute)))
	want(t, core, time.Hour, 1, 1)
	stopped := Action{Backend: Backend{Name: "p-c-2", Pool: "p", Centre: "c"}}
	require.Equal(t, []Action{stopped}, core.Step(start.Add(time.Hour)))
	require.InDelta(t, 2*2+2*1, core.Spent(start.Add(2*time.Hour)), 1e-9)
}

func TestFenceIsKeptForEachDataCentre(t *testing.T) {
	for _, test := range []struct {
		name   string
		fence  bool
		centre string
		want   error
	}{
		{"old number refused", true, "c", chicoryrock.ErrFenced},
		{"other data centre", true, "d", nil},
		{"receiver ignores it", false, "c", nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			core := &Core{Fence: test.fence}
			want(t, core, 0, 1, 7)
			err := core.Order(start, chicoryrock.Order{Pool: "p", Centre: test.centre, Fence: 6})
			require.ErrorIs(t, err, test.want)
		})
	}
}
