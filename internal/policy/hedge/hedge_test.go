package hedge_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/internal/policy/hedge"
)

var start = time.Date(2026, time.January, 5, 6, 0, 0, 0, time.UTC)

const ms = time.Millisecond

// learned returns a hedger that knows 1000 times: 97% of 10 to 20 ms, 3% of 400 ms.
func learned(share float64, server hedge.Server) *hedge.Hedger {
	h := &hedge.Hedger{Share: share}
	for i := range 1000 {
		took := 10*ms + time.Duration(i%11)*ms
		if i%100 < 3 {
			took = 400 * ms
		}
		h.RecordCall(start, "p")
		h.RecordAnswer(start, "p", "c", server, took, false)
	}
	return h
}

// Guards against hedges where they can't help, or where others need the room.
func TestDecide(t *testing.T) {
	usual := hedge.Attempt{Pool: "p", Class: "c", Elapsed: 25 * ms, Deadline: start.Add(time.Second)}
	tests := []struct {
		name   string
		change func(a *hedge.Attempt)
		want   hedge.Verdict
	}{
		{"slow", func(*hedge.Attempt) {}, hedge.Send},
		{"another class", func(a *hedge.Attempt) { a.Class = "d" }, hedge.Unknown},
		{"time nearly over", func(a *hedge.Attempt) { a.Deadline = start.Add(10 * ms) }, hedge.Late},
		{"requests wait", func(a *hedge.Attempt) { a.Load.Waiting = 1 }, hedge.Overload},
		{"replicas loaded", func(a *hedge.Attempt) { a.Load.Loaded = 0.6 }, hedge.Overload},
		{"retries", func(a *hedge.Attempt) { a.Load.Retries = 0.6 }, hedge.Overload},
		{"answer is near", func(a *hedge.Attempt) { a.Elapsed = 395 * ms }, hedge.NotSooner},
		{"answer is near, but the replica fails", func(a *hedge.Attempt) { a.Elapsed, a.Failing = 395*ms, true }, hedge.Send},
		{"second replica is slow", func(a *hedge.Attempt) { a.Second = hedge.Server{Slowdown: 40} }, hedge.NotSooner},
	}
	for _, test := range tests {
		attempt := usual
		test.change(&attempt)
		assert.Equal(t, test.want, learned(0.05, hedge.Server{}).Decide(start, &attempt), test.name)
	}
	refused := learned(0.05, hedge.Server{})
	refused.RecordRefusal(start, "p")
	assert.Equal(t, hedge.Overload, refused.Decide(start.Add(900*ms), &usual))
	later := usual
	later.Deadline = start.Add(5 * time.Second)
	assert.Equal(t, hedge.Send, refused.Decide(start.Add(time.Second), &later))
	off := learned(0.05, hedge.Server{})
	off.Share = 0
	assert.Equal(t, hedge.NoBudget, off.Decide(start, &usual))
	assert.False(t, off.TryWithdraw(start, "p"))
}

// Guards against hedges of long prompts after the usual time of short ones, and of what a
// slow replica runs after the slow replica's time.
func TestDelayFollowsThePrediction(t *testing.T) {
	h := learned(0.05, hedge.Server{Expected: 15 * ms, Slowdown: 1})
	for _, test := range []struct{ expected, want time.Duration }{{15 * ms, 20 * ms}, {150 * ms, 200 * ms}} {
		for _, slowdown := range []float64{1, 4} {
			delay, known := h.Delay(start, "p", "c", hedge.Server{Expected: time.Duration(slowdown * float64(test.expected)), Slowdown: slowdown})
			require.True(t, known)
			assert.InDelta(t, test.want, delay, float64(test.want)/50)
		}
	}
}

// Guards against hedges beyond the share in a window, over processes that know nothing of
// each other, and before the times are known.
func TestShareHoldsOverAllProcesses(t *testing.T) {
	const fronts, share = 20, 0.1
	sent, calls := 0, 0
	for front := range fronts {
		h := &hedge.Hedger{Share: share}
		_, known := h.Delay(start, "p", "c", hedge.Server{})
		require.False(t, known)
		for i := range 5 + 7*front {
			now := start.Add(time.Duration(i) * 10 * ms)
			h.RecordCall(now, "p")
			calls++
			for h.TryWithdraw(now, "p") {
				sent++
			}
		}
	}
	assert.LessOrEqual(t, float64(sent), share*float64(calls))
	assert.Positive(t, sent)
}
