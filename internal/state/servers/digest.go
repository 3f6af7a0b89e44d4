package servers

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// repairPause is the least time between two repairs of a list. It doubles while they
	// don't help, up to longestRepairPause: a full list goes to all processes each time.
	repairPause        = time.Second
	longestRepairPause = 8 * time.Second
	// peerRepairWait is how long a list that doesn't follow the store by itself may differ
	// before it is taken from peers: lists that do are repaired first, and reach it as deltas.
	peerRepairWait = time.Second
)

// Summary is what a process states of its list in its reports. Any other list that is as late
// as the newest change holds the same entries, or one of the two has missed something.
type Summary struct {
	Process    string
	LastChange Version // of the newest change
	Quiet      uint32  // revisions of the store after the newest change, which the list has too
	Digest     uint32  // of the entries that the store had in all that time
}

// asOf returns the version of the list.
func (s *Summary) asOf() Version {
	if s.Quiet == 0 {
		return s.LastChange
	}
	return s.LastChange.floor() + VersionOf(uint64(s.Quiet))
}

// Repair is what a list needs that differs from others.
type Repair int

// Kinds of repairs.
const (
	NoRepair  Repair = iota
	ReadStore        // read the store completely
	AskPeers         // ask some of the processes that differ what has changed after RepairSince
)

// repair is the state of repairs.
type repair struct {
	reading      bool      // the next complete read is made to repair lists
	differsSince time.Time // zero if the list doesn't differ
	next         time.Time // the earliest time of the next one
	pause        time.Duration
	asked        int  // how often others were asked
	outvoted     bool // then, most processes had another list
}

// entries are those that the store had at the version of a list, by ID, with the versions
// that wrote them. Unlike the list, they hold nothing that has lapsed, and what a store's
// copy holds of servers that have left.
type entries struct {
	versions  map[string]Version
	sum       uint64  // sum modulo 2 of the hashes of all entries
	unknown   int     // entries whose version is not known
	exactFrom Version // some entries are as late as this
}

// hashOf identifies an entry: a revision of the store writes a key once.
func hashOf(id string, version Version) uint64 {
	data := make([]byte, 0, 64)
	return xxhash.Sum64(append(binary.BigEndian.AppendUint64(data, uint64(version)), id...))
}

// put adds an entry, unless a later one of its ID is known.
func (s *entries) put(id string, version Version) {
	known, found := s.versions[id]
	if found && version != 0 && version < known {
		return
	}
	if found {
		s.delete(id)
	}
	if s.versions == nil {
		s.versions = make(map[string]Version)
	}
	s.versions[id] = version
	s.sum ^= hashOf(id, version)
	if version == 0 {
		s.unknown++
	}
}

// remove removes an entry that has gone at a version, unless a later one is known.
func (s *entries) remove(id string, version Version) {
	if known, found := s.versions[id]; found && version >= known {
		s.delete(id)
	}
}

func (s *entries) delete(id string) {
	version := s.versions[id]
	delete(s.versions, id)
	s.sum ^= hashOf(id, version)
	if version == 0 {
		s.unknown--
	}
}

// replace replaces the entries by those of a version, and keeps later ones.
func (s *entries) replace(version Version, list []Written) {
	listed := make(map[string]bool, len(list))
	for i := range list {
		listed[list[i].Server.ID] = true
		s.put(list[i].Server.ID, list[i].Version)
		if list[i].Version > version {
			s.exactFrom = max(s.exactFrom, list[i].Version)
		}
	}
	for id := range s.versions {
		if !listed[id] {
			s.remove(id, version)
		}
	}
}

// Summary returns what to state of the list, and false while that is not known exactly.
func (l *VersionedList) Summary() (Summary, bool) {
	quiet := uint64(l.version.floor()-l.lastChange.floor()) >> localChangeBits
	exact := l.exact(l.version) && quiet <= math.MaxUint32
	return Summary{LastChange: l.lastChange, Quiet: uint32(quiet), Digest: fold(l.present.sum)}, exact
}

// exact reports whether the entries at a version are known exactly.
func (l *VersionedList) exact(version Version) bool {
	return version <= l.version && version >= l.present.exactFrom && l.present.unknown == 0
}

// digestAt returns the digest of the entries that the store had at a version, if the list
// knows them.
func (l *VersionedList) digestAt(version Version) (uint32, bool) {
	if !l.exact(version) {
		return 0, false
	}
	if version >= l.lastChange {
		return fold(l.present.sum), true
	}
	if !l.covers(version) {
		return 0, false
	}
	after, _ := slices.BinarySearchFunc(l.updates, version, func(u recorded, version Version) int {
		if u.Version <= version {
			return -1
		}
		return cmp.Compare(u.Version, version)
	})
	if after == 0 {
		return fold(l.startSum), true
	}
	return fold(l.updates[after-1].sum), true
}

func fold(sum uint64) uint32 { return uint32(sum) ^ uint32(sum>>32) }

// Compare compares the list with what peers state of theirs, and decides how to repair it if
// they differ. Watches says that this process watches the store and is answered. The store
// decides: each process that watches it reads it again, and the others get that as deltas. A
// process that has waited in vain, as the store answers no one, asks those that differ.
func (l *VersionedList) Compare(now time.Time, peers []Summary, watches bool) (Repair, []string) {
	var differ []Summary
	agree := 0
	for _, peer := range peers {
		at := min(l.version, peer.asOf())
		switch own, known := l.digestAt(at); {
		case !known || at < peer.LastChange:
		case own == peer.Digest:
			agree++
		default:
			differ = append(differ, peer)
		}
	}
	r := &l.repair
	if len(differ) == 0 {
		r.differsSince = time.Time{}
		if agree > 0 {
			r.pause = 0
		}
		return NoRepair, nil
	}
	if r.differsSince.IsZero() {
		r.differsSince = now
	}
	if now.Before(r.next) || !watches && now.Sub(r.differsSince) < peerRepairWait {
		return NoRepair, nil
	}
	r.pause = min(max(2*r.pause, repairPause), longestRepairPause)
	r.next = now.Add(r.pause)
	if watches {
		r.reading = true
		return ReadStore, processes(differ)
	}
	r.outvoted = outvoted(fold(l.present.sum), agree+1, differ)
	// Another one comes first each time, as the first may know no more.
	r.asked++
	return AskPeers, processes(slices.Concat(differ[r.asked%len(differ):], differ[:r.asked%len(differ)]))
}

// outvoted reports whether some other list counts more than the own one, which so many
// processes state. Of two lists that are stated as often, the larger digest counts more.
func outvoted(own uint32, votes int, differ []Summary) bool {
	groups := make(map[uint32]int)
	for _, peer := range differ {
		groups[peer.Digest]++
	}
	for digest, stated := range groups {
		if stated > votes || stated == votes && digest > own {
			return true
		}
	}
	return false
}

func processes(peers []Summary) []string {
	names := make([]string, len(peers))
	for i := range peers {
		names[i] = peers[i].Process
	}
	return names
}

// RepairSince returns the version after which the list may have missed something.
func (l *VersionedList) RepairSince() Version { return max(l.historyStart, 1) }

// ApplyRepair applies what a process that differs has answered for RepairSince. Of two
// histories, the newest update of each server holds, whoever has missed it. Where the other
// one's history doesn't reach back so far, its full list is taken if most processes have it;
// what is known to have gone later stays away.
func (l *VersionedList) ApplyRepair(now time.Time, since Version, delta *Delta) []Change {
	var changes []Change
	sum := l.present.sum
	if delta.Full {
		if delta.Version <= l.version && l.repair.outvoted && l.covers(delta.Version) {
			changes = l.replaceByPeer(now, delta)
		}
		if sum != l.present.sum {
			l.repair.pause = 0
			l.resetHistory(l.version)
		}
	} else if since >= l.historyStart {
		changes = l.merge(now, delta.Updates)
	}
	more, _ := l.ApplyDelta(now, since, delta)
	return append(changes, more...)
}

// merge adds the updates that this history has missed.
func (l *VersionedList) merge(now time.Time, updates []Update) []Change {
	var changes []Change
	sum, known := l.present.sum, l.newest()
	for _, update := range updates {
		if own, found := known[update.Server.ID]; update.Version > l.version || found && own.Version >= update.Version {
			continue
		}
		if change := l.applyUpdate(now, update); change.Kind != Unchanged {
			changes = append(changes, change)
		}
	}
	if sum != l.present.sum {
		l.repair.pause = 0
		l.forgetDigests()
	}
	return changes
}

// forgetDigests drops the digests of the time before the present, in which updates were missed
// that have now been added to the history.
func (l *VersionedList) forgetDigests() {
	slices.SortStableFunc(l.updates, func(a, b recorded) int { return cmp.Compare(a.Version, b.Version) })
	for i := range l.updates {
		l.updates[i].sum = l.present.sum
	}
	l.present.exactFrom = max(l.present.exactFrom, l.version)
}
