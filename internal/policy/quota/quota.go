// Package quota keeps all processes together within the request rates that backend
// servers state for themselves: so many requests a second, from all processes.
//
// A process sends a request to a limited server only with a permit. The permits of a
// server come from one process at a time, its issuer. Each process chooses the issuer by
// itself, by rendezvous hashing over those that it can reach, and pledges to it its part
// of the limit: one of N, where N counts all processes that may send requests, also those
// that it can't reach (see SetMembers). The issuer issues permits at the rate that is pledged to it, in proportion to how often
// each process would use the server. So the rate follows the callers, wherever they are.
//
// # How far a limit can be exceeded
//
// A part is pledged to one issuer at a time: a process that changes its issuer waits
// until the pledge has expired at the former one, and takes no more permits from that
// one. Processes that disagree about who can be reached, or that are cut off from each
// other, may have several issuers, but these issue no more than the limit together. A
// process that can reach no other one issues permits to itself at its own part.
//
// Let L be the limit. A permit that is not used expires after PermitLifetime, and an
// issuer saves up at most saveTime of its rate or one permit. So a server gets in any time
// t at most
//
//	L·(t + PermitLifetime + saveTime) + I
//
// requests, where I is the number of issuers: one as long as all processes can reach
// each other. An issuer with half of the limit or less saves up nothing for longer than
// PermitLifetime, and begins at a random point of the way to its first permit, so that
// many of them don't issue at the same moment.
//
// A process that does not know of the limit yet is not bound by it. It learns it from the
// first answer that states it, or from the issuer.
package quota

import (
	"strconv"
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/jitter"
)

const (
	// PermitLifetime is how long a permit can be used.
	PermitLifetime = time.Second
	// minPledgeLifetime is how long a pledge holds at least without being repeated.
	minPledgeLifetime = 1300 * time.Millisecond
	// pledgeIntervals is how many intervals between messages a pledge holds: one or two
	// of them may be lost.
	pledgeIntervals = 3.2
	// saveTime is the time at the issuer's rate that it saves up while no process wants
	// permits.
	saveTime = 300 * time.Millisecond
	// leadTime is how far ahead of their use a process asks for permits.
	leadTime = 500 * time.Millisecond
	// rateTime is the time constant of the average rate at which a process would use a
	// server.
	rateTime = time.Second
	// minUseRate is the least rate, requests a second, for which a process asks for
	// permits in advance. At a lower one most of them would expire.
	minUseRate = 0.5
	// minRate is the least rate, requests a second, at which permits for a server are
	// issued. A server that takes nothing is so asked now and then whether it still does.
	minRate = 0.2
	// maxRate bounds what a server may state, requests a second.
	maxRate = 1e6
	// forgetTime is how long a limit holds while no answer states it and no request asks
	// for the server. It is far longer than the time between the permits of a process that
	// is cut off in a large fleet.
	forgetTime = 10 * time.Minute
	// minSilence is how long an issuer may leave messages without an answer, at least.
	minSilence = 700 * time.Millisecond
	// silentIntervals is how many intervals between messages it may be silent.
	silentIntervals = 3
	// avoidTime is how long a silent issuer is passed over.
	avoidTime = 5 * time.Second
	// majority is the share of a limit that only one issuer can have.
	majority = 0.5
)

// Member is the part that one process has in keeping to the limits. Set the exported
// fields and call SetMembers before use. It is not safe for concurrent use.
type Member struct {
	Name string // of this process, different from those of earlier ones on its VM
	// Changed is called when the limit of a server has changed, requests a second; -1
	// for none. From is the process that said so, empty for an answer to this one. It
	// may be nil.
	Changed func(server uint64, before, limit float64, from string)

	peers    []string // that share limits and may issue
	issues   bool     // this process may issue
	members  int
	servers  map[uint64]*server
	contacts map[string]*contact
	sent     uint32 // number of the last message
}

// server is what is known of a server that states a limit, or did so of late.
type server struct {
	limit    float64   // requests a second, or chicoryrock.Unlimited
	statedAt time.Time // when the answer came that says so

	use           useRate
	permits       []batch
	issuer        string    // that this process takes permits from
	issuerAt      time.Time // when it was chosen
	pledgedTo     string
	pledgedUntil  time.Time     // when the last pledge to it expires
	stated        int           // permits wanted, as last stated to the issuer
	interval      time.Duration // between permits, as last stated by the issuer
	intervalKnown bool
	issued        issue // of those that take permits from this process
}

// batch is a number of permits that expire together.
type batch struct {
	count  int
	expiry time.Time
}

// useRate is how often a process would use a server.
type useRate struct {
	rate     float64 // average, requests a second
	at       time.Time
	lastID   string    // of the request that was counted last
	deniedAt time.Time // when a request last found no permit
}

// LimitWithin returns the limit, requests a second, under which a server gets no more than
// count requests in any span of a length while one process issues its permits.
func LimitWithin(count float64, length time.Duration) float64 {
	return max(count-1, 0) / (length + PermitLifetime + saveTime).Seconds()
}

// SetMembers sets the processes that share the limits: peers are those others that can
// be reached and may issue permits, members is the number of all that may send requests,
// this one included. Issues says whether this process may issue.
func (m *Member) SetMembers(peers []string, issues bool, members int) {
	m.peers = peers
	m.issues = issues
	m.members = members
}

// Observe takes in an answer of a server: the limit that it states, or chicoryrock.Unlimited.
// SentAt is when its request was sent. An answer without a limit ends one only if its
// request was sent after the limit was last stated: heads may overtake each other.
func (m *Member) Observe(now, sentAt time.Time, key uint64, limit float64) {
	known := m.servers[key]
	if limit == chicoryrock.Unlimited && (known == nil || known.limit == chicoryrock.Unlimited || sentAt.Before(known.statedAt)) {
		return
	}
	m.set(now, key, limit, now, "")
}

// set takes in a limit that was stated at a time.
func (m *Member) set(now time.Time, key uint64, limit float64, statedAt time.Time, from string) {
	s := m.servers[key]
	if s != nil && !statedAt.After(s.statedAt) || now.Sub(statedAt) > forgetTime {
		return
	}
	if s == nil {
		if m.servers == nil {
			m.servers = make(map[uint64]*server)
		}
		s = &server{limit: chicoryrock.Unlimited}
		m.servers[key] = s
	}
	before := s.limit
	s.statedAt = statedAt
	s.limit = limit
	if limit != chicoryrock.Unlimited {
		s.limit = min(max(limit, minRate), maxRate)
	}
	if s.limit == before {
		return
	}
	s.issued.advance(now, before)
	switch {
	case before == chicoryrock.Unlimited:
		// The pledge of an earlier period may still count at its issuer.
		*s = server{limit: s.limit, statedAt: statedAt, pledgedTo: s.pledgedTo, pledgedUntil: s.pledgedUntil}
		s.issued.begin(now, jitter.Fraction(m.Name+strconv.FormatUint(key, 10)))
		if m.issuerOf(now, key, s) == m.Name {
			m.advanceSelf(now, s)
		}
	case s.limit == chicoryrock.Unlimited:
		s.permits = nil
	case s.limit < before:
		s.scalePermits(s.limit / before)
	}
	if m.Changed != nil {
		m.Changed(key, before, s.limit, from)
	}
}

// scalePermits drops permits that were issued under a higher limit.
func (s *server) scalePermits(share float64) {
	for i := range s.permits {
		s.permits[i].count = int(float64(s.permits[i].count)*share + 0.5)
	}
}

// Members returns how many processes may send requests, as was last set.
func (m *Member) Members() int { return max(m.members, 1) }

// Limit returns the limit of a server, or chicoryrock.Unlimited.
func (m *Member) Limit(now time.Time, key uint64) float64 {
	if s := m.limited(now, key); s != nil {
		return s.limit
	}
	return chicoryrock.Unlimited
}

// Limits returns how many servers are known that state a limit, or did so of late.
func (m *Member) Limits() int { return len(m.servers) }

// Permits reports whether a server has no limit, or this process a permit for it.
func (m *Member) Permits(now time.Time, key uint64) bool {
	s := m.limited(now, key)
	return s == nil || s.held(now) > 0
}

// Allows reports whether a request that would be sent to a server may be sent there now.
// If not, it is counted as one that wants a permit, once however often it asks.
func (m *Member) Allows(now time.Time, key uint64, requestID string) bool {
	s := m.limited(now, key)
	if s == nil || s.held(now) > 0 {
		return true
	}
	s.use.add(now, requestID)
	s.use.deniedAt = now
	if m.issuerOf(now, key, s) == m.Name {
		m.issueToSelf(now, s)
	}
	return s.held(now) > 0
}

// Take records that a request is sent to a server, and uses up a permit if the server is
// limited.
func (m *Member) Take(now time.Time, key uint64, requestID string) {
	s := m.limited(now, key)
	if s == nil {
		return
	}
	s.use.add(now, requestID)
	if s.held(now) > 0 {
		s.permits[0].count--
	}
}

// Interval returns the mean time between two permits for a server that this process can
// expect; zero if it can send a request now. The second result is false if that is
// unknown.
func (m *Member) Interval(now time.Time, key uint64) (time.Duration, bool) {
	s := m.limited(now, key)
	if s == nil || s.held(now) > 0 {
		return 0, true
	}
	if m.issuerOf(now, key, s) == m.Name {
		m.advanceSelf(now, s).rate = s.use.current(now)
		return s.issued.interval(now, s.limit, m.Name), true
	}
	return s.interval, s.intervalKnown
}

// limited returns a server if it has a limit now.
func (m *Member) limited(now time.Time, key uint64) *server {
	if len(m.servers) == 0 {
		return nil
	}
	s := m.servers[key]
	if s == nil || s.limit == chicoryrock.Unlimited || s.forgotten(now) {
		return nil
	}
	return s
}

// forgotten reports whether what is known of a server is too old.
func (s *server) forgotten(now time.Time) bool {
	return now.Sub(s.statedAt) > forgetTime && now.Sub(s.use.at) > forgetTime
}

// held returns how many permits this process has, and drops those that have expired.
func (s *server) held(now time.Time) int {
	for len(s.permits) > 0 && (s.permits[0].count <= 0 || !now.Before(s.permits[0].expiry)) {
		s.permits = s.permits[1:]
	}
	count := 0
	for _, b := range s.permits {
		count += max(b.count, 0)
	}
	return count
}

// add stores permits that have been issued to this process.
func (s *server) add(now time.Time, count int) {
	if count > 0 {
		s.permits = append(s.permits, batch{count, now.Add(PermitLifetime)})
	}
}

// wanted returns how many more permits this process could use.
func (s *server) wanted(now time.Time) int {
	count := 0
	if rate := s.use.current(now); rate >= minUseRate {
		count = int(rate*leadTime.Seconds()) + 1
	}
	if !s.use.deniedAt.IsZero() && now.Sub(s.use.deniedAt) < leadTime {
		count++
	}
	return max(0, count-s.held(now))
}
