package limit_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/limit"
)

// TestMain fixes the seed, so that every run tries the same cases. RAPID_SEED
// tries others.
func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv("RAPID_SEED") == "" {
		_ = flag.Set("rapid.seed", "4")
	}
	os.Exit(m.Run())
}

var start = time.Unix(1_000_000, 0)

const (
	rate  = 1000.0
	burst = 5000.0
	most  = 400 // tokens of the largest request with its answer
	step  = 50 * time.Millisecond
	// delivery is the longest that a statement is on its way.
	delivery = 500 * time.Millisecond
	exchange = limit.Exchange + delivery
)

// cluster is a few entries with one workspace, and the messages between them.
type cluster struct {
	now     time.Time
	entries []*limit.Limiter
	apart   bool   // the even and the odd entries don't hear each other
	mail    []mail // in the order of delivery
	steps   int
	used    float64
	excess  float64 // most used beyond the rate over any stretch up to now
	worst   float64
	id      int
}

type mail struct {
	at        time.Time
	to        int
	statement limit.Statement
}

func newCluster(size int) *cluster {
	c := &cluster{now: start}
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
	every := int(limit.Exchange / step)
	for i, entry := range c.entries {
		if c.steps%every == i*every/len(c.entries) {
			c.send(i, entry.State(c.now))
		}
	}
	c.steps++
	for len(c.mail) > 0 && !c.mail[0].at.After(c.now) {
		c.entries[c.mail[0].to].Hear(c.now, c.mail[0].statement)
		c.mail = c.mail[1:]
	}
}

func (c *cluster) send(from int, statement limit.Statement) {
	for to := range c.entries {
		if to != from && (!c.apart || to%2 == from%2) {
			c.mail = append(c.mail, mail{at: c.now.Add(delivery - step), to: to, statement: statement})
		}
	}
}

// ask offers one request to an entry. Half of it is the answer.
func (c *cluster) ask(entry, tokens int) bool {
	c.id++
	request := &chicoryrock.Request{ID: fmt.Sprint(c.id), Workspace: "shop", Prompt: tokens - tokens/2}
	_, allowed := c.entries[entry].Allow(c.now, request)
	if allowed {
		c.entries[entry].Charge(c.now, "shop", tokens/2)
		c.used += float64(tokens)
		c.excess += float64(tokens)
		c.worst = max(c.worst, c.excess)
	}
	return allowed
}

// bound returns the stated bound on what is used beyond the rate.
func bound(size int) float64 {
	others := float64(size - 1)
	return burst + others*(burst+rate*exchange.Seconds()) + float64(size)*most
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
		if c.worst > bound(size) {
			t.Fatalf("%.0f used beyond the rate, the bound is %.0f", c.worst, bound(size))
		}
	})
}

// TestLimitHoldsWhileCutOff floods all entries, cuts them into two halves for a
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
		c.apart = true
		for i := range weights {
			weights[i] = max(weights[i], rapid.IntRange(0, 1).Draw(t, "weight while cut off"))
		}
		flood(cut)
		c.apart = false
		flood(rapid.IntRange(1, 400).Draw(t, "steps after"))
		extra := 1.25*rate*(time.Duration(cut)*step).Seconds() +
			float64(size-1)*(burst+rate*(exchange+limit.Stale).Seconds())
		if c.worst > bound(size)+extra {
			t.Fatalf("%.0f used beyond the rate, the bound is %.0f", c.worst, bound(size)+extra)
		}
	})
}

// TestOneEntryGetsTheWholeLimit sends all requests of a workspace to one entry, as
// many as its limit allows: none is refused, whether or not the peers are heard.
func TestOneEntryGetsTheWholeLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.IntRange(1, 6).Draw(t, "entries"))
		level := burst
		for at := range rapid.IntRange(1, 3000).Draw(t, "steps") {
			c.apart = at > 200
			c.tick()
			level = min(burst, level+rate*step.Seconds())
			tokens := rapid.SampledFrom([]int{0, 0, 0, 50, 300, most}).Draw(t, "tokens")
			for tokens > 0 && level > float64(tokens) {
				if !c.ask(0, tokens) {
					t.Fatalf("refused with %.0f left", level)
				}
				level -= float64(tokens)
			}
		}
	})
}

// TestFloodGetsTheRate floods eight entries for five minutes. The workspace gets
// its rate: the entries don't refuse more than they have to, and once what it had
// too much at first is paid back, not in turns of all and nothing.
func TestFloodGetsTheRate(t *testing.T) {
	const size = 8
	const settling = 2 * time.Minute
	c := newCluster(size)
	for range 3 {
		c.flood(settling)
		assert.LessOrEqual(t, c.worst, bound(size))
	}
	total := c.used
	assert.GreaterOrEqual(t, total, 0.9*rate*3*settling.Seconds())
	for range 10 {
		before := c.used
		c.flood(10 * time.Second)
		assert.InDelta(t, rate*10, c.used-before, rate*10/2)
	}
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

// TestNoLockoutAfterCut floods two halves that are cut off from each other for an
// hour. What they used unknown to each other is not held against the workspace:
// soon after they hear each other again it gets its rate.
func TestNoLockoutAfterCut(t *testing.T) {
	c := newCluster(2)
	c.flood(time.Minute)
	c.apart = true
	c.flood(time.Hour)
	c.apart = false
	before := c.used
	c.flood(time.Minute)
	assert.GreaterOrEqual(t, c.used-before, 0.5*rate*60)
}

// TestRestartedPeerCounts lets a peer's process start anew, so that its figures
// begin at zero again. What it states from then on counts.
func TestRestartedPeerCounts(t *testing.T) {
	l := newCluster(2).entries[0]
	l.Hear(start, statement(start, 1000))
	restarted := start.Add(time.Hour)
	l.Hear(start, statement(restarted, burst))
	_, allowed := l.Allow(start, &chicoryrock.Request{ID: "1", Workspace: "shop"})
	assert.False(t, allowed)
}

func statement(begun time.Time, used float64) limit.Statement {
	return limit.Statement{Entry: "1", Start: begun, Uses: []limit.Use{{Workspace: "shop", Used: used}}}
}

// TestRefusedComeBackSpread refuses a hundred requests in one moment. They are
// told different times, none before the bucket holds anything.
func TestRefusedComeBackSpread(t *testing.T) {
	l := newCluster(1).entries[0]
	l.Charge(start, "shop", burst+2000)
	seen := map[time.Duration]bool{}
	for i := range 100 {
		after, allowed := l.Allow(start, &chicoryrock.Request{ID: fmt.Sprint(i), Workspace: "shop", Prompt: 100})
		require.False(t, allowed)
		assert.GreaterOrEqual(t, after, 2*time.Second)
		seen[after] = true
	}
	assert.Greater(t, len(seen), 90)
}

// BenchmarkAllow is one request among 570 workspaces that 319 peers use as well.
func BenchmarkAllow(b *testing.B) {
	const workspaces = 570
	for _, peers := range []int{2, 319} {
		b.Run(fmt.Sprintf("%d peers", peers), func(b *testing.B) {
			l, requests := loaded(peers, workspaces)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				l.Allow(start.Add(time.Duration(i)*time.Microsecond), requests[i%workspaces])
			}
		})
	}
}

// BenchmarkExchange is one exchange: the entry states its use and hears one peer.
func BenchmarkExchange(b *testing.B) {
	l, _ := loaded(319, 570)
	heard := l.State(start)
	heard.Entry = "1"
	b.ReportAllocs()
	now := start
	for b.Loop() {
		now = now.Add(limit.Exchange)
		l.Hear(now, heard)
		l.State(now)
	}
}

func loaded(peers, workspaces int) (*limit.Limiter, []*chicoryrock.Request) {
	l := &limit.Limiter{Name: "0", Start: start}
	limits := map[string]limit.Limit{}
	var requests []*chicoryrock.Request
	var uses []limit.Use
	for i := range workspaces {
		name := fmt.Sprint("workspace", i)
		limits[name] = limit.Limit{Rate: 1e9, Burst: 1e9}
		uses = append(uses, limit.Use{Workspace: name, Used: 100})
		requests = append(requests, &chicoryrock.Request{ID: name, Workspace: name, Prompt: 100})
	}
	var names []string
	for i := range peers {
		names = append(names, fmt.Sprint(i+1))
	}
	l.SetPeers(start, names)
	l.SetLimits(start, limits)
	for _, name := range names {
		l.Hear(start, limit.Statement{Entry: name, Start: start, Uses: uses})
	}
	for _, request := range requests {
		l.Allow(start, request)
	}
	return l, requests
}
