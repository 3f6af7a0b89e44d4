package replay

import (
	"strconv"
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/dispatch"
	"github.com/chicoryrock/chicoryrock/internal/policy/suspect"
)

const (
	// tick is how often an entry looks for requests that have become late.
	tick = 10 * time.Millisecond
	// dialTimeout is how long an entry waits for an engine that it cannot reach.
	dialTimeout = 250 * time.Millisecond
	// bytesPerToken turns a prompt into bytes on the link.
	bytesPerToken = 4
	// linkRate is what the link between regions carries, in bytes a second.
	linkRate = 30e6 / 8
)

// One-way delays between an entry and an engine.
const (
	delayCentre = 200 * time.Microsecond
	delayRegion = 1500 * time.Microsecond
	delayFar    = 10 * time.Millisecond
)

// epoch is the time at which every trace begins.
var epoch = time.Date(2026, time.January, 5, 5, 30, 0, 0, time.UTC)

// world is the state of a replay.
type world struct {
	loop
	scenario *Scenario
	policy   *Policy
	entries  []*entry
	engines  []*engine
	report   *tally
	open     int // calls with no final answer yet, and callers that will come
}

// entry is one entry process: the real dispatch core and what it waits for.
type entry struct {
	Site
	world   *world
	core    *dispatch.Dispatcher
	retrier Retrier
	calls   map[*chicoryrock.Request]*call
	seen    *suspect.Registry // nil when the policy looks for no suspects
}

// call is one request on its way through an entry.
type call struct {
	record  *Record
	class   *Class
	request *chicoryrock.Request
	entry   *entry
	comings int
	print   suspect.Fingerprint
	due     time.Time // target for the first token
	sent    int       // attempts that failed, without those that full agents turned away
	turned  int
	has     int           // tokens that the caller has
	first   time.Duration // when the first one reached it
	last    time.Duration
}

// Run replays a scenario under a policy.
func Run(scenario *Scenario, policy *Policy) Report {
	w := &world{scenario: scenario, policy: policy}
	w.report = newTally(scenario)
	for i := range scenario.Engines {
		e := &engine{
			Engine:  &scenario.Engines[i],
			world:   w,
			streams: make(map[*attempt]bool),
			factor:  1,
		}
		e.agent = newAgent(e, policy.Depth)
		w.engines = append(w.engines, e)
	}
	for i := range scenario.Entries {
		w.entries = append(w.entries, w.newEntry(i, policy))
	}
	w.planFaults()
	w.planArrivals()
	w.run()
	return w.report.finish(w, policy.Name)
}

func (w *world) newEntry(i int, policy *Policy) *entry {
	e := &entry{
		Site:    w.scenario.Entries[i],
		world:   w,
		calls:   make(map[*chicoryrock.Request]*call),
		retrier: policy.Retrier(),
		core: &dispatch.Dispatcher{
			NewQueue: func(pool string) chicoryrock.Queue { return policy.Queue(w.scenario, pool) },
			Picker:   policy.Picker(w.scenario, i),
		},
	}
	if policy.Suspects {
		e.seen = &suspect.Registry{}
	}
	pools := make(map[string][]chicoryrock.Replica)
	for _, engine := range w.engines {
		pools[engine.Pool] = append(pools[engine.Pool], chicoryrock.Replica{
			Name:   engine.Name,
			Pool:   engine.Pool,
			Centre: engine.Centre,
			Region: engine.Region,
			Slots:  engine.Slots,
		})
	}
	for pool, replicas := range pools {
		e.core.SetReplicas(pool, replicas)
	}
	return e
}

func (w *world) planFaults() {
	for i := range w.scenario.Faults {
		fault := &w.scenario.Faults[i]
		for _, engine := range w.engines {
			if engine.Name == fault.Target || engine.Centre == fault.Target {
				w.after(fault.From, func() { engine.begin(fault) })
				w.after(fault.Until, func() { engine.end(fault) })
			}
		}
	}
}

func (e *engine) begin(fault *Fault) {
	switch fault.Kind {
	case Slow:
		e.factor = fault.Factor
	case Crash:
		e.crash()
	case Cut:
		e.cut = true
		e.breakStreams("")
	}
}

func (e *engine) end(fault *Fault) {
	switch fault.Kind {
	case Slow:
		e.factor = 1
	case Cut:
		e.cut = false
	case Crash:
		// A crashed engine starts again on its own.
	}
}

func (w *world) planArrivals() {
	w.open = len(w.scenario.Trace)
	for i := range w.scenario.Trace {
		record := &w.scenario.Trace[i]
		w.after(record.At, func() { w.arrive(record, i, 0) })
	}
	for _, e := range w.entries {
		w.after(tick, e.tick)
	}
	w.after(tick, w.tick)
}

func (w *world) arrive(record *Record, number, comings int) {
	class := w.scenario.class(record.Class)
	e := w.entries[(record.Entry+comings)%len(w.entries)]
	now := epoch.Add(w.now)
	c := &call{record: record, class: class, entry: e, comings: comings}
	c.request = &chicoryrock.Request{
		ID:           strconv.Itoa(number) + "." + strconv.Itoa(comings),
		Workspace:    record.Workspace,
		Class:        record.Class,
		Pool:         class.Pool,
		Tier:         class.Tier,
		Arrived:      now,
		Deadline:     now.Add(class.First),
		PromptTokens: record.Prompt,
		PrefixHash:   record.Prefix,
		Idempotent:   class.Repeat,
	}
	c.due = c.request.Deadline
	c.print = suspect.FingerprintOf(record.Workspace, []byte(strconv.Itoa(number)))
	e.retrier.RecordCall(now)
	w.report.arrived(c, number)
	e.offer(now, c)
}

// tick is the timer of the agents.
func (w *world) tick() {
	for _, e := range w.engines {
		e.agent.tick()
	}
	if w.open > 0 {
		w.after(tick, w.tick)
	}
}
