package queue

import (
	"math"
	"time"
)

// maxOwed is how many turns a class may be kept waiting for while requests of
// higher tiers are at their last chance.
const maxOwed = 4

// choose returns the request that goes next. Something waits.
func (q *Queue) choose(now time.Time) *item {
	if q.chosen != nil && q.chosenAt.Equal(now) {
		return q.chosen
	}
	top := q.top()
	best := top.best()
	if l := q.owed(); l != nil && !q.deferred(now, l, best) {
		best = l.turns.first().head
	}
	q.chosen = best
	q.chosenAt = now
	return best
}

// top returns the highest tier that has requests waiting.
func (q *Queue) top() *tier {
	at := 0
	for q.tiers[at].waiting == 0 {
		at++
	}
	return q.tiers[at]
}

// owed returns the class whose owed turn has been due longest, or nil (2).
func (q *Queue) owed() *lane {
	var first *lane
	for _, l := range q.floored {
		if l.waiting == 0 {
			continue
		}
		if !l.belowFloor(q.running) {
			// Turns that would have gone beyond its share are not owed.
			l.due = math.Max(l.due, q.turn)
			continue
		}
		if l.due <= q.turn && (first == nil || l.due < first.due) {
			first = l
		}
	}
	return first
}

// belowFloor says whether the class, with one request more, would still run no
// more than its floor. The one to be given out is counted among those running,
// so that a class with any floor at all gets at least one.
func (l *lane) belowFloor(running int) bool {
	return float64(l.running) < l.floor*float64(running+1)
}

// deferred says whether an owed turn gives way to a request of a higher tier that
// would miss its target by waiting one turn more (4).
func (q *Queue) deferred(now time.Time, l *lane, best *item) bool {
	if best.flow.lane.tier.rank >= l.tier.rank {
		return false
	}
	if (q.turn-l.due)*l.floor >= maxOwed {
		return false
	}
	return q.urgent(now, best)
}

// urgent says whether a waiting request would probably miss its target by letting
// one turn pass. While the time between turns is unknown that is taken to be so
// once half of its time to wait has gone.
func (q *Queue) urgent(now time.Time, waiting *item) bool {
	left := waiting.last - now.UnixNano()
	if interval := q.meter.interval(now); interval > 0 {
		return left <= int64(interval)
	}
	return left <= (waiting.last-waiting.pushed)/2
}

// take books a turn of the class: the next one is owed a period later.
func (l *lane) take(turn float64) {
	if l.floor <= 0 {
		return
	}
	period := 1 / l.floor
	l.due = math.Min(math.Max(l.due, turn-maxOwed*period), turn) + period
}
