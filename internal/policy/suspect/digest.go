package suspect

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Digest returns a number that is the same at processes with the same recent evidence and the
// same bans; zero if there is none. Of successes, only those that end a ban count: a process
// that has not been told of one goes on refusing what others let pass.
func (t *Tracker) Digest(now time.Time) uint64 {
	t.evaluate(now)
	var recent Evidence
	for _, failure := range t.failures {
		if failure.Held || now.Sub(failure.at) < digestTime {
			recent.Failures = append(recent.Failures, Failure{ID: failure.ID, Crash: failure.Crash})
		}
	}
	for id := range t.trials {
		recent.Trials = append(recent.Trials, Trial{ID: id})
	}
	sum := recent.Digest()
	for i := range t.bans {
		for _, subject := range t.bans[i].Subjects {
			sum ^= xxhash.Sum64String("ban " + string(subject[:]))
		}
	}
	return sum
}

// Digest returns a number that changes with the failures and trials, but not with their age.
func (e *Evidence) Digest() uint64 {
	var sum uint64
	for i := range e.Failures {
		sum ^= xxhash.Sum64String(e.Failures[i].ID) + uint64(flag(e.Failures[i].Crash))
	}
	for i := range e.Trials {
		sum ^= xxhash.Sum64String(e.Trials[i].ID)
	}
	return sum
}
