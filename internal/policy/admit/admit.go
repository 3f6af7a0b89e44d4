// Package admit is the core of an agent: which requests run on its backend
// server, which wait for a slot, which go back to their entries, and which are
// stopped for a higher tier. Requests of all entries meet here, so the queue's
// rules on tiers, floors and fairness hold across entries.
//
// Events go in and actions come out; the package does no input or output. The
// shell calls a method for each event and carries out the actions in order:
//
//	Offer(request)   -> Run, Wait or Refuse for it; Refuse for one displaced
//	MarkStarted(request) the first byte may now have reached the backend server
//	AddTokens(request)  tokens were produced
//	Finish(request)  -> Run for those that take the free slot
//	Cancel(request)  -> whether it certainly did not run
//	Tick()           -> Refuse for those that are late, Preempt where one is urgent
//
// A Refuse is always a true "not run": it is given only for requests for which
// Run was never given.
package admit

import (
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/queue"
)

// Kind says what the shell has to do with a request.
type Kind int

// The kinds of action.
const (
	Run     Kind = iota // send it to the backend server
	Wait                // keep it; another action follows
	Refuse              // answer its entry "not run", with Reason and After
	Preempt             // cancel it on the engine and tell its entry, then Finish
)

// String returns the kind's name, for records and tests.
func (k Kind) String() string { return [...]string{"run", "wait", "refuse", "preempt"}[k] }

// Action is one thing for the shell to do.
type Action struct {
	Kind       Kind
	Request    *chicoryrock.Request
	Reason     chicoryrock.Reason // of a Refuse
	RetryAfter time.Duration      // of a Refuse: when to come back
}

// WastedTokens counts tokens that were computed in vain, since the start of the process.
type WastedTokens struct {
	Preempted int64 // prompt and output that the engine has to compute once more
	Cancelled int64 // prompt and output that the caller did not wait for
}

// Controller decides for one backend server. Set the exported fields before use.
// It is not safe for concurrent use.
type Controller struct {
	Slots     int          // requests that the backend server runs at once
	CanResume bool         // its engines can resume a stream that was stopped
	Queue     *queue.Queue // Limit at most a quarter of Slots: long queues belong into the entries

	running  map[*chicoryrock.Request]*run
	stopping int // running requests that have been preempted
	draining bool
	computed int64 // tokens of prompts and answers
	waste    WastedTokens
}

// run is a request that has a slot.
type run struct {
	output    int
	started   bool // a byte may have reached the backend server
	stopping  bool
	cancelled bool
}

// Offer takes in a request. Its own action is the last but for a Preempt: Run,
// Wait, or Refuse (ReasonShutdown, ReasonLate, ReasonQueueFull).
func (a *Controller) Offer(now time.Time, request *chicoryrock.Request) []Action {
	if a.draining {
		return []Action{a.refuse(now, request, chicoryrock.ReasonShutdown)}
	}
	displaced, reason := a.Queue.Push(now, request)
	if reason == chicoryrock.ReasonLate && a.victim(request.Tier) != nil {
		displaced, reason = a.Queue.PushIgnoringDeadline(now, request)
	}
	if reason != chicoryrock.ReasonNone {
		return []Action{a.refuse(now, request, reason)}
	}
	var actions []Action
	if displaced != nil {
		actions = append(actions, a.refuse(now, displaced, chicoryrock.ReasonQueueFull))
	}
	actions = a.fill(now, actions)
	if _, runs := a.running[request]; !runs {
		actions = append(actions, Action{Kind: Wait, Request: request})
	}
	return a.preempt(now, actions)
}

// MarkStarted says that from now on the request may have reached the backend server.
func (a *Controller) MarkStarted(request *chicoryrock.Request) {
	if r, found := a.running[request]; found && !r.started {
		r.started = true
		a.computed += int64(request.PromptTokens)
	}
}

// AddTokens counts tokens that a running request has produced.
func (a *Controller) AddTokens(now time.Time, request *chicoryrock.Request, tokens int) {
	r, found := a.running[request]
	if !found {
		return
	}
	r.output += tokens
	a.computed += int64(tokens)
	a.Queue.Charge(now, request, tokens)
}

// Finish ends a request that had a slot, in whatever way, and fills the slot. One
// that was never started is not charged.
func (a *Controller) Finish(now time.Time, request *chicoryrock.Request) []Action {
	if !a.release(now, request) {
		return nil
	}
	return a.preempt(now, a.fill(now, nil))
}

// Cancel takes a request whose caller has gone, and says whether it certainly did
// not run. If it may have, the shell cancels it on the engine and calls Finish.
func (a *Controller) Cancel(now time.Time, request *chicoryrock.Request) ([]Action, bool) {
	r, runs := a.running[request]
	switch {
	case !runs:
		a.Queue.Remove(now, request)
		return nil, true
	case !r.started:
		return a.Finish(now, request), true
	default:
		r.cancelled = true
		return nil, false
	}
}

// Tick refuses those that can't begin in time any more, and preempts for one that
// is about to be too late. The shell calls it every few milliseconds.
func (a *Controller) Tick(now time.Time) []Action {
	var actions []Action
	for _, late := range a.Queue.Expire(now) {
		actions = append(actions, a.refuse(now, late, chicoryrock.ReasonLate))
	}
	return a.preempt(now, actions)
}

// Drain refuses all that wait, and from now on every Offer. What runs goes on.
func (a *Controller) Drain(now time.Time) []Action {
	a.draining = true
	var actions []Action
	for _, request := range a.Queue.Drain() {
		actions = append(actions, a.refuse(now, request, chicoryrock.ReasonShutdown))
	}
	return actions
}

// Idle says whether nothing runs, so that a draining process may exit.
func (a *Controller) Idle() bool { return len(a.running) == 0 }

// Resize changes the number of slots. Requests that run beyond it go on.
func (a *Controller) Resize(now time.Time, slots int) []Action {
	a.Slots = slots
	return a.fill(now, nil)
}

// Load states what an answer tells its entry.
func (a *Controller) Load() chicoryrock.Load {
	return chicoryrock.Load{
		Slots:   a.Slots,
		Running: len(a.running),
		Waiting: a.Queue.Len(),
		Leaving: a.draining,
	}
}

// WastedTokens returns the tokens computed in vain.
func (a *Controller) WastedTokens() WastedTokens { return a.waste }

func (a *Controller) refuse(now time.Time, request *chicoryrock.Request, reason chicoryrock.Reason) Action {
	return Action{Kind: Refuse, Request: request, Reason: reason, RetryAfter: a.Queue.RetryAfter(now, request)}
}

// fill runs waiting requests in the free slots.
func (a *Controller) fill(now time.Time, actions []Action) []Action {
	for len(a.running) < a.Slots {
		request, found := a.Queue.Pop(now)
		if !found {
			break
		}
		if a.running == nil {
			a.running = make(map[*chicoryrock.Request]*run)
		}
		a.running[request] = &run{}
		actions = append(actions, Action{Kind: Run, Request: request})
	}
	return actions
}

// release frees the slot of a request and says whether it had one.
func (a *Controller) release(now time.Time, request *chicoryrock.Request) bool {
	r, found := a.running[request]
	if !found {
		return false
	}
	delete(a.running, request)
	spent := int64(request.PromptTokens + r.output)
	if r.stopping {
		a.stopping--
		a.waste.Preempted += spent
	} else if r.cancelled {
		a.waste.Cancelled += spent
	}
	if r.started {
		a.Queue.Finish(now, request)
		return true
	}
	a.Queue.Requeue(now, request)
	a.Queue.Remove(now, request)
	return true
}
