package place

import "github.com/chicoryrock/chicoryrock"

// some looks at the replicas that know a request's session, and at a few others of
// its side.
func (t *pool) some(request *chicoryrock.Request, replicas []chicoryrock.Replica, home homes, look func(i int)) {
	lookAtOne(t.replicas[home.first], replicas, look)
	lookAtOne(t.replicas[home.second], replicas, look)
	for _, known := range home.holders {
		lookAtOne(t.byHash[known.server], replicas, look)
	}
	side := t.side(request)
	if len(side) == 0 {
		return
	}
	for range few {
		lookAtOne(side[t.draw(len(side))], replicas, look)
	}
}

// lookAtOne looks at a replica, if it is known and still in its place of the list.
func lookAtOne(r *replica, replicas []chicoryrock.Replica, look func(i int)) {
	if r != nil && r.at < len(replicas) && replicas[r.at].Name == r.name {
		look(r.at)
	}
}

// drawFactor and drawStep are Knuth's constants for a linear congruential sequence of
// 64 bits, whose upper bits are even enough to choose by and cost no allocation.
const drawFactor, drawStep = 6364136223846793005, 1442695040888963407

// draw returns a number below n of a sequence that is the process's own.
func (t *pool) draw(n int) int {
	t.drawn = t.drawn*drawFactor + drawStep
	return int(t.drawn >> 33 % uint64(n))
}

// each looks at all replicas of a small pool, and at a session's homes and some
// others of a large one: the best of a few dozen is hardly worse than the best of
// all, and takes no longer in a larger pool. Other processes look at others.
func (t *pool) each(replicas []chicoryrock.Replica, home homes, look func(i int)) {
	if len(replicas) <= lookAt {
		for i := range replicas {
			look(i)
		}
		return
	}
	lookAtOne(t.replicas[home.first], replicas, look)
	lookAtOne(t.replicas[home.second], replicas, look)
	for range lookAt {
		look(t.draw(len(replicas)))
	}
}
