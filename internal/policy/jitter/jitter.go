// Package jitter spreads the retries of callers that were refused at the same time,
// so that they don't all return at once.
package jitter

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// decayTime is how long a refused request counts as one that will be retried: the
// time constant with which its work decays.
const decayTime = 10 * time.Second

// Fraction maps a request's ID to a number in [0, 1). IDs are distributed evenly,
// and an ID always gives the same number, so that a decision can be reproduced and
// explained.
func Fraction(id string) float64 {
	const bits = 53 // a float64 represents integers of this size exactly
	return float64(xxhash.Sum64String(id)>>(64-bits)) / (1 << bits)
}

// RefusedWork sums the work of recently refused requests, whose callers are expected
// to retry. The weight of a refusal decays exponentially with its age. The code that
// uses it chooses the unit of work.
type RefusedWork struct {
	work    float64 // as of updated
	updated time.Time
}

// Add adds the work of a refused request.
func (r *RefusedWork) Add(now time.Time, work float64) {
	r.work = r.sum(now) + work
	r.updated = now
}

// DrainTime returns how long it takes to serve the recently refused work at a rate
// in work per second, but no less than shortest and no more than longest. It returns
// shortest when the rate is not positive.
func (r *RefusedWork) DrainTime(now time.Time, rate float64, shortest, longest time.Duration) time.Duration {
	if rate <= 0 {
		return shortest
	}
	seconds := min(r.sum(now)/rate, longest.Seconds())
	return max(shortest, time.Duration(seconds*float64(time.Second)))
}

// sum returns the refused work decayed to the given time.
func (r *RefusedWork) sum(now time.Time) float64 {
	elapsed := max(0, now.Sub(r.updated).Seconds())
	return r.work * math.Exp(-elapsed/decayTime.Seconds())
}
