package suspect

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"
)

const (
	// settleTime is how long a crash waits for the runs that began well meanwhile to be
	// known before it counts against a part.
	settleTime = 500 * time.Millisecond
	// failureTTL is how long a failure counts that no ban rests on.
	failureTTL = 10 * time.Minute
	// banTTL is how long one counts that a ban rests on. The last trials of a ban are
	// this far apart.
	banTTL = 24 * time.Hour
	// maxFailures bounds the failures that are kept. The oldest that no ban rests on is
	// dropped first.
	maxFailures = 1024
	// maxSubjects bounds the subjects whose last success is kept, in each of two
	// generations.
	maxSubjects = 2048
	// maxTrialRecords bounds the trials that are kept.
	maxTrialRecords = 256
	// exportedFailures is how many of the last failures are told to a process that may
	// know none, besides those that bans rest on.
	exportedFailures = 48
	// maxNews bounds what waits to be told to the other processes, of each kind. They learn
	// of the rest when they compare what they know.
	maxNews = 256
	// maxParts bounds the parts of a request that are looked at.
	maxParts = 64
)

// PartFingerprint identifies a part of a prompt towards the servers of a pool. A part may
// crash the engines of one model only. It is the same for all workspaces: what an engine
// can't run, it can run for nobody.
func PartFingerprint(pool string, part uint64) Fingerprint {
	hash := sha256.Sum256([]byte(pool))
	var fingerprint Fingerprint
	copy(fingerprint[:], hash[:])
	binary.BigEndian.PutUint64(fingerprint[partOffset:], part)
	return fingerprint
}

// partOffset is where a part's ID begins in its fingerprint.
const partOffset = 8

// PartID returns the ID of the part that a fingerprint of PartFingerprint stands for.
func (f Fingerprint) PartID() uint64 { return binary.BigEndian.Uint64(f[partOffset:]) }

// Candidate is what a Tracker looks at of a request.
type Candidate struct {
	Workspace string
	Request   Fingerprint // zero if it is not looked at as a whole
	// Parts are those of its prompt that other requests may share, without the last one,
	// which is the request's own.
	Parts []Fingerprint
}

// subjects calls a function with each part and the whole request.
func (c *Candidate) subjects(visit func(subject Fingerprint)) {
	for _, part := range c.Parts[:min(len(c.Parts), maxParts)] {
		visit(part)
	}
	if c.Request != (Fingerprint{}) {
		visit(c.Request)
	}
}

// Failure records that an attempt's answer broke off or was lost as its server went down.
type Failure struct {
	ID     string `json:"id"` // of the attempt
	Server string `json:"server"`
	// Service is what the server belongs to; empty from former builds.
	Service   string        `json:"service,omitempty"`
	Workspace string        `json:"workspace,omitempty"`
	Request   Fingerprint   `json:"request"`
	Parts     []Fingerprint `json:"parts,omitempty"` // none once it has run for Probation
	// Crash says that there is evidence that the server went down. Former builds also send
	// failures without it, which don't count: connections that are lost for other reasons
	// say nothing of the request.
	Crash bool `json:"crash,omitempty"`
	Age   Age  `json:"age"` // when it was exported
	// Held says that a ban rested on it at the process that tells of it, so that it counts
	// for banTTL.
	Held bool      `json:"held,omitempty"`
	at   time.Time // by the receiver's clock
	kept bool      // it is worth keeping if all processes are lost
}

// Success records that an attempt ran for Probation or to its end.
type Success struct {
	Subject Fingerprint `json:"subject"`
	Age     Age         `json:"age"`
}

// Trial records that one request with a banned subject may be sent.
type Trial struct {
	ID       string        `json:"id"`
	Subjects []Fingerprint `json:"subjects"` // members of the ban that the request has
	Age      Age           `json:"age"`
	at       time.Time
}

// Evidence is what processes tell each other. Taking it in twice or in another order gives
// the same result.
type Evidence struct {
	Failures  []Failure `json:"failures,omitempty"`
	Successes []Success `json:"successes,omitempty"`
	Trials    []Trial   `json:"trials,omitempty"`
}

// Empty reports whether there is none.
func (e *Evidence) Empty() bool {
	return len(e.Failures) == 0 && len(e.Successes) == 0 && len(e.Trials) == 0
}

// batchSize bounds the fingerprints of a batch: a message of some 20 KB.
const batchSize = 512

// Batches cuts the evidence into messages of a bounded size. Failures come last, so that none
// makes a subject suspect that a later message clears.
func (e *Evidence) Batches() []Evidence {
	var batches []Evidence
	size := batchSize
	next := func(fingerprints int) *Evidence {
		if size += fingerprints; size > batchSize {
			batches, size = append(batches, Evidence{}), fingerprints
		}
		return &batches[len(batches)-1]
	}
	for _, success := range e.Successes {
		batch := next(1)
		batch.Successes = append(batch.Successes, success)
	}
	for _, trial := range e.Trials {
		batch := next(1 + len(trial.Subjects))
		batch.Trials = append(batch.Trials, trial)
	}
	for i := range e.Failures {
		batch := next(1 + len(e.Failures[i].Parts))
		batch.Failures = append(batch.Failures, e.Failures[i])
	}
	return batches
}

// Tracker infers from the failures and successes of all processes which requests, and
// which parts of prompts, crash the servers that run them, and refuses these. It is for
// processes that see broken connections; Registry is for those that get the reports of an
// agent on whole requests. Both doors share the evidence on parts by a Tracker. The zero
// value is ready for use. It is not safe for concurrent use.
type Tracker struct {
	failures  map[string]*Failure
	bySubject map[Fingerprint][]*Failure // the same
	successes generations
	trials    map[string]Trial
	expired   time.Time // when what is too old was last dropped
	news      news

	bans      []Ban
	told      []Ban     // as Changes last returned them
	evaluated time.Time // when bans was computed; zero to do so at once
	changed   bool      // evidence has come since
	settled   bool      // no failure was too young to count then
}

// news is what the other processes are to be told.
type news struct {
	failures  map[string]struct{} // IDs
	successes map[Fingerprint]struct{}
	trials    map[string]struct{} // IDs
	told      generations         // when a success was last told, by any process
}

// note adds a key to a set of news.
func note[K comparable](set *map[K]struct{}, key K) {
	if *set == nil {
		*set = make(map[K]struct{})
	}
	if len(*set) < maxNews {
		(*set)[key] = struct{}{}
	}
}

// generations keeps the last success of subjects, bounded: the older generation is dropped
// when the newer is full.
type generations struct {
	newer, older map[Fingerprint]time.Time
}

func (g *generations) last(subject Fingerprint) time.Time {
	if at, found := g.newer[subject]; found {
		return at
	}
	return g.older[subject]
}

// set stores a success, unless a later one is known.
func (g *generations) set(subject Fingerprint, at time.Time) {
	if !at.After(g.last(subject)) {
		return
	}
	if len(g.newer) >= maxSubjects {
		g.older, g.newer = g.newer, nil
	}
	if g.newer == nil {
		g.newer = make(map[Fingerprint]time.Time)
	}
	g.newer[subject] = at
}

// Empty reports whether no failures are known.
func (t *Tracker) Empty() bool { return len(t.failures) == 0 }

// RecordFailure takes in a failure of this process, which may be some time ago. A second
// record with the same ID changes nothing, and neither does one that was no crash.
func (t *Tracker) RecordFailure(now time.Time, failure Failure) {
	t.Merge(now, Evidence{Failures: []Failure{failure}})
	t.evaluated = time.Time{}
	note(&t.news.failures, failure.ID)
}

// RecordSuccess takes in that an attempt of this process ran well.
func (t *Tracker) RecordSuccess(now time.Time, c *Candidate) {
	c.subjects(func(subject Fingerprint) {
		if t.matters(subject) {
			note(&t.news.successes, subject)
		}
		t.recordSuccess(subject, now)
	})
}

// matters reports whether the other processes are to be told of a subject's success: for
// all that they know, it may be banned soon.
func (t *Tracker) matters(subject Fingerprint) bool {
	told := t.news.told.last(subject)
	crashes := 0
	last := make(map[string]time.Time) // by server
	for _, failure := range t.bySubject[subject] {
		before, found := last[failure.Server]
		if !failure.at.After(told) || found && failure.at.Sub(before).Abs() < incidentTime {
			continue
		}
		last[failure.Server] = failure.at
		if crashes++; subject == failure.Request || crashes >= partThreshold-1 {
			return true
		}
	}
	return false
}

// News returns what the other processes are to be told since it was last called.
func (t *Tracker) News(now time.Time) Evidence {
	var evidence Evidence
	for id := range t.news.failures {
		if failure := t.failures[id]; failure != nil {
			evidence.Failures = append(evidence.Failures, failure.aged(now))
		}
	}
	for subject := range t.news.successes {
		evidence.Successes = append(evidence.Successes, Success{Subject: subject, Age: Age(now.Sub(t.successes.last(subject)))})
		t.news.told.set(subject, now)
	}
	for id := range t.news.trials {
		if trial, found := t.trials[id]; found {
			trial.Age = Age(now.Sub(trial.at))
			evidence.Trials = append(evidence.Trials, trial)
		}
	}
	t.news.failures, t.news.successes, t.news.trials = nil, nil, nil
	return evidence
}

// recordSuccess stores a success. One that may end a ban counts at once.
func (t *Tracker) recordSuccess(subject Fingerprint, at time.Time) {
	t.successes.set(subject, at)
	t.changed = t.changed || len(t.bySubject[subject]) > 0
	if slices.ContainsFunc(t.bans, func(b Ban) bool { return slices.Contains(b.Subjects, subject) }) {
		t.evaluated = time.Time{}
	}
}

// aged returns the failure as another process is told of it.
func (f *Failure) aged(now time.Time) Failure {
	told := *f
	told.Age = Age(now.Sub(f.at))
	return told
}

// subjects calls a function with each subject that the failure counts against.
func (f *Failure) subjects(visit func(subject Fingerprint)) {
	for _, part := range f.Parts {
		visit(part)
	}
	if f.Request != (Fingerprint{}) {
		visit(f.Request)
	}
}

// Merge takes in what another process tells. It returns what that process doesn't know
// and should: successes that came after failures it has told of.
func (t *Tracker) Merge(now time.Time, evidence Evidence) Evidence {
	for i := range evidence.Successes {
		success := &evidence.Successes[i]
		at := now.Add(-success.Age.duration())
		t.recordSuccess(success.Subject, at)
		t.news.told.set(success.Subject, at)
		delete(t.news.successes, success.Subject)
	}
	var reply Evidence
	replied := make(map[Fingerprint]bool)
	for i := range evidence.Failures {
		failure := t.add(now, evidence.Failures[i])
		if failure == nil {
			continue
		}
		failure.subjects(func(subject Fingerprint) {
			if last := t.successes.last(subject); last.After(failure.at) && !replied[subject] {
				replied[subject] = true
				reply.Successes = append(reply.Successes, Success{Subject: subject, Age: Age(now.Sub(last))})
			}
		})
	}
	for _, trial := range evidence.Trials {
		t.addTrial(now, trial)
	}
	t.expire(now)
	return reply
}

// add stores a failure. It returns nil for one that is too old or was no crash.
func (t *Tracker) add(now time.Time, failure Failure) *Failure {
	if failure.ID == "" || !failure.Crash || failure.Age.duration() >= banTTL {
		return nil
	}
	if known := t.failures[failure.ID]; known != nil {
		return known
	}
	failure.at = now.Add(-failure.Age.duration())
	failure.Parts = failure.Parts[:min(len(failure.Parts), maxParts)]
	if len(t.failures) == 0 {
		t.failures = make(map[string]*Failure)
		t.bySubject = make(map[Fingerprint][]*Failure)
		t.evaluated = time.Time{} // a process that knew nothing waits for nothing
	}
	t.failures[failure.ID] = &failure
	failure.subjects(func(subject Fingerprint) { t.bySubject[subject] = append(t.bySubject[subject], &failure) })
	t.changed = true
	return &failure
}

// remove drops a failure.
func (t *Tracker) remove(failure *Failure) {
	delete(t.failures, failure.ID)
	failure.subjects(func(subject Fingerprint) {
		rest := slices.DeleteFunc(t.bySubject[subject], func(f *Failure) bool { return f == failure })
		if t.bySubject[subject] = rest; len(rest) == 0 {
			delete(t.bySubject, subject)
		}
	})
	t.changed = true
}

func (t *Tracker) addTrial(now time.Time, trial Trial) {
	if _, known := t.trials[trial.ID]; known || trial.ID == "" || trial.Age.duration() >= banTTL {
		return
	}
	if t.trials == nil {
		t.trials = make(map[string]Trial)
	}
	trial.at = now.Add(-trial.Age.duration())
	t.trials[trial.ID] = trial
}

// expireInterval is how often what is too old is dropped.
const expireInterval = time.Second

// expire drops what is too old, now and then, and what is too much.
func (t *Tracker) expire(now time.Time) {
	if len(t.failures) > maxFailures {
		all := t.sorted()
		slices.SortStableFunc(all, func(a, b *Failure) int { return cmp.Compare(flag(a.Held), flag(b.Held)) })
		for _, failure := range all[:len(all)-maxFailures] {
			t.remove(failure)
		}
	}
	for len(t.trials) > maxTrialRecords {
		oldest := ""
		for id, trial := range t.trials {
			if oldest == "" || trial.at.Before(t.trials[oldest].at) {
				oldest = id
			}
		}
		delete(t.trials, oldest)
	}
	if since := now.Sub(t.expired); since >= 0 && since < expireInterval {
		return
	}
	t.expired = now
	for _, failure := range t.failures {
		ttl := failureTTL
		if failure.Held {
			ttl = banTTL
		}
		if now.Sub(failure.at) >= ttl {
			t.remove(failure)
		}
	}
	for id, trial := range t.trials {
		if now.Sub(trial.at) >= banTTL {
			delete(t.trials, id)
		}
	}
}

func flag(set bool) int {
	if set {
		return 1
	}
	return 0
}

// sorted returns the failures, oldest first.
func (t *Tracker) sorted() []*Failure {
	all := make([]*Failure, 0, len(t.failures))
	for _, failure := range t.failures {
		all = append(all, failure)
	}
	slices.SortFunc(all, compareFailures)
	return all
}

func compareFailures(a, b *Failure) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.ID, b.ID)) }

// Export returns the evidence for a process that may know none of it: what bans rest on,
// and the last failures.
func (t *Tracker) Export(now time.Time) Evidence {
	t.evaluate(now)
	all := t.sorted()
	from := len(all) - exportedFailures
	return t.export(now, all, func(i int) bool { return all[i].Held || i >= from })
}

// export returns a choice of all failures, with the successes and trials.
func (t *Tracker) export(now time.Time, all []*Failure, chosen func(i int) bool) Evidence {
	var evidence Evidence
	for i, failure := range all {
		if !chosen(i) {
			continue
		}
		evidence.Failures = append(evidence.Failures, failure.aged(now))
	}
	for subject := range t.bySubject {
		if last := t.successes.last(subject); !last.IsZero() {
			evidence.Successes = append(evidence.Successes, Success{Subject: subject, Age: Age(now.Sub(last))})
		}
	}
	slices.SortFunc(evidence.Successes, func(a, b Success) int { return compareFingerprints(a.Subject, b.Subject) })
	for _, trial := range t.trials {
		trial.Age = Age(now.Sub(trial.at))
		evidence.Trials = append(evidence.Trials, trial)
	}
	slices.SortFunc(evidence.Trials, func(a, b Trial) int { return cmp.Compare(a.ID, b.ID) })
	return evidence
}

// digestTime is how long a failure counts for the digest that no ban rests on.
const digestTime = 10 * time.Second

// Keep returns the evidence that is worth keeping if all processes are lost: what bans
// rest on, and what speaks against parts that may be banned soon.
func (t *Tracker) Keep(now time.Time) Evidence {
	t.evaluate(now)
	all := t.sorted()
	if !slices.ContainsFunc(all, func(f *Failure) bool { return f.kept }) {
		return Evidence{}
	}
	return t.export(now, all, func(i int) bool { return all[i].kept })
}

// Aged returns the evidence as it is after some time.
func (e Evidence) Aged(by time.Duration) Evidence {
	aged := Evidence{Failures: slices.Clone(e.Failures), Successes: slices.Clone(e.Successes), Trials: slices.Clone(e.Trials)}
	for i := range aged.Failures {
		aged.Failures[i].Age += Age(by)
	}
	for i := range aged.Successes {
		aged.Successes[i].Age += Age(by)
	}
	for i := range aged.Trials {
		aged.Trials[i].Age += Age(by)
	}
	return aged
}
