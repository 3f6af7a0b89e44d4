package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chicoryrock/chicoryrock"
)

const (
	// askInterval is how often a process repeats its pledges and says what it wants.
	askInterval = 100 * time.Millisecond
	// perMember stretches askInterval in large fleets, so that an issuer receives some
	// hundred messages a second at most.
	perMember = 4 * time.Millisecond
	// tellInterval is how often an issuer tells a process of a limit that has not asked
	// for permits.
	tellInterval = 250 * time.Millisecond
	// lapseTime is how long the end of a limit is told.
	lapseTime = 5 * time.Second
	// sameTime is the least difference between the times of two statements of the same
	// limit, above the delay of a message. Smaller ones would add up as the statement is
	// passed to and fro.
	sameTime = 100 * time.Millisecond
	// issuerTime is how long the choice of an issuer holds without a look at the others.
	issuerTime = 200 * time.Millisecond
)

// Message is what one process tells another.
type Message struct {
	From    string
	To      string // not encoded
	Number  uint32 // grows with each message of the sender, and wraps around
	Members int    // that the sender has heard of
	Entries []Entry
}

// Entry is the part of a message about one server.
type Entry struct {
	Server uint64
	Limit  float64       // requests a second, or chicoryrock.Unlimited
	Age    time.Duration // since an answer stated the limit, or none
	Asks   bool          // to the issuer; otherwise from it
	// Of an entry to the issuer:
	Pledges bool    // it pledges its part of the limit
	Wanted  int     // permits that it could use
	Rate    float64 // at which it would use the server, requests a second
	// Of an entry from the issuer:
	Permits  int           // that it issues
	Interval time.Duration // between permits that the receiver can expect
}

// contact is the state of the exchange with another process.
type contact struct {
	sentAt     time.Time // last message that asks
	silent     time.Time // when the first message was sent that has had no answer; zero if none
	avoidUntil time.Time // it is not chosen as an issuer
	number     uint32    // of the last message received, if one was heard
	heard      bool
}

func (m *Member) contact(name string) *contact {
	c := m.contacts[name]
	if c == nil {
		if m.contacts == nil {
			m.contacts = make(map[string]*contact)
		}
		c = &contact{}
		m.contacts[name] = c
	}
	return c
}

// issuerOf returns the process that this one takes a server's permits from.
func (m *Member) issuerOf(now time.Time, key uint64, s *server) string {
	if s.issuer != "" && now.Sub(s.issuerAt) < issuerTime {
		return s.issuer
	}
	best, bestScore := "", uint64(0)
	consider := func(name string) {
		if c := m.contacts[name]; c != nil && now.Before(c.avoidUntil) {
			return
		}
		if score := xxhash.Sum64String(name) ^ key; best == "" || mix(score) > bestScore {
			best, bestScore = name, mix(score)
		}
	}
	for _, peer := range m.peers {
		consider(peer)
	}
	if m.issues || best == "" {
		consider(m.Name)
	}
	s.issuerAt = now
	if best == s.issuer {
		return best
	}
	if s.issuer == m.Name {
		s.issued.advance(now, s.limit)
		delete(s.issued.users, m.Name)
	}
	s.issuer, s.intervalKnown = best, false
	return best
}

// mix returns a number all of whose bits depend on all bits of another one.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// pledges reports whether this process may pledge its part to an issuer now: a pledge to
// another one must have expired.
func (m *Member) pledges(now time.Time, s *server, issuer string) bool {
	if s.pledgedTo != issuer && s.pledgedTo != m.Name && now.Before(s.pledgedUntil) {
		return false
	}
	s.pledgedTo, s.pledgedUntil = issuer, now.Add(pledgeLifetime(m.members))
	return true
}

// pledgeLifetime returns how long a pledge holds of a process that has heard of so many.
func pledgeLifetime(members int) time.Duration {
	return max(minPledgeLifetime, time.Duration(pledgeIntervals*float64(stretch(askInterval, members))))
}

// partOf returns the part in a limit of a process that has heard of so many.
func partOf(members int) float64 { return 1 / float64(max(members, 1)) }

// issueToSelf issues permits, of which this process may want some itself.
func (m *Member) issueToSelf(now time.Time, s *server) {
	self := m.advanceSelf(now, s)
	self.wanted, self.rate = s.wanted(now), s.use.current(now)
	s.issued.distribute(now)
	s.add(now, self.forwarded)
	self.forwarded = 0
}

// advanceSelf advances the issuing by this process, which pledges its own part to itself.
func (m *Member) advanceSelf(now time.Time, s *server) *user {
	self := s.issued.user(m.Name)
	self.expiry = now.Add(pledgeLifetime(m.members))
	s.issued.advance(now, s.limit)
	self.part = 0
	if m.pledges(now, s, m.Name) {
		self.part = partOf(m.members)
	}
	return self
}

// Messages returns what is to be sent now. It is called several times in askInterval, and
// after Receive.
func (m *Member) Messages(now time.Time) []Message {
	if len(m.servers) == 0 {
		return nil
	}
	entries := make(map[string][]Entry)
	for _, key := range slices.Sorted(maps.Keys(m.servers)) {
		s := m.servers[key]
		if s.forgotten(now) {
			delete(m.servers, key)
			continue
		}
		m.answers(now, key, s, entries)
	}
	m.asks(now, entries)
	messages := make([]Message, 0, len(entries))
	for _, to := range slices.Sorted(maps.Keys(entries)) {
		for part := range slices.Chunk(entries[to], maxEntries) {
			m.sent++
			messages = append(messages, Message{From: m.Name, To: to, Number: m.sent, Members: m.Members(), Entries: part})
		}
	}
	return messages
}

// answers adds what this process says of a server as its issuer.
func (m *Member) answers(now time.Time, key uint64, s *server, entries map[string][]Entry) {
	s.issued.forget(now)
	issuer := m.issuerOf(now, key, s) == m.Name
	if issuer && s.limit != chicoryrock.Unlimited {
		// The pledge is renewed, and what this process wants is known to the others' turns.
		m.issueToSelf(now, s)
		m.tell(now, s)
	}
	for name, u := range s.issued.users {
		if !u.answer && u.forwarded == 0 || name == m.Name {
			continue
		}
		entry := s.entry(now, key)
		entry.Permits = u.forwarded
		entry.Interval = s.issued.interval(now, s.limit, name)
		u.answer, u.forwarded, u.toldAt = false, 0, now
		entries[name] = append(entries[name], entry)
	}
}

// tell marks the processes that seem not to know of a limit.
func (m *Member) tell(now time.Time, s *server) {
	for _, peer := range m.peers {
		if u := s.issued.user(peer); !u.live(now) && now.Sub(u.toldAt) >= stretch(tellInterval, m.members) {
			u.answer = true
		}
	}
}

// stretch returns an interval for a fleet of so many members.
func stretch(least time.Duration, members int) time.Duration {
	return max(least, time.Duration(members)*perMember)
}

// asks adds what this process says to the issuers.
func (m *Member) asks(now time.Time, entries map[string][]Entry) {
	due := make(map[string]bool)
	for key, s := range m.servers {
		if issuer := m.issuerOf(now, key, s); issuer != m.Name && m.asksOf(now, s) {
			c := m.contact(issuer)
			urgent := s.limit != chicoryrock.Unlimited && s.stated == 0 && s.wanted(now) > 0
			due[issuer] = due[issuer] || urgent || now.Sub(c.sentAt) >= stretch(askInterval, m.members)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(m.servers)) {
		s := m.servers[key]
		if issuer := s.issuer; due[issuer] && m.asksOf(now, s) {
			entry := s.entry(now, key)
			entry.Asks = true
			if s.limit != chicoryrock.Unlimited {
				entry.Pledges = m.pledges(now, s, issuer)
				s.stated = s.wanted(now)
				entry.Wanted, entry.Rate = s.stated, s.use.current(now)
			}
			entries[issuer] = append(entries[issuer], entry)
		}
	}
	for issuer := range due {
		if due[issuer] {
			m.asked(now, issuer)
		}
	}
}

// asksOf reports whether the issuer of a server has to be told of it.
func (m *Member) asksOf(now time.Time, s *server) bool {
	return s.limit != chicoryrock.Unlimited || now.Sub(s.statedAt) < lapseTime
}

// asked records that a message went to an issuer, and passes it over if it has been
// silent for long.
func (m *Member) asked(now time.Time, issuer string) {
	c := m.contact(issuer)
	c.sentAt = now
	if c.silent.IsZero() {
		c.silent = now
	}
	if now.Sub(c.silent) > max(minSilence, silentIntervals*stretch(askInterval, m.members)) {
		c.avoidUntil, c.silent = now.Add(avoidTime), time.Time{}
		for _, s := range m.servers {
			if s.issuer == issuer {
				s.issuerAt = time.Time{}
			}
		}
	}
}

func (s *server) entry(now time.Time, key uint64) Entry {
	return Entry{Server: key, Limit: s.limit, Age: max(0, now.Sub(s.statedAt))}
}

// Receive processes a message. Messages that arrive late or twice are ignored.
func (m *Member) Receive(now time.Time, message *Message) {
	if message.From == m.Name {
		return
	}
	c := m.contact(message.From)
	// A sender of 500 messages a second uses up its numbers in 99 days.
	if c.heard && int32(message.Number-c.number) <= 0 {
		return
	}
	c.heard = true
	c.number, c.silent, c.avoidUntil = message.Number, time.Time{}, time.Time{}
	for i := range message.Entries {
		e := &message.Entries[i]
		m.learn(now, e, message.From)
		s := m.servers[e.Server]
		switch {
		case s == nil:
		case e.Asks:
			m.receiveAsk(now, s, e, message)
		case message.From == m.issuerOf(now, e.Server, s):
			s.interval, s.intervalKnown = e.Interval, true
			if s.limit != chicoryrock.Unlimited {
				s.add(now, e.Permits)
			}
		}
	}
	if len(m.contacts) > 4*(len(m.peers)+1) {
		maps.DeleteFunc(m.contacts, func(name string, _ *contact) bool { return !slices.Contains(m.peers, name) })
	}
}

// learn takes in the limit that an entry states.
func (m *Member) learn(now time.Time, e *Entry, from string) {
	statedAt := now.Add(-e.Age)
	if s := m.servers[e.Server]; s != nil && s.limit == e.Limit && statedAt.Sub(s.statedAt) < sameTime {
		return
	}
	m.set(now, e.Server, e.Limit, statedAt, from)
}

// receiveAsk takes in what another process pledges and wants, and issues permits.
func (m *Member) receiveAsk(now time.Time, s *server, e *Entry, message *Message) {
	s.issued.advance(now, s.limit)
	u := s.issued.user(message.From)
	u.expiry, u.answer = now.Add(pledgeLifetime(message.Members)), true
	u.part, u.wanted, u.rate = 0, 0, 0
	if s.limit == chicoryrock.Unlimited {
		return
	}
	u.wanted, u.rate = e.Wanted, e.Rate
	if e.Pledges {
		u.part = partOf(message.Members)
	}
	s.issued.distribute(now)
}
