package quota_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/quota"
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

const (
	step = 10 * time.Millisecond
	// pollInterval is how often a process asks its member for messages.
	pollInterval = 50 * time.Millisecond
	// beatInterval and aliveTime are those of the reports by which processes know who can
	// be reached.
	beatInterval = 200 * time.Millisecond
	aliveTime    = 3 * time.Second
	// notice is how long after a server first states a limit the limit holds; answered is
	// how long after a process got an answer that states it the process is bound.
	notice   = 3 * time.Second
	answered = 500 * time.Millisecond
	window   = 4 * time.Second
)

// process is a simulated front with its member.
type process struct {
	member  *quota.Member
	name    string
	heard   []time.Time // by index of the other process
	group   int         // processes of other groups can't be reached
	frozen  bool
	inbox   []delivery
	demand  float64           // requests a second
	told    map[int]time.Time // by server, first answer with the limit that holds
	sent    map[int]int       // by server
	refused int
}

// delivery is a message or an answer on its way to a process.
type delivery struct {
	at     time.Time
	data   []byte
	answer bool
	server int
	sentAt time.Time
	limit  float64
}

// server is a simulated backend server, and the oracle of its limit: it knows nothing of
// permits and counts what arrives.
type server struct {
	key      uint64
	limit    float64   // that its answers state, or chicoryrock.Unlimited
	since    time.Time // of the present limit's first answer
	named    bool      // an answer has stated the present period's limit
	times    []time.Time
	allowed  []float64 // by step, what the limit allows, requests
	recent   []float64 // limits stated in the last steps
	worst    float64   // most arrivals beyond what is allowed in a window
	level    float64   // arrivals beyond the limit up to now: a leaky bucket
	excess   float64   // highest level
	arrivals int
}

// fleet simulates processes that send requests to limited servers.
type fleet struct {
	now       time.Time
	steps     int
	random    *rand.Rand
	processes []*process
	servers   []*server
	loss      float64 // share of the messages that are lost
	twice     float64 // share of them that arrive twice
	delay     time.Duration
}

func newFleet(seed uint64, size, servers int) *fleet {
	f := &fleet{now: start, random: rand.New(rand.NewPCG(seed, 1)), delay: 8 * time.Millisecond}
	for range size {
		f.processes = append(f.processes, &process{})
	}
	for i := range size {
		f.restart(i)
	}
	for i := range servers {
		f.servers = append(f.servers, &server{key: uint64(i+1) * 0x9e3779b97f4a7c15, limit: chicoryrock.Unlimited})
	}
	return f
}

// restart replaces a process by a new one on the same VM.
func (f *fleet) restart(i int) {
	p := f.processes[i]
	p.name = fmt.Sprintf("front-%d-%d", i, f.steps)
	p.member = &quota.Member{Name: p.name}
	p.member.SetMembers(nil, true, len(f.processes))
	p.inbox, p.told, p.sent = nil, make(map[int]time.Time), make(map[int]int)
	p.heard = make([]time.Time, len(f.processes))
}

// state has a server state another limit from now on.
func (f *fleet) state(i int, limit float64) {
	s := f.servers[i]
	if (s.limit == chicoryrock.Unlimited) != (limit == chicoryrock.Unlimited) {
		s.named, s.times, s.allowed, s.recent = false, nil, nil, nil
		for _, p := range f.processes {
			delete(p.told, i)
		}
	}
	s.limit = limit
}

// run simulates a time.
func (f *fleet) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); {
		f.tick()
	}
}

func (f *fleet) tick() {
	f.now = f.now.Add(step)
	f.steps++
	for i, p := range f.processes {
		f.beat(i)
		if p.frozen {
			continue
		}
		f.deliver(p)
		if (f.steps+i)%int(pollInterval/step) == 0 {
			f.send(p)
		}
		if f.random.Float64() < p.demand*step.Seconds() {
			f.request(p)
		}
	}
	for _, s := range f.servers {
		s.count(f.now)
	}
}

// beat exchanges the reports of who lives.
func (f *fleet) beat(i int) {
	p := f.processes[i]
	if p.frozen || (f.steps+i)%int(beatInterval/step) != 0 {
		return
	}
	var peers []string
	for j, other := range f.processes {
		if j == i {
			continue
		}
		if !other.frozen && f.reaches(other, p) {
			p.heard[j] = f.now
		}
		if !p.heard[j].IsZero() && f.now.Sub(p.heard[j]) <= aliveTime {
			peers = append(peers, other.name)
		}
	}
	p.member.SetMembers(peers, true, len(f.processes))
}

func (f *fleet) reaches(from, to *process) bool {
	return from.group == to.group && f.random.Float64() >= f.loss
}

func (f *fleet) send(p *process) {
	for _, message := range p.member.Messages(f.now) {
		for _, to := range f.processes {
			if to.name == message.To && f.reaches(p, to) {
				late := time.Duration(f.random.Int64N(int64(f.delay) + 1))
				sent := delivery{at: f.now.Add(late), data: message.Append(nil)}
				to.inbox = append(to.inbox, sent)
				if f.random.Float64() < f.twice {
					to.inbox = append(to.inbox, sent)
				}
			}
		}
	}
}

// deliver hands a process what has arrived, in any order.
func (f *fleet) deliver(p *process) {
	var later, due []delivery
	for _, d := range p.inbox {
		if d.at.After(f.now) {
			later = append(later, d)
			continue
		}
		due = append(due, d)
	}
	p.inbox = later
	for _, d := range due {
		if d.answer {
			f.answer(p, &d)
			continue
		}
		message, err := quota.Parse(d.data)
		if err != nil {
			panic(err)
		}
		p.member.Receive(f.now, &message)
	}
	if len(due) > 0 {
		f.send(p)
	}
}

func (f *fleet) answer(p *process, d *delivery) {
	s := f.servers[d.server]
	p.member.Observe(f.now, d.sentAt, s.key, d.limit)
	if _, known := p.told[d.server]; !known && d.limit != chicoryrock.Unlimited && s.limit != chicoryrock.Unlimited {
		p.told[d.server] = f.now
	}
}

// request sends a request to the first server that allows it.
func (f *fleet) request(p *process) {
	id := fmt.Sprint(p.name, f.steps)
	for _, i := range f.random.Perm(len(f.servers)) {
		s := f.servers[i]
		if !p.member.Allows(f.now, s.key, id) {
			continue
		}
		p.member.Take(f.now, s.key, id)
		p.sent[i]++
		s.arrive(f.now)
		if at, known := p.told[i]; known && f.now.Sub(at) >= answered {
			s.times = append(s.times, f.now)
			s.level++
			s.excess = max(s.excess, s.level)
		}
		p.inbox = append(p.inbox, delivery{at: f.now.Add(2 * step), answer: true, server: i, sentAt: f.now, limit: s.limit})
		return
	}
	p.refused++
}

func (s *server) arrive(now time.Time) {
	s.arrivals++
	if s.limit != chicoryrock.Unlimited && !s.named {
		s.named, s.since = true, now
	}
}

// count compares the window that ends now with what the limits allow that were stated in
// it, and a second before: a permit may be that old.
func (s *server) count(now time.Time) {
	if s.limit == chicoryrock.Unlimited {
		return
	}
	s.level = max(0, s.level-s.limit*step.Seconds())
	s.recent = append(s.recent, s.limit)
	highest := 0.0
	for _, limit := range s.recent[max(0, len(s.recent)-int(2*time.Second/step)):] {
		highest = max(highest, limit)
	}
	s.allowed = append(s.allowed, highest*step.Seconds())
	steps := int(window / step)
	if !s.named || now.Sub(s.since) < notice+window || len(s.allowed) < steps {
		return
	}
	sum := 0.0
	for _, allowed := range s.allowed[len(s.allowed)-steps:] {
		sum += allowed
	}
	arrived := 0
	for i := len(s.times) - 1; i >= 0 && now.Sub(s.times[i]) < window; i-- {
		arrived++
	}
	s.worst = max(s.worst, float64(arrived)-(1.5*sum+5))
}

// share spreads so many requests a second unequally: process i gets a share of them that
// falls with skew.
func (f *fleet) share(rate, skew float64) {
	sum := 0.0
	for i := range f.processes {
		sum += math.Pow(float64(i+1), -skew)
	}
	for i, p := range f.processes {
		p.demand = rate * math.Pow(float64(i+1), -skew) / sum
	}
}
