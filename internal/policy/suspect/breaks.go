package suspect

import (
	"slices"
	"time"
)

const (
	// mostBreaks is on how many backend servers a request may break off before it is
	// held to crash each that begins it. Where nobody tells crashes from lost
	// connections, two may well be chance.
	mostBreaks = 3
	// firstHold is for how long it is refused then; each further break doubles that,
	// up to lastHold. After a hold one attempt may show that it was chance.
	firstHold = 5 * time.Second
	lastHold  = 80 * time.Second
	// breakExpiry is how long a break counts.
	breakExpiry = 10 * time.Minute
	// maxBreakers is how many requests are kept, the ones that broke last.
	maxBreakers = 1024
)

// Outcome is that an attempt of a request broke off on a backend server, or, without
// a server, that one was answered whole.
type Outcome struct {
	Fingerprint Fingerprint `json:"mark"`
	Server      string      `json:"server,omitempty"`
	At          time.Time   `json:"at"`
}

// FailureTracker knows which requests broke off on one backend server after another. It is
// for places where a crash can't be told from a lost connection; Registry is for
// where an agent tells crashes. The zero value is ready for use. It is not safe for
// concurrent use.
type FailureTracker struct {
	requests map[Fingerprint][]Outcome
}

// Empty says whether nothing is known of any request.
func (b *FailureTracker) Empty() bool { return len(b.requests) == 0 }

// HasFailures says whether a request has broken off.
func (b *FailureTracker) HasFailures(mark Fingerprint) bool { return len(b.requests[mark]) > 0 }

// Record takes in what happened here or what another process tells. Taken in twice,
// or in another order, it is the same.
func (b *FailureTracker) Record(now time.Time, happened Outcome) {
	if happened.Server == "" {
		b.clear(happened)
		return
	}
	if b.requests == nil {
		b.requests = make(map[Fingerprint][]Outcome)
	}
	known := slices.DeleteFunc(b.requests[happened.Fingerprint], func(one Outcome) bool { return now.Sub(one.At) >= breakExpiry })
	if !slices.ContainsFunc(known, happened.same) {
		known = append(known, happened)
		slices.SortFunc(known, func(one, other Outcome) int { return one.At.Compare(other.At) })
	}
	b.requests[happened.Fingerprint] = known
	if len(b.requests) > maxBreakers {
		b.forget()
	}
}

// same says whether two breaks are one: a backend server that crashed is not back
// within a second.
func (b Outcome) same(other Outcome) bool {
	return b.Server == other.Server && b.At.Sub(other.At).Abs() < time.Second
}

// clear drops the breaks from before an answer.
func (b *FailureTracker) clear(answered Outcome) {
	known := slices.DeleteFunc(b.requests[answered.Fingerprint], func(one Outcome) bool { return !one.At.After(answered.At) })
	if len(known) == 0 {
		delete(b.requests, answered.Fingerprint)
		return
	}
	b.requests[answered.Fingerprint] = known
}

// forget drops the request whose last break is the longest ago.
func (b *FailureTracker) forget() {
	var oldest Fingerprint
	var at time.Time
	for mark, known := range b.requests {
		if last := lastOf(known); at.IsZero() || last.Before(at) {
			oldest, at = mark, last
		}
	}
	delete(b.requests, oldest)
}

func lastOf(known []Outcome) time.Time {
	if len(known) == 0 {
		return time.Time{}
	}
	return known[len(known)-1].At
}

// State says what may be done with a request: a Suspect may be tried once, on one
// backend server.
func (b *FailureTracker) State(now time.Time, mark Fingerprint) State {
	known := b.requests[mark]
	count := 0
	for _, one := range known {
		if now.Sub(one.At) < breakExpiry {
			count++
		}
	}
	if count < mostBreaks {
		return Clean
	}
	hold := min(firstHold<<min(count-mostBreaks, 8), lastHold)
	if now.Sub(lastOf(known)) < hold {
		return Refused
	}
	return Suspect
}
