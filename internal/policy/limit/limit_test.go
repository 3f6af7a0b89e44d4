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

// bound returns the bound stated in the package comment on the usage beyond the rate
// while the given number of entries can reach each other.
func bound(size int) float64 {
	peers := float64(size - 1)
	return burst + peers*(burst+rate*limit.ExchangeInterval.Seconds()) + float64(size)*maxRequestTokens
}

// TestLimitHoldsOverEntries sends random traffic to entries that can reach each other.
// The usage in any stretch of time stays within the stated bound.
func TestLimitHoldsOverEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 6).Draw(t, "entries")
		c := newCluster(size)
		for range rapid.IntRange(1, 10).Draw(t, "phases") {
			busy := rapid.IntRange(0, size).Draw(t, "busy entries")
			demand := rapid.IntRange(0, 20).Draw(t, "requests a step")
			tokens := rapid.IntRange(1, maxRequestTokens).Draw(t, "tokens")
			for range rapid.IntRange(1, 400).Draw(t, "steps") {
				c.tick()
				for i := range busy * demand {
					c.sendRequest(i%busy, tokens)
				}
			}
		}
		refutef(t, c.maxExcess > bound(size), "%.0f tokens used beyond the rate, the bound is %.0f", c.maxExcess, bound(size))
	})
}

// TestLimitHoldsWhilePartitioned floods the entries, partitions them into groups for a
// time, and reconnects them.
func TestLimitHoldsWhilePartitioned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 6).Draw(t, "entries")
		c := newCluster(size)
		weights := make([]int, size) // by entry, of the traffic that it gets
		for i := range weights {
			weights[i] = rapid.IntRange(0, 3).Draw(t, "weight")
		}
		flood := func(steps int) {
			for range steps {
				c.tick()
				for i, weight := range weights {
					for range weight * 5 {
						c.sendRequest(i, maxRequestTokens)
					}
				}
			}
		}
		flood(rapid.IntRange(0, 1000).Draw(t, "steps before"))
		partitionSteps := rapid.IntRange(1, 6000).Draw(t, "steps cut off")
		c.groups = rapid.IntRange(2, size).Draw(t, "groups")
		for i := range weights {
			weights[i] = max(weights[i], rapid.IntRange(0, 1).Draw(t, "weight while cut off"))
		}
		flood(partitionSteps)
		c.groups = 1
		flood(rapid.IntRange(1, 400).Draw(t, "steps after"))
		extra := 1.25*rate*(time.Duration(partitionSteps)*step).Seconds() +
			float64(size-1)*(burst+rate*(limit.ExchangeInterval+limit.PeerTimeout).Seconds())
		refutef(t, c.maxExcess > bound(size)+extra, "%.0f tokens used beyond the rate, the bound is %.0f", c.maxExcess, bound(size)+extra)
	})
}

// TestOneEntryGetsTheWholeLimit sends all requests of a workspace to one entry, as
// many as its limit allows. None is refused, whether or not the peers are reachable.
func TestOneEntryGetsTheWholeLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.IntRange(1, 6).Draw(t, "entries"))
		bucketLevel := burst
		for at := range rapid.IntRange(1, 3000).Draw(t, "steps") {
			if at > 200 {
				c.groups = len(c.entries)
			}
			c.tick()
			bucketLevel = min(burst, bucketLevel+rate*step.Seconds())
			tokens := rapid.SampledFrom([]int{0, 0, 0, 50, 300, maxRequestTokens}).Draw(t, "tokens")
			for tokens > 0 && bucketLevel > float64(tokens) {
				refutef(t, !c.sendRequest(0, tokens), "refused with %.0f tokens in the bucket", bucketLevel)
				bucketLevel -= float64(tokens)
			}
		}
	})
}

// TestFloodGetsTheRate floods eight entries while some reports are lost. The entries
// refuse no more than necessary, so the workspace gets its rate. Once the excess of
// the beginning is paid back, it gets the rate evenly in each exchange, rather than
// alternately too much and nothing.
func TestFloodGetsTheRate(t *testing.T) {
	const size = 8
	const settling = 2 * time.Minute
	c := newCluster(size)
	c.loseReports = true
	for range 3 {
		c.flood(settling)
		assert.LessOrEqual(t, c.maxExcess, bound(size))
	}
	total := c.used
	assert.GreaterOrEqual(t, total, 0.9*rate*3*settling.Seconds())
	for range 100 {
		before := c.used
		c.flood(limit.ExchangeInterval)
		assert.InDelta(t, rate*limit.ExchangeInterval.Seconds(), c.used-before, rate*limit.ExchangeInterval.Seconds()/2)
	}
}

// TestNoLockoutAfterPartition floods two entries that can't reach each other for an
// hour. The workspace doesn't have to pay back the usage of that hour: soon after
// the entries are reconnected it gets its rate.
func TestNoLockoutAfterPartition(t *testing.T) {
	c := newCluster(2)
	c.flood(time.Minute)
	c.groups = 2
	c.flood(time.Hour)
	c.groups = 1
	before := c.used
	c.flood(time.Minute)
	assert.GreaterOrEqual(t, c.used-before, 0.5*rate*60)
}

// TestRestartedPeerCounts restarts a peer's process, so that its usage starts again
// from zero. The usage that it reports from then on counts.
func TestRestartedPeerCounts(t *testing.T) {
	l := newCluster(2).entries[0]
	l.Merge(start, newReport(start, 4000))
	restarted := start.Add(time.Hour)
	l.Merge(start, newReport(restarted, 4500))
	_, allowed := l.Allow(start, &chicoryrock.Request{ID: "1", Workspace: "shop"})
	assert.False(t, allowed)
}

// TestAssumedUsageOfSilentPeerDecays sends a peer's report of heavy usage and then
// only reports without the workspace, as if its last ones were lost. The usage
// assumed of the peer must end.
func TestAssumedUsageOfSilentPeerDecays(t *testing.T) {
	l := newCluster(2).entries[0]
	l.Merge(start, newReport(start, 0))
	l.Merge(start.Add(limit.ExchangeInterval), newReport(start, 8000))
	now := start.Add(limit.ExchangeInterval)
	for range 30 {
		now = now.Add(limit.ExchangeInterval)
		l.Merge(now, limit.Report{Entry: "1", Start: start})
	}
	_, allowed := l.Allow(now, &chicoryrock.Request{ID: "1", Workspace: "shop"})
	assert.True(t, allowed)
}

func newReport(processStart time.Time, used float64) limit.Report {
	return limit.Report{Entry: "1", Start: processStart, Usages: []limit.Usage{{Workspace: "shop", Used: used}}}
}

// TestRetriesAreSpread refuses requests in identical situations. They get different
// delays, all long enough for the bucket to have filled above zero.
func TestRetriesAreSpread(t *testing.T) {
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

// refutef fails the test if broken is true.
func refutef(t *rapid.T, broken bool, format string, args ...any) {
	if broken {
		t.Fatalf(format, args...)
	}
}
