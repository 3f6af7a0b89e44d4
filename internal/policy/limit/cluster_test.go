package limit_test

import (
	"fmt"
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/limit"
)

const (
	rate             = 1000.0
	burst            = 5000.0
	maxRequestTokens = 400 // prompt and answer of the largest request
	step             = 50 * time.Millisecond
)

// cluster simulates several entries that serve one workspace, and measures its usage.
type cluster struct {
	now         time.Time
	entries     []*limit.Limiter
	groups      int  // entry i can reach entry j if i and j are equal modulo groups; 1 connects all
	loseReports bool // every fourth report is lost
	steps       int
	used        float64 // tokens
	excess      float64 // highest usage beyond the rate over any stretch that ends now, tokens
	maxExcess   float64
	requests    int
	sent        int // reports
}

func newCluster(size int) *cluster {
	c := &cluster{now: start, groups: 1}
	for i := range size {
		var peers []string
		for j := range size {
			if j != i {
				peers = append(peers, fmt.Sprint(j))
			}
		}
		l := &limit.Limiter{Name: fmt.Sprint(i), Start: start}
		l.SetPeers(start, peers)
		l.SetLimits(start, map[string]limit.Limit{"shop": {Rate: rate, Burst: burst}})
		c.entries = append(c.entries, l)
	}
	return c
}

// tick advances the time by a step. The entries send their reports in different
// steps.
func (c *cluster) tick() {
	c.now = c.now.Add(step)
	c.excess = max(0, c.excess-rate*step.Seconds())
	every := int(limit.ExchangeInterval / step)
	for i, entry := range c.entries {
		if c.steps%every == i*every/len(c.entries) {
			c.broadcast(i, entry.NextReport(c.now))
		}
	}
	c.steps++
}

func (c *cluster) broadcast(from int, report limit.Report) {
	c.sent++
	if c.loseReports && c.sent%4 == 0 {
		return
	}
	for to := range c.entries {
		if to != from && to%c.groups == from%c.groups {
			c.entries[to].Merge(c.now, report)
		}
	}
}

// sendRequest sends one request to an entry and reports whether it was allowed. Half
// of its tokens are the answer.
func (c *cluster) sendRequest(entry, tokens int) bool {
	c.requests++
	request := &chicoryrock.Request{ID: fmt.Sprint(c.requests), Workspace: "shop", PromptTokens: tokens - tokens/2}
	_, allowed := c.entries[entry].Allow(c.now, request)
	if allowed {
		c.entries[entry].Charge(c.now, "shop", tokens/2)
		c.used += float64(tokens)
		c.excess += float64(tokens)
		c.maxExcess = max(c.maxExcess, c.excess)
	}
	return allowed
}

// flood sends far more requests to every entry than the limit allows.
func (c *cluster) flood(duration time.Duration) {
	for range int(duration / step) {
		c.tick()
		for i := range c.entries {
			c.sendRequest(i, 100)
		}
	}
}
