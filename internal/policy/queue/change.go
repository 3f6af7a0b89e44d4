package queue

import (
	"math"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// chargeStep is how many tokens are charged in advance once an answer has grown
// beyond what was expected.
const chargeStep = 16

// link puts a request among the waiting ones.
func (q *Queue) link(now time.Time, added *item) {
	f := added.flow
	a := f.account
	l := f.lane
	// A request that comes back may have been given another deadline.
	added.deadline = nanoseconds(added.request.Deadline)
	added.cost = l.expected(added.prompt)
	added.last = q.lastStart(added.request)
	if l.waiting == 0 {
		// Turns missed while nothing waited are not owed.
		l.due = math.Max(l.due, q.turn)
	}
	if a.waiting == 0 {
		l.tier.shares += a.share
	}
	f.insert(added)
	f.cost += added.cost
	a.cost += added.cost
	a.waiting++
	l.tier.cost += added.cost
	l.waiting++
	l.tier.waiting++
	q.place(f)
	q.stays++
	added.stay = q.stays
	q.expiry.add(added, q.waiting)
	q.waiting++
	if q.waiting == 1 {
		q.meter.start(now)
	}
	q.chosen = nil
}

// unlink takes a request out of the waiting ones. Its flow has to be placed anew
// afterwards.
func (q *Queue) unlink(gone *item) {
	f := gone.flow
	a := f.account
	t := f.lane.tier
	f.unlink(gone)
	f.cost -= gone.cost
	a.cost -= gone.cost
	a.waiting--
	t.cost -= gone.cost
	f.lane.waiting--
	t.waiting--
	if a.waiting == 0 {
		a.cost = 0
		t.shares -= a.share
	}
	if t.waiting == 0 {
		// Sums of floats drift; an empty tier is a chance to be exact again.
		t.cost = 0
		t.shares = 0
	}
	gone.stay = 0
	q.waiting--
	if q.waiting == 0 {
		q.meter.stop()
	}
	q.chosen = nil
}

// place puts a flow into its lane's heaps, moves it there, or takes it out.
func (q *Queue) place(f *flow) {
	waits := f.head != nil
	known := f.turn != absent
	switch {
	case waits && !known:
		f.lane.turns.push(f.account.used, f, &f.turn)
		f.lane.ends.push(-f.end(), f, &f.shed)
	case waits:
		f.fix()
	case known:
		f.cost = 0
		f.lane.turns.remove(f.turn)
		f.lane.ends.remove(f.shed)
	}
}

// give moves a request, already out of the waiting ones, to the running ones and
// charges what it will probably take (8, 9).
func (q *Queue) give(now time.Time, popped *item) {
	l := popped.flow.lane
	a := popped.flow.account
	popped.popped = now.UnixNano()
	popped.output = 0
	popped.charged = l.expected(popped.prompt)
	l.tier.virtual = math.Max(l.tier.virtual, a.used)
	// This places all flows of the account anew but one that is empty now.
	a.charge(popped.charged)
	if popped.flow.head == nil {
		q.place(popped.flow)
	}
	a.running++
	l.running++
	l.tier.running++
	q.running++
	popped.due = l.due
	q.turn++
	l.take(q.turn)
}

// settle ends the run of a request: its workspace is charged the tokens that it
// really took.
func (q *Queue) settle(done *item, took float64) {
	l := done.flow.lane
	a := done.flow.account
	a.charge(took - done.charged)
	done.charged = 0
	a.running--
	l.running--
	l.tier.running--
	q.running--
	q.chosen = nil
}

// drop forgets a waiting request.
func (q *Queue) drop(gone *item) {
	q.unlink(gone)
	q.place(gone.flow)
	gone.flow.lane.tier.rest()
	q.forget(gone)
}

func (q *Queue) forget(gone *item) {
	delete(q.items, gone.request)
	*gone = item{}
	q.free = append(q.free, gone)
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

// makeRoom says whether a request may come in, and which waiting one has to go
// for it, if any (5, 6, 12). When the request itself would be served last, it is
// the one that is refused.
func (q *Queue) makeRoom(f *flow, request *chicoryrock.Request) (*item, bool) {
	l := f.lane
	if q.Limit <= 0 || q.shared() < q.Limit || l.waiting < l.own(q.running) {
		return nil, true
	}
	lowest := q.lowest()
	if lowest.rank > request.Tier {
		return lowest.last(q.running).tail, true
	}
	if lowest.rank < request.Tier {
		return nil, false
	}
	last := lowest.last(q.running)
	if f.end()+l.expected(float64(request.PromptTokens))/f.account.share >= last.end() {
		return nil, false
	}
	return last.tail, true
}

// shared returns how many requests wait in the shared room.
func (q *Queue) shared() int {
	sum := 0
	for _, t := range q.tiers {
		sum += t.shared(q.running)
	}
	return sum
}

// lowest returns the lowest tier that uses the shared room. One does.
func (q *Queue) lowest() *tier {
	at := len(q.tiers) - 1
	for q.tiers[at].shared(q.running) == 0 {
		at--
	}
	return q.tiers[at]
}

// measure counts a request towards the service rate if it had to wait for its
// turn. One that did not wait says nothing of the pool's limits.
func (q *Queue) measure(now time.Time, popped *item) {
	popped.metered = 0
	if now.UnixNano() <= popped.pushed {
		return
	}
	popped.metered = popped.flow.lane.hold
	q.meter.add(now, popped.metered)
}
