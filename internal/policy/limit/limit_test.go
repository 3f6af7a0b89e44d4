package limit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/limit"
	"github.com/chicoryrock/chicoryrock/internal/standin/property"
)

func TestMain(m *testing.M) { property.Run(m, property.Size{Seed: 4}) }

var start = time.Unix(1_000_000, 0)

// bound returns the stated bound on what is used beyond the rate.
func bound(size int) float64 {
	others := float64(size - 1)
	return burst + others*(burst+rate*limit.ExchangeInterval.Seconds()) + float64(size)*most
}

// TestLimitHoldsOverEntries sends any traffic to any entries that hear each other.
// No stretch of time exceeds the stated bound.
func TestLimitHoldsOverEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 6).Draw(t, "entries")
		c := newCluster(size)
		for range rapid.IntRange(1, 10).Draw(t, "phases") {
			busy := rapid.IntRange(0, size).Draw(t, "busy entries")
			demand := rapid.IntRange(0, 20).Draw(t, "requests a step")
			tokens := rapid.IntRange(1, most).Draw(t, "tokens")
			for range rapid.IntRange(1, 400).Draw(t, "steps") {
				c.tick()
				for i := range busy * demand {
					c.ask(i%busy, tokens)
				}
			}
		}
		refutef(t, c.worst > bound(size), "%.0f used beyond the rate, the bound is %.0f", c.worst, bound(size))
	})
}

// TestLimitHoldsWhileCutOff floods all entries, cuts them into groups for a
// time, and joins them again.
func TestLimitHoldsWhileCutOff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 6).Draw(t, "entries")
		c := newCluster(size)
		weights := make([]int, size) // of the entries, where the callers come to
		for i := range weights {
			weights[i] = rapid.IntRange(0, 3).Draw(t, "weight")
		}
		flood := func(steps int) {
			for range steps {
				c.tick()
				for i, weight := range weights {
					for range weight * 5 {
						c.ask(i, most)
					}
				}
			}
		}
		flood(rapid.IntRange(0, 1000).Draw(t, "steps before"))
		cut := rapid.IntRange(1, 6000).Draw(t, "steps cut off")
		c.groups = rapid.IntRange(2, size).Draw(t, "groups")
		for i := range weights {
			weights[i] = max(weights[i], rapid.IntRange(0, 1).Draw(t, "weight while cut off"))
		}
		flood(cut)
		c.groups = 1
		flood(rapid.IntRange(1, 400).Draw(t, "steps after"))
		extra := 1.25*rate*(time.Duration(cut)*step).Seconds() +
			float64(size-1)*(burst+rate*(limit.ExchangeInterval+limit.PeerTimeout).Seconds())
		refutef(t, c.worst > bound(size)+extra, "%.0f used beyond the rate, the bound is %.0f", c.worst, bound(size)+extra)
	})
}

// TestOneEntryGetsTheWholeLimit sends all requests of a workspace to one entry, as
// many as its limit allows: none is refused, whether or not the peers are heard.
func TestOneEntryGetsTheWholeLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.IntRange(1, 6).Draw(t, "entries"))
		level := burst
		for at := range rapid.IntRange(1, 3000).Draw(t, "steps") {
			if at > 200 {
				c.groups = len(c.entries)
			}
			c.tick()
			level = min(burst, level+rate*step.Seconds())
			tokens := rapid.SampledFrom([]int{0, 0, 0, 50, 300, most}).Draw(t, "tokens")
			for tokens > 0 && level > float64(tokens) {
				refutef(t, !c.ask(0, tokens), "refused with %.0f left", level)
				level -= float64(tokens)
			}
		}
	})
}

// TestFloodGetsTheRate floods eight entries, with some statements lost. The workspace gets
// its rate: the entries don't refuse more than they have to, and once what it had
// too much at first is paid back, not in turns of all and nothing.
func TestFloodGetsTheRate(t *testing.T) {
	const size = 8
	const settling = 2 * time.Minute
	c := newCluster(size)
	c.lossy = true
	for range 3 {
		c.flood(settling)
		assert.LessOrEqual(t, c.worst, bound(size))
	}
	total := c.used
	assert.GreaterOrEqual(t, total, 0.9*rate*3*settling.Seconds())
	for range 100 {
		before := c.used
		c.flood(limit.ExchangeInterval)
		assert.InDelta(t, rate*limit.ExchangeInterval.Seconds(), c.used-before, rate*limit.ExchangeInterval.Seconds()/2)
	}
}

// TestNoLockoutAfterCut floods two halves that are cut off from each other for an
// hour. What they used unknown to each other is not held against the workspace:
// soon after they hear each other again it gets its rate.
func TestNoLockoutAfterCut(t *testing.T) {
	c := newCluster(2)
	c.flood(time.Minute)
	c.groups = 2
	c.flood(time.Hour)
	c.groups = 1
	before := c.used
	c.flood(time.Minute)
	assert.GreaterOrEqual(t, c.used-before, 0.5*rate*60)
}

// TestRestartedPeerCounts lets a peer's process start anew, so that its figures
// begin at zero again. What it states from then on counts.
func TestRestartedPeerCounts(t *testing.T) {
	l := newCluster(2).entries[0]
	l.Merge(start, statement(start, 4000))
	restarted := start.Add(time.Hour)
	l.Merge(start, statement(restarted, 4500))
	_, allowed := l.Allow(start, &chicoryrock.Request{ID: "1", Workspace: "shop"})
	assert.False(t, allowed)
}

// TestSilentPeerFades lets a peer state heavy use, and then no more of the
// workspace: its last statements are lost. What is assumed of it must end.
func TestSilentPeerFades(t *testing.T) {
	l := newCluster(2).entries[0]
	l.Merge(start, statement(start, 0))
	l.Merge(start.Add(limit.ExchangeInterval), statement(start, 8000))
	now := start.Add(limit.ExchangeInterval)
	for range 30 {
		now = now.Add(limit.ExchangeInterval)
		l.Merge(now, limit.Report{Entry: "1", Start: start})
	}
	_, allowed := l.Allow(now, &chicoryrock.Request{ID: "1", Workspace: "shop"})
	assert.True(t, allowed)
}

func statement(begun time.Time, used float64) limit.Report {
	return limit.Report{Entry: "1", Start: begun, Usages: []limit.Usage{{Workspace: "shop", Used: used}}}
}

// TestRefusedComeBackSpread refuses requests in like moments. They are told
// different times, none before the bucket holds anything.
func TestRefusedComeBackSpread(t *testing.T) {
	seen := map[time.Duration]bool{}
	for i := range 100 {
		l := newCluster(1).entries[0]
		l.Charge(start, "shop", burst+2000)
		after, allowed := l.Allow(start, &chicoryrock.Request{ID: fmt.Sprint(i), Workspace: "shop", PromptTokens: 100})
		require.False(t, allowed)
		assert.GreaterOrEqual(t, after, 2*time.Second)
		seen[after] = true
	}
	assert.Greater(t, len(seen), 90)
}

// refutef fails the test if a rule is broken.
func refutef(t *rapid.T, broken bool, format string, args ...any) {
	if broken {
		t.Fatalf(format, args...)
	}
}
