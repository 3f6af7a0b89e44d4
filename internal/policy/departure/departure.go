// Package departure decides which requests a process that is shutting down still takes: those
// that it can be expected to answer whole before it ends. It does no I/O and takes the present
// time as an argument.
package departure

import (
	"sync"
	"time"
)

const (
	// window is how long the longest run of a route is remembered at least; at most twice
	// as long.
	window = time.Minute
	// margin is how much longer than the longest run seen a request may take.
	margin = 1.5
)

// Runs remembers how long the requests of each route have taken. The zero value is ready, and
// it may be used by several goroutines.
type Runs struct {
	mutex           sync.Mutex
	begin           time.Time // of the present window
	present, former map[string]time.Duration
}

// Record takes in how long an answered request of a route has taken.
func (r *Runs) Record(now time.Time, route string, took time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.turn(now)
	r.present[route] = max(r.present[route], took)
}

// turn begins another window if the present one is over. The lock is held.
func (r *Runs) turn(now time.Time) {
	switch past := now.Sub(r.begin); {
	case past >= 2*window:
		r.begin, r.present, r.former = now, make(map[string]time.Duration), nil
	case past >= window:
		r.begin, r.present, r.former = r.begin.Add(window), make(map[string]time.Duration), r.present
	}
}

// Takes reports whether a request of a route, which may take up to a limit, can be expected to
// end before the process does. Where nothing is known of the route it may take all that time.
func (r *Runs) Takes(now, end time.Time, route string, limit time.Duration) bool {
	left := end.Sub(now)
	if limit <= left {
		return true
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.turn(now)
	longest := max(r.present[route], r.former[route])
	return longest > 0 && time.Duration(margin*float64(longest)) <= left
}
