package limit_test

import (
	"fmt"
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/limit"
)

const (
	rate  = 1000.0
	burst = 5000.0
	most  = 400 // tokens of the largest request with its answer
	step  = 50 * time.Millisecond
)

// cluster is a few entries with one workspace.
type cluster struct {
	now     time.Time
	entries []*limit.Limiter
	groups  int  // entries hear those whose number leaves the same rest; 1 for all
	lossy   bool // every fourth statement is lost
	steps   int
	used    float64
	excess  float64 // most used beyond the rate over any stretch up to now
	worst   float64
	id      int
	sent    int
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

// tick lets a step go by. The entries state their use at different moments.
func (c *cluster) tick() {
	c.now = c.now.Add(step)
	c.excess = max(0, c.excess-rate*step.Seconds())
	every := int(limit.ExchangeInterval / step)
	for i, entry := range c.entries {
		if c.steps%every == i*every/len(c.entries) {
			c.send(i, entry.NextReport(c.now))
		}
	}
	c.steps++
}

func (c *cluster) send(from int, statement limit.Report) {
	c.sent++
	if c.lossy && c.sent%4 == 0 {
		return
	}
	for to := range c.entries {
		if to != from && to%c.groups == from%c.groups {
			c.entries[to].Merge(c.now, statement)
		}
	}
}

// ask offers one request to an entry. Half of it is the answer.
func (c *cluster) ask(entry, tokens int) bool {
	c.id++
	request := &chicoryrock.Request{ID: fmt.Sprint(c.id), Workspace: "shop", PromptTokens: tokens - tokens/2}
	_, allowed := c.entries[entry].Allow(c.now, request)
	if allowed {
		c.entries[entry].Charge(c.now, "shop", tokens/2)
		c.used += float64(tokens)
		c.excess += float64(tokens)
		c.worst = max(c.worst, c.excess)
	}
	return allowed
}

// flood asks every entry for far more than the limit.
func (c *cluster) flood(stretch time.Duration) {
	for range int(stretch / step) {
		c.tick()
		for i := range c.entries {
			c.ask(i, 100)
		}
	}
}
