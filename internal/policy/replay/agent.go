package replay

import (
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/admit"
	"github.com/chicoryrock/chicoryrock/internal/policy/queue"
)

// agent is the process beside an engine: the real admission core when the policy
// has one, and otherwise a mere count of slots. Either way it runs no two suspects
// at a time.
type agent struct {
	engine   *engine
	core     *admit.Controller
	attempts map[*chicoryrock.Request]*attempt // that run or wait
	suspect  *attempt
}

// newAgent gives an agent a queue for a part of its slots, with the scenario's
// floors and shares.
func newAgent(e *engine, depth float64) agent {
	a := agent{engine: e, attempts: make(map[*chicoryrock.Request]*attempt)}
	if depth > 0 {
		q := newQueue(e.world.scenario, e.Pool).(*queue.Queue)
		q.Limit = max(int(depth*float64(e.Slots)), 1)
		a.core = &admit.Controller{Slots: e.Slots, CanResume: e.Resume, Queue: q}
	}
	return a
}

func (g *agent) now() time.Time { return epoch.Add(g.engine.world.now) }

func (g *agent) waiting() int {
	if g.core == nil {
		return 0
	}
	return g.core.Queue.Len()
}

// offer takes an attempt that has reached the agent.
func (g *agent) offer(a *attempt) {
	request := a.call.request
	if request.Suspect && g.suspect != nil {
		g.refuse(a)
		return
	}
	if request.Suspect {
		g.suspect = a
	}
	g.attempts[request] = a
	switch {
	case g.core != nil:
		g.act(g.core.Offer(g.now(), request))
	case len(g.engine.streams) >= g.engine.Slots:
		g.refuse(a)
	default:
		g.engine.start(a)
	}
}

// act carries out what the admission core decided.
func (g *agent) act(actions []admit.Action) {
	for _, action := range actions {
		a := g.attempts[action.Request]
		switch action.Kind {
		case admit.Run:
			g.core.MarkStarted(action.Request)
			g.engine.start(a)
		case admit.Refuse:
			g.refuse(a)
		case admit.Preempt:
			g.engine.remove(a)
			a.stopped()
		case admit.Wait:
		}
	}
}

// refuse turns an attempt away as not run, with the load that made it so.
func (g *agent) refuse(a *attempt) {
	g.forget(a)
	load := g.engine.load()
	load.Running = g.engine.Slots
	g.engine.world.after(a.delay(), func() { a.notRun(&load) })
}

func (g *agent) produced(a *attempt) {
	if g.core != nil {
		g.core.AddTokens(g.now(), a.call.request, 1)
	}
}

// ended frees an attempt's slot.
func (g *agent) ended(a *attempt) {
	g.forget(a)
	if g.core != nil {
		g.act(g.core.Finish(g.now(), a.call.request))
	}
}

func (g *agent) forget(a *attempt) {
	if g.suspect == a {
		g.suspect = nil
	}
	if g.attempts[a.call.request] == a {
		delete(g.attempts, a.call.request)
	}
}

// tick refuses what has become late, and stops streams for what is urgent.
func (g *agent) tick() {
	if g.core != nil {
		g.act(g.core.Tick(g.now()))
	}
}

// clear turns away all that waits, because the engine is gone.
func (g *agent) clear() {
	if g.core == nil {
		return
	}
	for _, request := range g.core.Queue.Drain() {
		a := g.attempts[request]
		g.forget(a)
		g.engine.world.after(a.delay(), func() { a.notRun(nil) })
	}
}
