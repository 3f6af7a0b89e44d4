package loader

import (
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

const (
	// maxLatency is the longest latency told apart; longer ones count as this.
	maxLatency = 10 * time.Minute
	// digits is the number of significant digits of a latency.
	digits = 3
)

// Tally adds up outcomes. It does no input or output and is not safe for
// concurrent use. The zero value is empty.
type Tally struct {
	sums  []*sum // in the order of their first outcome
	sent  *hdrhistogram.Histogram
	refs  map[string]struct{}
	total map[Way]*sum
}

// sum is what is known of the calls of one key, model and way.
type sum struct {
	way    Way
	key    string
	model  string
	calls  int
	whole  int
	met    int
	tokens int
	good   int
	counts map[string]int
	faults map[string]int
	first  *hdrhistogram.Histogram
	gap    *hdrhistogram.Histogram
	end    *hdrhistogram.Histogram
}

// Add takes in one outcome.
func (t *Tally) Add(outcome Outcome) {
	if t.refs == nil {
		t.refs = make(map[string]struct{})
		t.total = make(map[Way]*sum)
		t.sent = newHistogram()
	}
	record(t.sent, outcome.Sent)
	if outcome.Ref != "" {
		ref := string(outcome.Way) + outcome.Ref
		if _, known := t.refs[ref]; known && outcome.Err == nil {
			outcome.Err = errors.WithStack(ErrRepeated)
		}
		t.refs[ref] = struct{}{}
	}
	t.find(outcome).add(outcome)
	if t.total[outcome.Way] == nil {
		t.total[outcome.Way] = newSum(outcome.Way, "", "")
	}
	t.total[outcome.Way].add(outcome)
}

func (t *Tally) find(outcome Outcome) *sum {
	for _, sum := range t.sums {
		if sum.way == outcome.Way && sum.key == outcome.Key && sum.model == outcome.Model {
			return sum
		}
	}
	made := newSum(outcome.Way, outcome.Key, outcome.Model)
	t.sums = append(t.sums, made)
	return made
}

func newSum(way Way, key, model string) *sum {
	return &sum{
		way:    way,
		key:    key,
		model:  model,
		counts: make(map[string]int),
		faults: make(map[string]int),
		first:  newHistogram(),
		gap:    newHistogram(),
		end:    newHistogram(),
	}
}

// add counts a call. Only an answer that is whole and its call's own counts for
// the latencies.
func (s *sum) add(outcome Outcome) {
	s.calls++
	status := strings.TrimSpace(strconv.Itoa(outcome.Status) + " " + outcome.Reason)
	s.counts[status]++
	if outcome.Err != nil {
		s.faults[fault(outcome.Err)]++
		return
	}
	if outcome.Whole == 0 {
		return
	}
	s.whole++
	s.tokens += outcome.Tokens
	if outcome.Met {
		s.met++
		s.good += outcome.Tokens
	}
	record(s.end, outcome.Whole)
	if outcome.First > 0 {
		record(s.first, outcome.First)
	}
	for _, gap := range outcome.Gaps {
		record(s.gap, gap)
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), digits)
}

func record(histogram *hdrhistogram.Histogram, latency time.Duration) {
	// The value is inside the histogram's range, so no error is possible.
	_ = histogram.RecordValue(min(max(latency, 0), maxLatency).Microseconds())
}
