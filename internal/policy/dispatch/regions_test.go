package dispatch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/dispatch"
	"github.com/chicoryrock/chicoryrock/internal/policy/pick"
	"github.com/chicoryrock/chicoryrock/internal/policy/queue"
)

// regions is a pool with a replica in each of two data centres of north and one in south.
type regions struct {
	t   *testing.T
	now time.Time
	dispatch.Dispatcher
}

func newRegions(t *testing.T, picker chicoryrock.Picker) *regions {
	r := &regions{t: t, now: time.Date(2026, 12, 6, 8, 0, 0, 0, time.UTC)}
	r.NewQueue, r.Picker = func(string) chicoryrock.Queue { return &queue.Queue{} }, picker
	r.set()
	return r
}

// set sets the replicas, with some data centres evacuated.
func (r *regions) set(evacuated ...string) {
	replicas := []chicoryrock.Replica{
		{Name: "a", Pool: "p", Slots: 1, Centre: "a", Region: "north"},
		{Name: "b", Pool: "p", Slots: 1, Centre: "b", Region: "north"},
		{Name: "c", Pool: "p", Slots: 1, Centre: "c", Region: "south"},
		{Name: "u", Pool: "p", Slots: 1, Centre: "u", Leaving: true},
	}
	for _, centre := range evacuated {
		for i := range replicas {
			replicas[i].Evacuated = replicas[i].Evacuated || replicas[i].Centre == centre
		}
	}
	r.SetReplicas("p", replicas)
}

func (r *regions) ask(id string, regions ...string) (*chicoryrock.Request, chicoryrock.Reason) {
	request := &chicoryrock.Request{ID: id, Pool: "p", Tier: 1, Arrived: r.now, Deadline: r.now.Add(time.Minute), Idempotent: true, Regions: regions}
	_, reason := r.Enqueue(r.now, request)
	return request, reason
}

func (r *regions) given() map[string]string {
	grants := map[string]string{}
	for _, grant := range r.Dispatch(r.now) {
		require.True(r.t, r.Takes(r.now, grant.Request, grant.Replica.Name))
		grants[grant.Request.ID] = grant.Replica.Name
	}
	return grants
}

// Guards against a bound request that is sent elsewhere because its region is busy, one that
// blocks those behind it, and one that waits although no region is left for it.
func TestBoundRequestsWaitForTheirRegions(t *testing.T) {
	pickers := []struct {
		name   string
		picker chicoryrock.Picker
	}{
		{"entry", &pick.Picker{Centre: "a", Region: "north", Random: rand.New(rand.NewPCG(1, 2))}},
		{"first free", firstFree{}},
	}
	for _, c := range pickers {
		t.Run(c.name, func(t *testing.T) {
			r := newRegions(t, c.picker)
			first, reason := r.ask("1", "south")
			require.Equal(t, chicoryrock.ReasonNone, reason)
			require.Equal(t, map[string]string{"1": "c"}, r.given())
			waits, reason := r.ask("2", "south", "west")
			require.Equal(t, chicoryrock.ReasonNone, reason, "a server that is only busy")
			_, reason = r.ask("3")
			require.Equal(t, chicoryrock.ReasonNone, reason)
			given := r.given()
			require.Len(t, given, 1)
			require.Contains(t, given, "3", "another one is not held up")
			for _, replica := range r.ReplicasFor(r.now, waits) {
				require.Equal(t, "south", replica.Region)
			}
			for _, none := range [][]string{{"west"}, {}, {""}} {
				_, reason = r.ask("4", none...)
				if len(none) == 0 {
					_, reason = r.Enqueue(r.now, &chicoryrock.Request{Pool: "p", Tier: 1, Regions: none})
				}
				require.Equal(t, chicoryrock.ReasonRegion, reason, "%q", none)
			}
			r.Requeue(r.now, first, "c") // its only server failed it
			require.Equal(t, map[string]string{"1": "c"}, r.given(), "a retry")
			r.set("c")
			r.Finish(r.now, first, "c")
			require.Empty(t, r.given(), "a request that waits for an evacuated data centre")
			require.Equal(t, chicoryrock.ReasonEvacuated, r.Unservable(r.now, waits))
			require.False(t, r.Takes(r.now, waits, "c"), "one that was given a server before")
			require.False(t, r.Address("p", "c").IsValid())
			r.set()
			require.Equal(t, map[string]string{"2": "c"}, r.given(), "taken back")
		})
	}
}

// Guards against ways in which suspects, and streams of a software version, pass by an
// evacuation, and against an answer that names the wrong reason.
func TestEvacuationHoldsForAllRequests(t *testing.T) {
	r := newRegions(t, firstFree{})
	r.set("a", "b")
	cases := []struct {
		name    string
		request chicoryrock.Request
		want    chicoryrock.Reason
	}{
		{"any", chicoryrock.Request{}, chicoryrock.ReasonNone},
		{"bound", chicoryrock.Request{Regions: []string{"north"}}, chicoryrock.ReasonEvacuated},
		{"suspect", chicoryrock.Request{Suspect: true}, chicoryrock.ReasonNone},
		{"of a version that is gone", chicoryrock.Request{Version: "v9"}, chicoryrock.ReasonVersionGone},
	}
	for _, c := range cases {
		request := c.request
		request.ID, request.Pool, request.Tier, request.Arrived, request.Deadline = c.name, "p", 1, r.now, r.now.Add(time.Minute)
		_, reason := r.Enqueue(r.now, &request)
		require.Equal(t, c.want, reason, c.name)
		if reason != chicoryrock.ReasonNone {
			continue
		}
		require.Equal(t, map[string]string{c.name: "c"}, r.given())
		r.Finish(r.now, &request, "c")
	}
	r.set("a", "b", "c")
	_, reason := r.ask("none left")
	require.Equal(t, chicoryrock.ReasonEvacuated, reason)
}

// firstFree is a picker that takes the first replica with nothing open that a request allows.
type firstFree struct{}

func (firstFree) Pick(_ time.Time, request *chicoryrock.Request, replicas []chicoryrock.Replica) (int, bool) {
	for i := range replicas {
		if !replicas[i].Leaving && request.Allows(&replicas[i]) && replicas[i].Open == 0 {
			return i, true
		}
	}
	return 0, false
}
