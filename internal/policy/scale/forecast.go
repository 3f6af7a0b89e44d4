package scale

import (
	"math"
	"time"
)

const (
	// bucketLength is the interval over which observed work is summed.
	bucketLength = 30 * time.Second
	// levelWeight is the weight of a new bucket in the smoothed level.
	levelWeight = 0.3
	// trendWeight is the weight of a new bucket in the trend of the level.
	trendWeight = 0.05
	// errorWeight is the weight of a new bucket in the mean absolute error.
	errorWeight = 0.1
	// errorMargin is how many mean absolute errors are added to a forecast.
	errorMargin = 1.0
)

// Forecast predicts the demand of one tier from observed work, by double exponential
// smoothing of level and trend. The zero value is ready for use. It is not safe for
// concurrent use.
type Forecast struct {
	level       float64 // work a second
	trend       float64 // change of level, work a second for each bucket
	meanError   float64 // mean absolute error of one bucket's forecast, work a second
	bucketWork  float64 // work in the open bucket
	bucketStart time.Time
	buckets     int // closed so far
}

// Observe adds the work of requests, such as the tokens of a prompt and its answer, in
// the unit that Pool.ReplicaRate uses per second.
func (f *Forecast) Observe(now time.Time, work float64) {
	f.advance(now)
	f.bucketWork += work
}

// Peak returns the highest demand, in work a second, that is expected within the
// horizon.
func (f *Forecast) Peak(now time.Time, horizon time.Duration) float64 {
	f.advance(now)
	growth := max(f.trend, 0) * float64(horizon) / float64(bucketLength)
	return max(f.level+growth+errorMargin*f.meanError, 0)
}

// advance closes the buckets that have ended.
func (f *Forecast) advance(now time.Time) {
	if f.bucketStart.IsZero() {
		f.bucketStart = now
	}
	for now.Sub(f.bucketStart) >= bucketLength {
		f.closeBucket(f.bucketWork / bucketLength.Seconds())
		f.bucketWork = 0
		f.bucketStart = f.bucketStart.Add(bucketLength)
	}
}

// closeBucket updates the forecast with a bucket's rate, in work a second.
func (f *Forecast) closeBucket(rate float64) {
	f.buckets++
	if f.buckets == 1 {
		f.level = rate
		return
	}
	expected := f.level + f.trend
	f.meanError += errorWeight * (math.Abs(rate-expected) - f.meanError)
	level := expected + levelWeight*(rate-expected)
	f.trend += trendWeight * (level - f.level - f.trend)
	f.level = level
}
