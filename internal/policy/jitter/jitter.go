// Package jitter keeps callers that were refused together from coming back
// together.
package jitter

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// window is how long a refused request counts as one that comes back.
const window = 10 * time.Second

// Fraction maps a request's ID to a number from 0 to below 1. IDs are spread evenly,
// and each always gets the same, so that a decision can be repeated and explained.
func Fraction(id string) float64 {
	const bits = 53 // a float64 holds this many exactly
	return float64(xxhash.Sum64String(id)>>(64-bits)) / (1 << bits)
}

// RefusedWork sums the work of requests refused of late, whose callers are expected
// back. Older refusals lose weight. Its user chooses the unit of work.
type RefusedWork struct {
	work float64
	at   time.Time
}

// Add counts a refused request.
func (r *RefusedWork) Add(now time.Time, work float64) {
	r.work = r.sum(now) + work
	r.at = now
}

// DrainTime returns how long it takes to serve what has been refused of late, at a
// rate in work a second, but no less than shortest and no more than longest.
func (r *RefusedWork) DrainTime(now time.Time, rate float64, shortest, longest time.Duration) time.Duration {
	if rate <= 0 {
		return shortest
	}
	seconds := min(r.sum(now)/rate, longest.Seconds())
	return max(shortest, time.Duration(seconds*float64(time.Second)))
}

func (r *RefusedWork) sum(now time.Time) float64 {
	elapsed := max(0, now.Sub(r.at).Seconds())
	return r.work * math.Exp(-elapsed/window.Seconds())
}
