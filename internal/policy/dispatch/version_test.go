package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/dispatch"
	"github.com/chicoryrock/chicoryrock/internal/policy/queue"
)

// oneEach is a picker that takes the first replica with nothing open.
type oneEach struct{}

func (oneEach) Pick(_ time.Time, _ *chicoryrock.Request, replicas []chicoryrock.Replica) (int, bool) {
	for i := range replicas {
		if !replicas[i].Leaving && replicas[i].Open == 0 {
			return i, true
		}
	}
	return 0, false
}

// A request that only some replicas may take goes to these alone, waits for them without
// blocking others, and is refused once they leave.
func TestRequestsKeepToTheirSoftwareVersion(t *testing.T) {
	now := time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)
	d := &dispatch.Dispatcher{NewQueue: func(string) chicoryrock.Queue { return &queue.Queue{} }, Picker: oneEach{}}
	replicas := func(leaving bool) []chicoryrock.Replica {
		return []chicoryrock.Replica{
			{Name: "a", Pool: "p", Version: "v1", Leaving: leaving},
			{Name: "b", Pool: "p", Version: "v2"},
			{Name: "c", Pool: "p", Version: "v3", Unlisted: true},
		}
	}
	d.SetReplicas("p", replicas(false))
	ask := func(id, version string, resumable bool) *chicoryrock.Request {
		request := &chicoryrock.Request{ID: id, Pool: "p", Tier: 1, Arrived: now, Deadline: now.Add(time.Minute), Version: version, Resumable: resumable}
		_, reason := d.Enqueue(now, request)
		require.Equal(t, chicoryrock.ReasonNone, reason, id)
		return request
	}
	given := func() map[string]string {
		grants := map[string]string{}
		for _, grant := range d.Dispatch(now) {
			grants[grant.Request.ID] = grant.Replica.Name
		}
		return grants
	}
	first := ask("1", "v1", true)
	waits := ask("2", "v1", true)
	ask("3", "", true)
	alsoWaits := ask("4", "", true)
	ask("5", "", false)
	require.Equal(t, map[string]string{"1": "a", "3": "b", "5": "c"}, given(), "no resumable stream begins at c")
	require.Empty(t, given())
	for _, replica := range d.ReplicasFor(now, waits) {
		require.Equal(t, "v1", replica.Version)
	}
	// It goes on at its version only, though the replica has failed it.
	d.Requeue(now, first, "a")
	require.Equal(t, map[string]string{"1": "a"}, given())
	d.SetReplicas("p", replicas(true))
	require.Equal(t, chicoryrock.ReasonVersionGone, d.Unservable(now, waits))
	require.Equal(t, chicoryrock.ReasonNone, d.Unservable(now, alsoWaits))
	_, reason := d.Enqueue(now, &chicoryrock.Request{ID: "6", Pool: "p", Tier: 1, Arrived: now, Deadline: now.Add(time.Minute), Version: "v1"})
	require.Equal(t, chicoryrock.ReasonVersionGone, reason)
	for i := range 3 {
		_, reason := d.Enqueue(now, &chicoryrock.Request{ID: fmt.Sprint("gone", i), Pool: "p", Tier: 1, Arrived: now, Deadline: now.Add(time.Minute), Version: "v9"})
		require.Equal(t, chicoryrock.ReasonVersionGone, reason)
	}
}

// A replica that rests gets nothing until the end of its rest. Requests wait for that, and
// are refused where it comes too late for them.
func TestRestingReplicasGetNothing(t *testing.T) {
	now := time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)
	d := &dispatch.Dispatcher{NewQueue: func(string) chicoryrock.Queue { return &queue.Queue{} }, Picker: oneEach{}}
	d.SetReplicas("p", []chicoryrock.Replica{
		{Name: "a", Pool: "p", Version: "v1", RestUntil: now.Add(2 * time.Second)},
		{Name: "b", Pool: "p", Version: "v2", RestUntil: now.Add(time.Second)},
	})
	ask := func(id, version string, wait time.Duration) chicoryrock.Reason {
		_, reason := d.Enqueue(now, &chicoryrock.Request{ID: id, Pool: "p", Tier: 1, Arrived: now, Deadline: now.Add(wait), Version: version})
		return reason
	}
	require.Equal(t, chicoryrock.ReasonResting, ask("hurried", "", time.Second))
	require.Equal(t, chicoryrock.ReasonResting, ask("hurried, of a version", "v1", 1500*time.Millisecond))
	require.Equal(t, chicoryrock.ReasonNone, ask("waits", "", 3*time.Second))
	require.Equal(t, chicoryrock.ReasonNone, ask("waits for a", "v1", 3*time.Second))
	require.Empty(t, d.Dispatch(now.Add(time.Second-1)))
	granted := d.Dispatch(now.Add(time.Second))
	require.Len(t, granted, 1)
	require.Equal(t, "b", granted[0].Replica.Name)
	require.True(t, d.Takes(now.Add(time.Second), granted[0].Request, "b"))
	require.False(t, d.Takes(now, granted[0].Request, "b"))
	end, found := d.RestEnd(now, granted[0].Request)
	require.True(t, found)
	require.Equal(t, now.Add(time.Second), end)
	granted = d.Dispatch(now.Add(2 * time.Second))
	require.Len(t, granted, 1)
	require.Equal(t, "a", granted[0].Replica.Name)
}
