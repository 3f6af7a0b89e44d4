package queue

import (
	"math"
	"time"
)

const (
	// initialOutputTokens is the expected answer length of a class before its first
	// answer has ended.
	initialOutputTokens = 256
	// initialSlotTime is the expected time in a slot before the first answer has
	// ended.
	initialSlotTime = 2 * time.Second
	// averageWeight is the weight of the newest answer in the moving averages of
	// answer length and slot time.
	averageWeight = 1.0 / 16
)

// tier holds the requests of one tier.
type tier struct {
	rank          int
	virtualTime   float64 // highest virtual time at which an account was served
	classes       []*class
	accounts      map[string]*account
	waitingTokens float64 // sum over its waiting items
	waitingShares float64 // sum of the shares of workspaces with waiting items
	waiting       int
	running       int
	busyPeriod    uint64 // incremented each time that the tier has become idle
}

// class holds the requests of one class.
type class struct {
	tier             *tier
	name             string
	byStart          heap[float64, *flow] // by the account's virtual time; the first is served next
	byFinish         heap[float64, *flow] // by -virtualFinish; the first would be served last
	waiting          int
	running          int
	meanOutputTokens float64       // moving average of the answer length
	meanSlotSeconds  float64       // moving average of the time in a slot
	target           time.Duration // of the latest request, from arrival to first token
	floor            float64       // minimum share of the running requests, 0 to 1
	reserved         int           // places reserved for it while it runs fewer than its floor
	due              float64       // value of Queue.turns at which the class's next owed turn is due
}

// observe updates the averages with an answer that has ended.
func (c *class) observe(outputTokens, slotSeconds float64) {
	c.meanOutputTokens += (outputTokens - c.meanOutputTokens) * averageWeight
	c.meanSlotSeconds += (slotSeconds - c.meanSlotSeconds) * averageWeight
}

// waitingSlotSeconds returns the sum of the expected slot times of the tier's waiting
// requests. Tokens would be a poor measure: a prompt token takes a small fraction of
// the time of an output token, so a queue of long prompts would look several times
// as long as it is.
func (t *tier) waitingSlotSeconds() float64 {
	sum := 0.0
	for _, c := range t.classes {
		sum += float64(c.waiting) * c.meanSlotSeconds
	}
	return sum
}

// requestTokens returns the expected sum of prompt and answer for a request of the
// class.
func (c *class) requestTokens(promptTokens float64) float64 {
	return math.Max(1, promptTokens+c.meanOutputTokens)
}

// setFloor sets the floor of a class and reserves the same share of the queue's
// limit for it.
func (c *class) setFloor(floor float64, limit int) {
	c.floor = floor
	c.reserved = 0
	if floor > 0 && limit > 0 {
		c.reserved = max(1, int(math.Ceil(floor*float64(limit))))
	}
}

// reservedPlaces returns how many places in the queue are reserved for the class, in
// addition to the shared ones. It has some only while it runs fewer than its floor.
// Otherwise requests of low tiers with long targets would occupy these places all
// the time and take each slot that becomes free, and an urgent request of a higher
// tier would find a free slot only by chance.
func (c *class) reservedPlaces(running int) int {
	if !c.belowFloor(running) {
		return 0
	}
	return c.reserved
}

// sharedWaiting returns how many of the class's requests occupy shared places.
func (c *class) sharedWaiting(running int) int { return max(0, c.waiting-c.reservedPlaces(running)) }

// sharedWaiting returns how many of the tier's requests occupy shared places.
func (t *tier) sharedWaiting(running int) int {
	sum := 0
	for _, c := range t.classes {
		sum += c.sharedWaiting(running)
	}
	return sum
}

// maxTarget returns the longest target of the tier's classes. Requests that wait
// longer expire, so a tier never delays the lower ones by more than this.
func (t *tier) maxTarget() time.Duration {
	longest := time.Duration(0)
	for _, c := range t.classes {
		longest = max(longest, c.target)
	}
	return longest
}

// class returns the class with the given name, or nil.
func (t *tier) class(name string) *class {
	for _, c := range t.classes {
		if c.name == name {
			return c
		}
	}
	return nil
}

// next returns the tier's next item: the one with the earliest deadline of the
// workspace with the least virtual time. The tier must have waiting items.
func (t *tier) next() *item {
	var best *flow
	for _, c := range t.classes {
		if c.waiting == 0 {
			continue
		}
		if f := c.byStart.min(); best == nil || f.servedBefore(best) {
			best = f
		}
	}
	return best.head
}

// servedBefore orders flows by their accounts' virtual time, and those of one
// account by their first items.
func (f *flow) servedBefore(other *flow) bool {
	if f.account.virtualTime != other.account.virtualTime {
		return f.account.virtualTime < other.account.virtualTime
	}
	return f.head.before(other.head)
}

// lastShared returns the flow that would be served last among the classes that
// occupy shared places. The tier must have such a class.
func (t *tier) lastShared(running int) *flow {
	var last *flow
	for _, c := range t.classes {
		if c.sharedWaiting(running) == 0 {
			continue
		}
		if f := c.byFinish.min(); last == nil || f.virtualFinish() > last.virtualFinish() {
			last = f
		}
	}
	return last
}

// syncVirtualTime raises the virtual time of an account without waiting requests to
// the tier's, so that an idle workspace earns no credit (rule 10). Once the whole
// tier has been idle, earlier usage is forgotten: it no longer keeps another
// workspace waiting.
func (t *tier) syncVirtualTime(a *account) {
	if a.busyPeriod != t.busyPeriod {
		a.busyPeriod = t.busyPeriod
		a.virtualTime = 0
	}
	if a.waiting == 0 {
		a.virtualTime = max(a.virtualTime, t.virtualTime)
	}
}

// resetIfIdle ends the busy period if the tier has no waiting and no running
// requests.
func (t *tier) resetIfIdle() {
	if t.waiting > 0 || t.running > 0 {
		return
	}
	t.virtualTime = 0
	t.busyPeriod++
}

// flowFor returns the account's flow in a class, creating it if needed.
func (a *account) flowFor(c *class) *flow {
	for _, f := range a.flows {
		if f.class == c {
			return f
		}
	}
	f := &flow{account: a, class: c, startIndex: notInHeap, finishIndex: notInHeap}
	a.flows = append(a.flows, f)
	return f
}
