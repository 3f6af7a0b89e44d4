package hedge

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// generationTime is the least time after which the older half of the times is dropped.
	generationTime = 30 * time.Second
	// summaryTime is how long a computed quantile is used.
	summaryTime = 250 * time.Millisecond
	// plainUnit is the unit of times that the length of a request doesn't determine.
	plainUnit = time.Millisecond
	// resolution is the number of steps of a histogram in one unit.
	resolution = 1000
	// maxTime is the longest time that a histogram holds, in steps: 100,000 units.
	maxTime = 100_000 * resolution
	// significantDigits bounds the error of a time by a hundredth, with 20 kB for each
	// histogram.
	significantDigits = 2
	// slowdownWeight is the weight of the latest request in the usual slowdown.
	slowdownWeight = 0.05
)

// times is the distribution of the times from sending to the answer, each divided by the
// unit of its attempt, so that short and long prompts compare. It holds the present
// generation and the one before.
type times struct {
	present, former *hdrhistogram.Histogram
	since           time.Time // when the present generation began
	slowdown        float64   // usual slowdown of the replicas

	merged        *hdrhistogram.Histogram // of both generations
	summarizedAt  time.Time
	delay, median float64 // of merged, in units
}

// add adds one time. A generation ends only when it holds enough, so that what is known of
// rare requests is not lost.
func (t *times) add(now time.Time, server Server, took time.Duration, enough int64) {
	if t.present == nil {
		t.present, t.since = newHistogram(), now
	}
	if now.Sub(t.since) >= generationTime && t.present.TotalCount() >= enough {
		t.present, t.former = t.former, t.present
		if t.present == nil {
			t.present = newHistogram()
		}
		t.present.Reset()
		t.since = now
	}
	_ = t.present.RecordValue(steps(server, took)) // steps returns only values in range
	t.slowdown += slowdownWeight * (slowdownOf(server) - t.slowdown)
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxTime, significantDigits) }

// known reports whether there are enough times.
func (t *times) known(enough int64) bool {
	if t.present == nil {
		return false
	}
	count := t.present.TotalCount()
	if t.former != nil {
		count += t.former.TotalCount()
	}
	return count >= enough
}

// summarize computes the delay and the median.
func (t *times) summarize(now time.Time, quantile float64) {
	if t.merged != nil && now.Sub(t.summarizedAt) < summaryTime {
		return
	}
	if t.merged == nil {
		t.merged = newHistogram()
	}
	t.merged.Reset()
	t.merged.Merge(t.present)
	if t.former != nil {
		t.merged.Merge(t.former)
	}
	t.delay = float64(t.merged.ValueAtPercentile(100*quantile)) / resolution
	t.median = float64(t.merged.ValueAtPercentile(50)) / resolution
	t.summarizedAt = now
}

// remaining returns how long an attempt is expected to take yet: the mean over all times
// that are longer than it has taken. Beyond all known times it is expected to take as long
// again.
func (t *times) remaining(server Server, elapsed time.Duration) time.Duration {
	from := steps(server, elapsed)
	count, sum := int64(0), 0.0
	for _, bar := range t.merged.Distribution() {
		if bar.Count > 0 && bar.From > from {
			count += bar.Count
			sum += float64(bar.Count) * float64(bar.From-from)
		}
	}
	if count == 0 {
		return elapsed
	}
	return scaled(sum/float64(count)/resolution, server)
}

// unit returns the time by which those of an attempt are divided: the prediction for a
// replica of the predicted speed. The slowdown isn't part of it, so that what a slow
// replica runs is hedged as early as anything else.
func unit(server Server) time.Duration {
	if server.Expected <= 0 {
		return plainUnit
	}
	return max(time.Duration(float64(server.Expected)/slowdownOf(server)), plainUnit)
}

func slowdownOf(server Server) float64 {
	if server.Slowdown <= 0 {
		return 1
	}
	return server.Slowdown
}

// steps returns a time in steps of a histogram.
func steps(server Server, took time.Duration) int64 {
	return int64(min(max(float64(took)/float64(unit(server))*resolution, 1), maxTime))
}

// scaled returns a number of units as a time.
func scaled(units float64, server Server) time.Duration {
	return time.Duration(units * float64(unit(server)))
}
