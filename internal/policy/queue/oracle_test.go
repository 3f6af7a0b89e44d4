package queue_test

import (
	"fmt"
	"math"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/queue"
)

// Tiers and floors of the test's classes; the class "none" has no floor.
var (
	tiers  = map[string]int{"top": 1, "mid": 2, "none": 3, "low": 3, "last": 5}
	floors = map[string]float64{"top": 0.2, "mid": 0.1, "low": 0.25, "last": 0.05}
)

const (
	limit = 12
	// maxOwedTurns is how many owed turns rule 4 lets a class fall behind.
	maxOwedTurns = 4
)

// oracle tracks the calls to a queue and their results in plain lists and checks
// them against the rules in docs/POLICY.md.
type oracle struct {
	queue       *queue.Queue
	now         time.Time
	waiting     requestList
	running     requestList
	owed        map[string]float64 // by class, turns that its floor entitles it to and that it has not had
	outOfOrder  map[string]float64 // by class, turns before a higher tier in excess of its floor
	pushed      int
	floodClass  string // class of most requests
	maxTargetMs int
	slots       int
}

// requestList is a list of requests in the order of their addition.
type requestList []*chicoryrock.Request

func (l *requestList) add(request *chicoryrock.Request) { *l = append(*l, request) }

// remove removes a request and reports whether it was in the list.
func (l *requestList) remove(request *chicoryrock.Request) bool {
	at := slices.Index(*l, request)
	if at >= 0 {
		*l = slices.Delete(*l, at, at+1)
	}
	return at >= 0
}

func (l requestList) random(t *rapid.T) *chicoryrock.Request {
	if len(l) == 0 {
		return nil
	}
	return l[rapid.IntRange(0, len(l)-1).Draw(t, "request")]
}

func (o *oracle) count(all requestList, class string) int {
	n := 0
	for _, request := range all {
		if request.Class == class {
			n++
		}
	}
	return n
}

// reservedPlaces returns the places reserved for a class, which it has while below
// its floor.
func (o *oracle) reservedPlaces(class string) int {
	if !o.belowFloor(class) {
		return 0
	}
	return int(math.Ceil(floors[class] * limit))
}

// sharedWaiting returns how many of a class's requests occupy shared places.
func (o *oracle) sharedWaiting(class string) int {
	return max(0, o.count(o.waiting, class)-o.reservedPlaces(class))
}

func (o *oracle) pushRandom(t *rapid.T) {
	class := rapid.SampledFrom([]string{"top", "mid", "none", "low", "last", o.floodClass, o.floodClass, o.floodClass}).Draw(t, "class")
	o.push(t, class)
}

// burst fills the queue with requests of one class.
func (o *oracle) burst(t *rapid.T) {
	for range 2 * limit {
		o.push(t, o.floodClass)
	}
}

func (o *oracle) push(t *rapid.T, class string) {
	target := time.Duration(rapid.IntRange(10, o.maxTargetMs).Draw(t, "target")) * time.Millisecond
	request := &chicoryrock.Request{
		ID:           fmt.Sprint(o.pushed),
		Workspace:    rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"),
		Class:        class,
		Tier:         tiers[class],
		Arrived:      o.now,
		Deadline:     o.now.Add(target),
		PromptTokens: rapid.IntRange(0, 5000).Draw(t, "prompt"),
	}
	o.pushed++
	displaced, reason := o.queue.Push(o.now, request)
	if displaced != nil {
		o.checkDisplaced(t, displaced, request)
	}
	switch reason {
	case chicoryrock.ReasonNone:
		o.waiting.add(request)
	case chicoryrock.ReasonQueueFull:
		o.checkFull(t, request)
	case chicoryrock.ReasonLate:
		o.checkLate(t, request)
	default:
		t.Fatalf("refused with %v", reason)
	}
}

// checkDisplaced checks rule 5 for a request displaced by another.
func (o *oracle) checkDisplaced(t *rapid.T, displaced, request *chicoryrock.Request) {
	refutef(t, !slices.Contains(o.waiting, displaced), "displaced %s, which was not waiting", displaced.ID)
	refutef(t, displaced.Tier < request.Tier, "displaced tier %d for tier %d", displaced.Tier, request.Tier)
	refutef(t, o.sharedWaiting(displaced.Class) == 0, "displaced a request of class %s from its reserved places", displaced.Class)
	for class, tier := range tiers {
		refutef(t, tier > displaced.Tier && o.sharedWaiting(class) > 0, "displaced tier %d while class %s occupied a shared place", displaced.Tier, class)
	}
	o.waiting.remove(displaced)
}

// checkFull checks rules 5 and 6 for a request refused because the queue is full.
func (o *oracle) checkFull(t *rapid.T, request *chicoryrock.Request) {
	shared := 0
	for class, tier := range tiers {
		shared += o.sharedWaiting(class)
		refutef(t, tier > request.Tier && o.sharedWaiting(class) > 0, "refused tier %d while class %s occupied a shared place", request.Tier, class)
	}
	refutef(t, shared < limit || o.count(o.waiting, request.Class) < o.reservedPlaces(request.Class), "refused a request of class %s with %d shared places occupied", request.Class, shared)
}

// checkLate checks rule 14: before its deadline, a request is refused as late only
// because of requests waiting in its own or a higher tier.
func (o *oracle) checkLate(t *rapid.T, request *chicoryrock.Request) {
	for _, other := range o.waiting {
		if other.Tier <= request.Tier {
			return
		}
	}
	t.Fatalf("refused tier %d as late with nothing ahead of it", request.Tier)
}

func (o *oracle) pop(t *rapid.T) {
	if len(o.running) >= o.slots {
		return
	}
	peeked, _ := o.queue.Peek(o.now)
	request, found := o.queue.Pop(o.now)
	refutef(t, found != (len(o.waiting) > 0) || peeked != request, "Pop returned %v with %d waiting, after Peek returned %v", request, len(o.waiting), peeked)
	if !found {
		return
	}
	refutef(t, !slices.Contains(o.waiting, request), "popped %s, which was not waiting", request.ID)
	o.checkTurn(t, request)
	o.waiting.remove(request)
	o.running.add(request)
}

func (o *oracle) belowFloor(class string) bool {
	return float64(o.count(o.running, class)) < floors[class]*float64(len(o.running)+1)
}

// checkTurn checks rules 1 to 4 for a popped request.
func (o *oracle) checkTurn(t *rapid.T, request *chicoryrock.Request) {
	outOfOrder := false
	for _, other := range o.waiting {
		outOfOrder = outOfOrder || other.Tier < request.Tier
	}
	refutef(t, outOfOrder && !o.belowFloor(request.Class), "class %s went before a higher tier without being below its floor", request.Class)
	for class, floor := range floors {
		o.outOfOrder[class] = max(0, o.outOfOrder[class]-floor)
		if o.count(o.waiting, class) == 0 || !o.belowFloor(class) {
			o.owed[class] = 0
			continue
		}
		o.owed[class] += floor
		if class == request.Class {
			o.owed[class] = max(0, o.owed[class]-1)
		}
		if bound := 1 + maxOwedTurns + float64(len(floors))*floor; o.owed[class] > bound {
			t.Fatalf("class %s is owed %.2f turns", class, o.owed[class])
		}
	}
	if outOfOrder {
		o.outOfOrder[request.Class]++
	}
	refutef(t, o.outOfOrder[request.Class] > 2+maxOwedTurns, "class %s went before a higher tier in %.2f turns in excess of its floor", request.Class, o.outOfOrder[request.Class])
}

func (o *oracle) finish(t *rapid.T) {
	if request := o.running.random(t); request != nil {
		o.queue.Charge(o.now, request, rapid.IntRange(0, 3000).Draw(t, "tokens"))
		o.queue.Finish(o.now, request)
		o.running.remove(request)
	}
}

// churn keeps every slot in use for a while: each ended request is replaced by the
// next one in the queue, and more requests arrive, most of them of floodClass.
func (o *oracle) churn(t *rapid.T) {
	for range rapid.IntRange(1, 15).Draw(t, "turns") {
		o.now = o.now.Add(time.Millisecond)
		o.pushRandom(t)
		if len(o.running) >= o.slots {
			o.finish(t)
		}
		o.pop(t)
	}
}

func (o *oracle) requeue(t *rapid.T) {
	if request := o.running.random(t); request != nil {
		o.queue.Requeue(o.now, request)
		o.running.remove(request)
		o.waiting.add(request)
	}
}

func (o *oracle) remove(t *rapid.T) {
	if request := o.waiting.random(t); request != nil {
		refutef(t, !o.queue.Remove(o.now, request) || o.queue.Remove(o.now, request), "removed %s not exactly once", request.ID)
		o.waiting.remove(request)
	}
}

// passTime advances the clock and checks rule 15: no late request stays in the
// queue.
func (o *oracle) passTime(t *rapid.T) {
	o.now = o.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
	for _, request := range o.queue.Expire(o.now) {
		refutef(t, !o.waiting.remove(request), "expired %s, which was not waiting", request.ID)
	}
	for _, request := range o.waiting {
		refutef(t, !o.now.Before(request.Deadline), "%s still waits after its deadline", request.ID)
	}
}

func (o *oracle) checkLength(t *rapid.T) {
	refutef(t, o.queue.Len() != len(o.waiting), "Len returned %d with %d waiting", o.queue.Len(), len(o.waiting))
	room := limit + o.slots
	for class := range floors {
		room += int(math.Ceil(floors[class] * limit))
	}
	refutef(t, len(o.waiting) > room, "%d waiting, more than all places", len(o.waiting))
}

// refutef fails the test if broken is true.
func refutef(t *rapid.T, broken bool, format string, args ...any) {
	if broken {
		t.Fatalf(format, args...)
	}
}
