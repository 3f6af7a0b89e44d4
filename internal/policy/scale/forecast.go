package scale

import (
	"math"
	"time"
)

const (
	// bucket is the time over which arriving tokens are summed.
	bucket = 30 * time.Second
	// levelWeight, trendWeight and spreadWeight are the weights of a new bucket in
	// the smoothed level, its trend, and the usual error of the forecast.
	levelWeight  = 0.3
	trendWeight  = 0.05
	spreadWeight = 0.1
	// margin is how many usual errors are added to a forecast.
	margin = 1.0
)

// Forecast predicts the need of one tier from the tokens that arrived, by a
// smoothed level and its trend. The zero value is ready for use. It is not safe
// for concurrent use.
type Forecast struct {
	level  float64 // tokens a second
	trend  float64 // tokens a second, for each bucket
	spread float64 // usual size of the error, tokens a second
	sum    float64 // tokens of the bucket under way
	start  time.Time
	count  int
}

// Observe takes in tokens, of prompts and answers in the pool's own measure.
func (f *Forecast) Observe(now time.Time, tokens float64) {
	f.advance(now)
	f.sum += tokens
}

// Peak returns the highest need, in tokens a second, that is expected up to the
// given time ahead.
func (f *Forecast) Peak(now time.Time, ahead time.Duration) float64 {
	f.advance(now)
	growth := max(f.trend, 0) * float64(ahead) / float64(bucket)
	return max(f.level+growth+margin*f.spread, 0)
}

// advance closes the buckets that are over.
func (f *Forecast) advance(now time.Time) {
	if f.start.IsZero() {
		f.start = now
	}
	for now.Sub(f.start) >= bucket {
		f.close(f.sum / bucket.Seconds())
		f.sum = 0
		f.start = f.start.Add(bucket)
	}
}

func (f *Forecast) close(rate float64) {
	f.count++
	if f.count == 1 {
		f.level = rate
		return
	}
	expected := f.level + f.trend
	f.spread += spreadWeight * (math.Abs(rate-expected) - f.spread)
	level := expected + levelWeight*(rate-expected)
	f.trend += trendWeight * (level - f.level - f.trend)
	f.level = level
}
