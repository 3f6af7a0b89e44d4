// Package awake tells for how long the VM has been suspended. Go's steady clock stands
// still meanwhile, the rest of the world does not: a lease that was taken before has
// run on.
package awake

import (
	"time"

	"golang.org/x/sys/unix"
)

// Suspended returns for how long the VM has been suspended since it was started; zero
// where the clocks that tell can't be read.
func Suspended() time.Duration {
	var steady, all unix.Timespec
	// The steady clock is read first, so that the time between the two reads counts as
	// suspended rather than the reverse.
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &all) != nil {
		return 0
	}
	return max(0, time.Duration(all.Nano()-steady.Nano()))
}
