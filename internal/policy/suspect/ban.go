package suspect

import (
	"bytes"
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// requestThreshold is the number of crashes from which a request that no server has
	// answered since is assumed to have caused them. Two could be chance.
	requestThreshold = 3
	// partThreshold is the number of crashes from which a part that no server has run
	// well since is assumed to have caused them.
	partThreshold = 4
	// keptThreshold is the number of crashes from which the evidence against a part is
	// kept in case all processes are lost.
	keptThreshold = 2
	// crashSpacing is how far apart crashes must be to count each against a part. Of more
	// at once, closeCrashes count: servers that end together, such as those of a rack,
	// have a common cause.
	crashSpacing = 100 * time.Millisecond
	closeCrashes = 2
	// incidentTime is how long reports on one server count as reports of one crash: a
	// server that crashed does not run again sooner.
	incidentTime = time.Second
	// trialTime is how long a trial may take. No other begins meanwhile.
	trialTime = 5 * time.Second
	// heldIncidents is how many crashes are kept of those that a ban rests on. Not all of
	// them count where they were close to each other.
	heldIncidents = 16
	// evaluateInterval is how often bans are computed anew while no evidence comes.
	evaluateInterval = 50 * time.Millisecond
	// settledInterval is that interval while only the age of evidence can change a ban.
	settledInterval = 5 * time.Second
)

// trialPauses are the times between the last failure and the next trial, by the number of
// trials so far. After these there is one each banTTL.
var trialPauses = []time.Duration{15 * time.Second, 2 * time.Minute, 30 * time.Minute}

// Ban is a set of subjects of which one crashes servers. A request that has all of them is
// refused.
type Ban struct {
	Subjects []Fingerprint // sorted; more than one if they have only ever been seen together
	Part     bool          // they are parts of prompts, not whole requests
	Crashes  int

	workspaces map[string]bool
	last       time.Time // last failure
}

// Grantor returns which of several processes grants the trials of the ban, for all. It is
// the same at processes that know the same others.
func (b *Ban) Grantor(processes []string) string {
	grantor, most := "", uint64(0)
	for _, process := range processes {
		if weight := xxhash.Sum64String(string(b.Subjects[0][:]) + process); grantor == "" || weight > most {
			grantor, most = process, weight
		}
	}
	return grantor
}

// PartIDs returns the IDs of the banned parts in hexadecimal.
func (b *Ban) PartIDs() string {
	ids := make([]string, len(b.Subjects))
	for i := range b.Subjects {
		ids[i] = strconv.FormatUint(b.Subjects[i].PartID(), 16)
	}
	return strings.Join(ids, ",")
}

// suspicion is what counts against one subject.
type suspicion struct {
	subject  Fingerprint
	part     bool
	failures []*Failure // that no success followed, oldest first
	count    int        // crashes that are not explained by a ban
}

// Bans returns the bans in force.
func (t *Tracker) Bans(now time.Time) []Ban {
	t.evaluate(now)
	return t.bans
}

// Changes returns which bans have begun and ended since it was last called.
func (t *Tracker) Changes(now time.Time) (begun, ended []Ban) {
	t.evaluate(now)
	begun, ended = without(t.bans, t.told), without(t.told, t.bans)
	t.told = t.bans
	return begun, ended
}

// without returns the bans that others don't contain.
func without(bans, others []Ban) []Ban {
	var rest []Ban
	for _, ban := range bans {
		if !slices.ContainsFunc(others, func(other Ban) bool { return slices.Equal(other.Subjects, ban.Subjects) }) {
			rest = append(rest, ban)
		}
	}
	return rest
}

// due reports whether the bans are to be computed anew.
func (t *Tracker) due(now time.Time) bool {
	interval := evaluateInterval
	if t.settled && !t.changed {
		interval = settledInterval
	}
	return t.evaluated.IsZero() || now.Before(t.evaluated) || now.Sub(t.evaluated) >= interval
}

// evaluate computes the bans. Each crash has one cause: the subject with the most crashes
// is banned first, and what it explains does not count against the others.
func (t *Tracker) evaluate(now time.Time) {
	if !t.due(now) {
		return
	}
	t.expire(now)
	suspicions := t.suspicions(now)
	t.evaluated, t.changed, t.settled = now, false, true
	t.bans = nil
	for _, failure := range t.failures {
		failure.Held, failure.kept = false, false
		t.settled = t.settled && now.Sub(failure.at) >= settleTime
	}
	if len(suspicions) == 0 {
		return
	}
	incidents := incidentsOf(suspicions)
	causes, explained := causesOf(suspicions, incidents)
	for t.clear(causes, suspicions, incidents, explained) {
		causes, explained = causesOf(suspicions, incidents)
	}
	for _, c := range causes {
		t.bans = append(t.bans, c.ban)
		for _, failure := range lastOfIncidents(c.failures, incidents) {
			failure.Held, failure.kept = true, true
		}
	}
	for _, s := range suspicions {
		if s.part && s.count >= keptThreshold {
			for _, failure := range lastOfIncidents(s.failures, incidents) {
				failure.kept = true
			}
		}
	}
}

// cause is a suspicion that holds, with its ban.
type cause struct {
	*suspicion

	ban Ban
}

// causesOf returns the suspicions that explain the crashes, and which crashes they explain.
func causesOf(suspicions []*suspicion, incidents map[*Failure]int) (causes []cause, explained map[int]bool) {
	explained = make(map[int]bool)
	for {
		worst := worstOf(suspicions, incidents, explained)
		if worst == nil {
			return causes, explained
		}
		causes = append(causes, cause{worst, worst.ban(suspicions)})
		for _, failure := range worst.failures {
			explained[incidents[failure]] = true
		}
	}
}

// ban returns the ban of a subject, together with the parts that were seen in just the same
// failures.
func (s *suspicion) ban(suspicions []*suspicion) Ban {
	ban := Ban{Part: s.part, Crashes: s.count, workspaces: make(map[string]bool), last: s.failures[len(s.failures)-1].at}
	for _, other := range suspicions {
		if other == s || s.part && other.part && slices.Equal(other.failures, s.failures) {
			ban.Subjects = append(ban.Subjects, other.subject)
		}
	}
	slices.SortFunc(ban.Subjects, compareFingerprints)
	for _, failure := range s.failures {
		ban.workspaces[failure.Workspace] = true
	}
	return ban
}

func compareFingerprints(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) }

// lastOfIncidents returns the last failure of each of the last heldIncidents incidents.
func lastOfIncidents(failures []*Failure, incidents map[*Failure]int) []*Failure {
	var last []*Failure
	seen := make(map[int]bool)
	for _, failure := range slices.Backward(failures) {
		if incident := incidents[failure]; !seen[incident] && len(last) < heldIncidents {
			seen[incident] = true
			last = append(last, failure)
		}
	}
	return last
}

// incidentsOf assigns each failure the number of its incident: the reports on one server
// within incidentTime.
func incidentsOf(suspicions []*suspicion) map[*Failure]int {
	incidents := make(map[*Failure]int)
	var all []*Failure
	for _, s := range suspicions {
		for _, failure := range s.failures {
			if _, found := incidents[failure]; !found {
				incidents[failure] = 0
				all = append(all, failure)
			}
		}
	}
	slices.SortFunc(all, compareFailures)
	type begun struct {
		at     time.Time
		number int
	}
	last := make(map[string]begun)
	for number, failure := range all {
		known, found := last[failure.Server]
		if !found || failure.at.Sub(known.at) >= incidentTime {
			known = begun{failure.at, number}
			last[failure.Server] = known
		}
		incidents[failure] = known.number
	}
	return incidents
}

// suspicions returns the subjects with several failures that no success followed, in a
// fixed order.
func (t *Tracker) suspicions(now time.Time) []*suspicion {
	var all []*suspicion
	for subject, failures := range t.bySubject {
		if len(failures) < keptThreshold {
			continue
		}
		success := t.successes.last(subject)
		s := &suspicion{subject: subject}
		for _, failure := range failures {
			s.part = subject != failure.Request
			if failure.at.After(success) && s.counts(now, failure) {
				s.failures = append(s.failures, failure)
			}
		}
		if len(s.failures) >= keptThreshold {
			slices.SortFunc(s.failures, compareFailures)
			all = append(all, s)
		}
	}
	slices.SortFunc(all, func(a, b *suspicion) int { return compareFingerprints(a.subject, b.subject) })
	return all
}

// counts reports whether a failure is neither too young nor too old to count. One against
// a request on which no ban rests ends to count before failures that clear the request are
// dropped.
func (s *suspicion) counts(now time.Time, failure *Failure) bool {
	if s.part {
		return now.Sub(failure.at) >= settleTime
	}
	return failure.Held || now.Sub(failure.at) < failureTTL-2*clearWindow
}

func (s *suspicion) threshold() int {
	if s.part {
		return partThreshold
	}
	return requestThreshold
}

// worstOf returns the subject with the most crashes that are not explained, or nil if none
// has enough of them. A part with enough crashes in all needs few that are not explained:
// two parts that crash servers come in the same crashes.
func worstOf(suspicions []*suspicion, incidents map[*Failure]int, explained map[int]bool) *suspicion {
	var worst *suspicion
	for _, s := range suspicions {
		s.count = s.unexplained(incidents, explained)
		if !s.enough(incidents) {
			continue
		}
		if worst == nil || cmp.Or(
			cmp.Compare(s.count, worst.count),
			cmp.Compare(flag(s.part), flag(worst.part)),
			cmp.Compare(len(s.failures), len(worst.failures)),
			compareFingerprints(worst.subject, s.subject)) > 0 {
			worst = s
		}
	}
	return worst
}

// enough reports whether there are enough crashes for a ban.
func (s *suspicion) enough(incidents map[*Failure]int) bool {
	if s.count >= s.threshold() {
		return true
	}
	return s.part && s.count >= keptThreshold && s.unexplained(incidents, nil) >= s.threshold()
}

// unexplained counts the crashes that no ban explains.
func (s *suspicion) unexplained(incidents map[*Failure]int, explained map[int]bool) int {
	count, together := 0, 0
	seen := make(map[int]bool)
	var first time.Time // of those that are close to each other
	for _, failure := range s.failures {
		incident := incidents[failure]
		if seen[incident] || explained[incident] {
			continue
		}
		seen[incident] = true
		if together == 0 || failure.at.Sub(first) >= crashSpacing {
			first, together = failure.at, 0
		}
		if together++; !s.part || together <= closeCrashes {
			count++
		}
	}
	return count
}
