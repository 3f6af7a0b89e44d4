package suspect

import (
	"slices"
	"time"
)

const (
	// clearWindow is how long before and after a crash the other crashes of its service
	// are looked at.
	clearWindow = 10 * time.Second
	// manyCauses is from how many different causes of crashes within clearWindow on the
	// service itself is at fault, and not each of the requests: so many at once that crash
	// servers are less likely than servers that go down whatever they run.
	manyCauses = 9
)

// clear takes the crashes out of the suspicions of whole requests at which their service
// was going down under many different requests. It reports whether there were any.
func (t *Tracker) clear(causes []cause, suspicions []*suspicion, incidents map[*Failure]int, explained map[int]bool) bool {
	cleared := make(map[*Failure]bool)
	for _, c := range causes {
		if c.part {
			continue
		}
		for _, failure := range c.failures {
			if t.causesNear(failure, causes, incidents, explained) >= manyCauses {
				cleared[failure] = true
			}
		}
	}
	for _, s := range suspicions {
		if !s.part {
			s.failures = slices.DeleteFunc(s.failures, func(f *Failure) bool { return cleared[f] })
		}
	}
	return len(cleared) > 0
}

// causesNear counts the different causes that crashes of a failure's service around it
// must have had: the requests and parts that explain some, and each crash that none
// explains.
func (t *Tracker) causesNear(failure *Failure, causes []cause, incidents map[*Failure]int, explained map[int]bool) int {
	count := 0
	for _, c := range causes {
		if slices.ContainsFunc(c.failures, failure.isNear) {
			count++
		}
	}
	var others []*Failure
	known := make(map[string][]time.Time) // explained crashes, by server
	for _, other := range t.failures {
		if !failure.isNear(other) {
			continue
		}
		if incident, found := incidents[other]; found && explained[incident] {
			known[other.Server] = append(known[other.Server], other.at)
			continue
		}
		others = append(others, other)
	}
	slices.SortFunc(others, compareFailures)
	last := make(map[string]time.Time) // of the crashes counted, by server
	var first time.Time                // of those that are close to each other
	together := 0
	for _, other := range others {
		same := func(at time.Time) bool { return other.at.Sub(at).Abs() < incidentTime }
		if at, found := last[other.Server]; found && same(at) || slices.ContainsFunc(known[other.Server], same) {
			continue
		}
		last[other.Server] = other.at
		if together == 0 || other.at.Sub(first) >= crashSpacing {
			first, together = other.at, 0
		}
		if together++; together <= closeCrashes {
			count++
		}
	}
	return count
}

// isNear reports whether another failure is one of the same service at about the same time.
func (f *Failure) isNear(other *Failure) bool {
	return other.Service == f.Service && other.at.Sub(f.at).Abs() < clearWindow
}
