package replay

import (
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/admit"
	"github.com/chicoryrock/chicoryrock/internal/policy/queue"
)

// agent is the process beside an engine. It uses the production admission controller
// if the policy gives agents a queue, and otherwise only counts slots. Either way it
// accepts no suspect while another one waits or is on probation.
type agent struct {
	engine     *engine
	controller *admit.Controller                 // nil when the agent only counts slots
	attempts   map[*chicoryrock.Request]*attempt // running or waiting
	suspect    *attempt                          // waiting or on probation; nil for none
}

// newAgent returns the agent of an engine. A positive queueRatio gives it a queue
// for that fraction of the engine's slots, at least for one request, with the
// scenario's floors and shares.
func newAgent(e *engine, queueRatio float64) agent {
	ag := agent{engine: e, attempts: make(map[*chicoryrock.Request]*attempt)}
	if queueRatio > 0 {
		q := newQueue(e.sim.scenario, e.Pool).(*queue.Queue)
		q.Limit = max(int(queueRatio*float64(e.Slots)), 1)
		ag.controller = &admit.Controller{Slots: e.Slots, CanResume: e.CanResume, Queue: q}
	}
	return ag
}

func (ag *agent) now() time.Time { return epoch.Add(ag.engine.sim.now) }

func (ag *agent) queueLength() int {
	if ag.controller == nil {
		return 0
	}
	return ag.controller.Queue.Len()
}

// offer runs, queues or refuses an attempt that has reached the agent.
func (ag *agent) offer(a *attempt) {
	request := a.call.request
	if request.Suspect && ag.suspect != nil {
		ag.refuse(a)
		return
	}
	if request.Suspect {
		ag.suspect = a
	}
	ag.attempts[request] = a
	switch {
	case ag.controller != nil:
		ag.apply(ag.controller.Offer(ag.now(), request))
	case len(ag.engine.streams) >= ag.engine.Slots:
		ag.refuse(a)
	default:
		ag.engine.start(a)
	}
}

// apply carries out the actions of the admission controller.
func (ag *agent) apply(actions []admit.Action) {
	for _, action := range actions {
		a := ag.attempts[action.Request]
		switch action.Kind {
		case admit.Run:
			ag.controller.MarkStarted(action.Request)
			ag.engine.start(a)
		case admit.Refuse:
			ag.refuse(a)
		case admit.Preempt:
			ag.engine.remove(a)
			a.reportPreemption()
		case admit.Wait:
		}
	}
}

// refuse answers an attempt as not run, with a load that has no free slot.
func (ag *agent) refuse(a *attempt) {
	ag.remove(a)
	load := ag.engine.load()
	load.Running = ag.engine.Slots
	ag.engine.sim.after(a.networkDelay(), func() { a.handleNotRun(&load) })
}

func (ag *agent) addToken(a *attempt) {
	if ag.controller != nil {
		ag.controller.AddTokens(ag.now(), a.call.request, 1)
	}
}

// finish frees an attempt's slot.
func (ag *agent) finish(a *attempt) {
	ag.remove(a)
	if ag.controller != nil {
		ag.apply(ag.controller.Finish(ag.now(), a.call.request))
	}
}

func (ag *agent) remove(a *attempt) {
	if ag.suspect == a {
		ag.suspect = nil
	}
	if ag.attempts[a.call.request] == a {
		delete(ag.attempts, a.call.request)
	}
}

// tick refuses late requests and preempts streams for urgent ones.
func (ag *agent) tick() {
	if ag.controller != nil {
		ag.apply(ag.controller.Tick(ag.now()))
	}
}

// rejectWaiting answers every waiting request as not run, because the engine is down
// or unreachable.
func (ag *agent) rejectWaiting() {
	if ag.controller == nil {
		return
	}
	for _, request := range ag.controller.Queue.Drain() {
		a := ag.attempts[request]
		ag.remove(a)
		ag.engine.sim.after(a.networkDelay(), func() { a.handleNotRun(nil) })
	}
}
