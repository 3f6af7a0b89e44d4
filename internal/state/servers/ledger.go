package servers

import (
	"slices"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// maxHistory is how many updates are kept for processes that have missed them.
// Whoever has missed more gets the whole list.
const maxHistory = 1024

// bumpBits is the width of the count of changes between two revisions.
const bumpBits = 8

// Version is a point in the history of a list: a revision of the store, and how many
// changes this process itself made after it, as it does when a lapsed entry does
// not come back. A later revision is after any such change.
type Version uint64

// VersionOf returns the point at which the list stands for a revision.
func VersionOf(revision uint64) Version { return Version(revision << bumpBits) }

// Update is one change of a list.
type Update struct {
	Version Version            `json:"at"`
	Server  chicoryrock.Server `json:"server"`
	Removed bool               `json:"gone,omitempty"`
	Lapsed  bool               `json:"lapsed,omitempty"` // it is kept, and may come back
}

// Delta is what one process tells another of the servers: the updates that it has
// missed, or the whole list.
type Delta struct {
	Version    Version              `json:"asof"`    // point that the list stands for
	LastChange Version              `json:"changed"` // of the newest change in it
	Full       bool                 `json:"whole,omitempty"`
	Servers    []chicoryrock.Server `json:"servers,omitempty"`
	Lapsed     []string             `json:"lapsed,omitempty"` // of Servers, the IDs
	Updates    []Update             `json:"updates,omitempty"`
}

// VersionedList is a list of servers with the points in the store's history that it
// stands for, so that processes can tell each other what they have missed.
type VersionedList struct {
	List

	asOf    Version
	changed Version
	updates []Update
	since   Version // nothing after it is missing among the updates, but for the gaps
	gaps    []gap
}

// gap is a part of the history that was not followed. At both of its ends the
// list was the same.
type gap struct{ from, to Version }

// maxGaps is how many gaps are kept before the history begins anew.
const maxGaps = 64

// Version returns the point that the list stands for.
func (l *VersionedList) Version() Version { return l.asOf }

// LastChange returns the point of the newest change.
func (l *VersionedList) LastChange() Version { return l.changed }

// AdvanceTo notes that all changes up to a revision have been taken in. Nothing
// before that may say so: whoever asks in between would take the list for newer
// than it is.
func (l *VersionedList) AdvanceTo(revision uint64) { l.asOf = max(l.asOf, VersionOf(revision)) }

// ApplyPut takes in a server's entry as the store has it at a revision.
func (l *VersionedList) ApplyPut(revision uint64, server chicoryrock.Server) Change {
	l.note(Update{Version: VersionOf(revision), Server: server})
	return l.Put(server)
}

// ApplyRemoval takes in that a server's entry has vanished at a revision.
func (l *VersionedList) ApplyRemoval(now time.Time, revision uint64, id string) Change {
	notice := l.Remove(now, id)
	if notice.Kind == Removed || notice.Kind == Lapsed {
		l.note(Update{Version: VersionOf(revision), Server: notice.Server, Removed: notice.Kind == Removed, Lapsed: notice.Kind == Lapsed})
	}
	return notice
}

// ApplyFullRead takes in all entries at once, as the store has them at a revision. One that
// is older than the list takes it back to there, so that the newer changes are
// asked of others again. A watch may have passed over changes in silence: then the
// list differs at a revision that it already stood for.
func (l *VersionedList) ApplyFullRead(now time.Time, revision uint64, servers []chicoryrock.Server) []Change {
	before := l.Servers()
	notices := l.ReplaceFromStore(now, servers)
	lapsed := slices.ContainsFunc(notices, func(one Change) bool { return one.Kind == Lapsed })
	same := !lapsed && slices.Equal(before, l.Servers())
	was, at := l.asOf, VersionOf(revision)
	if at == was && same {
		return notices
	}
	if at == was {
		at++
	}
	l.asOf = at
	if same && was > 0 && at > was && len(l.gaps) < maxGaps {
		l.gaps = append(l.gaps, gap{was, at})
	} else {
		l.restart(at)
	}
	// Those who were told something of the time in between have to ask.
	l.changed = max(l.changed, at)
	return notices
}

// ExpireLapsed drops the lapsed servers whose time to come back has passed. No revision
// of the store tells of them.
func (l *VersionedList) ExpireLapsed(now time.Time) []Change {
	gone := l.Expire(now)
	if len(gone) == 0 {
		return nil
	}
	l.asOf++
	for _, notice := range gone {
		l.note(Update{Version: l.asOf, Server: notice.Server, Removed: true})
	}
	return gone
}

// DeltaSince returns what a process has missed whose list stands for a point.
func (l *VersionedList) DeltaSince(point Version) Delta {
	news := Delta{Version: l.asOf, LastChange: l.changed}
	if !l.covers(point) {
		news.Full = true
		news.Servers, news.Lapsed = l.Servers(), l.LapsedIDs()
		return news
	}
	for _, update := range l.updates {
		if update.Version > point && update.Version <= l.asOf {
			news.Updates = append(news.Updates, update)
		}
	}
	return news
}

// covers says whether the updates tell all that came after a point.
func (l *VersionedList) covers(point Version) bool {
	return point >= l.since && !slices.ContainsFunc(l.gaps, func(g gap) bool { return g.from < point && point < g.to })
}

// ApplyDelta takes in what another process told, and says whether that was newer than
// the list.
func (l *VersionedList) ApplyDelta(now time.Time, news *Delta) ([]Change, bool) {
	if news.Version <= l.asOf {
		return nil, false
	}
	var notices []Change
	if news.Full {
		notices = l.ReplaceFromPeer(news.Servers)
		for _, id := range news.Lapsed {
			l.lapse(now, id)
		}
		l.restart(news.Version)
	}
	for _, update := range news.Updates {
		l.note(update)
		if notice := l.follow(now, update); notice.Kind != Unchanged {
			notices = append(notices, notice)
		}
	}
	l.asOf = news.Version
	l.changed = max(l.changed, news.LastChange)
	return notices, true
}

// follow takes over what another process has judged of a server.
func (l *VersionedList) follow(now time.Time, update Update) Change {
	if update.Lapsed {
		l.lapse(now, update.Server.ID)
		return Change{}
	}
	if !update.Removed {
		return l.Put(update.Server)
	}
	one := l.servers[update.Server.ID]
	if one == nil {
		return Change{}
	}
	delete(l.servers, update.Server.ID)
	return Change{one.server, Removed}
}

func (l *VersionedList) note(update Update) {
	l.changed = max(l.changed, update.Version)
	l.updates = append(l.updates, update)
	if extra := len(l.updates) - maxHistory; extra > 0 {
		l.since = max(l.since, l.updates[extra-1].Version)
		l.updates = slices.Delete(l.updates, 0, extra)
	}
}

// restart begins the history anew at a point.
func (l *VersionedList) restart(at Version) {
	l.updates, l.gaps = l.updates[:0], nil
	l.since = max(l.since, at)
}
