package queue

import "github.com/chicoryrock/chicoryrock"

// item is one request that the queue holds or has given out.
type item struct {
	request  *chicoryrock.Request
	flow     *flow
	prev     *item
	next     *item
	deadline int64   // nanoseconds since 1970, as are all times here
	last     int64   // latest useful start
	pushed   int64   // when it came
	popped   int64   // when it was given out; zero while it waits
	stay     uint64  // number of its stay among the waiting; zero while it runs
	seq      uint64  // order of arrival, between equal deadlines
	prompt   float64 // tokens of the prompt
	cost     float64 // tokens it is expected to take, while it waits
	charged  float64 // tokens its workspace has been charged, once given out
	output   float64 // tokens produced so far, once given out
	metered  float64 // seconds of a slot that the service rate has counted
	due      float64 // when its class was owed a turn, before it took this one
}

// before orders the requests of one flow.
func (i *item) before(other *item) bool {
	if i.deadline != other.deadline {
		return i.deadline < other.deadline
	}
	return i.seq < other.seq
}

// flow is the waiting requests of one workspace in one class, by deadline. All
// requests of a class have the same target, so that a new one nearly always goes
// to the end and one that comes back nearly always to the front: a list with
// two ends needs a step or two for either.
type flow struct {
	account *account
	lane    *lane
	head    *item
	tail    *item
	cost    float64 // tokens that its requests are expected to take
	turn    int     // place in the lane's heap of who is next
	shed    int     // place in the lane's heap of who is last
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

func (f *flow) unlink(gone *item) {
	if gone.prev == nil {
		f.head = gone.next
	} else {
		gone.prev.next = gone.next
	}
	if gone.next == nil {
		f.tail = gone.prev
	} else {
		gone.next.prev = gone.prev
	}
	gone.prev = nil
	gone.next = nil
}

// end is the virtual time at which the flow's last request would be served.
func (f *flow) end() float64 { return f.account.used + f.cost/f.account.share }

// fix puts the flow where its account's use and its own length now place it.
func (f *flow) fix() {
	if f.head == nil {
		return
	}
	f.lane.turns.set(f.turn, f.account.used)
	f.lane.ends.set(f.shed, -f.end())
}

// account is what one workspace has used in one tier.
type account struct {
	workspace string
	share     float64
	used      float64 // virtual time: tokens for each unit of share
	cost      float64 // tokens that its waiting requests are expected to take
	waiting   int
	running   int
	busy      uint64 // the tier's busy period in which used was last set
	flows     []*flow
}

// charge adds tokens to the account, or takes them back when negative.
func (a *account) charge(tokens float64) {
	a.used += tokens / a.share
	for _, f := range a.flows {
		f.fix()
	}
}
