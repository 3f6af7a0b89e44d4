// Package queue holds the requests that wait for the backend servers of one
// pool, or for the slots of one backend server. It decides which request runs
// next, which one is refused and which one is dropped. Rule numbers in the comments
// refer to docs/POLICY.md.
//
// Tiers have strict priority, except that a class with a floor gets at least that
// share of the running requests whatever its tier. Within a tier the queue is
// weighted fair: the next turn goes to the workspace that has used the fewest
// tokens relative to its share, and to that workspace's request with the earliest
// deadline. Every operation on one request takes time logarithmic in the number of
// waiting requests, independent of the number of workspaces.
package queue

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/jitter"
)

// Queue implements chicoryrock.Queue. Set the exported fields before use; call
// Update to change floors and shares later. It is not safe for concurrent use.
type Queue struct {
	Limit  int                // shared places for waiting requests; zero for no limit
	Floors map[string]float64 // by class: its minimum share of the running requests, 0 to 1
	Shares map[string]float64 // by workspace: its weight within a tier; 1 if missing

	items        map[*chicoryrock.Request]*item
	tiers        []*tier  // sorted by rank, the highest tier first
	floorClasses []*class // classes with a floor
	expiry       expiry
	meter        meter
	refused      jitter.RefusedWork
	prefill      prefillModel
	free         []*item // unused items, kept for reuse
	waiting      int
	running      int
	turns        float64 // requests popped so far, less those requeued
	nextSeq      uint64
	lastWaitID   uint64

	chosen   *item // cached result of choose; nil once the queue has changed
	chosenAt time.Time
}

var _ chicoryrock.Queue = (*Queue)(nil)

// Len implements chicoryrock.Queue.
func (q *Queue) Len() int { return q.waiting }

// Push implements chicoryrock.Queue. It refuses with ReasonLate if the backlog of
// the request's own and higher tiers would make it start too late, or with
// ReasonQueueFull.
func (q *Queue) Push(now time.Time, request *chicoryrock.Request) (*chicoryrock.Request, chicoryrock.Reason) {
	f := q.flowFor(request)
	if q.wouldBeLate(now, f, request) {
		q.refused.Add(now, f.class.meanSlotSeconds)
		return nil, chicoryrock.ReasonLate
	}
	return q.insert(now, f, request)
}

// PushIgnoringDeadline adds a request even if it would probably start too late,
// for a caller that can free a slot in another way, such as preemption. It refuses
// with ReasonQueueFull only.
func (q *Queue) PushIgnoringDeadline(now time.Time, request *chicoryrock.Request) (*chicoryrock.Request, chicoryrock.Reason) {
	return q.insert(now, q.flowFor(request), request)
}

func (q *Queue) insert(now time.Time, f *flow, request *chicoryrock.Request) (*chicoryrock.Request, chicoryrock.Reason) {
	victim, fits := q.makeRoom(f, request)
	if !fits {
		q.refused.Add(now, f.class.meanSlotSeconds)
		return nil, chicoryrock.ReasonQueueFull
	}
	var displaced *chicoryrock.Request
	if victim != nil {
		displaced = victim.request
		q.refused.Add(now, victim.flow.class.meanSlotSeconds)
		q.discard(victim)
	}
	added := q.newItem()
	added.request = request
	added.flow = f
	added.promptTokens = float64(request.PromptTokens)
	f.class.target = max(0, request.Deadline.Sub(request.Arrived))
	added.pushedAt = now.UnixNano()
	added.seq = q.nextSeq
	q.nextSeq++
	q.items[request] = added
	q.enqueue(now, added)
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
	q.meterPop(now, popped)
	q.dequeue(popped)
	q.markRunning(now, popped)
	return popped.request, true
}

// Requeue implements chicoryrock.Queue. It ignores Limit, because the request was
// admitted before.
func (q *Queue) Requeue(now time.Time, request *chicoryrock.Request) {
	requeued, found := q.items[request]
	if !found || requeued.poppedAt == 0 {
		return
	}
	c := requeued.flow.class
	c.due = min(c.due, requeued.classDue)
	q.turns--
	if requeued.meteredSeconds > 0 {
		q.meter.undo(requeued.meteredSeconds)
	}
	used := 0.0
	if requeued.outputTokens > 0 {
		used = requeued.promptTokens + requeued.outputTokens
	}
	q.endRun(requeued, used)
	requeued.poppedAt = 0
	q.enqueue(now, requeued)
}

// Remove implements chicoryrock.Queue.
func (q *Queue) Remove(_ time.Time, request *chicoryrock.Request) bool {
	removed, found := q.items[request]
	if !found || removed.poppedAt != 0 {
		return false
	}
	q.discard(removed)
	return true
}

// Expire implements chicoryrock.Queue.
func (q *Queue) Expire(now time.Time) []*chicoryrock.Request {
	var late []*chicoryrock.Request
	for removed := q.expiry.pop(now.UnixNano()); removed != nil; removed = q.expiry.pop(now.UnixNano()) {
		late = append(late, removed.request)
		q.refused.Add(now, removed.flow.class.meanSlotSeconds)
		q.discard(removed)
	}
	return late
}

// Charge implements chicoryrock.Queue.
func (q *Queue) Charge(now time.Time, request *chicoryrock.Request, tokens int) {
	running, found := q.items[request]
	if !found || running.poppedAt == 0 || tokens <= 0 {
		return
	}
	if running.outputTokens == 0 && tokens <= maxFirstChunkTokens {
		q.prefill.add(int(running.promptTokens), time.Duration(now.UnixNano()-running.poppedAt))
	}
	running.outputTokens += float64(tokens)
	over := running.promptTokens + running.outputTokens - running.chargedTokens
	if over <= 0 {
		return
	}
	// Charging a few tokens ahead avoids a heap update for every token.
	over += chargeAheadTokens
	running.chargedTokens += over
	running.flow.account.charge(over)
	q.chosen = nil
}

// Finish implements chicoryrock.Queue.
func (q *Queue) Finish(now time.Time, request *chicoryrock.Request) {
	done, found := q.items[request]
	if !found || done.poppedAt == 0 {
		return
	}
	done.flow.class.observe(done.outputTokens, float64(now.UnixNano()-done.poppedAt)/float64(time.Second))
	q.endRun(done, math.Max(1, done.promptTokens+done.outputTokens))
	done.flow.class.tier.resetIfIdle()
	q.recycle(done)
}

// Urgent reports whether a waiting request would probably miss its deadline if
// another request ran first.
func (q *Queue) Urgent(now time.Time, request *chicoryrock.Request) bool {
	waiting, found := q.items[request]
	return found && waiting.poppedAt == 0 && q.urgent(now, waiting)
}

// Drain removes and returns every waiting request in order of arrival, for a
// process that is shutting down.
func (q *Queue) Drain() []*chicoryrock.Request {
	var waiting []*item
	for _, queued := range q.items {
		if queued.poppedAt == 0 {
			waiting = append(waiting, queued)
		}
	}
	slices.SortFunc(waiting, func(a, b *item) int { return cmp.Compare(a.seq, b.seq) })
	requests := make([]*chicoryrock.Request, 0, len(waiting))
	for _, removed := range waiting {
		requests = append(requests, removed.request)
		q.discard(removed)
	}
	return requests
}

// shareOf returns the weight of a workspace.
func (q *Queue) shareOf(workspace string) float64 {
	if share := q.Shares[workspace]; share > 0 {
		return share
	}
	return 1
}

// flowFor returns the flow of a request's workspace and class, creating it if
// needed.
func (q *Queue) flowFor(request *chicoryrock.Request) *flow {
	c := q.classFor(request)
	a, found := c.tier.accounts[request.Workspace]
	if !found {
		a = &account{workspace: request.Workspace, share: q.shareOf(request.Workspace)}
		c.tier.accounts[request.Workspace] = a
	}
	c.tier.syncVirtualTime(a)
	return a.flowFor(c)
}

// classFor returns the class of a request, creating it if needed.
func (q *Queue) classFor(request *chicoryrock.Request) *class {
	t := q.tierFor(request.Tier)
	if c := t.class(request.Class); c != nil {
		return c
	}
	c := &class{tier: t, name: request.Class, meanOutputTokens: initialOutputTokens, meanSlotSeconds: initialSlotTime.Seconds(), due: q.turns}
	t.classes = append(t.classes, c)
	q.setFloor(c)
	return c
}

// tierFor returns the tier with the given rank, creating it if needed.
func (q *Queue) tierFor(rank int) *tier {
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
