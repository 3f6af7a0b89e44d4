// Package suspect finds requests that crash engines. Every request that had just
// begun at a crash is a suspect. A suspect doesn't run beside another one that
// has just begun, so that a second crash can be the second one of a single request
// only. That request is refused everywhere: entries exchange what they saw and
// merge it.
//
// Suspects do run beside requests that are not suspect. To empty an engine for
// each of them would make the streams that a crash broke off wait for minutes,
// and every crash of an engine, whatever its cause, would cost much capacity.
package suspect

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

// Probation is how long a suspect has to run before another may join it. A stream
// that is resumed goes on where the crash was, so a request that crashes engines
// does so again soon; to wait for the end of each would let the last of a hundred
// interrupted streams wait for minutes. Its sightings count until it has ended.
const Probation = 500 * time.Millisecond

const (
	// expiry is how long what was seen counts. It bounds how long a request can be
	// refused that was only twice in bad company.
	expiry = 10 * time.Minute
	// provenExpiry is how long it counts when the request was alone at a crash.
	provenExpiry = time.Hour
	// maxCrashes is how many crashes are kept of one request.
	maxCrashes = 4
	// maxPrints is how many requests are kept of one workspace, so that none can
	// push out what was seen of another's.
	maxPrints = 512
)

// Fingerprint identifies a request by its workspace and body. It is cryptographic
// so that no workspace can make a request that has another's fingerprint.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(workspace string, body []byte) Fingerprint {
	hash := sha256.New()
	name := sha256.Sum256([]byte(workspace))
	// A hash takes all that is written to it.
	_, _ = hash.Write(name[:])
	_, _ = hash.Write(body)
	return Fingerprint(hash.Sum(nil))
}

// MarshalText implements encoding.TextMarshaler: lower-case hex.
func (f Fingerprint) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, f[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. Error:
// chicoryrock.ErrInvalid.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	decoded, err := hex.DecodeString(string(text))
	if err != nil || len(decoded) != len(f) {
		return errors.Wrap(chicoryrock.ErrInvalid, "not a fingerprint")
	}
	copy(f[:], decoded)
	return nil
}

// CrashID identifies one crash of one engine: the replica's name and which of its
// crashes it was, as the agent counts them. A connection that was only cut is no
// crash.
type CrashID string

// CrashReport is that a request was in flight at a crash.
type CrashReport struct {
	Workspace   string      `json:"workspace"`
	Fingerprint Fingerprint `json:"print"`
	Crash       CrashID     `json:"crash"`
	At          time.Time   `json:"at"`
	Alone       bool        `json:"alone,omitempty"` // nothing else ran on the engine
	// PastProbation says that it had run for Probation or longer on that engine, and not
	// alone: one of many that the engine bore well before something else came.
	PastProbation bool `json:"settled,omitempty"`
}

// CleanRun is that a request ran well, beside no other suspect, after it had been
// seen at a crash.
type CleanRun struct {
	Workspace   string      `json:"workspace"`
	Fingerprint Fingerprint `json:"print"`
	At          time.Time   `json:"at"`
}

// Update is what entries send to each other. To merge an update twice, or several
// in any order, gives the same.
type Update struct {
	Crashes   []CrashReport `json:"seen,omitempty"`
	CleanRuns []CleanRun    `json:"cleared,omitempty"`
}

// State is what may be done with a request.
type State int

// The states of a request.
const (
	// Clean requests run as usual.
	Clean State = iota
	// Suspect requests run beside no other suspect.
	Suspect
	// Refused requests do not run.
	Refused
)

// Registry is what one entry knows of suspects. The zero value is ready for use.
// It is not safe for concurrent use.
type Registry struct {
	workspaces map[string]map[Fingerprint]*record
}

// record is what is known of one request.
type record struct {
	seen    []CrashReport // of different crashes, in order of time
	cleared time.Time
}

// ReportCrash takes in a crash, once for each request of this entry that was in
// flight. The update is to be sent to the other entries.
func (r *Registry) ReportCrash(now time.Time, sighting CrashReport) Update {
	sighting.At = now
	update := Update{Crashes: []CrashReport{sighting}}
	r.Merge(now, update)
	return update
}

// ReportCleanRun takes in that a suspect ran to its end. The update is to be
// sent to the other entries.
func (r *Registry) ReportCleanRun(now time.Time, workspace string, fingerprint Fingerprint) Update {
	update := Update{CleanRuns: []CleanRun{{Workspace: workspace, Fingerprint: fingerprint, At: now}}}
	r.Merge(now, update)
	return update
}

// HasRecords says whether anything is known of a workspace's requests. When not, no
// fingerprint needs to be taken.
func (r *Registry) HasRecords(workspace string) bool { return len(r.workspaces[workspace]) > 0 }

// State says what may be done with a request.
func (r *Registry) State(now time.Time, workspace string, fingerprint Fingerprint) State {
	rec := r.workspaces[workspace][fingerprint]
	if rec == nil {
		return Clean
	}
	switch weight := r.evidence(now, rec); {
	case weight >= refuseWeight:
		return Refused
	case weight >= suspectWeight:
		return Suspect
	default:
		return Clean
	}
}

// What the sightings of a request weigh together before it is a suspect, and
// before it is refused. One that crashes engines as soon as it runs is refused
// after two crashes; one that does so late, after three: resumed where it broke
// off, it has hardly begun at the next one.
const (
	freshWeight   = 2
	settledWeight = 1
	suspectWeight = freshWeight
	refuseWeight  = 2 * freshWeight
)

// weight is how much a sighting speaks against its request.
func (s *CrashReport) weight() int {
	if s.PastProbation {
		return settledWeight
	}
	return freshWeight
}

// evidence returns what the sightings of a request weigh that still count, at
// crashes that no other request is proven to have caused.
func (r *Registry) evidence(now time.Time, rec *record) int {
	proven := rec.proven(now)
	sum := 0
	for i := range rec.seen {
		if rec.counts(now, &rec.seen[i]) && (proven || !r.explained(now, rec, rec.seen[i].Crash)) {
			sum += rec.seen[i].weight()
		}
	}
	return sum
}

// explained says whether a request other than this one is proven to crash engines
// and was in flight at a crash.
func (r *Registry) explained(now time.Time, but *record, crash CrashID) bool {
	for _, prints := range r.workspaces {
		for _, rec := range prints {
			if rec != but && rec.at(crash) != nil && rec.proven(now) {
				return true
			}
		}
	}
	return false
}

// proven says whether a request was seen at enough crashes to be refused, and
// alone at one.
func (rec *record) proven(now time.Time) bool {
	sum, alone := 0, false
	for i := range rec.seen {
		if rec.counts(now, &rec.seen[i]) {
			sum += rec.seen[i].weight()
			alone = alone || rec.seen[i].Alone
		}
	}
	return sum >= refuseWeight && alone
}

// counts says whether a sighting is neither too old nor followed by a clean run.
func (rec *record) counts(now time.Time, sighting *CrashReport) bool {
	return sighting.At.After(rec.cleared) && now.Sub(sighting.At) < rec.lasts()
}

func (rec *record) lasts() time.Duration {
	for i := range rec.seen {
		if rec.seen[i].Alone && rec.seen[i].At.After(rec.cleared) {
			return provenExpiry
		}
	}
	return expiry
}

func (rec *record) at(crash CrashID) *CrashReport {
	for i := range rec.seen {
		if rec.seen[i].Crash == crash {
			return &rec.seen[i]
		}
	}
	return nil
}
