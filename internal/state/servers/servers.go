// Package servers keeps the list of backend servers according to their entries in
// the platform's store. A server whose entry disappears is removed, unless the
// entry may have expired during an outage of the store: the server may then be
// alive, and has a grace period after the outage to write its entry again. What a server
// says of itself in its answers holds for that start of it, whatever its entry says.
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
	// minOutage is the shortest outage of the store after which missing entries
	// count as lapsed. A server writes its entry about once a second, and the entry
	// expires after three such intervals. The last write may be one interval older than
	// the outage, which leaves two until the entry expires.
	minOutage = 2 * time.Second
	// lapseGrace is how long after an outage a lapsed entry may be missing: a
	// requirement of the users.
	lapseGrace = 2 * time.Second
)

// ChangeKind is the kind of a change of one server.
type ChangeKind int

// Kinds of changes.
const (
	Unchanged ChangeKind = iota
	Added
	Leaving    // still serves, but takes no new work
	Removed    // no longer on the list
	Lapsed     // kept although its entry is missing after an outage of the store
	Restarted  // has another start time or address
	Resting    // wants no requests for a while
	Reweighted // has replaced weights in place
)

// Change is a change of one server.
type Change struct {
	Server chicoryrock.Server
	Kind   ChangeKind
}

// List is a list of servers. The zero value is empty and ready for use.
type List struct {
	servers    map[string]*entry
	gone       map[string]departure // servers that have left the list, the last ones
	stated     map[Start]*stated    // what servers have said of themselves
	lastAnswer time.Time            // when the store last answered
	restoredAt time.Time            // end of the store's last outage
	loaded     bool
	failing    bool // the store has not answered since a read failed
}

// departure is the end of a server's time on the list.
type departure struct {
	server  chicoryrock.Server // as last known
	version Version            // of the change, zero if not known
}

type entry struct {
	server    chicoryrock.Server
	version   Version   // of the store's revision that wrote it; zero if not known
	lapsed    bool      // missing in the store since the last outage
	expiresAt time.Time // when to remove it, if a peer reported that it lapsed; zero otherwise
}

// StoreAnswered records an answer of the store. If it ends an outage, the grace
// period of lapsed entries begins.
func (l *List) StoreAnswered(now time.Time) {
	if l.failing && now.Sub(l.lastAnswer) > minOutage {
		l.restoredAt = now
	}
	l.failing = false
	l.lastAnswer = now
}

// StoreFailed records that the store has refused a read or has not answered it.
func (l *List) StoreFailed() { l.failing = l.loaded }

// Loaded reports whether a complete list has been read or received.
func (l *List) Loaded() bool { return l.loaded }

// inGrace reports whether the grace period after an outage of the store runs.
func (l *List) inGrace(now time.Time) bool {
	return !l.restoredAt.IsZero() && now.Sub(l.restoredAt) < lapseGrace
}

// Put adds or updates a server. Version is that of the revision that wrote its entry, or
// zero if it isn't known. An entry that was written later is kept, and what else is known to
// have been true later.
func (l *List) Put(version Version, server chicoryrock.Server) Change {
	if l.servers == nil {
		l.servers = make(map[string]*entry)
	}
	before := l.servers[server.ID]
	if left, found := l.gone[server.ID]; found && before == nil {
		if outdated(version, &server, left.version, &left.server) {
			return Change{server, Unchanged}
		}
		delete(l.gone, server.ID)
	}
	if before != nil && version != 0 && version < before.version {
		return Change{before.server, Unchanged}
	}
	if before != nil && before.server.Leaving && !server.Leaving && outdated(version, &server, before.version, &before.server) {
		return Change{before.server, Unchanged}
	}
	l.servers[server.ID] = &entry{server: server, version: version}
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

// outdated reports whether an entry is older than what is known of the same start of its
// server. An entry in the copy that a store has come back from bears an earlier number than
// what is known from the time before.
func outdated(version Version, server *chicoryrock.Server, knownVersion Version, known *chicoryrock.Server) bool {
	if server.StartedMs != known.StartedMs || version == 0 || knownVersion == 0 || server.Heartbeat > known.Heartbeat {
		return false
	}
	if version.era() <= knownVersion.era() {
		return version < knownVersion
	}
	return version.number() < knownVersion.number()
}

// maxGone bounds the servers of which it is known that they have left.
const maxGone = 1024

// drop removes a server that a change of a version has removed.
func (l *List) drop(version Version, id string) {
	e := l.servers[id]
	delete(l.servers, id)
	l.depart(id, departure{e.server, max(version, e.version)})
}

func (l *List) depart(id string, left departure) {
	if l.gone == nil || len(l.gone) >= maxGone {
		// Those forgotten here could only be given back by a process that was cut off
		// while hundreds of servers left.
		l.gone = make(map[string]departure)
	}
	l.gone[id] = left
}

// Remove handles the disappearance of a server's entry at a version, or zero if it isn't
// known: the server is removed, or marked as lapsed during the grace period. An entry that
// was written later is kept.
func (l *List) Remove(now time.Time, version Version, id string) Change {
	e := l.servers[id]
	switch {
	case e == nil || version != 0 && version < e.version:
		return Change{}
	case l.inGrace(now) && !e.server.Leaving:
		e.lapsed = true
		return Change{e.server, Lapsed}
	}
	l.drop(version, id)
	return Change{e.server, Removed}
}

// ReplaceFromStore replaces the list by a complete read of the store at a version. Missing
// servers are treated as by Remove.
func (l *List) ReplaceFromStore(now time.Time, version Version, servers []Written) []Change {
	return l.replace(servers, func(id string) Change { return l.Remove(now, version, id) })
}

// ReplaceFromPeer replaces the list by that of another process at a version. That one has
// decided which servers have lapsed and which are removed. Servers that have lapsed here keep
// their grace period.
func (l *List) ReplaceFromPeer(version Version, servers []Written) []Change {
	return l.replace(servers, func(id string) Change {
		e := l.servers[id]
		if version < e.version {
			return Change{}
		}
		l.drop(version, id)
		return Change{e.server, Removed}
	})
}

// replace puts all servers of a complete list, and passes the others to remove, except those
// that have lapsed.
func (l *List) replace(servers []Written, remove func(id string) Change) []Change {
	changes, present := l.putAll(servers)
	for _, id := range slices.Sorted(maps.Keys(l.servers)) {
		if present[id] || l.servers[id].lapsed {
			continue
		}
		if change := remove(id); change.Kind != Unchanged {
			changes = append(changes, change)
		}
	}
	return changes
}

// Written is a server with the version of the revision that wrote its entry; zero if it is
// not known.
type Written struct {
	Server  chicoryrock.Server
	Version Version
}

// putAll puts all servers of a complete list, and returns the changes and the set
// of their IDs.
func (l *List) putAll(servers []Written) (changes []Change, present map[string]bool) {
	present = make(map[string]bool, len(servers))
	for _, written := range servers {
		present[written.Server.ID] = true
		if change := l.Put(written.Version, written.Server); change.Kind != Unchanged {
			changes = append(changes, change)
		}
	}
	l.loaded = true
	return changes, present
}

// Expire removes the lapsed servers whose grace period is over.
func (l *List) Expire(now time.Time) []Change {
	var changes []Change
	for _, id := range slices.Sorted(maps.Keys(l.servers)) {
		if e := l.servers[id]; e.lapsed && !l.mayReturn(now, e) {
			// It is over for what the store had at that time.
			l.drop(e.version+1, id)
			changes = append(changes, Change{e.server, Removed})
		}
	}
	return changes
}

// mayReturn reports whether the grace period of a lapsed server is still running.
func (l *List) mayReturn(now time.Time, e *entry) bool {
	if !e.expiresAt.IsZero() {
		return now.Before(e.expiresAt)
	}
	return l.inGrace(now)
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

// markLapsed marks a server as lapsed because a peer has done so. The server gets
// its own grace period here, as the peer may die before it reports the removal.
func (l *List) markLapsed(now time.Time, id string) {
	if e := l.servers[id]; e != nil && !e.lapsed {
		e.lapsed = true
		e.expiresAt = now.Add(lapseGrace)
	}
}

// Servers returns all servers, sorted by ID, as their entries and their own answers have
// them.
func (l *List) Servers() []chicoryrock.Server {
	list := make([]chicoryrock.Server, 0, len(l.servers))
	for _, id := range slices.Sorted(maps.Keys(l.servers)) {
		l.dropStatedWeights(l.servers[id])
		list = append(list, l.View(l.servers[id].server))
	}
	return list
}

// Entries returns the entries of all servers, sorted by ID.
func (l *List) Entries() []chicoryrock.Server {
	list := make([]chicoryrock.Server, 0, len(l.servers))
	for _, id := range slices.Sorted(maps.Keys(l.servers)) {
		list = append(list, l.servers[id].server)
	}
	return list
}
