package retell

import (
	"bufio"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
)

// Prediction compares, for the requests of a route that were answered by the first
// backend server they were given to, the predicted time to the first token with the
// one seen.
type Prediction struct {
	Route     string        `json:"route"`
	Requests  int           `json:"requests"`
	Predicted time.Duration `json:"predicted"` // median
	Seen      time.Duration `json:"seen"`      // median
	Ratio     float64       `json:"ratio"`     // median of seen by predicted
	Tail      time.Duration `json:"tail"`      // seen, that nine in ten stay below
	Pause     time.Duration `json:"pause"`     // median of the longest between two events
}

// maxOpen bounds how many requests without an end are remembered.
const maxOpen = 1 << 17

// begun is what the log says of a request before its end.
type begun struct {
	route     string
	placed    int
	at        time.Duration // when it was placed, since it came in
	predicted time.Duration
}

// sample is one answered request.
type sample struct {
	predicted, seen, pause time.Duration
}

// Predictions compares predicted times with those seen, by route in order of their
// names. Error: chicoryrock.ErrNotFound when the log has no such request; the
// reader's.
func Predictions(log io.Reader) ([]Prediction, error) {
	open := make(map[string]begun)
	samples := make(map[string][]sample)
	err := eachLine(log, func(one *line) {
		known := open[one.Ref]
		switch one.Event {
		case event.Accepted.Number:
			if len(open) < maxOpen {
				open[one.Ref] = begun{route: one.Route}
			}
		case event.Placed.Number:
			if known.route != "" {
				open[one.Ref] = begun{known.route, known.placed + 1, span(one.At), span(one.First)}
			}
		case event.Hedged.Number:
			known.placed++
			open[one.Ref] = known
		case event.Answered.Number:
			if known.placed == 1 && known.predicted > 0 && one.First != "" {
				samples[known.route] = append(samples[known.route], sample{known.predicted, span(one.First) - known.at, span(one.Pause)})
			}
			delete(open, one.Ref)
		case event.Refused.Number, event.Failed.Number, event.Cancelled.Number:
			delete(open, one.Ref)
		}
	})
	if err != nil {
		return nil, err
	}
	if len(samples) == 0 {
		return nil, errors.Wrap(chicoryrock.ErrNotFound, "no answered request is in the log with the time that was predicted for it")
	}
	var all []Prediction
	for _, route := range slices.Sorted(maps.Keys(samples)) {
		all = append(all, predictionOf(route, samples[route]))
	}
	return all, nil
}

func predictionOf(route string, samples []sample) Prediction {
	var predicted, seen, pauses []time.Duration
	var ratios []float64
	for _, one := range samples {
		predicted, seen, pauses = append(predicted, one.predicted), append(seen, one.seen), append(pauses, one.pause)
		ratios = append(ratios, float64(one.seen)/float64(one.predicted))
	}
	return Prediction{
		Route:     route,
		Requests:  len(samples),
		Predicted: quantile(predicted, 0.5),
		Seen:      quantile(seen, 0.5),
		Ratio:     quantile(ratios, 0.5),
		Tail:      quantile(seen, 0.9),
		Pause:     quantile(pauses, 0.5),
	}
}

// quantile returns the value that a share of the values stay below.
func quantile[T time.Duration | float64](values []T, share float64) T {
	slices.Sort(values)
	return values[min(int(share*float64(len(values))), len(values)-1)]
}

// span reads a duration; what is none is zero.
func span(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0
	}
	return d
}

// eachLine hands on every line of a log that can be read.
func eachLine(log io.Reader, take func(*line)) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		for len(text) > 0 && text[0] != '{' {
			text = text[1:] // a collector may put words before the line
		}
		var one line
		if json.Unmarshal(text, &one) == nil {
			take(&one)
		}
	}
	return errors.Wrap(scanner.Err(), "read the log")
}
