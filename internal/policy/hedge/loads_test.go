package hedge_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/hedge"
	"github.com/chicoryrock/chicoryrock/internal/policy/place"
	"github.com/chicoryrock/chicoryrock/internal/policy/retry"
)

const (
	servers    = 6
	slots      = 8                // requests that a server runs at once; others queue there
	length     = 90 * time.Second // of a load
	loadBegins = 30 * time.Second // until then all is well
	serviceMs  = 40               // median
)

// load is one of the loads that hedging is measured under.
type load struct {
	name    string
	rate    func(at time.Duration) float64                // requests a second
	slow    func(at time.Duration, server int) float64    // multiplies the time of a request
	stall   func(r *rand.Rand, at time.Duration) bool     // the request takes a second longer
	failing float64                                       // share of the attempts that fail, after 5 ms
	check   func(t *testing.T, without, with measurement) // of the bounds that the requirements set
}

type measurement struct {
	p50, p99, p999 time.Duration
	calls          int
	hedges, won    int
	failed         int
}

func (m measurement) extra() float64 { return float64(m.hedges) / float64(m.calls) }

// simulated is a request and its attempts.
type simulated struct {
	arrived  time.Time
	sent     int
	done     bool
	overdue  bool
	attempts [2]*attempt // under way
}

type attempt struct {
	request  *chicoryrock.Request
	of       *simulated
	server   int
	sent     time.Time
	estimate hedge.Server
	running  bool
	ended    bool
	hedge    bool
}

// simulation runs a load on one placer, with servers that queue what they have no slot for.
type simulation struct {
	load     load
	random   *rand.Rand
	now      time.Time
	events   []timed
	placer   place.Placer
	hedger   hedge.Hedger
	retrier  retry.Retrier
	replicas []chicoryrock.Replica
	running  [servers]int
	queues   [servers][]*attempt
	times    []time.Duration
	measured measurement
}

type timed struct {
	at  time.Time
	run func()
}

func (s *simulation) after(d time.Duration, run func()) {
	at := s.now.Add(d)
	i, _ := slices.BinarySearchFunc(s.events, at, func(e timed, at time.Time) int { return cmp.Compare(at.UnixNano(), e.at.UnixNano()) })
	s.events = slices.Insert(s.events, i, timed{at, run})
}

func (s *simulation) at() time.Duration { return s.now.Sub(start) }

func (s *simulation) arrive() {
	if s.at() >= length {
		return
	}
	s.after(time.Duration(s.random.ExpFloat64()/s.load.rate(s.at())*float64(time.Second)), s.arrive)
	c := &simulated{arrived: s.now}
	s.measured.calls++
	s.hedger.RecordCall(s.now, "p")
	s.retrier.RecordCall(s.now)
	s.first(c, "")
}

// first sends a request while it has no other attempt.
func (s *simulation) first(c *simulated, not string) {
	a := s.send(c, not)
	if delay, known := s.hedger.Delay(s.now, "p", "c", a.estimate); known {
		s.after(delay, func() { s.overdue(a) })
	}
}

func (s *simulation) overdue(a *attempt) {
	if a.ended || a.of.done {
		return
	}
	a.of.overdue = true
	s.hedger.RecordOverdue("p")
	decision := hedge.Attempt{
		Pool: "p", Class: "c", First: a.estimate, Elapsed: s.now.Sub(a.sent), Deadline: a.of.arrived.Add(10 * time.Second),
		Failing: s.placer.Avoids(s.now, a.request), Load: hedge.Load{Retries: s.retrier.Budget.Used(s.now)},
	}
	if a.of.sent >= 2 || s.hedger.Decide(s.now, &decision) != hedge.Send {
		return
	}
	second := s.send(a.of, s.replicas[a.server].Name)
	second.hedge = true
	decision.Second = second.estimate
	if s.hedger.Decide(s.now, &decision) != hedge.Send || !s.hedger.TryWithdraw(s.now, "p") || !s.retrier.Budget.TryWithdraw(s.now) {
		a.of.sent--
		s.end(second, false)
		return
	}
	s.measured.hedges++
}

// send begins an attempt on the replica that the placer chooses.
func (s *simulation) send(c *simulated, not string) *attempt {
	request := &chicoryrock.Request{Pool: "p", Class: "c", Arrived: c.arrived, Deadline: c.arrived.Add(10 * time.Second), FirstTokenTarget: time.Second}
	among := slices.DeleteFunc(slices.Clone(s.replicas), func(r chicoryrock.Replica) bool { return r.Name == not })
	at, _ := s.placer.Pick(s.now, request, among)
	server := slices.IndexFunc(s.replicas, func(r chicoryrock.Replica) bool { return r.Name == among[at].Name })
	s.replicas[server].Open++
	placement, _ := s.placer.Placement(request)
	a := &attempt{request: request, of: c, server: server, sent: s.now, estimate: hedge.Server{Slowdown: placement.Slowdown}}
	c.sent++
	c.attempts[min(c.sent, 2)-1] = a
	s.queues[server] = append(s.queues[server], a)
	s.serve(server)
	return a
}

// serve begins what has room on a server.
func (s *simulation) serve(server int) {
	for s.running[server] < slots && len(s.queues[server]) > 0 {
		a := s.queues[server][0]
		s.queues[server] = s.queues[server][1:]
		s.running[server]++
		a.running = true
		if s.random.Float64() < s.load.failing {
			s.after(5*ms, func() { s.fail(a) })
			continue
		}
		took := time.Duration(serviceMs * math.Exp(0.25*s.random.NormFloat64()) * float64(ms))
		if s.load.slow != nil {
			took = time.Duration(float64(took) * s.load.slow(s.at(), server))
		}
		if s.load.stall != nil && s.load.stall(s.random, s.at()) {
			took += time.Second
		}
		s.after(took, func() { s.answer(a) })
	}
}

// end takes an attempt off its server.
func (s *simulation) end(a *attempt, failed bool) {
	a.ended = true
	s.replicas[a.server].Open--
	s.placer.RecordEnd(s.now, a.request, 0, failed)
	if a.running {
		s.running[a.server]--
		s.serve(a.server)
		return
	}
	s.queues[a.server] = slices.DeleteFunc(s.queues[a.server], func(b *attempt) bool { return a == b })
}

func (s *simulation) answer(a *attempt) {
	if a.ended {
		return
	}
	s.placer.RecordFirstToken(s.now, a.request)
	s.end(a, false)
	a.of.done = true
	if !a.hedge {
		s.hedger.RecordAnswer(s.now, "p", "c", a.estimate, s.now.Sub(a.sent), a.of.overdue)
	} else {
		s.measured.won++
	}
	for _, other := range a.of.attempts {
		if other == nil || other.ended {
			continue
		}
		if !other.hedge {
			s.placer.RecordUnanswered(s.now, other.request)
			s.hedger.RecordCancelled(s.now, "p", "c", other.estimate, s.now.Sub(other.sent))
		}
		s.end(other, false)
	}
	if s.at() >= loadBegins {
		s.times = append(s.times, s.now.Sub(a.of.arrived))
	}
}

func (s *simulation) fail(a *attempt) {
	if a.ended {
		return
	}
	s.end(a, false)
	for _, other := range a.of.attempts {
		if other != nil && !other.ended {
			return // it may win
		}
	}
	verdict := s.retrier.Decide(s.now, retry.Attempt{Request: &chicoryrock.Request{Idempotent: true, Deadline: a.request.Deadline}, Err: chicoryrock.ErrUnknownOutcome, Sent: a.of.sent})
	if a.of.sent >= 2 || verdict.Action == retry.Fail {
		a.of.done = true
		s.measured.failed++
		return
	}
	s.first(a.of, s.replicas[a.server].Name)
}

func run(l load, share float64) measurement {
	s := &simulation{load: l, random: rand.New(rand.NewPCG(8, 8)), now: start, placer: place.Placer{Seed: 8}}
	s.hedger.Share = share
	s.retrier.Budget = retry.Budget{Ratio: 0.14, Burst: 7, Window: 10 * time.Second}
	for i := range servers {
		s.replicas = append(s.replicas, chicoryrock.Replica{Name: fmt.Sprintf("s%d", i), Pool: "p"})
	}
	s.placer.SetReplicas("p", s.replicas)
	s.arrive()
	for len(s.events) > 0 {
		next := s.events[len(s.events)-1]
		s.events = s.events[:len(s.events)-1]
		s.now = next.at
		next.run()
	}
	slices.Sort(s.times)
	at := func(q float64) time.Duration { return s.times[int(q*float64(len(s.times)))].Round(ms) }
	s.measured.p50, s.measured.p99, s.measured.p999 = at(0.5), at(0.99), at(0.999)
	return s.measured
}

func loads() []load {
	steady := func(time.Duration) float64 { return 200 }
	fewer99 := func(t *testing.T, without, with measurement) {
		assert.Less(t, with.p99, without.p99)
		assert.LessOrEqual(t, with.p999, without.p999)
	}
	nearZero := func(t *testing.T, _, with measurement) { assert.Less(t, with.extra(), 0.005) }
	return []load{
		{name: "all well", rate: steady, check: nearZero},
		{name: "one slow server of six", rate: steady, check: fewer99, slow: func(at time.Duration, server int) float64 {
			if server == 2 && at >= loadBegins {
				return 10
			}
			return 1
		}},
		{name: "random stalls of a second, 2%", rate: steady, check: fewer99, stall: func(r *rand.Rand, at time.Duration) bool {
			return at >= loadBegins && r.Float64() < 0.02
		}},
		{name: "all slow", rate: steady, check: nearZero, slow: func(at time.Duration, _ int) float64 {
			if at >= loadBegins {
				return 5
			}
			return 1
		}},
		{name: "bursts of ten times as much", check: nearZero, rate: func(at time.Duration) float64 {
			if at >= loadBegins && at%(20*time.Second) < 4*time.Second {
				return 2000
			}
			return 200
		}},
		{name: "14% of the attempts fail", rate: steady, failing: 0.14, check: func(t *testing.T, without, with measurement) {
			assert.Less(t, with.extra(), 0.005)
			assert.LessOrEqual(t, float64(with.failed), 1.1*float64(without.failed))
		}},
	}
}

// Guards against hedging that costs more than its share, that helps nothing where one server
// or single requests are slow, and that adds work where all servers are.
func TestLoads(t *testing.T) {
	const share = 0.05
	table := strings.Builder{}
	for _, l := range loads() {
		without, with := run(l, 0), run(l, share)
		fmt.Fprintf(&table, "| %s | %v / %v | %v / %v | %.2f%% | %d of %d | %d / %d |\n", l.name, without.p99, with.p99, without.p999, with.p999, 100*with.extra(), with.won, with.hedges, without.failed, with.failed)
		t.Run(l.name, func(t *testing.T) {
			assert.Zero(t, without.hedges)
			assert.LessOrEqual(t, with.extra(), share)
			l.check(t, without, with)
		})
	}
	t.Logf("share %v, without / with hedging\n| load | p99 | p99.9 | extra requests | won | failed |\n|---|---|---|---|---|---|\n%s", share, table.String())
}
