package admit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/admit"
	"github.com/chicoryrock/chicoryrock/internal/policy/queue"
	"github.com/chicoryrock/chicoryrock/internal/policy/quota"
)

// A backend server that states a limit gets no more. What its limit doesn't allow is
// refused at once with the time of the next permit, and its load shows it as full, so that
// entries choose another one.
func TestStatedLimit(t *testing.T) {
	const limit, slots = 2.0, 4
	alone := &quota.Member{Name: "agent"}
	alone.SetMembers(nil, true, 1)
	c := &admit.Controller{Slots: slots, Queue: &queue.Queue{Limit: queueLimit}, Quota: alone}
	offer := func(now time.Time, n int) admit.Action {
		request := &chicoryrock.Request{ID: fmt.Sprint(n), Workspace: "w", Class: "c", Tier: 1, Arrived: now, Deadline: now.Add(time.Second)}
		actions := c.Offer(now, request)
		last := actions[len(actions)-1]
		if last.Kind == admit.Run {
			c.MarkStarted(request)
			c.Finish(now, request)
		}
		return last
	}
	for n := range 20 {
		require.Equal(t, admit.Run, offer(start, n).Kind, "no limit is known")
	}
	alone.Observe(start, start, admit.LimitKey, limit)
	runs := 0
	const span = 10 * time.Second
	for n := 0; time.Duration(n)*50*time.Millisecond < span; n++ {
		now := start.Add(time.Duration(n) * 50 * time.Millisecond)
		switch action := offer(now, 100+n); action.Kind {
		case admit.Run:
			runs++
		default:
			require.Equal(t, admit.Refuse, action.Kind)
			require.Equal(t, chicoryrock.ReasonServerLimit, action.Reason)
			require.Equal(t, time.Second/limit, action.RetryAfter)
			require.Equal(t, c.Load(now).Slots, c.Load(now).Running)
			require.Positive(t, c.Load(now).Slots)
		}
	}
	require.LessOrEqual(t, float64(runs), limit*(span+quota.PermitLifetime).Seconds()+1)
	require.GreaterOrEqual(t, float64(runs), 0.8*limit*span.Seconds())
	alone.Observe(start.Add(span), start.Add(span), admit.LimitKey, chicoryrock.Unlimited)
	for n := range 20 {
		require.Equal(t, admit.Run, offer(start.Add(span), 1000+n).Kind, "the limit has ended")
	}
}

// Requests that wait for a slot while a limit begins run when the limit allows.
func TestWaitingRequestsRunWhenTheLimitAllows(t *testing.T) {
	alone := &quota.Member{Name: "agent"}
	alone.SetMembers(nil, true, 1)
	c := &admit.Controller{Slots: 1, Queue: &queue.Queue{Limit: queueLimit}, Quota: alone}
	request := func(id string) *chicoryrock.Request {
		return &chicoryrock.Request{ID: id, Workspace: "w", Class: "c", Tier: 1, Arrived: start, Deadline: start.Add(time.Minute)}
	}
	first, second := request("first"), request("second")
	c.Offer(start, first)
	c.MarkStarted(first)
	actions := c.Offer(start, second)
	require.Equal(t, admit.Wait, actions[len(actions)-1].Kind)
	alone.Observe(start, start, admit.LimitKey, 0.5)
	c.Finish(start, first)
	ran := time.Duration(0)
	for at := time.Duration(0); at < 10*time.Second && ran == 0; at += 10 * time.Millisecond {
		for _, action := range c.Tick(start.Add(at)) {
			require.Equal(t, second, action.Request)
			require.Equal(t, admit.Run, action.Kind)
			ran = at
		}
	}
	require.Positive(t, ran)
	require.LessOrEqual(t, ran, 2*time.Second+10*time.Millisecond)
}
