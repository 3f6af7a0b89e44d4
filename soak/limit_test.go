package soak

import (
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/platform/sample"
)

const (
	// limitNotice is how long after a server first states a limit the limit holds, and how
	// long after a disturbance of its process a front is bound by it.
	limitNotice = 3 * time.Second
	// limitAnswered is how long after it got an answer that states it a front is bound.
	limitAnswered = 500 * time.Millisecond
	// limitWindow is the span in which limitFactor times what a limit allows, and
	// limitExtra requests, may arrive.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
)

// limited is a backend server that states a limit from time to time, and counts what
// comes from the fronts that it has told.
type limited struct {
	mutex sync.Mutex
	limit float64 // requests a second; zero for none
	since time.Time
	told  map[int]time.Time // by front
	times []time.Time
	worst []excess
}

// excess is the busiest window of a period with one limit.
type excess struct {
	limit float64
	got   int
}

// state begins a period with a limit, zero for none.
func (l *limited) state(limit float64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sum()
	l.limit, l.since, l.times, l.told = limit, time.Time{}, nil, map[int]time.Time{}
}

// sum notes the busiest window of the period that ends. The lock is held.
func (l *limited) sum() {
	most := 0
	for i, begin := range l.times {
		count := 0
		for _, at := range l.times[i:] {
			if at.Sub(begin) <= limitWindow {
				count++
			}
		}
		most = max(most, count)
	}
	if l.limit > 0 {
		l.worst = append(l.worst, excess{l.limit, most})
	}
}

// arrived counts a request of a front that was last disturbed at a time, and states the
// limit in its answer, which may not be heard.
func (l *limited) arrived(now, disturbed time.Time, front int, header http.Header, heard bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.limit == 0 {
		return
	}
	header.Set(sample.Limit, strconv.FormatFloat(l.limit, 'f', -1, 64))
	if heard && l.since.IsZero() {
		l.since = now
	}
	told, known := l.told[front]
	switch {
	case !known || told.Before(disturbed):
		if heard {
			l.told[front] = now
		}
	case now.Sub(l.since) >= limitNotice && now.Sub(told) >= limitAnswered && now.Sub(disturbed) >= limitNotice:
		l.times = append(l.times, now)
	}
}

// frontOf returns the front that a request came through, by its ID.
func (w *world) frontOf(id string) (int, bool) {
	parts := strings.Split(id, "-")
	if len(parts) != 3 {
		return 0, false // asked before or after the run
	}
	if taken := strings.Split(id, "/"); len(taken) == 3 { // a stream is taken up at any front
		front, err := strconv.Atoi(taken[2])
		return front, err == nil
	}
	caller, err := strconv.Atoi(parts[1])
	return caller % len(w.fronts), err == nil
}

// limits says whether servers state limits, prompts crash them and the store comes back from
// copies in this run: fronts of former builds heed none of that.
func limits() bool { return os.Getenv("TEST_BUILDS") == "" }

// limitSome has a server of each service state a limit for the whole run.
func (w *world) limitSome() {
	if limits() {
		w.limited["app-0"].state(1 + 4*w.random.Float64())
		w.limited["llm-0"].state(0.5 + 4*w.random.Float64())
	}
}

// limitAnother has another server begin, change or end its limit.
func (w *world) limitAnother() {
	if limits() {
		limit := []float64{0, 0.5, 2, 8}[w.random.IntN(4)]
		w.limited[[]string{"app-1", "llm-1"}[w.random.IntN(2)]].state(limit)
	}
}

// checkLimits holds what arrived against the limits.
func (w *world) checkLimits(seed uint64) {
	for name, l := range w.limited {
		l.state(0)
		for _, worst := range l.worst {
			w.t.Logf("seed %d: %s got %d requests in %v with a limit of %.2f a second", seed, name, worst.got, limitWindow, worst.limit)
			require.LessOrEqual(w.t, float64(worst.got), limitFactor*worst.limit*limitWindow.Seconds()+limitExtra, "seed %d: %s", seed, name)
		}
	}
}
