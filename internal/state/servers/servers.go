// Package servers keeps the list of backend servers as their entries in the
// platform's store come and go. An entry that vanishes means that its server has
// left, but for those that lapsed while the store was away: their servers may
// live, and get some time after the store's return to write them again.
//
// The package does no I/O and takes the present time as an argument. It is not
// safe for concurrent use.
package servers

import (
	"maps"
	"slices"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

const (
	// awayAfter is how long the store must not have answered for entries to count
	// as lapsed: a server writes about once a second and lapses after three such
	// intervals.
	awayAfter = 2 * time.Second
	// returnTime is how long after the store's return a lapsed entry may be
	// missing. It is the users' figure.
	returnTime = 2 * time.Second
)

// ChangeKind is what became of one server.
type ChangeKind int

// The changes.
const (
	Unchanged ChangeKind = iota
	Added
	Leaving
	Removed
	Lapsed
	Restarted
)

// Change tells of one server's change.
type Change struct {
	Server chicoryrock.Server
	Kind   ChangeKind
}

// List is the servers as known. The zero value is empty and ready for use.
type List struct {
	servers map[string]*known
	heard   time.Time // when the store last answered
	back    time.Time // when it last came back after it had been away
	read    bool
	lost    bool // it has not answered since a read failed
}

type known struct {
	server chicoryrock.Server
	lapsed bool      // its entry is missing since the store came back
	until  time.Time // when it counts as gone, if another process told that it lapsed
}

// StoreAnswered notes that the store has answered. After an outage it counts as having
// come back just now.
func (l *List) StoreAnswered(now time.Time) {
	if l.lost && now.Sub(l.heard) > awayAfter {
		l.back = now
	}
	l.lost = false
	l.heard = now
}

// StoreFailed notes that the store has refused a read or left it without an answer.
func (l *List) StoreFailed() { l.lost = l.read }

// Loaded says whether the list has been read.
func (l *List) Loaded() bool { return l.read }

// returning says whether the store has just come back.
func (l *List) returning(now time.Time) bool {
	return !l.back.IsZero() && now.Sub(l.back) < returnTime
}

// Put takes in a server's entry.
func (l *List) Put(server chicoryrock.Server) Change {
	if l.servers == nil {
		l.servers = make(map[string]*known)
	}
	before := l.servers[server.ID]
	l.servers[server.ID] = &known{server: server}
	switch {
	case before == nil:
		return Change{server, Added}
	case before.server.StartedMs != server.StartedMs || before.server.Address != server.Address:
		return Change{server, Restarted}
	case server.Leaving && !before.server.Leaving:
		return Change{server, Leaving}
	}
	return Change{server, Unchanged}
}

// Remove takes in that a server's entry has vanished.
func (l *List) Remove(now time.Time, id string) Change {
	one := l.servers[id]
	switch {
	case one == nil:
		return Change{}
	case l.returning(now) && !one.server.Leaving:
		one.lapsed = true
		return Change{one.server, Lapsed}
	}
	delete(l.servers, id)
	return Change{one.server, Removed}
}

// ReplaceFromStore takes in all entries at once, as the store has just answered them.
func (l *List) ReplaceFromStore(now time.Time, servers []chicoryrock.Server) []Change {
	notices, here := l.putAll(servers)
	for _, id := range slices.Sorted(maps.Keys(l.servers)) {
		if here[id] || l.servers[id].lapsed {
			continue
		}
		notices = append(notices, l.Remove(now, id))
	}
	return notices
}

// ReplaceFromPeer takes over the list of another process, which has judged itself what
// lapsed and what is gone.
func (l *List) ReplaceFromPeer(servers []chicoryrock.Server) []Change {
	notices, here := l.putAll(servers)
	for _, id := range slices.Sorted(maps.Keys(l.servers)) {
		if !here[id] {
			notices = append(notices, Change{l.servers[id].server, Removed})
			delete(l.servers, id)
		}
	}
	return notices
}

// putAll takes in a whole list, and returns what changed and which servers are on it.
func (l *List) putAll(servers []chicoryrock.Server) (notices []Change, here map[string]bool) {
	here = make(map[string]bool, len(servers))
	for _, server := range servers {
		here[server.ID] = true
		if notice := l.Put(server); notice.Kind != Unchanged {
			notices = append(notices, notice)
		}
	}
	l.read = true
	return notices, here
}

// Expire drops the lapsed servers whose time to come back has passed.
func (l *List) Expire(now time.Time) []Change {
	var notices []Change
	for _, id := range slices.Sorted(maps.Keys(l.servers)) {
		if one := l.servers[id]; one.lapsed && !l.waits(now, one) {
			delete(l.servers, id)
			notices = append(notices, Change{one.server, Removed})
		}
	}
	return notices
}

// waits says whether a lapsed server may still come back.
func (l *List) waits(now time.Time, one *known) bool {
	if !one.until.IsZero() {
		return now.Before(one.until)
	}
	return l.returning(now)
}

// LapsedIDs returns the IDs of the lapsed servers.
func (l *List) LapsedIDs() []string {
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(l.servers)) {
		if l.servers[id].lapsed {
			ids = append(ids, id)
		}
	}
	return ids
}

// lapse takes over that a server's entry has lapsed. It gets the time to come back
// here too: whoever told may not live long enough to tell that it did not.
func (l *List) lapse(now time.Time, id string) {
	if one := l.servers[id]; one != nil && !one.lapsed {
		one.lapsed = true
		one.until = now.Add(returnTime)
	}
}

// Servers returns all servers by ID.
func (l *List) Servers() []chicoryrock.Server {
	list := make([]chicoryrock.Server, 0, len(l.servers))
	for _, id := range slices.Sorted(maps.Keys(l.servers)) {
		list = append(list, l.servers[id].server)
	}
	return list
}
