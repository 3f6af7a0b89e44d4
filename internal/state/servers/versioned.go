package servers

import (
	"maps"
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

// floor returns the version without local changes.
func (v Version) floor() Version { return v >> localChangeBits << localChangeBits }

// withLocalChange returns the version after one more local change. After the last one that
// can be counted, it stays as it is.
func (v Version) withLocalChange() Version {
	if v+1 == (v + 1).floor() {
		return v
	}
	return v + 1
}

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
	Outdated   []OutdatedEntry      `json:"outdated,omitempty"`
	Updates    []Update             `json:"updates,omitempty"`
	Gaps       []Gap                `json:"gaps,omitempty"` // in the time of Updates
}

// OutdatedEntry is an entry that the store has in the copy that it has come back from,
// although its server has left since.
type OutdatedEntry struct {
	Server  chicoryrock.Server `json:"server"`  // as last known, or only its ID
	Written Version            `json:"written"` // of the entry
	Left    Version            `json:"left"`    // when the server left; zero if not known
}

// VersionedList is a list of servers as the store had it at a version, and its history, from
// which processes send each other the updates that they have missed. Each exported method
// takes in one message, or returns what to send; between two of them, the list holds what
// the store had at the version that it states. Only two things are beyond the version: a
// complete read of the store, whose pages are no snapshot, may hold entries that were written
// later, and so may lists of processes of former builds.
type VersionedList struct {
	List

	version      Version
	lastChange   Version
	present      entries
	updates      []recorded
	historyStart Version // updates holds all changes after this version, except within gaps
	startSum     uint64  // digest of the entries at historyStart
	gaps         []Gap
	repair       repair
}

// recorded is an update with the digest of the entries after it.
type recorded struct {
	Update

	sum uint64
}

// Gap is a part of the history in which changes were not followed. The list was the
// same at both ends.
type Gap struct {
	From Version `json:"after"`
	To   Version `json:"through"`
}

// holds reports whether a version is between the ends of the gap.
func (g Gap) holds(version Version) bool { return g.From < version && version < g.To }

// maxGaps is how many gaps are kept before the history is reset.
const maxGaps = 64

// Version returns the version of the list.
func (l *VersionedList) Version() Version { return l.version }

// LastChange returns the version of the newest change.
func (l *VersionedList) LastChange() Version { return l.lastChange }

// ApplyWatch applies what has changed in the store after a revision through another one. It
// reports false, and applies nothing, if the list isn't as new as the first of them: then
// changes are missing in between, and the store must be read completely.
func (l *VersionedList) ApplyWatch(now time.Time, after, through uint64, updates []Update) ([]Change, bool) {
	if VersionOf(after) > l.version {
		return nil, false
	}
	var changes []Change
	for _, update := range updates {
		if update.Version <= l.version {
			continue
		}
		var change Change
		if update.Removed {
			change = l.applyRemoval(now, update)
		} else {
			change = l.applyPut(update)
		}
		if change.Kind != Unchanged {
			changes = append(changes, change)
		}
	}
	l.version = max(l.version, VersionOf(through))
	return changes, true
}

func (l *VersionedList) applyPut(update Update) Change {
	l.present.put(update.Server.ID, update.Version)
	change := l.Put(update.Version, update.Server)
	l.record(update)
	return change
}

// applyRemoval applies the disappearance of an entry, and decides whether its server is
// removed or has lapsed. It belongs to the history even if the entry isn't known: an older
// read that arrives later may hold it.
func (l *VersionedList) applyRemoval(now time.Time, update Update) Change {
	id := update.Server.ID
	l.present.remove(id, update.Version)
	change := l.Remove(now, update.Version, id)
	if change.Kind != Unchanged {
		update.Server = change.Server
	}
	update.Lapsed = change.Kind == Lapsed
	update.Removed = !update.Lapsed
	l.record(update)
	return change
}

// ApplyFullRead applies a complete read of the store at a revision. A read that is older
// than the list changes nothing, unless the history shows what has changed since. If a watch
// has silently skipped changes, the read differs from the list at the same revision, or the
// read was made because lists differ: the version then grows by a local change, so that
// other processes get the list.
func (l *VersionedList) ApplyFullRead(now time.Time, revision uint64, servers []Written) []Change {
	version := VersionOf(revision)
	if version < l.version.floor() && !l.covers(version) {
		return nil
	}
	before, sum := l.Entries(), l.present.sum
	listed := l.credible(version, servers)
	l.forgetDepartures(version, listed)
	changes := l.ReplaceFromStore(now, version, listed)
	l.present.replace(version, listed)
	lapsed := slices.ContainsFunc(changes, func(c Change) bool { return c.Kind == Lapsed })
	unchanged := !lapsed && sum == l.present.sum && slices.Equal(before, l.Entries())
	repairs := l.repair.reading
	l.repair.reading = false
	previous := l.version
	switch {
	case version > previous:
		l.version = version
	case unchanged && !repairs:
		return changes
	default:
		l.version = previous.withLocalChange()
	}
	if unchanged && !repairs && previous > 0 && version.era() == previous.era() && len(l.gaps) < maxGaps {
		l.gaps = append(l.gaps, Gap{previous, l.version})
	} else {
		l.resetHistory(l.version)
	}
	// Processes that received versions in between must request a delta.
	l.lastChange = max(l.lastChange, l.version)
	return changes
}

// ExpireLapsed removes the lapsed servers whose grace period is over. The store has no
// revision for that: the other processes have been told that the servers lapsed, and end
// their grace period by themselves.
func (l *VersionedList) ExpireLapsed(now time.Time) []Change {
	removed := l.Expire(now)
	for _, change := range removed {
		l.record(Update{Version: l.version, Server: change.Server, Removed: true})
	}
	return removed
}

// DeltaSince returns the delta for a process whose list has a version: the full list for
// version 0, and where the history doesn't reach back to it.
func (l *VersionedList) DeltaSince(since Version) Delta {
	delta := Delta{Version: l.version, LastChange: l.lastChange}
	if !l.covers(since) {
		l.fillFull(&delta)
		return delta
	}
	for _, update := range l.updates {
		if update.Version > since && update.Version <= l.version {
			delta.Updates = append(delta.Updates, update.Update)
		}
	}
	for _, gap := range l.gaps {
		if gap.From >= since {
			delta.Gaps = append(delta.Gaps, gap)
		}
	}
	return delta
}

func (l *VersionedList) fillFull(delta *Delta) {
	delta.Full = true
	delta.Servers, delta.Lapsed = l.Entries(), l.LapsedIDs()
	for i := range delta.Servers {
		id := delta.Servers[i].ID
		written := l.servers[id].version
		if version, found := l.present.versions[id]; found {
			written = version
		}
		delta.Written = append(delta.Written, written)
	}
	for _, id := range slices.Sorted(maps.Keys(l.present.versions)) {
		if l.servers[id] != nil {
			continue
		}
		entry := OutdatedEntry{Server: chicoryrock.Server{ID: id}, Written: l.present.versions[id]}
		if left, found := l.gone[id]; found {
			entry.Server, entry.Left = left.server, left.version
		}
		delta.Outdated = append(delta.Outdated, entry)
	}
}

// covers reports whether the updates hold all changes after a version. Version 0 is that of
// a list that has been told nothing.
func (l *VersionedList) covers(since Version) bool {
	return since > 0 && since >= l.historyStart && !slices.ContainsFunc(l.gaps, func(g Gap) bool { return g.holds(since) })
}

// ApplyDelta applies a delta that another process has returned for a version, and reports
// whether it was newer than the list. Where the list has come into a gap meanwhile, the delta
// doesn't lead on from it.
func (l *VersionedList) ApplyDelta(now time.Time, since Version, delta *Delta) ([]Change, bool) {
	inGap := slices.ContainsFunc(delta.Gaps, func(g Gap) bool { return g.holds(l.version) })
	if delta.Version <= l.version || !delta.Full && since > l.version || inGap {
		return nil, false
	}
	var changes []Change
	if delta.Full {
		changes = l.replaceByPeer(now, delta)
		l.resetHistory(delta.Version)
	}
	for _, update := range delta.Updates {
		if update.Version <= l.version {
			continue
		}
		if change := l.applyUpdate(now, update); change.Kind != Unchanged {
			changes = append(changes, change)
		}
	}
	previous := l.version
	l.version = delta.Version
	l.lastChange = max(l.lastChange, delta.LastChange)
	for _, gap := range delta.Gaps {
		if gap.From >= previous {
			l.gaps = append(l.gaps, gap)
		}
	}
	if len(l.gaps) > maxGaps {
		l.resetHistory(l.version)
	}
	return changes, true
}

// replaceByPeer replaces the list by the full list of another process, together with what has
// changed here after the version of that.
func (l *VersionedList) replaceByPeer(now time.Time, delta *Delta) []Change {
	servers := l.credible(delta.Version, delta.written())
	stored := slices.DeleteFunc(slices.Clone(servers), func(w Written) bool { return slices.Contains(delta.Lapsed, w.Server.ID) })
	l.forgetDepartures(delta.Version, stored)
	changes := l.ReplaceFromPeer(delta.Version, servers)
	for _, id := range delta.Lapsed {
		l.markLapsed(now, id)
	}
	for i := range delta.Outdated {
		entry := &delta.Outdated[i]
		id := entry.Server.ID
		if l.servers[id] != nil {
			continue
		}
		stored = append(stored, Written{entry.Server, entry.Written})
		if entry.Left > 0 {
			l.depart(id, departure{entry.Server, entry.Left})
		}
	}
	l.present.replace(delta.Version, l.credible(delta.Version, stored))
	return changes
}

// credible returns the servers of a list of a version, without those whose entries are known
// to have gone later, and those that were written after that version and not after this
// list's: this list knows what has become of them. An entry that a later list still holds has
// not gone: what told of that was wrong.
func (l *VersionedList) credible(version Version, servers []Written) []Written {
	known := l.newest()
	return slices.DeleteFunc(slices.Clone(servers), func(w Written) bool {
		own, found := known[w.Server.ID]
		gone := found && (own.Removed || own.Lapsed) && max(version, w.Version) < own.Version
		return gone || version < w.Version && w.Version <= l.version
	})
}

// forgetDepartures forgets that servers have left whose entries the store has had all along, by
// a complete list of a later version: a list that lacked them was wrong. In a copy that the
// store has come back from, an entry may be older than the departure.
func (l *VersionedList) forgetDepartures(version Version, stored []Written) {
	for i := range stored {
		left, found := l.gone[stored[i].Server.ID]
		if found && left.version <= version && left.version.era() == stored[i].Version.era() {
			delete(l.gone, stored[i].Server.ID)
		}
	}
}

// newest returns the newest update of each server in the history.
func (l *VersionedList) newest() map[string]*Update {
	newest := make(map[string]*Update)
	for i := range l.updates {
		newest[l.updates[i].Server.ID] = &l.updates[i].Update
	}
	return newest
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
// lapsed and removed. An entry that was written later is kept.
func (l *VersionedList) applyUpdate(now time.Time, update Update) Change {
	if !update.Removed && !update.Lapsed {
		return l.applyPut(update)
	}
	id := update.Server.ID
	l.present.remove(id, update.Version)
	l.record(update)
	e := l.servers[id]
	switch {
	case e == nil || update.Version < e.version:
		return Change{}
	case update.Lapsed:
		l.markLapsed(now, id)
		return Change{}
	}
	l.drop(update.Version, id)
	return Change{e.server, Removed}
}

func (l *VersionedList) record(update Update) {
	l.lastChange = max(l.lastChange, update.Version)
	l.updates = append(l.updates, recorded{update, l.present.sum})
	if extra := len(l.updates) - maxUpdates; extra > 0 {
		last := &l.updates[extra-1]
		l.historyStart, l.startSum = max(l.historyStart, last.Version), last.sum
		l.updates = slices.Delete(l.updates, 0, extra)
	}
}

// resetHistory drops the history before a version.
func (l *VersionedList) resetHistory(version Version) {
	l.updates, l.gaps = l.updates[:0], nil
	l.historyStart, l.startSum = max(l.historyStart, version), l.present.sum
}
