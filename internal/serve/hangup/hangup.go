// Package hangup takes in SIGHUP from the beginning of the process on, as the signal ends a
// process that has not asked for it yet. It imports little, so that it is initialised before
// the packages that take milliseconds for that.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

var signals = notify()

func notify() chan os.Signal {
	taken := make(chan os.Signal, 1)
	signal.Notify(taken, syscall.SIGHUP)
	return taken
}

// Signals returns where the process's SIGHUP arrive, also one from before the call.
func Signals() <-chan os.Signal { return signals }

// Reset lets SIGHUP end the process again, for one that has no use for it.
func Reset() { signal.Reset(syscall.SIGHUP) }
