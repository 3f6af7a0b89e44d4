package servers

import (
	"slices"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// maxUpdates is how many updates are kept for processes that have missed them. A
// process that has missed more gets the full list.
const maxUpdates = 1024

// localChangeBits is the width of the count of local changes in a Version.
const localChangeBits = 8

// Version is a point in the history of a list: a revision of the store in the upper
// bits, and in the lower bits the number of changes that a process has made by itself
// after that revision, such as the removal of a lapsed server. A later revision is a
// later Version than any such change.
type Version uint64

// VersionOf returns the version of a revision of the store without local changes.
func VersionOf(revision uint64) Version { return Version(revision << localChangeBits) }

// era returns how often the store had come back from a copy at the version.
func (v Version) era() uint64 { return chicoryrock.RevisionEra(uint64(v) >> localChangeBits) }

// number returns the store's own number of the version's revision.
func (v Version) number() uint64 { return chicoryrock.RevisionNumber(uint64(v) >> localChangeBits) }

// Update is one change of a list.
type Update struct {
	Version Version            `json:"at"`
	Server  chicoryrock.Server `json:"server"`
	Removed bool               `json:"gone,omitempty"`
	Lapsed  bool               `json:"lapsed,omitempty"` // the server stays on the list and may return
}

// Delta brings the list of another process up to date: it holds the updates which
// that process has missed, or the full list.
type Delta struct {
	Version    Version              `json:"asof"`    // of the sender's list
	LastChange Version              `json:"changed"` // version of the newest change
	Full       bool                 `json:"whole,omitempty"`
	Servers    []chicoryrock.Server `json:"servers,omitempty"` // the full list
	Written    []Version            `json:"written,omitempty"` // of Servers, in the same order; processes of former builds leave it out
	Lapsed     []string             `json:"lapsed,omitempty"`  // IDs of lapsed servers among Servers
	Updates    []Update             `json:"updates,omitempty"`
}

// VersionedList is a list of servers with a version and a history, from which
// processes send each other the updates that they have missed.
type VersionedList struct {
	List

	version      Version
	lastChange   Version
	updates      []Update
	historyStart Version // updates holds all changes after this version, except within gaps
	gaps         []gap
}

// gap is a part of the history in which changes were not followed. The list was the
// same at both ends.
type gap struct{ from, to Version }

// maxGaps is how many gaps are kept before the history is reset.
const maxGaps = 64

// Version returns the version of the list.
func (l *VersionedList) Version() Version { return l.version }

// LastChange returns the version of the newest change.
func (l *VersionedList) LastChange() Version { return l.lastChange }

// AdvanceTo records that all changes up to a revision have been applied. It must not
// be called earlier: a process that gets a delta in between would take its list for
// newer than it is.
func (l *VersionedList) AdvanceTo(revision uint64) { l.version = max(l.version, VersionOf(revision)) }

// ApplyPut applies a server's entry that the store has at a revision.
func (l *VersionedList) ApplyPut(revision uint64, server chicoryrock.Server) Change {
	change := l.Put(VersionOf(revision), server)
	l.record(Update{Version: VersionOf(revision), Server: server})
	return change
}

// ApplyRemoval applies the disappearance of a server's entry at a revision.
func (l *VersionedList) ApplyRemoval(now time.Time, revision uint64, id string) Change {
	change := l.Remove(now, VersionOf(revision), id)
	if change.Kind == Removed || change.Kind == Lapsed {
		l.record(Update{Version: VersionOf(revision), Server: change.Server, Removed: change.Kind == Removed, Lapsed: change.Kind == Lapsed})
	}
	return change
}

// ApplyFullRead applies a complete read of the store at a revision. A read that is
// older than the list sets the list back to that revision, so that newer changes are
// requested from peers again. If a watch has silently skipped changes, the read
// differs from the list at the same revision; the version then grows by a local
// change.
func (l *VersionedList) ApplyFullRead(now time.Time, revision uint64, servers []Written) []Change {
	before := l.Entries()
	changes := l.ReplaceFromStore(now, VersionOf(revision), servers)
	lapsed := slices.ContainsFunc(changes, func(c Change) bool { return c.Kind == Lapsed })
	unchanged := !lapsed && slices.Equal(before, l.Entries())
	previous, version := l.version, VersionOf(revision)
	if version == previous && unchanged {
		return changes
	}
	if version == previous {
		version++
	}
	l.version = version
	if unchanged && previous > 0 && version > previous && len(l.gaps) < maxGaps {
		l.gaps = append(l.gaps, gap{previous, version})
	} else {
		l.resetHistory(version)
	}
	// Processes that received versions in between must request a delta.
	l.lastChange = max(l.lastChange, version)
	return changes
}

// ExpireLapsed removes the lapsed servers whose grace period is over. As the store
// has no revision for that, it counts as a local change.
func (l *VersionedList) ExpireLapsed(now time.Time) []Change {
	removed := l.Expire(now)
	if len(removed) == 0 {
		return nil
	}
	l.version++
	for _, change := range removed {
		l.record(Update{Version: l.version, Server: change.Server, Removed: true})
	}
	return removed
}

// DeltaSince returns the delta for a process whose list has a version.
func (l *VersionedList) DeltaSince(since Version) Delta {
	delta := Delta{Version: l.version, LastChange: l.lastChange}
	if !l.covers(since) {
		delta.Full = true
		delta.Servers, delta.Lapsed = l.Entries(), l.LapsedIDs()
		for i := range delta.Servers {
			delta.Written = append(delta.Written, l.servers[delta.Servers[i].ID].version)
		}
		return delta
	}
	for _, update := range l.updates {
		if update.Version > since && update.Version <= l.version {
			delta.Updates = append(delta.Updates, update)
		}
	}
	return delta
}

// covers reports whether the updates hold all changes after a version.
func (l *VersionedList) covers(since Version) bool {
	return since >= l.historyStart && !slices.ContainsFunc(l.gaps, func(g gap) bool { return g.from < since && since < g.to })
}

// ApplyDelta applies a delta of another process, and reports whether it was newer
// than the list.
func (l *VersionedList) ApplyDelta(now time.Time, delta *Delta) ([]Change, bool) {
	if delta.Version <= l.version {
		return nil, false
	}
	var changes []Change
	if delta.Full {
		changes = l.ReplaceFromPeer(delta.Version, delta.written())
		for _, id := range delta.Lapsed {
			l.markLapsed(now, id)
		}
		l.resetHistory(delta.Version)
	}
	for _, update := range delta.Updates {
		l.record(update)
		if change := l.applyUpdate(now, update); change.Kind != Unchanged {
			changes = append(changes, change)
		}
	}
	l.version = delta.Version
	l.lastChange = max(l.lastChange, delta.LastChange)
	return changes, true
}

// written returns the servers of a full list with the versions of their entries.
func (d *Delta) written() []Written {
	list := make([]Written, len(d.Servers))
	for i, server := range d.Servers {
		list[i].Server = server
		if i < len(d.Written) {
			list[i].Version = d.Written[i]
		}
	}
	return list
}

// applyUpdate applies an update from a peer, which has already decided between
// lapsed and removed.
func (l *VersionedList) applyUpdate(now time.Time, update Update) Change {
	if update.Lapsed {
		l.markLapsed(now, update.Server.ID)
		return Change{}
	}
	if !update.Removed {
		return l.Put(update.Version, update.Server)
	}
	e := l.servers[update.Server.ID]
	if e == nil {
		return Change{}
	}
	l.drop(update.Version, update.Server.ID)
	return Change{e.server, Removed}
}

func (l *VersionedList) record(update Update) {
	l.lastChange = max(l.lastChange, update.Version)
	l.updates = append(l.updates, update)
	if extra := len(l.updates) - maxUpdates; extra > 0 {
		l.historyStart = max(l.historyStart, l.updates[extra-1].Version)
		l.updates = slices.Delete(l.updates, 0, extra)
	}
}

// resetHistory drops the history before a version.
func (l *VersionedList) resetHistory(version Version) {
	l.updates, l.gaps = l.updates[:0], nil
	l.historyStart = max(l.historyStart, version)
}
