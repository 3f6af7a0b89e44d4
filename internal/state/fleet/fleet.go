// Package fleet defines the reports that the processes which serve callers send each
// other, and keeps the state received from the peers: which processes are alive, which
// configuration they have in force, their open load at each backend server, and their
// clocks. A process sends its loads five times a second while it has at most 16 peers,
// and less often in larger fleets: with 83 peers once a second.
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
	// formatVersion is the version of the report format, the first byte of a report.
	formatVersion = 2
	// maxNameLength is the longest name of a process, in bytes.
	maxNameLength = 255
	// loadSize is the encoded size of one load, in bytes.
	loadSize = 4 + 2 + 2 + 4
	// prefixSize is the encoded size of one cached prefix, in bytes.
	prefixSize = 4 + 4
	// maxPrefixes is how many cached prefixes a report holds.
	maxPrefixes = 255
	// aliveTimeout is how long a process counts as alive after its last report.
	aliveTimeout = 3 * time.Second
	// loadLifetime is how long reported loads are valid: about as long as a request
	// runs.
	loadLifetime = 1500 * time.Millisecond
)

// Report is the state of a process that it sends to its peers.
type Report struct {
	Process        string
	Sent           time.Time // by the sender's clock; not encoded
	ConfigVersion  uint64    // of the configuration in force
	ServersVersion uint64    // servers.Version of the newest change in the list of backend servers
	// ServersDigest is the digest of the list at ServersVersion, and ServersQuiet for how many
	// revisions of the store after that. Processes of former builds state none, and reports
	// without loads have no room for it.
	ServersDigest, ServersQuiet uint32
	HasServersDigest            bool
	LastStoreAnswer             time.Time     // last answer to a watch; zero if none; encoded as the time since then
	Clock                       time.Time     // the sender's time, corrected by its clock offset
	StoreSilence                time.Duration // time since LastStoreAnswer; only in parsed reports
	Draining                    bool
	SharesLimits                bool      // takes part in package quota
	OmitsLoads                  bool      // contains no loads; those sent before remain valid
	Scope                       LoadScope // whose loads it contains
	Loads                       []chicoryrock.OpenLoad
	CachedPrefixes              []chicoryrock.CachedPrefix // since the last report with loads
}

// Flags of an encoded report.
const (
	flagDraining = 1 << iota
	flagOmitsLoads
	flagGroup
	flagOthers
	flagSharesLimits
	flagServersDigest
)

// Append appends the encoded report to data.
func (r *Report) Append(data []byte) []byte {
	name := r.Process[:min(len(r.Process), maxNameLength)]
	data = append(data, formatVersion, byte(len(name)))
	data = append(data, name...)
	data = binary.BigEndian.AppendUint64(data, r.ConfigVersion)
	data = binary.BigEndian.AppendUint64(data, r.ServersVersion)
	data = binary.BigEndian.AppendUint64(data, uint64(r.Clock.UnixNano()))
	data = binary.BigEndian.AppendUint16(data, silenceMs(r.Sent, r.LastStoreAnswer))
	flags := byte(0)
	if r.Draining {
		flags |= flagDraining
	}
	if r.SharesLimits {
		flags |= flagSharesLimits
	}
	if r.OmitsLoads {
		return append(data, flags|flagOmitsLoads)
	}
	switch r.Scope {
	case GroupLoads:
		flags |= flagGroup
	case OthersLoads:
		flags |= flagOthers
	}
	if r.HasServersDigest {
		flags |= flagServersDigest
	}
	prefixes := r.CachedPrefixes[:min(len(r.CachedPrefixes), maxPrefixes)]
	data = append(data, flags, byte(len(prefixes)))
	for _, prefix := range prefixes {
		data = binary.BigEndian.AppendUint32(data, prefix.SessionHash)
		data = binary.BigEndian.AppendUint32(data, prefix.ServerHash)
	}
	if r.HasServersDigest {
		data = binary.BigEndian.AppendUint32(data, 0)
		data = binary.BigEndian.AppendUint32(data, r.ServersQuiet)
		data = binary.BigEndian.AppendUint32(data, r.ServersDigest)
	}
	for _, load := range r.Loads {
		data = binary.BigEndian.AppendUint32(data, load.KeyHash)
		data = binary.BigEndian.AppendUint16(data, uint16(min(load.Open, 1<<16-1)))
		data = binary.BigEndian.AppendUint16(data, uint16(min(load.GapSensitive, 1<<16-1)))
		data = binary.BigEndian.AppendUint32(data, uint32(load.UnreadTokens))
	}
	return data
}

// maxSilenceMs is the longest silence that a report can hold, in milliseconds. It also
// stands for longer ones and for a process that the store has never answered.
const maxSilenceMs = 1<<16 - 1

// silenceMs returns the time since the store's last answer, in milliseconds.
func silenceMs(now, lastAnswer time.Time) uint16 {
	if lastAnswer.IsZero() {
		return maxSilenceMs
	}
	return uint16(min(max(now.Sub(lastAnswer).Milliseconds(), 0), maxSilenceMs))
}

// Parse decodes a report. Error: chicoryrock.ErrInvalid.
func Parse(data []byte) (Report, error) {
	const fixed = 3*8 + 2 + 1
	if len(data) < 2 || data[0] != formatVersion || len(data) < 2+int(data[1])+fixed {
		return Report{}, errors.Wrapf(chicoryrock.ErrInvalid, "malformed report of %d bytes: too short, or of another format version", len(data))
	}
	name, rest := data[2:2+int(data[1])], data[2+int(data[1]):]
	report := Report{
		Process:        string(name),
		ConfigVersion:  binary.BigEndian.Uint64(rest),
		ServersVersion: binary.BigEndian.Uint64(rest[8:]),
		Clock:          time.Unix(0, int64(binary.BigEndian.Uint64(rest[16:]))),
		StoreSilence:   time.Duration(binary.BigEndian.Uint16(rest[24:])) * time.Millisecond,
		Draining:       rest[26]&flagDraining != 0,
		SharesLimits:   rest[26]&flagSharesLimits != 0,
		OmitsLoads:     rest[26]&flagOmitsLoads != 0,
	}
	switch {
	case rest[26]&flagGroup != 0:
		report.Scope = GroupLoads
	case rest[26]&flagOthers != 0:
		report.Scope = OthersLoads
	}
	flags := rest[26]
	rest, err := report.parsePrefixes(rest[fixed:])
	if err != nil || report.OmitsLoads {
		return report, err
	}
	if flags&flagServersDigest != 0 {
		if rest, err = report.parseDigest(rest); err != nil {
			return Report{}, err
		}
	}
	for ; len(rest) >= loadSize; rest = rest[loadSize:] {
		report.Loads = append(report.Loads, chicoryrock.OpenLoad{
			KeyHash:      binary.BigEndian.Uint32(rest),
			Open:         int(binary.BigEndian.Uint16(rest[4:])),
			GapSensitive: int(binary.BigEndian.Uint16(rest[6:])),
			UnreadTokens: int(binary.BigEndian.Uint32(rest[8:])),
		})
	}
	if len(rest) > 0 {
		return Report{}, errors.Wrapf(chicoryrock.ErrInvalid, "%d extra bytes after the loads", len(rest))
	}
	return report, nil
}

// parsePrefixes decodes the cached prefixes, which follow the fixed part of a report,
// and returns the remaining bytes. A report without loads has neither.
func (r *Report) parsePrefixes(rest []byte) ([]byte, error) {
	if r.OmitsLoads && len(rest) == 0 {
		return nil, nil
	}
	if r.OmitsLoads || len(rest) == 0 || len(rest) < 1+prefixSize*int(rest[0]) {
		return nil, errors.Wrapf(chicoryrock.ErrInvalid, "malformed prefixes: incomplete, or in a report without loads: %d bytes after the fixed part", len(rest))
	}
	count := int(rest[0])
	for rest = rest[1:]; count > 0; count-- {
		r.CachedPrefixes = append(r.CachedPrefixes, chicoryrock.CachedPrefix{SessionHash: binary.BigEndian.Uint32(rest), ServerHash: binary.BigEndian.Uint32(rest[4:])})
		rest = rest[prefixSize:]
	}
	return rest, nil
}

// parseDigest decodes the digest of the list of backend servers, which has the form of a load:
// processes of former builds refuse reports with other fields after the prefixes, but ignore
// the loads of backend servers that they don't know.
func (r *Report) parseDigest(rest []byte) ([]byte, error) {
	if len(rest) < loadSize || binary.BigEndian.Uint32(rest) != 0 {
		return nil, errors.Wrapf(chicoryrock.ErrInvalid, "malformed digest: %d bytes after the prefixes", len(rest))
	}
	r.ServersQuiet, r.ServersDigest, r.HasServersDigest = binary.BigEndian.Uint32(rest[4:]), binary.BigEndian.Uint32(rest[8:]), true
	return rest[loadSize:], nil
}

// Fleet is the state that this process has received from its peers.
type Fleet struct {
	Self string // this process's name

	peers          map[string]*peer
	othersLoads    map[uint32]chicoryrock.OpenLoad // sum of the loads of all others, from the group's head
	othersReceived time.Time                       // when othersLoads was set
}

type peer struct {
	report        Report
	received      time.Time
	loadsReceived time.Time              // when its own loads were last received
	groupLoads    []chicoryrock.OpenLoad // sum of its group's loads, if it is a head
	groupReceived time.Time              // when groupLoads was received
	digest        ServersDigest          // the last one stated
	clockAhead    time.Duration          // how far its corrected clock is ahead of this process's corrected clock
}

// Receive processes a report. correctedNow is this process's time, corrected by its
// clock offset. A report without the sender's own loads leaves those sent before valid:
// a head's sums go out besides its own reports.
func (f *Fleet) Receive(now, correctedNow time.Time, report *Report) {
	if report.Process == f.Self {
		return
	}
	if f.peers == nil {
		f.peers = make(map[string]*peer)
	}
	updated := &peer{report: *report, received: now, loadsReceived: now, clockAhead: report.Clock.Sub(correctedNow)}
	if known := f.peers[report.Process]; known != nil {
		updated.groupLoads, updated.groupReceived = known.groupLoads, known.groupReceived
		updated.digest = known.digest
	}
	if report.HasServersDigest {
		updated.digest = ServersDigest{report.Process, report.ServersVersion, report.ServersQuiet, report.ServersDigest}
	}
	if report.OmitsLoads || report.Scope != OwnLoads {
		updated.report.Loads, updated.loadsReceived = nil, time.Time{}
		if known := f.peers[report.Process]; known != nil {
			updated.report.Loads, updated.loadsReceived = known.report.Loads, known.loadsReceived
		}
	}
	switch report.Scope {
	case GroupLoads:
		updated.groupLoads, updated.groupReceived = report.Loads, now
	case OthersLoads:
		f.othersLoads, f.othersReceived = make(map[uint32]chicoryrock.OpenLoad, len(report.Loads)), now
		addLoads(f.othersLoads, report.Loads)
	}
	f.peers[report.Process] = updated
	for name, p := range f.peers {
		if now.Sub(p.received) > 10*aliveTimeout {
			delete(f.peers, name)
		}
	}
}

// Alive returns the sorted names of the processes that are alive, including this one.
func (f *Fleet) Alive(now time.Time) []string {
	names := []string{f.Self}
	for name, p := range f.peers {
		if now.Sub(p.received) <= aliveTimeout {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// SharingLimits returns the sorted names of the live peers that share the limits of
// backend servers and go on doing so.
func (f *Fleet) SharingLimits(now time.Time) []string {
	var names []string
	for name, p := range f.peers {
		if now.Sub(p.received) <= aliveTimeout && p.report.SharesLimits && !p.report.Draining {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// WithStore returns the sorted names of the peers that the store has answered within
// a time limit.
func (f *Fleet) WithStore(now time.Time, limit time.Duration) []string {
	var names []string
	for name, p := range f.peers {
		if now.Sub(p.received)+p.report.StoreSilence <= limit {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// StoreSilence returns the time since the store last answered any of the peers,
// according to their reports. The second result is false if it has answered none.
func (f *Fleet) StoreSilence(now time.Time) (time.Duration, bool) {
	shortest, found := time.Duration(0), false
	for _, p := range f.peers {
		if silence := now.Sub(p.received) + p.report.StoreSilence; p.report.StoreSilence < maxSilenceMs*time.Millisecond && (!found || silence < shortest) {
			shortest, found = silence, true
		}
	}
	return shortest, found
}

// StoreWatched reports whether the store has answered a peer within a time limit, so
// that this process need not watch it.
func (f *Fleet) StoreWatched(now time.Time, limit time.Duration) bool {
	for _, p := range f.peers {
		if now.Sub(p.received)+p.report.StoreSilence <= limit && !p.report.Draining {
			return true
		}
	}
	return false
}

// WithNewerConfig returns the live peers whose configuration is newer than a version.
// Those with the latest reports come first, because a process that has just stopped
// still counts as alive.
func (f *Fleet) WithNewerConfig(now time.Time, version uint64) []string {
	return f.withNewer(now, version, func(r *Report) uint64 { return r.ConfigVersion })
}

// NewestConfig returns the newest version of the configuration that a live peer has in force.
func (f *Fleet) NewestConfig(now time.Time) uint64 {
	newest := uint64(0)
	for _, p := range f.peers {
		if now.Sub(p.received) <= aliveTimeout {
			newest = max(newest, p.report.ConfigVersion)
		}
	}
	return newest
}

// WithNewerServers is like WithNewerConfig, for the list of backend servers.
func (f *Fleet) WithNewerServers(now time.Time, version uint64) []string {
	return f.withNewer(now, version, func(r *Report) uint64 { return r.ServersVersion })
}

// ServersDigest is what a peer has stated of its list of backend servers.
type ServersDigest struct {
	Process string
	Version uint64 // of the newest change
	Quiet   uint32
	Digest  uint32
}

// ServersDigests returns what the live peers have last stated, those with the latest reports
// first.
func (f *Fleet) ServersDigests(now time.Time) []ServersDigest {
	var digests []ServersDigest
	for _, name := range f.latest(now, func(p *peer) bool { return p.digest.Process != "" }) {
		digests = append(digests, f.peers[name].digest)
	}
	return digests
}

func (f *Fleet) withNewer(now time.Time, version uint64, versionOf func(*Report) uint64) []string {
	return f.latest(now, func(p *peer) bool { return versionOf(&p.report) > version })
}

// latest returns the live peers that match, those with the latest reports first.
func (f *Fleet) latest(now time.Time, match func(*peer) bool) []string {
	var names []string
	for name, p := range f.peers {
		if now.Sub(p.received) <= aliveTimeout && match(p) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(f.peers[b].received.Compare(f.peers[a].received), cmp.Compare(a, b))
	})
	return names
}

// Loads returns the sum of the peers' open loads, by KeyHash.
func (f *Fleet) Loads(now time.Time) map[uint32]chicoryrock.OpenLoad {
	if now.Sub(f.othersReceived) <= sumLifetime {
		return f.othersLoads
	}
	sum := make(map[uint32]chicoryrock.OpenLoad)
	for name := range f.peers {
		addLoads(sum, f.loadsOf(now, name))
	}
	return sum
}

// ClockOffset returns the offset from this process's clock to the median of all clocks;
// zero while fewer than two peers are alive. Since all of these clocks are already
// corrected, it is the remaining error, to be added to this process's correction.
func (f *Fleet) ClockOffset(now time.Time) time.Duration {
	offsets := []time.Duration{0}
	for _, p := range f.peers {
		if now.Sub(p.received) <= aliveTimeout {
			offsets = append(offsets, p.clockAhead)
		}
	}
	if len(offsets) < 3 {
		return 0
	}
	slices.Sort(offsets)
	return offsets[len(offsets)/2]
}
