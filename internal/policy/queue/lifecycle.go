package queue

import (
	"math"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// chargeAheadTokens is how many tokens are charged in advance once an answer is
// longer than expected.
const chargeAheadTokens = 16

// enqueue adds an item to the waiting ones.
func (q *Queue) enqueue(now time.Time, added *item) {
	f := added.flow
	a := f.account
	c := f.class
	// The deadline of a requeued request may have changed.
	added.deadline = unixNano(added.request.Deadline)
	added.expectedTokens = c.requestTokens(added.promptTokens)
	added.latestStart = q.latestStart(added.request)
	if c.waiting == 0 {
		// A class is owed no turns for the time when it had no waiting requests.
		c.due = math.Max(c.due, q.turns)
	}
	if a.waiting == 0 {
		c.tier.waitingShares += a.share
	}
	f.insert(added)
	f.waitingTokens += added.expectedTokens
	a.waitingTokens += added.expectedTokens
	a.waiting++
	c.tier.waitingTokens += added.expectedTokens
	c.waiting++
	c.tier.waiting++
	q.updateHeaps(f)
	q.lastWaitID++
	added.waitID = q.lastWaitID
	q.expiry.add(added, q.waiting)
	q.waiting++
	if q.waiting == 1 {
		q.meter.start(now)
	}
	q.chosen = nil
}

// dequeue removes an item from the waiting ones. The caller then has to update the
// heaps for its flow.
func (q *Queue) dequeue(removed *item) {
	f := removed.flow
	a := f.account
	t := f.class.tier
	f.unlink(removed)
	f.waitingTokens -= removed.expectedTokens
	a.waitingTokens -= removed.expectedTokens
	a.waiting--
	t.waitingTokens -= removed.expectedTokens
	f.class.waiting--
	t.waiting--
	if a.waiting == 0 {
		a.waitingTokens = 0
		t.waitingShares -= a.share
	}
	if t.waiting == 0 {
		// Sums of floats accumulate rounding errors; reset them while they are zero.
		t.waitingTokens = 0
		t.waitingShares = 0
	}
	removed.waitID = 0
	q.waiting--
	if q.waiting == 0 {
		q.meter.stop()
	}
	q.chosen = nil
}

// updateHeaps adds a flow to its class's heaps, moves it there or removes it,
// depending on whether it has waiting requests.
func (q *Queue) updateHeaps(f *flow) {
	nonEmpty := f.head != nil
	inHeaps := f.startIndex != notInHeap
	switch {
	case nonEmpty && !inHeaps:
		f.class.byStart.push(f.account.virtualTime, f, &f.startIndex)
		f.class.byFinish.push(-f.virtualFinish(), f, &f.finishIndex)
	case nonEmpty:
		f.updateKeys()
	case inHeaps:
		f.waitingTokens = 0
		f.class.byStart.remove(f.startIndex)
		f.class.byFinish.remove(f.finishIndex)
	}
}

// markRunning counts a dequeued item as running and charges its workspace the
// tokens that it is expected to use (rules 8 and 9).
func (q *Queue) markRunning(now time.Time, popped *item) {
	c := popped.flow.class
	a := popped.flow.account
	popped.poppedAt = now.UnixNano()
	popped.outputTokens = 0
	popped.chargedTokens = c.requestTokens(popped.promptTokens)
	c.tier.virtualTime = math.Max(c.tier.virtualTime, a.virtualTime)
	// This updates the heaps for all flows of the account except an empty one.
	a.charge(popped.chargedTokens)
	if popped.flow.head == nil {
		q.updateHeaps(popped.flow)
	}
	a.running++
	c.running++
	c.tier.running++
	q.running++
	popped.classDue = c.due
	q.turns++
	c.bookTurn(q.turns)
}

// endRun stops counting an item as running and corrects the charge of its workspace
// to the tokens that it used.
func (q *Queue) endRun(done *item, used float64) {
	c := done.flow.class
	a := done.flow.account
	a.charge(used - done.chargedTokens)
	done.chargedTokens = 0
	a.running--
	c.running--
	c.tier.running--
	q.running--
	q.chosen = nil
}

// discard removes a waiting item from the queue.
func (q *Queue) discard(removed *item) {
	q.dequeue(removed)
	q.updateHeaps(removed.flow)
	removed.flow.class.tier.resetIfIdle()
	q.recycle(removed)
}

// recycle frees an item for reuse.
func (q *Queue) recycle(removed *item) {
	delete(q.items, removed.request)
	*removed = item{}
	q.free = append(q.free, removed)
}

func (q *Queue) newItem() *item {
	last := len(q.free) - 1
	if last < 0 {
		return &item{}
	}
	reused := q.free[last]
	q.free = q.free[:last]
	return reused
}

// makeRoom reports whether a request may be added, and returns the waiting item to
// displace for it, or nil if none (rules 5, 6 and 12). If the request itself would
// be served last, it is the one that is refused.
func (q *Queue) makeRoom(f *flow, request *chicoryrock.Request) (*item, bool) {
	c := f.class
	if q.Limit <= 0 || q.sharedWaiting() < q.Limit || c.waiting < c.reservedPlaces(q.running) {
		return nil, true
	}
	lowest := q.lowestSharedTier()
	if lowest.rank > request.Tier {
		return lowest.lastShared(q.running).tail, true
	}
	if lowest.rank < request.Tier {
		return nil, false
	}
	last := lowest.lastShared(q.running)
	if f.virtualFinish()+c.requestTokens(float64(request.PromptTokens))/f.account.share >= last.virtualFinish() {
		return nil, false
	}
	return last.tail, true
}

// sharedWaiting returns the number of requests that occupy shared places.
func (q *Queue) sharedWaiting() int {
	sum := 0
	for _, t := range q.tiers {
		sum += t.sharedWaiting(q.running)
	}
	return sum
}

// lowestSharedTier returns the lowest tier that occupies shared places. At least
// one tier must.
func (q *Queue) lowestSharedTier() *tier {
	at := len(q.tiers) - 1
	for q.tiers[at].sharedWaiting(q.running) == 0 {
		at--
	}
	return q.tiers[at]
}

// meterPop counts a popped item towards the service rate if it had to wait. One
// that did not wait gives no measure of how fast the pool can serve.
func (q *Queue) meterPop(now time.Time, popped *item) {
	popped.meteredSeconds = 0
	if now.UnixNano() <= popped.pushedAt {
		return
	}
	popped.meteredSeconds = popped.flow.class.meanSlotSeconds
	q.meter.add(now, popped.meteredSeconds)
}
