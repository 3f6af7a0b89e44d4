package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/dispatch"
	"github.com/chicoryrock/chicoryrock/internal/policy/queue"
	"github.com/chicoryrock/chicoryrock/internal/policy/quota"
)

// limitedPlacer returns a placer in a process of its own for which replicas state limits.
func limitedPlacer(limits map[string]float64) *Placer {
	p := newPlacer()
	p.Quota = &quota.Member{Name: "front"}
	p.Quota.SetMembers(nil, true, 1)
	for name, limit := range limits {
		p.Quota.Observe(epoch, epoch, ServerKey(name), limit)
	}
	return p
}

// plain returns a request to a plain service.
func plain(id string) *chicoryrock.Request {
	return &chicoryrock.Request{ID: id, Pool: "app", Arrived: epoch, FirstTokenTarget: 300 * time.Millisecond}
}

// Requests that a replica's limit doesn't allow go to the other replicas, however they come
// to be placed: for the first time, again after a failure, or to resume a stream.
func TestLimitedReplicaIsPassedOver(t *testing.T) {
	cases := []struct {
		name string
		ask  func(n int) *chicoryrock.Request
	}{
		{"prompts", func(n int) *chicoryrock.Request { return question(uint64(n)) }},
		{"the same request again and again", func(int) *chicoryrock.Request { return question(1) }},
		{"plain services", func(int) *chicoryrock.Request { return plain("x") }},
	}
	for _, c := range cases {
		p := limitedPlacer(map[string]float64{"a": 2})
		replicas := replicasNamed("a", "b")
		sent := map[string]int{}
		now := epoch
		const span = 20 * time.Second
		for n := 0; now.Before(epoch.Add(span)); n++ {
			now = now.Add(50 * time.Millisecond)
			request := c.ask(n)
			at, placed := p.Pick(now, request, replicas)
			require.True(t, placed, c.name)
			sent[replicas[at].Name]++
			p.RecordEnd(now, request, 0, false)
		}
		require.LessOrEqual(t, float64(sent["a"]), 2*(span+quota.PermitLifetime).Seconds()+1, c.name)
		require.GreaterOrEqual(t, sent["a"], 20, c.name)
	}
}

// verdict is what may be done with a request.
type verdict string

const (
	room    verdict = "there is room"
	waits   verdict = "it waits"
	refused verdict = "it is refused"
)

func limitWait(p *Placer, now time.Time, request *chicoryrock.Request, replicas []chicoryrock.Replica, waiting int) verdict {
	until, limited := p.LimitWait(now, request, replicas, waiting)
	switch {
	case !limited:
		return room
	case until.IsZero():
		return refused
	default:
		return waits
	}
}

// Where all replicas are limited, one request waits for a permit. The others are refused,
// and told a time at which they are placed.
func TestAllReplicasAreLimited(t *testing.T) {
	replicas := append(replicasNamed("a", "b"), chicoryrock.Replica{Name: "c", Leaving: true})
	p := limitedPlacer(map[string]float64{"a": 0.5, "b": 0.5})
	now := epoch.Add(time.Minute)
	require.Equal(t, room, limitWait(p, now, plain("first"), replicas, 1), "both take one")
	for _, id := range []string{"first", "second"} {
		_, placed := p.Pick(now, plain(id), replicas)
		require.True(t, placed, id)
	}
	require.Equal(t, refused, limitWait(p, now, plain("third"), replicas, 1))
	require.Equal(t, waits, limitWait(p, now, plain("third"), replicas, 0), "it can wait")
	wait, known := p.RecordRefusal(now, plain("third"), replicas)
	require.True(t, known)
	require.Greater(t, wait, 500*time.Millisecond)
	_, placed := p.Pick(now.Add(wait/4), plain("third"), replicas)
	require.False(t, placed)
	_, placed = p.Pick(now.Add(2*time.Second), plain("third"), replicas)
	require.True(t, placed)
	require.Equal(t, room, limitWait(limitedPlacer(map[string]float64{"a": 0.5}), now, plain("x"), replicas, 1), "the other one has no limit")
	require.Equal(t, room, limitWait(p, now, plain("x"), nil, 1), "no replica is known")
	require.Equal(t, room, limitWait(p, now, plain("x"), replicas[2:], 1), "the only one leaves, which is told otherwise")
}

// While a limited replica is asked for more than it takes, each class and workspace is
// served at least a quarter as often as all are, however urgent and patient they are.
func TestNoClassStarvesAtALimit(t *testing.T) {
	kinds := []struct {
		name    string
		tier    int
		patient time.Duration // how long a request may wait
		rate    float64       // requests a second
	}{
		{"urgent", 1, 50 * time.Millisecond, 10},
		{"patient", 2, 400 * time.Millisecond, 20},
		{"rare", 3, 160 * time.Millisecond, 2},
	}
	for _, limit := range []float64{0.5, 3, 6, 10, 20} {
		p := limitedPlacer(map[string]float64{"a": limit})
		d := &dispatch.Dispatcher{NewQueue: func(string) chicoryrock.Queue { return &queue.Queue{Limit: 100} }, Picker: p}
		d.SetReplicas("app", []chicoryrock.Replica{{Name: "a", Pool: "app", Slots: 4}})
		random := rand.New(rand.NewPCG(1, 1))
		asked, served := map[string]float64{}, map[string]float64{}
		all := 0.0
		for now := epoch; now.Before(epoch.Add(10 * time.Minute)); now = now.Add(10 * time.Millisecond) {
			for i, kind := range kinds {
				if random.Float64() >= kind.rate*0.01 {
					continue
				}
				request := &chicoryrock.Request{
					ID: fmt.Sprint(i, now), Class: kind.name, Workspace: kind.name, Pool: "app", Tier: kind.tier,
					Arrived: now, Deadline: now.Add(kind.patient), FirstTokenTarget: time.Second,
				}
				asked[kind.name]++
				until, limited := p.LimitWait(now, request, d.Replicas("app"), d.QueueLength("app"))
				if limited && until.IsZero() {
					continue
				}
				if limited && until.Before(request.Deadline) {
					request.Deadline = until
				}
				d.Enqueue(now, request)
			}
			d.Expire(now)
			for _, grant := range d.Dispatch(now) {
				served[grant.Request.Class]++
				all++
				p.RecordEnd(now, grant.Request, 0, false)
				d.Finish(now, grant.Request, "a")
			}
		}
		share := all / (asked["urgent"] + asked["patient"] + asked["rare"])
		require.GreaterOrEqual(t, all, 0.8*limit*600, "limit %g", limit)
		for _, kind := range kinds {
			require.GreaterOrEqual(t, served[kind.name]/asked[kind.name], share/4, "limit %g: %s", limit, kind.name)
		}
	}
}

// Requests that are refused together are told to return one after the other.
func TestRefusedByLimitsReturnSpreadOut(t *testing.T) {
	replicas := replicasNamed("a")
	p := limitedPlacer(map[string]float64{"a": 1})
	longest := time.Duration(0)
	for n := range 20 {
		request := plain(string(rune('a' + n)))
		limitWait(p, epoch, request, replicas, 1)
		wait, known := p.RecordRefusal(epoch, request, replicas)
		require.True(t, known)
		longest = max(longest, wait)
	}
	require.Greater(t, longest, 8*time.Second, "one a second")
}
