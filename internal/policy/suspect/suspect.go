// Package suspect finds requests that crash engines.
//
// Every request that had just started on an engine when it crashed is a suspect. A
// suspect does not run beside another suspect that has just started, so a second
// crash points to a single request. That request is refused everywhere: entries
// exchange their crash reports and merge them.
//
// Suspects do run beside requests that are not suspect. Draining an engine for each
// suspect would delay the streams that a crash interrupted by minutes, and every
// crash of an engine, whatever its cause, would cost much capacity.
package suspect

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

// Probation is how long a suspect runs on an engine before another suspect may
// start there. A resumed stream continues where the crash was, so a request that
// crashes engines soon does so again. Waiting for each suspect to end would delay
// the last of a hundred interrupted streams by minutes. The crash reports of a
// suspect count until it has ended.
const Probation = 500 * time.Millisecond

const (
	// reportTTL is how long a crash report counts. It bounds how long a request is
	// refused that was in flight at two crashes by chance.
	reportTTL = 10 * time.Minute
	// aloneReportTTL replaces reportTTL when the request was alone at a crash.
	aloneReportTTL = time.Hour
	// maxCrashes is how many crash reports are kept for each request.
	maxCrashes = 4
	// maxRequestsPerWorkspace is how many requests are kept for each workspace. With
	// a limit for all together, one workspace could evict the reports on another's.
	maxRequestsPerWorkspace = 512
)

// Fingerprint identifies a request by its workspace and body. It is the first half
// of a SHA-256 hash, so that no workspace can construct a request that has the
// fingerprint of another's.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request, whose body may be given in parts.
// The workspace is hashed to a fixed length first, so that its end and the body's
// beginning cannot be confused.
func FingerprintOf(workspace string, body ...[]byte) Fingerprint {
	hash := sha256.New()
	workspaceHash := sha256.Sum256([]byte(workspace))
	// Writing to a hash never fails.
	_, _ = hash.Write(workspaceHash[:])
	for _, part := range body {
		_, _ = hash.Write(part)
	}
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
		return errors.Wrap(chicoryrock.ErrInvalid, "fingerprint is not 32 hex digits")
	}
	copy(f[:], decoded)
	return nil
}

// CrashID identifies one crash of one engine. It consists of the replica's name and
// the agent's count of that engine's crashes. A lost connection is not a crash.
type CrashID string

// CrashReport records that a request was in flight when an engine crashed.
type CrashReport struct {
	Workspace   string      `json:"workspace"`
	Fingerprint Fingerprint `json:"print"`
	Crash       CrashID     `json:"crash"`
	At          time.Time   `json:"at"`
	Alone       bool        `json:"alone,omitempty"` // nothing else ran on the engine
	// PastProbation is set when the request had run on that engine for Probation or
	// longer, and not alone: one of many that ran well there until another came.
	PastProbation bool `json:"settled,omitempty"`
}

// CleanRun records that a request that had been in flight at a crash completed
// since, beside no other suspect.
type CleanRun struct {
	Workspace   string      `json:"workspace"`
	Fingerprint Fingerprint `json:"print"`
	At          time.Time   `json:"at"`
}

// Update is what entries send to each other. Merging updates twice or in another
// order gives the same result.
type Update struct {
	Crashes   []CrashReport `json:"seen,omitempty"`
	CleanRuns []CleanRun    `json:"cleared,omitempty"`
	// Parts is the evidence of a Tracker on parts of prompts; nil if there is none.
	Parts *Evidence `json:"parts,omitempty"`
}

// State is how a request is to be treated.
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

// Registry holds the crash reports and clean runs that one entry has recorded or
// received. The zero value is ready for use. It is not safe for concurrent use.
type Registry struct {
	workspaces map[string]map[Fingerprint]*record
}

// record holds the crash reports and the last clean run of one request.
type record struct {
	crashes      []CrashReport // one for each crash, oldest first
	lastCleanRun time.Time     // zero if there was none
}

// ReportCrash records that a request of this entry was in flight at a crash. The
// update is to be sent to the other entries.
func (r *Registry) ReportCrash(now time.Time, report CrashReport) Update {
	report.At = now
	update := Update{Crashes: []CrashReport{report}}
	r.Merge(now, update)
	return update
}

// ReportCleanRun records that a suspect has completed. The update is to be sent to
// the other entries.
func (r *Registry) ReportCleanRun(now time.Time, workspace string, fingerprint Fingerprint) Update {
	update := Update{CleanRuns: []CleanRun{{Workspace: workspace, Fingerprint: fingerprint, At: now}}}
	r.Merge(now, update)
	return update
}

// HasRecords reports whether anything is recorded for requests of a workspace. If
// not, their fingerprints need not be computed.
func (r *Registry) HasRecords(workspace string) bool { return len(r.workspaces[workspace]) > 0 }

// State returns how a request is to be treated.
func (r *Registry) State(now time.Time, workspace string, fingerprint Fingerprint) State {
	rec := r.workspaces[workspace][fingerprint]
	if rec == nil {
		return Clean
	}
	switch weight := r.evidence(now, rec); {
	case weight >= refusalThreshold:
		return Refused
	case weight >= suspectThreshold:
		return Suspect
	default:
		return Clean
	}
}

const (
	// earlyWeight is the weight of a crash report without PastProbation.
	earlyWeight = 2
	// lateWeight is the weight of a crash report with PastProbation.
	lateWeight = 1
	// suspectThreshold is the total weight from which a request is a suspect.
	suspectThreshold = earlyWeight
	// refusalThreshold is the total weight from which a request is refused. One that
	// crashes engines as soon as it runs is refused after two crashes. One that does
	// so late is refused after three: resumed where it broke off, it has just started
	// at the next crash.
	refusalThreshold = 2 * earlyWeight
)

// weight returns how much a crash report counts against its request.
func (c *CrashReport) weight() int {
	if c.PastProbation {
		return lateWeight
	}
	return earlyWeight
}

// evidence returns the total weight of a request's crash reports that still count.
// Unless the request is a culprit itself, crashes that have another culprit are
// left out.
func (r *Registry) evidence(now time.Time, rec *record) int {
	culprit := rec.isCulprit(now)
	sum := 0
	for i := range rec.crashes {
		if rec.counts(now, &rec.crashes[i]) && (culprit || !r.hasOtherCulprit(now, rec, rec.crashes[i].Crash)) {
			sum += rec.crashes[i].weight()
		}
	}
	return sum
}

// hasOtherCulprit reports whether a culprit other than the excluded request was in
// flight at a crash.
func (r *Registry) hasOtherCulprit(now time.Time, excluded *record, crash CrashID) bool {
	for _, requests := range r.workspaces {
		for _, rec := range requests {
			if rec != excluded && rec.reportOf(crash) != nil && rec.isCulprit(now) {
				return true
			}
		}
	}
	return false
}

// isCulprit reports whether a request is proven to crash engines: it was in flight
// at enough crashes to be refused, and alone at one of them.
func (rec *record) isCulprit(now time.Time) bool {
	sum, alone := 0, false
	for i := range rec.crashes {
		if rec.counts(now, &rec.crashes[i]) {
			sum += rec.crashes[i].weight()
			alone = alone || rec.crashes[i].Alone
		}
	}
	return sum >= refusalThreshold && alone
}

// counts reports whether a crash report has not expired and no clean run followed
// it.
func (rec *record) counts(now time.Time, report *CrashReport) bool {
	return report.At.After(rec.lastCleanRun) && now.Sub(report.At) < rec.ttl()
}

// ttl returns how long the crash reports of a request count.
func (rec *record) ttl() time.Duration {
	for i := range rec.crashes {
		if rec.crashes[i].Alone && rec.crashes[i].At.After(rec.lastCleanRun) {
			return aloneReportTTL
		}
	}
	return reportTTL
}

// reportOf returns the request's report of a crash, or nil if there is none.
func (rec *record) reportOf(crash CrashID) *CrashReport {
	for i := range rec.crashes {
		if rec.crashes[i].Crash == crash {
			return &rec.crashes[i]
		}
	}
	return nil
}
