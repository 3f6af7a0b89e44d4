package queue

import (
	"math"
	"time"
)

const (
	// meterWindow is the busy time over which the service rate is averaged. Samples
	// decay exponentially with this time constant.
	meterWindow = 5 * time.Second
	// minMeterSpan is the least busy time from which a service rate is estimated.
	minMeterSpan = 200 * time.Millisecond
)

// meter measures how fast the pool serves the queue. It counts only the time while
// requests wait, called busy time: an idle pool serves slowly because it gets few
// requests, which is no measure of its capacity.
type meter struct {
	slotSeconds  float64 // expected slot time of the requests popped, decayed
	requests     float64 // requests popped, decayed
	busySeconds  float64 // busy time, decayed
	countedUntil time.Time
	busy         bool
}

// start begins a stretch of busy time.
func (m *meter) start(now time.Time) {
	m.countedUntil = now
	m.busy = true
}

func (m *meter) stop() { m.busy = false }

// add counts one popped request that had to wait. Older counts decay.
func (m *meter) add(now time.Time, slotSeconds float64) {
	elapsed := max(0, now.Sub(m.countedUntil).Seconds())
	m.countedUntil = now
	kept := math.Exp(-elapsed / meterWindow.Seconds())
	m.slotSeconds = m.slotSeconds*kept + slotSeconds
	m.requests = m.requests*kept + 1
	m.busySeconds = m.busySeconds*kept + elapsed
}

// undo removes a counted request that was requeued.
func (m *meter) undo(slotSeconds float64) {
	m.slotSeconds = max(0, m.slotSeconds-slotSeconds)
	m.requests = max(0, m.requests-1)
}

// busySecondsAt returns the busy time that the counts cover, including the time
// since the last request was popped, so that the rate of a stalled pool drops.
func (m *meter) busySecondsAt(now time.Time) float64 {
	if !m.busy {
		return m.busySeconds
	}
	return m.busySeconds + max(0, now.Sub(m.countedUntil).Seconds())
}

// rate returns the slot time served per second of busy time, in seconds, or false
// if there is too little data.
func (m *meter) rate(now time.Time) (float64, bool) {
	seconds := m.busySecondsAt(now)
	if seconds < minMeterSpan.Seconds() || m.slotSeconds <= 0 {
		return 0, false
	}
	return m.slotSeconds / seconds, true
}

// interval returns the mean time between two turns; zero if there is too little
// data.
func (m *meter) interval(now time.Time) time.Duration {
	if _, known := m.rate(now); !known || m.requests <= 0 {
		return 0
	}
	return time.Duration(m.busySecondsAt(now) / m.requests * float64(time.Second))
}
