package queue

import "github.com/chicoryrock/chicoryrock"

// item is one request that waits in the queue or runs.
type item struct {
	request        *chicoryrock.Request
	flow           *flow
	prev           *item
	next           *item
	deadline       int64   // nanoseconds since 1970, as are all times here
	latestStart    int64   // latest useful start
	pushedAt       int64   // time of its Push
	poppedAt       int64   // time of its last Pop; zero while it waits
	waitID         uint64  // identifies one wait of the item; zero while it runs
	seq            uint64  // order of arrival; decides between equal deadlines
	promptTokens   float64 // prompt length
	expectedTokens float64 // prompt and expected answer, while it waits
	chargedTokens  float64 // charged to its workspace for this run
	outputTokens   float64 // produced so far in this run
	meteredSeconds float64 // slot time counted in the service rate for this run
	classDue       float64 // its class's due before this run
}

// before orders the items of one flow by deadline.
func (i *item) before(other *item) bool {
	if i.deadline != other.deadline {
		return i.deadline < other.deadline
	}
	return i.seq < other.seq
}

// flow holds the waiting items of one workspace in one class, sorted by deadline.
// All requests of a class have the same target, so a new one nearly always goes to
// the end and a requeued one nearly always to the front. A doubly linked list
// needs a step or two for either.
type flow struct {
	account       *account
	class         *class
	head          *item
	tail          *item
	waitingTokens float64 // sum over its items
	startIndex    int     // index in class.byStart, or notInHeap
	finishIndex   int     // index in class.byFinish, or notInHeap
}

func (f *flow) insert(added *item) {
	if f.head != nil && added.before(f.head) {
		added.next = f.head
		f.head.prev = added
		f.head = added
		return
	}
	at := f.tail
	for at != nil && added.before(at) {
		at = at.prev
	}
	f.insertAfter(at, added)
}

func (f *flow) insertAfter(at, added *item) {
	added.prev = at
	if at == nil {
		f.head = added
	} else {
		added.next = at.next
		at.next = added
	}
	if added.next == nil {
		f.tail = added
	} else {
		added.next.prev = added
	}
}

func (f *flow) unlink(removed *item) {
	if removed.prev == nil {
		f.head = removed.next
	} else {
		removed.prev.next = removed.next
	}
	if removed.next == nil {
		f.tail = removed.prev
	} else {
		removed.next.prev = removed.prev
	}
	removed.prev = nil
	removed.next = nil
}

// virtualFinish returns the virtual time at which the flow's last item is expected
// to have been served.
func (f *flow) virtualFinish() float64 {
	return f.account.virtualTime + f.waitingTokens/f.account.share
}

// updateKeys updates the flow's keys in its class's heaps. A flow without items is
// in no heap.
func (f *flow) updateKeys() {
	if f.head == nil {
		return
	}
	f.class.byStart.setKey(f.startIndex, f.account.virtualTime)
	f.class.byFinish.setKey(f.finishIndex, -f.virtualFinish())
}

// account tracks the usage of one workspace in one tier.
type account struct {
	workspace     string
	share         float64
	virtualTime   float64 // tokens used per unit of share
	waitingTokens float64 // sum over its waiting items
	waiting       int
	running       int
	busyPeriod    uint64 // the tier's busy period that virtualTime belongs to
	flows         []*flow
}

// charge adds tokens to the account's usage, or subtracts them if negative.
func (a *account) charge(tokens float64) {
	a.virtualTime += tokens / a.share
	for _, f := range a.flows {
		f.updateKeys()
	}
}
