package queue

import (
	"math"
	"time"
)

const (
	// meterWindow is over how much busy time the service rate is averaged.
	meterWindow = 5 * time.Second
	// meterTrust is the least busy time after which the service rate is believed.
	meterTrust = 200 * time.Millisecond
)

// meter measures how fast the pool works off the queue. It looks only at times
// when something waited: an idle pool serves slowly because little is asked of
// it, which says nothing of how fast it could be.
type meter struct {
	work  float64 // seconds of slots taken up, decayed
	turns float64 // requests taken up, decayed
	span  float64 // busy seconds, decayed
	mark  time.Time
	busy  bool
}

// start marks the moment from which requests wait.
func (m *meter) start(now time.Time) {
	m.mark = now
	m.busy = true
}

func (m *meter) stop() { m.busy = false }

// add counts one request that had to wait. Older counts lose weight.
func (m *meter) add(now time.Time, cost float64) {
	elapsed := max(0, now.Sub(m.mark).Seconds())
	m.mark = now
	kept := math.Exp(-elapsed / meterWindow.Seconds())
	m.work = m.work*kept + cost
	m.turns = m.turns*kept + 1
	m.span = m.span*kept + elapsed
}

// undo takes back a request that was counted but did not run.
func (m *meter) undo(cost float64) {
	m.work = max(0, m.work-cost)
	m.turns = max(0, m.turns-1)
}

// seconds returns the busy time that the counts stand for, with the time since
// the last request was taken up, so that a pool that has stalled slows down.
func (m *meter) seconds(now time.Time) float64 {
	if !m.busy {
		return m.span
	}
	return m.span + max(0, now.Sub(m.mark).Seconds())
}

// rate returns seconds of slots a second, or false while too little is known.
func (m *meter) rate(now time.Time) (float64, bool) {
	seconds := m.seconds(now)
	if seconds < meterTrust.Seconds() || m.work <= 0 {
		return 0, false
	}
	return m.work / seconds, true
}

// interval returns the usual time between two turns; zero while unknown.
func (m *meter) interval(now time.Time) time.Duration {
	if _, known := m.rate(now); !known || m.turns <= 0 {
		return 0
	}
	return time.Duration(m.seconds(now) / m.turns * float64(time.Second))
}
