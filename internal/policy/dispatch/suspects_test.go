package dispatch_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/baseline"
	"github.com/chicoryrock/chicoryrock/internal/policy/dispatch"
	"github.com/chicoryrock/chicoryrock/internal/policy/pick"
)

var start = time.Date(2026, time.January, 5, 6, 0, 0, 0, time.UTC)

// newDispatcher returns a dispatcher of one pool with two replicas of two slots each.
func newDispatcher() *dispatch.Dispatcher {
	d := &dispatch.Dispatcher{
		NewQueue: func(string) chicoryrock.Queue { return &baseline.Queue{} },
		Picker:   &pick.Picker{Centre: "c", Region: "r", Random: rand.New(rand.NewPCG(1, 1))},
	}
	d.SetReplicas("p", []chicoryrock.Replica{
		{Name: "one", Pool: "p", Centre: "c", Region: "r", Slots: 2},
		{Name: "two", Pool: "p", Centre: "c", Region: "r", Slots: 2},
	})
	return d
}

func request(id string, tier int) *chicoryrock.Request {
	return &chicoryrock.Request{ID: id, Pool: "p", Tier: tier, Arrived: start, Deadline: start.Add(time.Second), Idempotent: true}
}

func enqueue(t *testing.T, d *dispatch.Dispatcher, requests ...*chicoryrock.Request) {
	t.Helper()
	for _, r := range requests {
		_, reason := d.Enqueue(start, r)
		require.Equal(t, chicoryrock.ReasonNone, reason)
	}
}

// Four requests run when an engine crashes. As suspects they run again one at a time
// on each replica, while other requests are served beside them.
func TestSuspectsRunApart(t *testing.T) {
	d := newDispatcher()
	all := []*chicoryrock.Request{request("a", 2), request("b", 2), request("c", 2), request("d", 2)}
	enqueue(t, d, all...)
	grants := d.Dispatch(start)
	require.Len(t, grants, 4)
	for _, grant := range grants {
		grant.Request.Suspect = true
		d.Requeue(start, grant.Request, grant.Replica.Name)
	}
	clean := []*chicoryrock.Request{request("e", 2), request("f", 2), request("g", 2)}
	enqueue(t, d, clean...)
	grants = d.Dispatch(start)
	suspectsOn := make(map[string]int)
	for _, grant := range grants {
		if grant.Request.Suspect {
			suspectsOn[grant.Replica.Name]++
		}
	}
	assert.Equal(t, map[string]int{"one": 1, "two": 1}, suspectsOn)
	assert.Len(t, grants, 4, "the other slots are used")
	for _, grant := range grants {
		if grant.Request.Suspect {
			d.Finish(start, grant.Request, grant.Replica.Name)
		}
	}
	assert.Len(t, d.Dispatch(start), 2, "the next two suspects")
	assert.Empty(t, d.WaitingSuspects("p"))
}

// A replica whose suspect has passed its probation may run another.
func TestEndProbationAdmitsNextSuspect(t *testing.T) {
	d := newDispatcher()
	all := []*chicoryrock.Request{request("a", 1), request("b", 1), request("c", 1)}
	for _, r := range all {
		r.Suspect = true
	}
	enqueue(t, d, all...)
	grants := d.Dispatch(start)
	require.Len(t, grants, 2)
	assert.Empty(t, d.Dispatch(start))
	d.EndProbation(grants[0].Request, grants[0].Replica.Name)
	more := d.Dispatch(start)
	require.Len(t, more, 1)
	assert.Equal(t, grants[0].Replica.Name, more[0].Replica.Name)
	d.Finish(start, grants[0].Request, grants[0].Replica.Name)
	last := request("d", 1)
	last.Suspect = true
	enqueue(t, d, last)
	assert.Empty(t, d.Dispatch(start), "the second suspect still holds the replica")
}

// Streams that a crash interrupted and that can still meet their target between
// tokens go before those that can't, but after the request that had received nothing
// yet, which may have caused the crash.
func TestOrderOfSuspects(t *testing.T) {
	d := newDispatcher()
	all := []*chicoryrock.Request{request("hopeless", 2), request("hurried", 2), request("patient", 2), request("new", 2)}
	enqueue(t, d, all...)
	resumeIn := []time.Duration{-time.Second, 200 * time.Millisecond, 3 * time.Second}
	for _, grant := range d.Dispatch(start) {
		if index := slices.Index(all, grant.Request); index < len(resumeIn) {
			grant.Request.ResumeBy = start.Add(resumeIn[index])
		}
		grant.Request.Suspect = true
		d.Requeue(start, grant.Request, grant.Replica.Name)
	}
	var order []string
	for _, waiting := range d.WaitingSuspects("p") {
		order = append(order, waiting.ID)
	}
	assert.Equal(t, []string{"new", "hurried", "patient", "hopeless"}, order)
}

// A suspect that has not run before doesn't overtake a request of a higher tier, one
// that a crash interrupted does.
func TestNewSuspectWaitsForHigherTier(t *testing.T) {
	d := newDispatcher()
	fill := []*chicoryrock.Request{request("1", 1), request("2", 1), request("3", 1), request("4", 1)}
	enqueue(t, d, fill...)
	grants := d.Dispatch(start)
	require.Len(t, grants, 4)
	suspect := request("s", 3)
	suspect.Suspect = true
	enqueue(t, d, request("top", 1), suspect)
	d.Finish(start, grants[0].Request, grants[0].Replica.Name)
	grants = d.Dispatch(start)
	require.Len(t, grants, 1)
	assert.Equal(t, "top", grants[0].Request.ID)
}

func TestSuspectsExpireAndCancel(t *testing.T) {
	d := newDispatcher()
	first, second := request("a", 1), request("b", 1)
	first.Suspect, second.Suspect = true, true
	enqueue(t, d, first, second)
	assert.Equal(t, 2, d.QueueLength("p"))
	assert.True(t, d.Cancel(start, first))
	assert.Equal(t, []*chicoryrock.Request{second}, d.Expire(start.Add(time.Second)))
	assert.Empty(t, d.Dispatch(start))
}
