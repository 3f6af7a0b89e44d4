// Package fleet is what the processes that serve callers tell each other several
// times a second: who lives, which configuration they have in force, how much they
// have open at each backend server, and what time they think it is.
//
// The package does no I/O and takes the present time as an argument. It is not
// safe for concurrent use.
package fleet

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

const (
	// form is the version of a report's form, its first byte.
	form = 2
	// maxName is the longest name of a process, bytes.
	maxName = 255
	// loadSize is the size of one load in a report, bytes.
	loadSize = 4 + 2 + 2 + 4
	// readSize is the size of a session's reading in a report, bytes, and maxReads
	// how many a report holds.
	readSize = 4 + 4
	maxReads = 255
	// aliveTime is how long a process counts as alive after its last report.
	aliveTime = 3 * time.Second
	// freshTime is how long what a process said of its load counts: requests last
	// about as long.
	freshTime = 1500 * time.Millisecond
)

// Report is what one process tells the others.
type Report struct {
	Process         string
	Sent            time.Time     // by the sender's clock; not told
	ConfigVersion   uint64        // of the configuration in force
	ServersVersion  uint64        // point of the newest change of a backend server, as servers.Mark
	LastStoreAnswer time.Time     // when the store last answered a watch; zero for never
	Clock           time.Time     // what it holds to be true time
	StoreSilence    time.Duration // of the store towards the sender, in reports that came in
	Draining        bool
	OmitsLoads      bool      // it tells no loads, and those told before still hold
	Scope           LoadScope // whose loads it tells
	Loads           []chicoryrock.OpenLoad
	CachedPrefixes  []chicoryrock.CachedPrefix // since the report before
}

// The flags of a report.
const (
	flagDraining = 1 << iota
	flagBrief
	flagGroup
	flagRest
)

// Append writes a report behind what data holds.
func (r *Report) Append(data []byte) []byte {
	name := r.Process[:min(len(r.Process), maxName)]
	data = append(data, form, byte(len(name)))
	data = append(data, name...)
	data = binary.BigEndian.AppendUint64(data, r.ConfigVersion)
	data = binary.BigEndian.AppendUint64(data, r.ServersVersion)
	data = binary.BigEndian.AppendUint64(data, uint64(r.Clock.UnixNano()))
	data = binary.BigEndian.AppendUint16(data, silence(r.Sent, r.LastStoreAnswer))
	flags := byte(0)
	if r.Draining {
		flags |= flagDraining
	}
	if r.OmitsLoads {
		return append(data, flags|flagBrief)
	}
	switch r.Scope {
	case GroupLoads:
		flags |= flagGroup
	case OthersLoads:
		flags |= flagRest
	}
	reads := r.CachedPrefixes[:min(len(r.CachedPrefixes), maxReads)]
	data = append(data, flags, byte(len(reads)))
	for _, read := range reads {
		data = binary.BigEndian.AppendUint32(data, read.SessionHash)
		data = binary.BigEndian.AppendUint32(data, read.ServerHash)
	}
	for _, load := range r.Loads {
		data = binary.BigEndian.AppendUint32(data, load.KeyHash)
		data = binary.BigEndian.AppendUint16(data, uint16(min(load.Running, 1<<16-1)))
		data = binary.BigEndian.AppendUint16(data, uint16(min(load.GapSensitive, 1<<16-1)))
		data = binary.BigEndian.AppendUint32(data, uint32(load.UnreadTokens))
	}
	return data
}

// longSilence stands for a silence that is longer than a report can tell, or for
// a process that has not heard the store.
const longSilence = 1<<16 - 1

// silence is how long the store has not answered, milliseconds.
func silence(now, heard time.Time) uint16 {
	if heard.IsZero() {
		return longSilence
	}
	return uint16(min(max(now.Sub(heard).Milliseconds(), 0), longSilence))
}

// Parse reads a report. Error: chicoryrock.ErrInvalid.
func Parse(data []byte) (Report, error) {
	const fixed = 3*8 + 2 + 1
	if len(data) < 2 || data[0] != form || len(data) < 2+int(data[1])+fixed {
		return Report{}, errors.Wrapf(chicoryrock.ErrInvalid, "report of %d bytes", len(data))
	}
	name, rest := data[2:2+int(data[1])], data[2+int(data[1]):]
	report := Report{
		Process:        string(name),
		ConfigVersion:  binary.BigEndian.Uint64(rest),
		ServersVersion: binary.BigEndian.Uint64(rest[8:]),
		Clock:          time.Unix(0, int64(binary.BigEndian.Uint64(rest[16:]))),
		StoreSilence:   time.Duration(binary.BigEndian.Uint16(rest[24:])) * time.Millisecond,
		Draining:       rest[26]&flagDraining != 0,
		OmitsLoads:     rest[26]&flagBrief != 0,
	}
	switch {
	case rest[26]&flagGroup != 0:
		report.Scope = GroupLoads
	case rest[26]&flagRest != 0:
		report.Scope = OthersLoads
	}
	rest, err := report.parseReads(rest[fixed:])
	if err != nil || report.OmitsLoads {
		return report, err
	}
	for ; len(rest) >= loadSize; rest = rest[loadSize:] {
		report.Loads = append(report.Loads, chicoryrock.OpenLoad{
			KeyHash:      binary.BigEndian.Uint32(rest),
			Running:      int(binary.BigEndian.Uint16(rest[4:])),
			GapSensitive: int(binary.BigEndian.Uint16(rest[6:])),
			UnreadTokens: int(binary.BigEndian.Uint32(rest[8:])),
		})
	}
	if len(rest) > 0 {
		return Report{}, errors.Wrapf(chicoryrock.ErrInvalid, "%d bytes behind the report", len(rest))
	}
	return report, nil
}

// parseReads reads what stands between the fixed part of a report and its loads,
// which a brief one has none of.
func (r *Report) parseReads(rest []byte) ([]byte, error) {
	if r.OmitsLoads && len(rest) == 0 {
		return nil, nil
	}
	if r.OmitsLoads || len(rest) == 0 || len(rest) < 1+readSize*int(rest[0]) {
		return nil, errors.Wrapf(chicoryrock.ErrInvalid, "%d bytes behind the fixed part", len(rest))
	}
	count := int(rest[0])
	for rest = rest[1:]; count > 0; count-- {
		r.CachedPrefixes = append(r.CachedPrefixes, chicoryrock.CachedPrefix{SessionHash: binary.BigEndian.Uint32(rest), ServerHash: binary.BigEndian.Uint32(rest[4:])})
		rest = rest[readSize:]
	}
	return rest, nil
}

// Fleet is what this process has heard of the others.
type Fleet struct {
	Self string // this process's name

	peers  map[string]*peer
	rest   map[uint32]chicoryrock.OpenLoad // the sum of all others, as the head tells
	summed time.Time                       // when it came
}

type peer struct {
	report  Report
	heard   time.Time
	loaded  time.Time              // when it last told its loads
	group   []chicoryrock.OpenLoad // the sum of its group, if it is a head
	grouped time.Time              // when that came
	ahead   time.Duration          // its clock before this process's
}

// Receive takes in a report. Agreed is this process's own idea of true time.
func (f *Fleet) Receive(now, agreed time.Time, report *Report) {
	if report.Process == f.Self {
		return
	}
	if f.peers == nil {
		f.peers = make(map[string]*peer)
	}
	fresh := &peer{report: *report, heard: now, loaded: now, ahead: report.Clock.Sub(agreed)}
	if known := f.peers[report.Process]; known != nil {
		fresh.group, fresh.grouped = known.group, known.grouped
	}
	if report.OmitsLoads || report.Scope != OwnLoads {
		fresh.report.Loads, fresh.loaded = nil, time.Time{}
		if known := f.peers[report.Process]; known != nil {
			fresh.report.Loads, fresh.loaded = known.report.Loads, known.loaded
		}
	}
	switch report.Scope {
	case GroupLoads:
		fresh.group, fresh.grouped = report.Loads, now
	case OthersLoads:
		f.rest, f.summed = make(map[uint32]chicoryrock.OpenLoad, len(report.Loads)), now
		add(f.rest, report.Loads)
	}
	f.peers[report.Process] = fresh
	for name, one := range f.peers {
		if now.Sub(one.heard) > 10*aliveTime {
			delete(f.peers, name)
		}
	}
}

// Alive returns the names of the processes that live, this one included, in order.
func (f *Fleet) Alive(now time.Time) []string {
	names := []string{f.Self}
	for name, one := range f.peers {
		if now.Sub(one.heard) <= aliveTime {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// WithStore returns the processes that have heard the store within a limit, in order.
func (f *Fleet) WithStore(now time.Time, limit time.Duration) []string {
	var names []string
	for name, one := range f.peers {
		if now.Sub(one.heard)+one.report.StoreSilence <= limit {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// StoreSilence returns how long ago the store answered any of the others last, as far as
// is known. The second result is false when none has heard it.
func (f *Fleet) StoreSilence(now time.Time) (time.Duration, bool) {
	least, found := time.Duration(0), false
	for _, one := range f.peers {
		if silence := now.Sub(one.heard) + one.report.StoreSilence; one.report.StoreSilence < longSilence*time.Millisecond && (!found || silence < least) {
			least, found = silence, true
		}
	}
	return least, found
}

// StoreWatched says whether another process has heard the store within a limit, so that
// this one may leave the watching to it.
func (f *Fleet) StoreWatched(now time.Time, limit time.Duration) bool {
	for _, one := range f.peers {
		if now.Sub(one.heard)+one.report.StoreSilence <= limit && !one.report.Draining {
			return true
		}
	}
	return false
}

// WithNewerConfig returns the processes that live and have a configuration above a version,
// those heard last first: one that has stopped a moment ago still counts as alive.
func (f *Fleet) WithNewerConfig(now time.Time, version uint64) []string {
	return f.above(now, version, func(r *Report) uint64 { return r.ConfigVersion })
}

// WithNewerServers is Newer for the list of backend servers.
func (f *Fleet) WithNewerServers(now time.Time, point uint64) []string {
	return f.above(now, point, func(r *Report) uint64 { return r.ServersVersion })
}

func (f *Fleet) above(now time.Time, least uint64, of func(*Report) uint64) []string {
	var names []string
	for name, one := range f.peers {
		if now.Sub(one.heard) <= aliveTime && of(&one.report) > least {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(f.peers[b].heard.Compare(f.peers[a].heard), cmp.Compare(a, b))
	})
	return names
}

// Loads returns the sum of what the others have open, by the hash of the name.
func (f *Fleet) Loads(now time.Time) map[uint32]chicoryrock.OpenLoad {
	if now.Sub(f.summed) <= sumTime {
		return f.rest
	}
	sum := make(map[uint32]chicoryrock.OpenLoad)
	for name := range f.peers {
		add(sum, f.loads(now, name))
	}
	return sum
}

// ClockOffset returns by how much this process's clock has to be set for the median of
// all; zero while fewer than two others are heard.
func (f *Fleet) ClockOffset(now time.Time) time.Duration {
	shifts := []time.Duration{0}
	for _, one := range f.peers {
		if now.Sub(one.heard) <= aliveTime {
			shifts = append(shifts, one.ahead)
		}
	}
	if len(shifts) < 3 {
		return 0
	}
	slices.Sort(shifts)
	return shifts[len(shifts)/2]
}
