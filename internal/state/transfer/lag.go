package transfer

import "time"

// reportInterval is the least time between two reports of one lag.
const reportInterval = time.Second

// Lag tells how far this process is behind the newest configuration that it has heard of. It
// is not safe for concurrent use.
type Lag struct {
	newest uint64    // version heard of; zero while there is none newer than the one in force
	since  time.Time // when a version newer than the one in force was first heard of
	asked  int       // calls to peers since then
	failed int       // those that brought nothing
	told   time.Time // when it was last reported

	progress time.Time // when a call last brought something; zero for never
}

// Hear takes in the version in force and the newest one that the peers state.
func (l *Lag) Hear(now time.Time, inForce, newest uint64) {
	switch {
	case newest <= inForce:
		*l = Lag{}
	case l.newest <= inForce:
		*l = Lag{newest: newest, since: now, told: now}
	default:
		l.newest = max(l.newest, newest)
	}
}

// Asked counts a call to a peer that has just ended.
func (l *Lag) Asked(now time.Time, err error) {
	l.asked++
	if err != nil {
		l.failed++
		return
	}
	l.progress = now
}

// Stuck says that no peer has brought anything of the newer version for a time.
func (l *Lag) Stuck(now time.Time, patience time.Duration) bool {
	return l.newest != 0 && now.Sub(l.since) >= patience && now.Sub(l.progress) >= patience
}

// Newest returns the newest version heard of; zero if it is in force.
func (l *Lag) Newest() uint64 { return l.newest }

// Waited returns for how long a newer version than the one in force has been known.
func (l *Lag) Waited(now time.Time) time.Duration {
	if l.newest == 0 {
		return 0
	}
	return max(now.Sub(l.since), 0)
}

// Calls returns how many calls were made to peers since then, and how many of them failed.
func (l *Lag) Calls() (asked, failed int) { return l.asked, l.failed }

// Due says, at most once a second, that the lag is to be reported.
func (l *Lag) Due(now time.Time) bool {
	if l.newest == 0 || now.Sub(l.told) < reportInterval {
		return false
	}
	l.told = now
	return true
}
