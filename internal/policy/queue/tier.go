package queue

import (
	"math"
	"time"
)

const (
	// firstLength is the expected answer of a class before any has ended, tokens.
	firstLength = 256
	// firstHold is the expected time in a slot before any answer has ended.
	firstHold = 2 * time.Second
	// lengthWeight is the weight of the newest answer in the usual length and time.
	lengthWeight = 1.0 / 16
)

// tier is the part of the queue that holds one tier.
type tier struct {
	rank     int
	virtual  float64 // the use, for each unit of share, of the workspace served last
	lanes    []*lane
	accounts map[string]*account
	cost     float64 // tokens that the waiting requests are expected to take
	shares   float64 // of the workspaces that have requests waiting
	waiting  int
	running  int
	period   uint64 // number of the busy period
}

// lane is the waiting requests of one class.
type lane struct {
	tier    *tier
	class   string
	turns   heap[float64, *flow] // who is served next
	ends    heap[float64, *flow] // who would be served last
	waiting int
	running int
	length  float64 // usual length of an answer, tokens
	hold    float64 // usual time for which a request keeps its slot, seconds
	target  time.Duration
	floor   float64 // share of the running requests that the class always gets
	room    int     // waiting requests of its own room, while it runs fewer than its floor
	due     float64 // the turn from which the class is owed one
}

// learn takes in an answer: its tokens, and for how many seconds it kept its slot.
func (l *lane) learn(tokens, seconds float64) {
	l.length += (tokens - l.length) * lengthWeight
	l.hold += (seconds - l.hold) * lengthWeight
}

// work returns for how many seconds of slots the tier's waiting requests will
// probably run. Tokens don't tell: one of a prompt takes a small part of the time
// that one of an answer takes, so by tokens a queue of long prompts would look
// several times as long as it is.
func (t *tier) work() float64 {
	sum := 0.0
	for _, l := range t.lanes {
		sum += float64(l.waiting) * l.hold
	}
	return sum
}

// expected returns the tokens that a request of the class will probably take.
func (l *lane) expected(prompt float64) float64 { return math.Max(1, prompt+l.length) }

// setFloor also sets the class's own room, a like share of the queue's limit.
func (l *lane) setFloor(floor float64, limit int) {
	l.floor = floor
	l.room = 0
	if floor > 0 && limit > 0 {
		l.room = max(1, int(math.Ceil(floor*float64(limit))))
	}
}

// own returns how many of the class's requests may wait in its own room. It has
// one only while it runs fewer than its floor: otherwise patient requests of low
// tiers would always be there to take up a slot, and hurried ones of a higher
// tier would have to be lucky.
func (l *lane) own(running int) int {
	if !l.belowFloor(running) {
		return 0
	}
	return l.room
}

// shared returns how many of the class's requests wait in the shared room.
func (l *lane) shared(running int) int { return max(0, l.waiting-l.own(running)) }

// shared returns how many of the tier's requests wait in the shared room.
func (t *tier) shared(running int) int {
	sum := 0
	for _, l := range t.lanes {
		sum += l.shared(running)
	}
	return sum
}

// target returns the longest target of the tier's classes. What waits longer is
// given up, so a tier never holds up the lower ones for more than this.
func (t *tier) target() time.Duration {
	longest := time.Duration(0)
	for _, l := range t.lanes {
		longest = max(longest, l.target)
	}
	return longest
}

// lane returns the lane of a class, or nil.
func (t *tier) lane(class string) *lane {
	for _, l := range t.lanes {
		if l.class == class {
			return l
		}
	}
	return nil
}

// best returns the request of the tier that goes next: of the workspace that has
// used least, the one due first. The tier has requests waiting.
func (t *tier) best() *item {
	var best *flow
	for _, l := range t.lanes {
		if l.waiting == 0 {
			continue
		}
		if f := l.turns.first(); best == nil || f.goesBefore(best) {
			best = f
		}
	}
	return best.head
}

func (f *flow) goesBefore(other *flow) bool {
	if f.account.used != other.account.used {
		return f.account.used < other.account.used
	}
	return f.head.before(other.head)
}

// last returns the flow that would be served last among the classes that use the
// shared room. The tier has such a class.
func (t *tier) last(running int) *flow {
	var last *flow
	for _, l := range t.lanes {
		if l.shared(running) == 0 {
			continue
		}
		if f := l.ends.first(); last == nil || f.end() > last.end() {
			last = f
		}
	}
	return last
}

// level sets a workspace that has nothing waiting level with the others: it has
// saved up nothing (10). When the whole tier has been idle, nobody had to stand
// back for anybody, and what was used is forgotten.
func (t *tier) level(a *account) {
	if a.busy != t.period {
		a.busy = t.period
		a.used = 0
	}
	if a.waiting == 0 {
		a.used = max(a.used, t.virtual)
	}
}

// rest ends a busy period once the tier has nothing waiting and nothing running.
func (t *tier) rest() {
	if t.waiting > 0 || t.running > 0 {
		return
	}
	t.virtual = 0
	t.period++
}

func (a *account) flow(l *lane) *flow {
	for _, f := range a.flows {
		if f.lane == l {
			return f
		}
	}
	f := &flow{account: a, lane: l, turn: absent, shed: absent}
	a.flows = append(a.flows, f)
	return f
}
