package queue

import (
	"math"
	"time"
)

// maxOwedTurns is how many owed turns a class may fall behind by giving way to
// urgent requests of higher tiers. A class below its floor is owed one in every
// 1/floor turns.
const maxOwedTurns = 4

// choose returns the item to pop next. The queue must not be empty.
func (q *Queue) choose(now time.Time) *item {
	if q.chosen != nil && q.chosenAt.Equal(now) {
		return q.chosen
	}
	top := q.topTier()
	best := top.next()
	if c := q.mostOverdueClass(); c != nil && !q.yieldsTo(now, c, best) {
		best = c.byStart.min().head
	}
	q.chosen = best
	q.chosenAt = now
	return best
}

// topTier returns the highest tier with waiting requests. The queue must not be
// empty.
func (q *Queue) topTier() *tier {
	at := 0
	for q.tiers[at].waiting == 0 {
		at++
	}
	return q.tiers[at]
}

// mostOverdueClass returns the class below its floor whose owed turn has been due
// longest, or nil if no turn is owed (rule 2).
func (q *Queue) mostOverdueClass() *class {
	var mostOverdue *class
	for _, c := range q.floorClasses {
		if c.waiting == 0 {
			continue
		}
		if !c.belowFloor(q.running) {
			// A class is owed no turns for the time when it runs its full share.
			c.due = math.Max(c.due, q.turns)
			continue
		}
		if c.due <= q.turns && (mostOverdue == nil || c.due < mostOverdue.due) {
			mostOverdue = c
		}
	}
	return mostOverdue
}

// belowFloor reports whether the class runs fewer requests than its floor. The
// request to be popped next is counted among the running ones, so that a class
// with any floor above zero can run at least one request.
func (c *class) belowFloor(running int) bool {
	return float64(c.running) < c.floor*float64(running+1)
}

// yieldsTo reports whether an owed turn of the class gives way to best because that
// is of a higher tier and would miss its deadline by waiting one turn more (rule 4).
func (q *Queue) yieldsTo(now time.Time, c *class, best *item) bool {
	if best.flow.class.tier.rank >= c.tier.rank {
		return false
	}
	if (q.turns-c.due)*c.floor >= maxOwedTurns {
		return false
	}
	return q.urgent(now, best)
}

// urgent reports whether a waiting item would probably start too late if another
// one ran first. While the interval between turns is unknown, an item becomes
// urgent after half of the time that it can wait.
func (q *Queue) urgent(now time.Time, waiting *item) bool {
	left := waiting.latestStart - now.UnixNano()
	if interval := q.meter.interval(now); interval > 0 {
		return left <= int64(interval)
	}
	return left <= (waiting.latestStart-waiting.pushedAt)/2
}

// bookTurn counts a turn that the class got. The next one is owed 1/floor turns
// later. Of a backlog, at most maxOwedTurns stay owed.
func (c *class) bookTurn(turn float64) {
	if c.floor <= 0 {
		return
	}
	period := 1 / c.floor
	c.due = math.Min(math.Max(c.due, turn-maxOwedTurns*period), turn) + period
}
