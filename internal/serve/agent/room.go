package agent

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/admit"
	"github.com/chicoryrock/chicoryrock/internal/policy/queue"
	"github.com/chicoryrock/chicoryrock/internal/policy/quota"
	"github.com/chicoryrock/chicoryrock/internal/policy/suspect"
	"github.com/chicoryrock/chicoryrock/internal/serve/pause"
)

const (
	// tickInterval is how often waiting requests are checked for lateness.
	tickInterval = 10 * time.Millisecond
	// waitingShare is how many requests may wait in an agent, as a share of its
	// slots. Long queues belong into the entries, which can still choose another
	// backend server.
	waitingShare = 0.1
)

// errPreempted ends a request on the engine to make room for a higher tier.
var errPreempted = errors.New("preempted for a higher tier")

// room puts a lock round the admission core and wakes the goroutines whose
// requests it lets in or turns away.
type room struct {
	mu      sync.Mutex
	core    admit.Controller
	seats   map[*chicoryrock.Request]*seat
	build   string // of the backend server (chicoryrock.Server.Build); empty if not known
	suspect bool   // a request that was in flight at a crash has been let in
}

// seat is one request that has been offered.
type seat struct {
	verdict chan admit.Action
	preempt context.CancelCauseFunc
	suspect bool
}

func newRoom(slots int) *room {
	alone := &quota.Member{Name: "agent"}
	alone.SetMembers(nil, true, 1)
	return &room{
		core: admit.Controller{
			Slots: slots,
			Queue: &queue.Queue{Limit: max(1, int(waitingShare*float64(slots)))},
			Quota: alone,
		},
		seats: make(map[*chicoryrock.Request]*seat),
	}
}

// update takes over what the configuration says.
func (r *room) update(save bool, floors, shares map[string]float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.CanResume = save
	r.core.Queue.Update(floors, shares)
}

// enter waits until the request may run, and returns the action that says so or
// refuses it. Error: the context's, when the request was given up; it certainly
// did not run then.
func (r *room) enter(ctx context.Context, now time.Time, request *chicoryrock.Request, taken *seat) (admit.Action, error) {
	if !r.offer(now, request, taken) {
		return admit.Action{Kind: admit.Refuse, Request: request, Reason: chicoryrock.ReasonQueueFull}, nil
	}
	select {
	case action := <-taken.verdict:
		return action, nil
	case <-ctx.Done():
		r.cancel(request)
		return admit.Action{}, errors.WithStack(ctx.Err())
	}
}

// offer hands the request to the core. Of those that were in flight at a crash
// only one is let in at a time: when the next crash comes, it has one suspect.
func (r *room) offer(now time.Time, request *chicoryrock.Request, taken *seat) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if taken.suspect && r.suspect {
		return false
	}
	if taken.suspect {
		r.suspect = true
		time.AfterFunc(suspect.Probation, func() { r.pass(request, taken) })
	}
	r.seats[request] = taken
	r.apply(r.core.Offer(now, request))
	return true
}

// pass lets in another suspect after one has run for a while without a crash.
func (r *room) pass(request *chicoryrock.Request, taken *seat) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if taken.suspect && r.seats[request] == taken {
		r.suspect = false
	}
	taken.suspect = false
}

// cancel takes out a request whose entry has gone before it ran.
func (r *room) cancel(request *chicoryrock.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	actions, _ := r.core.Cancel(time.Now(), request)
	r.forget(request)
	r.apply(actions)
}

func (r *room) started(request *chicoryrock.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.MarkStarted(request)
}

// limited takes in the limit that the backend server stated in an answer to a request
// that was sent at a time, or chicoryrock.Unlimited.
func (r *room) limited(now, sent time.Time, limit float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.Quota.Observe(now, sent, admit.LimitKey, limit)
}

func (r *room) token(now time.Time, request *chicoryrock.Request, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.AddTokens(now, request, tokens)
}

// finish ends a request that ran and returns the load without it.
func (r *room) finish(now time.Time, request *chicoryrock.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(request)
	r.apply(r.core.Finish(now, request))
}

func (r *room) drain(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply(r.core.Drain(now))
}

// run looks for late requests until the context ends.
func (r *room) run(ctx context.Context) {
	pause.Every(ctx, tickInterval, func(now time.Time) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.apply(r.core.Tick(now))
	})
}

func (r *room) load() chicoryrock.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	load := r.core.Load(time.Now())
	load.Build = r.build
	return load
}

// built takes in which build the backend server's last answer states.
func (r *room) built(build string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.build = build
}

// apply carries out the core's actions. The lock is held.
func (r *room) apply(actions []admit.Action) {
	for _, action := range actions {
		taken := r.seats[action.Request]
		switch {
		case taken == nil:
		case action.Kind == admit.Preempt:
			taken.preempt(errPreempted)
		case action.Kind == admit.Run:
			taken.verdict <- action
		case action.Kind == admit.Refuse:
			r.forget(action.Request)
			taken.verdict <- action
		}
	}
}

func (r *room) forget(request *chicoryrock.Request) {
	if taken := r.seats[request]; taken != nil && taken.suspect {
		r.suspect = false
	}
	delete(r.seats, request)
}
