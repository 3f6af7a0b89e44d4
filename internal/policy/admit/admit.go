// Package admit is the admission control of an agent. It decides which requests run
// on the agent's backend server, which wait for a slot, which are returned to their
// entries, and which are preempted for a higher tier. It gets the requests of all
// entries, so the queue's rules on tiers, floors and fairness hold across entries.
//
// The package does no input or output. The caller calls a method for each event and
// carries out the returned actions in order:
//
//	Offer(request)       -> Run, Wait or Refuse for it; Refuse for a displaced one
//	MarkStarted(request)    its first byte may have reached the backend server
//	AddTokens(request)      it has produced tokens
//	Finish(request)      -> Run for requests that take free slots
//	Cancel(request)      -> whether it certainly did not run
//	Tick()               -> Refuse for late requests; Run for those that a limit allows
//	                        now; Preempt for an urgent one
//
// Offer and Finish can return a Preempt too.
//
// Refuse guarantees that the request did not run: it is returned only for requests
// for which Run was never returned.
package admit

import (
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/queue"
	"github.com/chicoryrock/chicoryrock/internal/policy/quota"
)

// Kind is what the caller has to do with a request.
type Kind int

// The kinds of action.
const (
	Run     Kind = iota // send it to the backend server
	Wait                // keep it; another action follows
	Refuse              // answer its entry "not run", with Reason and RetryAfter
	Preempt             // cancel it on the engine, notify its entry, then call Finish
)

// String returns the kind's name, for records and tests.
func (k Kind) String() string { return [...]string{"run", "wait", "refuse", "preempt"}[k] }

// Action is one step that the caller has to carry out.
type Action struct {
	Kind       Kind
	Request    *chicoryrock.Request
	Reason     chicoryrock.Reason // of a Refuse
	RetryAfter time.Duration      // of a Refuse: delay before the request is sent again
}

// WastedTokens counts tokens computed in vain since the start of the process.
type WastedTokens struct {
	Preempted int64 // prompt and output that an engine has to compute again
	Cancelled int64 // prompt and output of requests that their callers gave up
}

// Controller is the admission controller of one backend server. Set the exported
// fields before use. It is not safe for concurrent use.
type Controller struct {
	Slots     int          // requests that the backend server runs at once
	CanResume bool         // its engines can resume a stopped stream
	Queue     *queue.Queue // with a Limit of at most a quarter of Slots: long queues belong in the entries
	// Quota keeps to the limit that the backend server states, under LimitKey; nil for
	// none. The agent is the only process that sends it requests.
	Quota *quota.Member

	running        map[*chicoryrock.Request]*runState
	preempting     int // running requests that are being preempted
	draining       bool
	computedTokens int64 // prompt and output
	wasted         WastedTokens
}

// runState is the state of a request that has a slot.
type runState struct {
	outputTokens int
	started      bool // a byte may have reached the backend server
	preempted    bool
	cancelled    bool
}

// LimitKey is the key of the backend server in Controller.Quota.
const LimitKey = 0

// Offer admits, queues or refuses a request. The action for the request itself is
// the last one, apart from a Preempt: Run, Wait or Refuse (ReasonShutdown,
// ReasonServerLimit, ReasonLate, ReasonQueueFull). A request that the backend server's
// limit doesn't allow now is refused at once, as another one may take it.
func (c *Controller) Offer(now time.Time, request *chicoryrock.Request) []Action {
	if c.draining {
		return []Action{c.refuse(now, request, chicoryrock.ReasonShutdown)}
	}
	if !c.permitted(now, request.ID) {
		refusal := c.refuse(now, request, chicoryrock.ReasonServerLimit)
		refusal.RetryAfter, _ = c.Quota.Interval(now, LimitKey)
		return []Action{refusal}
	}
	displaced, reason := c.Queue.Push(now, request)
	if reason == chicoryrock.ReasonLate && c.chooseVictim(request.Tier) != nil {
		displaced, reason = c.Queue.PushIgnoringDeadline(now, request)
	}
	if reason != chicoryrock.ReasonNone {
		return []Action{c.refuse(now, request, reason)}
	}
	var actions []Action
	if displaced != nil {
		actions = append(actions, c.refuse(now, displaced, chicoryrock.ReasonQueueFull))
	}
	actions = c.fillSlots(now, actions)
	if _, runs := c.running[request]; !runs {
		actions = append(actions, Action{Kind: Wait, Request: request})
	}
	return c.preempt(now, actions)
}

// MarkStarted records that the request may have reached the backend server.
func (c *Controller) MarkStarted(request *chicoryrock.Request) {
	if r, found := c.running[request]; found && !r.started {
		r.started = true
		c.computedTokens += int64(request.PromptTokens)
	}
}

// AddTokens counts output tokens that a running request has produced.
func (c *Controller) AddTokens(now time.Time, request *chicoryrock.Request, tokens int) {
	r, found := c.running[request]
	if !found {
		return
	}
	r.outputTokens += tokens
	c.computedTokens += int64(tokens)
	c.Queue.Charge(now, request, tokens)
}

// Finish frees the slot of a request that has ended in any way, and fills the slot.
// A request that was never started is not charged.
func (c *Controller) Finish(now time.Time, request *chicoryrock.Request) []Action {
	if !c.releaseSlot(now, request) {
		return nil
	}
	return c.preempt(now, c.fillSlots(now, nil))
}

// Cancel removes a request whose caller has disconnected, and reports whether it
// certainly did not run. If it may have run, the caller of Cancel cancels it on the
// engine and calls Finish.
func (c *Controller) Cancel(now time.Time, request *chicoryrock.Request) ([]Action, bool) {
	r, runs := c.running[request]
	switch {
	case !runs:
		c.Queue.Remove(now, request)
		return nil, true
	case !r.started:
		return c.Finish(now, request), true
	default:
		r.cancelled = true
		return nil, false
	}
}

// Tick refuses requests that can no longer start in time, lets in what the backend
// server's limit allows by now, and preempts a running request for one that is about to
// be too late. It is called every few milliseconds.
func (c *Controller) Tick(now time.Time) []Action {
	var actions []Action
	for _, late := range c.Queue.Expire(now) {
		actions = append(actions, c.refuse(now, late, chicoryrock.ReasonLate))
	}
	return c.preempt(now, c.fillSlots(now, actions))
}

// Drain refuses all waiting requests and, from now on, every Offer. Running requests
// go on.
func (c *Controller) Drain(now time.Time) []Action {
	c.draining = true
	var actions []Action
	for _, request := range c.Queue.Drain() {
		actions = append(actions, c.refuse(now, request, chicoryrock.ReasonShutdown))
	}
	return actions
}

// Idle reports whether no request runs, so that a draining process may exit.
func (c *Controller) Idle() bool { return len(c.running) == 0 }

// Resize changes the number of slots. If more requests run, they go on.
func (c *Controller) Resize(now time.Time, slots int) []Action {
	c.Slots = slots
	return c.fillSlots(now, nil)
}

// Load returns the load that is sent to an entry with every answer. A backend server
// whose limit allows no request now is shown as full.
func (c *Controller) Load(now time.Time) chicoryrock.Load {
	load := chicoryrock.Load{
		Slots:   c.Slots,
		Running: len(c.running),
		Waiting: c.Queue.Len(),
		Leaving: c.draining,
	}
	if c.Quota != nil {
		if interval, known := c.Quota.Interval(now, LimitKey); known && interval > 0 {
			load.Running = max(load.Running, 1)
			load.Slots = load.Running
		}
	}
	return load
}

// permitted reports whether the backend server's limit allows a request now.
func (c *Controller) permitted(now time.Time, requestID string) bool {
	return c.Quota == nil || c.Quota.Allows(now, LimitKey, requestID)
}

// WastedTokens returns the number of tokens computed in vain.
func (c *Controller) WastedTokens() WastedTokens { return c.wasted }

func (c *Controller) refuse(now time.Time, request *chicoryrock.Request, reason chicoryrock.Reason) Action {
	return Action{Kind: Refuse, Request: request, Reason: reason, RetryAfter: c.Queue.RetryAfter(now, request)}
}

// fillSlots appends a Run action for each waiting request that gets a free slot.
func (c *Controller) fillSlots(now time.Time, actions []Action) []Action {
	for len(c.running) < c.Slots {
		next, found := c.Queue.Peek(now)
		if !found || !c.permitted(now, next.ID) {
			break
		}
		request, _ := c.Queue.Pop(now)
		if c.Quota != nil {
			c.Quota.Take(now, LimitKey, request.ID)
		}
		if c.running == nil {
			c.running = make(map[*chicoryrock.Request]*runState)
		}
		c.running[request] = &runState{}
		actions = append(actions, Action{Kind: Run, Request: request})
	}
	return actions
}

// releaseSlot frees the slot of a request and reports whether it had one.
func (c *Controller) releaseSlot(now time.Time, request *chicoryrock.Request) bool {
	r, found := c.running[request]
	if !found {
		return false
	}
	delete(c.running, request)
	computed := int64(request.PromptTokens + r.outputTokens)
	if r.preempted {
		c.preempting--
		c.wasted.Preempted += computed
	} else if r.cancelled {
		c.wasted.Cancelled += computed
	}
	if r.started {
		c.Queue.Finish(now, request)
		return true
	}
	c.Queue.Requeue(now, request)
	c.Queue.Remove(now, request)
	return true
}
