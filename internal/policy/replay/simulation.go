package replay

import (
	"strconv"
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/dispatch"
	"github.com/chicoryrock/chicoryrock/internal/policy/suspect"
)

const (
	// tickInterval is the interval at which entries and agents look for late requests.
	tickInterval = 10 * time.Millisecond
	// dialTimeout is how long an entry waits for an unreachable engine.
	dialTimeout = 250 * time.Millisecond
	// bytesPerToken is the size of a prompt token on the link.
	bytesPerToken = 4
	// linkBandwidth is the bandwidth of the link between regions, in bytes per second.
	linkBandwidth = 30e6 / 8
)

// One-way delays between an entry and an engine.
const (
	sameCentreDelay  = 200 * time.Microsecond
	sameRegionDelay  = 1500 * time.Microsecond
	crossRegionDelay = 10 * time.Millisecond
)

// epoch is the virtual time at which every trace begins.
var epoch = time.Date(2026, time.January, 5, 5, 30, 0, 0, time.UTC)

// simulation is the state of a replay.
type simulation struct {
	eventLoop
	scenario       *Scenario
	policy         *Policy
	entries        []*entry
	engines        []*engine
	stats          *stats
	pendingCallers int // callers without a final answer, including those yet to call
}

// entry is one entry process: the production dispatcher and its open calls.
type entry struct {
	Site
	sim        *simulation
	dispatcher *dispatch.Dispatcher
	retrier    Retrier
	calls      map[*chicoryrock.Request]*call
	suspects   *suspect.Registry // nil if the policy does not track suspects
}

// call is one request that an entry handles.
type call struct {
	record             *Record
	class              *Class
	request            *chicoryrock.Request
	entry              *entry
	callerRetry        int // 0 for the caller's first call
	fingerprint        suspect.Fingerprint
	firstTokenDeadline time.Time     // to meet the first-token target
	failures           int           // failed attempts other than rejections
	rejections         int           // attempts that ended for want of capacity
	tokens             int           // that the caller has
	version            string        // of the software that made the first of them
	firstTokenAt       time.Duration // when the first token reached the caller
	lastTokenAt        time.Duration // when the latest token reached the caller
}

// Run replays a scenario under a policy.
func Run(scenario *Scenario, policy *Policy) Report {
	s := &simulation{scenario: scenario, policy: policy}
	s.stats = newStats(scenario)
	for i := range scenario.Engines {
		e := &engine{
			Engine:   &scenario.Engines[i],
			sim:      s,
			streams:  make(map[*attempt]bool),
			slowdown: 1,
		}
		e.agent = newAgent(e, policy.AgentQueueRatio)
		s.engines = append(s.engines, e)
	}
	for i := range scenario.Entries {
		s.entries = append(s.entries, s.newEntry(i, policy))
	}
	s.scheduleFaults()
	s.scheduleArrivals()
	s.run()
	return s.stats.newReport(s, policy.Name)
}

// newEntry returns the entry with the given index, with all engines as replicas.
func (s *simulation) newEntry(i int, policy *Policy) *entry {
	e := &entry{
		Site:    s.scenario.Entries[i],
		sim:     s,
		calls:   make(map[*chicoryrock.Request]*call),
		retrier: policy.Retrier(),
		dispatcher: &dispatch.Dispatcher{
			NewQueue: func(pool string) chicoryrock.Queue { return policy.Queue(s.scenario, pool) },
			Picker:   policy.Picker(s.scenario, i),
		},
	}
	if policy.TrackSuspects {
		e.suspects = &suspect.Registry{}
	}
	pools := make(map[string][]chicoryrock.Replica)
	for _, engine := range s.engines {
		pools[engine.Pool] = append(pools[engine.Pool], chicoryrock.Replica{
			Name:   engine.Name,
			Pool:   engine.Pool,
			Centre: engine.Centre,
			Region: engine.Region,
			Slots:  engine.Slots,

			Version: engine.Version,
		})
	}
	for pool, replicas := range pools {
		e.dispatcher.SetReplicas(pool, replicas)
	}
	return e
}

func (s *simulation) scheduleFaults() {
	for i := range s.scenario.Faults {
		fault := &s.scenario.Faults[i]
		for _, engine := range s.engines {
			if engine.Name == fault.Target || engine.Centre == fault.Target {
				s.after(fault.From, func() { engine.applyFault(fault) })
				s.after(fault.Until, func() { engine.clearFault(fault) })
			}
		}
	}
}

func (e *engine) applyFault(fault *Fault) {
	switch fault.Kind {
	case Slow:
		e.slowdown = fault.Factor
	case Crash:
		e.crash()
	case Unreachable:
		e.unreachable = true
		e.breakStreams("")
	}
}

func (e *engine) clearFault(fault *Fault) {
	switch fault.Kind {
	case Slow:
		e.slowdown = 1
	case Unreachable:
		e.unreachable = false
	case Crash:
		// A crashed engine restarts by itself after RestartTime.
	}
}

func (s *simulation) scheduleArrivals() {
	s.pendingCallers = len(s.scenario.Trace)
	for i := range s.scenario.Trace {
		record := &s.scenario.Trace[i]
		s.after(record.At, func() { s.arrive(record, i, 0) })
	}
	for _, e := range s.entries {
		s.after(tickInterval, e.tick)
	}
	s.after(tickInterval, s.tick)
}

// arrive makes a call of a record's caller: its first, or one of its retries. Each
// retry goes to the next entry.
func (s *simulation) arrive(record *Record, index, callerRetry int) {
	class := s.scenario.class(record.Class)
	e := s.entries[(record.Entry+callerRetry)%len(s.entries)]
	now := epoch.Add(s.now)
	c := &call{record: record, class: class, entry: e, callerRetry: callerRetry}
	c.request = &chicoryrock.Request{
		ID:           strconv.Itoa(index) + "." + strconv.Itoa(callerRetry),
		Workspace:    record.Workspace,
		Class:        record.Class,
		Pool:         class.Pool,
		Tier:         class.Tier,
		Arrived:      now,
		Deadline:     now.Add(class.FirstTokenTarget),
		PromptTokens: record.PromptTokens,
		PrefixHash:   record.PrefixHash,
		Idempotent:   class.Idempotent,
	}
	c.firstTokenDeadline = c.request.Deadline
	c.fingerprint = suspect.FingerprintOf(record.Workspace, []byte(strconv.Itoa(index)))
	e.retrier.RecordCall(now)
	s.stats.recordArrival(c, index)
	e.enqueue(now, c)
}

// tick is the timer of all agents.
func (s *simulation) tick() {
	for _, e := range s.engines {
		e.agent.tick()
	}
	if s.pendingCallers > 0 {
		s.after(tickInterval, s.tick)
	}
}
