// Package queue holds the requests that wait for the backend servers of one
// pool, or for the slots of one backend server, and decides which goes next,
// which is refused and which is given up. docs/POLICY.md states its rules; the
// numbers in the comments are those of its sentences.
//
// Tiers come first, apart from the floors of classes. Inside a tier turns go to
// the workspace that has used the fewest tokens for its share, and inside a
// workspace to the request that is due first. Every operation takes time
// logarithmic in what waits, whatever the number of workspaces.
package queue

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/jitter"
)

// Queue implements chicoryrock.Queue. Set the exported fields before use; Update
// changes floors and shares later. It is not safe for concurrent use.
type Queue struct {
	Limit  int                // most requests in the shared room; zero for no limit
	Floors map[string]float64 // by class, share of the running requests, 0 to 1
	Shares map[string]float64 // by workspace; one that is missing has share 1

	items   map[*chicoryrock.Request]*item
	tiers   []*tier // by rank, the highest tier first
	floored []*lane // the classes that have a floor
	expiry  expiry
	meter   meter
	refused jitter.RefusedWork
	prefill prefill
	free    []*item
	waiting int
	running int
	turn    float64 // requests given out so far
	seq     uint64  // requests taken in so far
	stays   uint64  // times that a request has begun to wait

	chosen   *item // what Peek found, until something changes
	chosenAt time.Time
}

var _ chicoryrock.Queue = (*Queue)(nil)

// Len implements chicoryrock.Queue.
func (q *Queue) Len() int { return q.waiting }

// Push implements chicoryrock.Queue. Reasons: ReasonLate, when the request can't
// begin in time behind what is ahead of it in its own tier and above;
// ReasonQueueFull.
func (q *Queue) Push(now time.Time, request *chicoryrock.Request) (*chicoryrock.Request, chicoryrock.Reason) {
	f := q.flow(request)
	if q.late(now, f, request) {
		q.refused.Add(now, f.lane.hold)
		return nil, chicoryrock.ReasonLate
	}
	return q.put(now, f, request)
}

// PushIgnoringDeadline is Push without the early refusal, for a caller that can make room in
// another way. Reason: ReasonQueueFull.
func (q *Queue) PushIgnoringDeadline(now time.Time, request *chicoryrock.Request) (*chicoryrock.Request, chicoryrock.Reason) {
	return q.put(now, q.flow(request), request)
}

func (q *Queue) put(now time.Time, f *flow, request *chicoryrock.Request) (*chicoryrock.Request, chicoryrock.Reason) {
	victim, fits := q.makeRoom(f, request)
	if !fits {
		q.refused.Add(now, f.lane.hold)
		return nil, chicoryrock.ReasonQueueFull
	}
	var displaced *chicoryrock.Request
	if victim != nil {
		displaced = victim.request
		q.refused.Add(now, victim.flow.lane.hold)
		q.drop(victim)
	}
	added := q.newItem()
	added.request = request
	added.flow = f
	added.prompt = float64(request.PromptTokens)
	f.lane.target = max(0, request.Deadline.Sub(request.Arrived))
	added.pushed = now.UnixNano()
	added.seq = q.seq
	q.seq++
	q.items[request] = added
	q.link(now, added)
	return displaced, chicoryrock.ReasonNone
}

// Peek implements chicoryrock.Queue.
func (q *Queue) Peek(now time.Time) (*chicoryrock.Request, bool) {
	if q.waiting == 0 {
		return nil, false
	}
	return q.choose(now).request, true
}

// Pop implements chicoryrock.Queue.
func (q *Queue) Pop(now time.Time) (*chicoryrock.Request, bool) {
	if q.waiting == 0 {
		return nil, false
	}
	popped := q.choose(now)
	q.measure(now, popped)
	q.unlink(popped)
	q.give(now, popped)
	return popped.request, true
}

// Requeue implements chicoryrock.Queue. The request is taken back even when the
// queue is full, as it had its place before.
func (q *Queue) Requeue(now time.Time, request *chicoryrock.Request) {
	back, found := q.items[request]
	if !found || back.popped == 0 {
		return
	}
	l := back.flow.lane
	l.due = min(l.due, back.due)
	q.turn--
	if back.metered > 0 {
		q.meter.undo(back.metered)
	}
	took := 0.0
	if back.output > 0 {
		took = back.prompt + back.output
	}
	q.settle(back, took)
	back.popped = 0
	q.link(now, back)
}

// Remove implements chicoryrock.Queue.
func (q *Queue) Remove(_ time.Time, request *chicoryrock.Request) bool {
	gone, found := q.items[request]
	if !found || gone.popped != 0 {
		return false
	}
	q.drop(gone)
	return true
}

// Expire implements chicoryrock.Queue.
func (q *Queue) Expire(now time.Time) []*chicoryrock.Request {
	var late []*chicoryrock.Request
	for gone := q.expiry.next(now.UnixNano()); gone != nil; gone = q.expiry.next(now.UnixNano()) {
		late = append(late, gone.request)
		q.refused.Add(now, gone.flow.lane.hold)
		q.drop(gone)
	}
	return late
}

// Charge implements chicoryrock.Queue.
func (q *Queue) Charge(now time.Time, request *chicoryrock.Request, tokens int) {
	running, found := q.items[request]
	if !found || running.popped == 0 || tokens <= 0 {
		return
	}
	if running.output == 0 && tokens <= prefillChunk {
		q.prefill.learn(int(running.prompt), time.Duration(now.UnixNano()-running.popped))
	}
	running.output += float64(tokens)
	over := running.prompt + running.output - running.charged
	if over <= 0 {
		return
	}
	// A few tokens in advance save moving the account at every token.
	over += chargeStep
	running.charged += over
	running.flow.account.charge(over)
	q.chosen = nil
}

// Finish implements chicoryrock.Queue.
func (q *Queue) Finish(now time.Time, request *chicoryrock.Request) {
	done, found := q.items[request]
	if !found || done.popped == 0 {
		return
	}
	done.flow.lane.learn(done.output, float64(now.UnixNano()-done.popped)/float64(time.Second))
	q.settle(done, math.Max(1, done.prompt+done.output))
	done.flow.lane.tier.rest()
	q.forget(done)
}

// Urgent says whether a waiting request would probably miss its target by letting
// one turn pass.
func (q *Queue) Urgent(now time.Time, request *chicoryrock.Request) bool {
	waiting, found := q.items[request]
	return found && waiting.popped == 0 && q.urgent(now, waiting)
}

// Drain removes and returns every waiting request, in the order of arrival, for a
// process that shuts down.
func (q *Queue) Drain() []*chicoryrock.Request {
	var waiting []*item
	for _, held := range q.items {
		if held.popped == 0 {
			waiting = append(waiting, held)
		}
	}
	slices.SortFunc(waiting, func(a, b *item) int { return cmp.Compare(a.seq, b.seq) })
	requests := make([]*chicoryrock.Request, 0, len(waiting))
	for _, gone := range waiting {
		requests = append(requests, gone.request)
		q.drop(gone)
	}
	return requests
}

func (q *Queue) share(workspace string) float64 {
	if share := q.Shares[workspace]; share > 0 {
		return share
	}
	return 1
}

// flow returns where a request waits or would wait, made if need be.
func (q *Queue) flow(request *chicoryrock.Request) *flow {
	l := q.lane(request)
	a, found := l.tier.accounts[request.Workspace]
	if !found {
		a = &account{workspace: request.Workspace, share: q.share(request.Workspace)}
		l.tier.accounts[request.Workspace] = a
	}
	l.tier.level(a)
	return a.flow(l)
}

// lane returns the lane of a request's class, made if need be.
func (q *Queue) lane(request *chicoryrock.Request) *lane {
	t := q.tier(request.Tier)
	if l := t.lane(request.Class); l != nil {
		return l
	}
	l := &lane{tier: t, class: request.Class, length: firstLength, hold: firstHold.Seconds(), due: q.turn}
	t.lanes = append(t.lanes, l)
	q.setFloor(l)
	return l
}

func (q *Queue) tier(rank int) *tier {
	at, found := slices.BinarySearchFunc(q.tiers, rank, func(t *tier, rank int) int {
		return cmp.Compare(t.rank, rank)
	})
	if found {
		return q.tiers[at]
	}
	if q.items == nil {
		q.items = make(map[*chicoryrock.Request]*item)
	}
	t := &tier{rank: rank, accounts: make(map[string]*account)}
	q.tiers = slices.Insert(q.tiers, at, t)
	return t
}
