package billing

import (
	"sync"
	"time"
)

const (
	// agreeTime is how long the time of day must differ from what the steady clock
	// says before it is believed: jumps that go back again are shorter.
	agreeTime = 12 * time.Second
	// agreeWithin is how much the two may differ, and a shift may vary.
	agreeWithin = 250 * time.Millisecond
)

// Clock tells true time although the time of day may jump: it goes by the steady
// clock, and takes over a shift of the time of day only when that lasts, as after
// a pause of the VM, which the steady clock doesn't count.
type Clock struct {
	mutex sync.Mutex
	base  time.Time // a reading with both clocks
	shift time.Duration
	since time.Time // when the candidate was first seen; zero for none
	other time.Duration
}

// True returns true time at a moment of the process's clock.
func (c *Clock) True(now time.Time) time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.base.IsZero() {
		c.base = now
	}
	elapsed := now.Sub(c.base) // by the steady clock
	wall := now.Round(0)
	offset := wall.Sub(c.base.Round(0).Add(elapsed)) - c.shift
	c.judge(now, offset)
	return c.base.Round(0).Add(elapsed + c.shift)
}

// Agree sets the clock towards the median of those of many processes: a process
// that started while its time of day was off, or was paused, is then right at once.
func (c *Clock) Agree(shift time.Duration) {
	if shift.Abs() <= agreeWithin {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.shift += shift
	c.since = time.Time{}
}

// judge takes over a shift that has lasted.
func (c *Clock) judge(now time.Time, offset time.Duration) {
	switch {
	case offset.Abs() <= agreeWithin:
		c.since = time.Time{}
	case c.since.IsZero() || (offset-c.other).Abs() > agreeWithin:
		c.since, c.other = now, offset
	case now.Sub(c.since) >= agreeTime:
		c.shift += offset
		c.since = time.Time{}
	}
}
