// Package trail writes the decisions on each request as a line each, within a
// bound. As long as there are few requests each decision is written when it is
// taken, so that a process that is killed leaves what it had decided. Above that
// the lines of a request wait for its end: all of what failed, was refused, late or
// otherwise unusual are written then, and those of ordinary requests are counted.
package trail

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock/internal/ops/event"
)

const (
	// maxLines bounds what is written of one request: more decisions than any request
	// should need.
	maxLines = 32
	// defaultLive and defaultUnusual are how many requests a second are written at
	// once and, of the others, at their ends: what a core writes in some percent of
	// its time.
	defaultLive    = 40
	defaultUnusual = 60
)

// Trail is the decisions on one request.
type Trail struct {
	Ref   string    // the request's ID
	Begin time.Time // when it came in

	live  *event.Log // where the lines go at once; nil while they wait for the end
	lines []line
	count int
}

type line struct {
	event  event.Event
	fields []zap.Field
}

// Write notes one decision, taken now.
func (t *Trail) Write(happened event.Event, now time.Time, fields ...zap.Field) {
	if t.count == maxLines {
		return
	}
	t.count++
	all := make([]zap.Field, 0, len(fields)+2)
	all = append(all, zap.String("ref", t.Ref), zap.Duration("at", now.Sub(t.Begin)))
	all = append(all, fields...)
	if t.live != nil {
		t.live.Write(happened, all...)
		return
	}
	t.lines = append(t.lines, line{happened, all})
}

// Book bounds what is written of trails. Set the exported fields before use. It is
// safe for concurrent use.
type Book struct {
	Log     *event.Log
	Live    float64 // requests a second; 0 means 40
	Unusual float64 // requests a second; 0 means 60

	mutex   sync.Mutex
	live    bucket
	unusual bucket
	left    int64
}

// Begin decides, for a request that has just come in, whether its decisions are
// written at once.
func (b *Book) Begin(now time.Time, ref string) Trail {
	t := Trail{Ref: ref, Begin: now}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.live.take(now, or(b.Live, defaultLive)) {
		t.live = b.Log
	}
	return t
}

// End writes the decisions that have waited for the request's end, if it was
// unusual and there is room for them.
func (b *Book) End(now time.Time, t *Trail, unusual bool) {
	if t.live != nil || !b.room(now, unusual) {
		return
	}
	for i := range t.lines {
		b.Log.Write(t.lines[i].event, t.lines[i].fields...)
	}
}

func (b *Book) room(now time.Time, unusual bool) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if unusual && b.unusual.take(now, or(b.Unusual, defaultUnusual)) {
		return true
	}
	b.left++
	return false
}

// Left returns how many trails were left out since it was last asked.
func (b *Book) Left() int64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	left := b.left
	b.left = 0
	return left
}

// bucket is a token bucket that holds a second's worth.
type bucket struct {
	spent float64
	at    time.Time
}

func (b *bucket) take(now time.Time, rate float64) bool {
	b.spent = max(0, b.spent-rate*max(0, now.Sub(b.at).Seconds()))
	b.at = now
	if b.spent+1 > rate {
		return false
	}
	b.spent++
	return true
}

func or(value, other float64) float64 {
	if value == 0 {
		return other
	}
	return value
}
