package suspect

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

const (
	// requestThreshold is the number of failures from which a request is assumed to
	// crash every backend server that runs it. A failure may be a lost connection
	// instead of a crash, so two could be chance.
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

// Key identifies the ban for the choice of the process that grants its trials.
func (b *Ban) Key() Fingerprint { return b.Subjects[0] }

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

// evaluate computes the bans. Each crash has one cause: the subject with the most crashes
// is banned first, and what it explains does not count against the others.
func (t *Tracker) evaluate(now time.Time) {
	interval := evaluateInterval
	if t.settled {
		interval = settledInterval
	}
	if !t.evaluated.IsZero() && now.Sub(t.evaluated) < interval && !now.Before(t.evaluated) {
		return
	}
	t.evaluated, t.settled = now, true
	t.bans = nil
	t.expire(now)
	if len(t.failures) == 0 {
		return
	}
	all := t.sorted()
	for _, failure := range all {
		failure.held, failure.kept = false, false
	}
	t.settled = len(all) == 0 || now.Sub(all[len(all)-1].at) >= settleTime
	incidents := incidentsOf(all)
	suspicions := t.suspicions(now, all)
	explained := make(map[int]bool)
	for {
		worst := worstOf(suspicions, incidents, explained)
		if worst == nil {
			break
		}
		ban := Ban{Part: worst.part, Crashes: worst.count, workspaces: make(map[string]bool), last: worst.failures[len(worst.failures)-1].at}
		for _, other := range suspicions {
			if other == worst || worst.part && other.part && slices.Equal(other.failures, worst.failures) {
				ban.Subjects = append(ban.Subjects, other.subject)
			}
		}
		slices.SortFunc(ban.Subjects, func(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) })
		for _, failure := range worst.failures {
			ban.workspaces[failure.Workspace] = true
			explained[incidents[failure]] = true
		}
		for _, failure := range lastOfIncidents(worst.failures, incidents) {
			failure.held, failure.kept = true, true
		}
		t.bans = append(t.bans, ban)
	}
	for _, s := range suspicions {
		if s.part && s.count >= keptThreshold {
			for _, failure := range lastOfIncidents(s.failures, incidents) {
				failure.kept = true
			}
		}
	}
}

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
func incidentsOf(failures []*Failure) map[*Failure]int {
	type begun struct {
		at     time.Time
		number int
	}
	incidents := make(map[*Failure]int, len(failures))
	last := make(map[string]begun)
	for _, failure := range failures {
		known, found := last[failure.Server]
		if !found || failure.at.Sub(known.at) >= incidentTime {
			known = begun{failure.at, len(incidents)}
			last[failure.Server] = known
		}
		incidents[failure] = known.number
	}
	return incidents
}

// suspicions returns the subjects with failures that no success followed.
func (t *Tracker) suspicions(now time.Time, failures []*Failure) []*suspicion {
	bySubject := make(map[Fingerprint]*suspicion)
	var all []*suspicion
	for _, failure := range failures {
		failure.subjects(func(subject Fingerprint) {
			part := subject != failure.Request
			if !failure.at.After(t.successes.last(subject)) || part && now.Sub(failure.at) < settleTime {
				return
			}
			known := bySubject[subject]
			if known == nil {
				known = &suspicion{subject: subject, part: part}
				bySubject[subject] = known
				all = append(all, known)
			}
			if n := len(known.failures); n == 0 || known.failures[n-1] != failure {
				known.failures = append(known.failures, failure)
			}
		})
	}
	return slices.DeleteFunc(all, func(s *suspicion) bool { return len(s.failures) < min(s.threshold(), keptThreshold) })
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
			bytes.Compare(worst.subject[:], s.subject[:])) > 0 {
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

// Verdict says what may be done with a request.
type Verdict struct {
	// State is Suspect if the request may be sent once it has been granted a trial.
	State State
	Ban   Ban // unless State is Clean
}

// Decide returns what may be done with a request.
func (t *Tracker) Decide(now time.Time, c *Candidate) Verdict {
	t.evaluate(now)
	verdict := Verdict{State: Clean}
	for i := range t.bans {
		state := t.decide(now, c, &t.bans[i])
		if state == Refused || state == Suspect && verdict.State == Clean {
			verdict = Verdict{State: state, Ban: t.bans[i]}
		}
		if state == Refused {
			break
		}
	}
	return verdict
}

// decide returns what one ban says of a request.
func (t *Tracker) decide(now time.Time, c *Candidate, ban *Ban) State {
	matching := 0
	c.subjects(func(subject Fingerprint) bool {
		if slices.Contains(ban.Subjects, subject) {
			matching++
		}
		return true
	})
	if matching == 0 {
		return Clean
	}
	trials, last := t.trialsOf(ban)
	underWay := !last.IsZero() && now.Sub(last) < trialTime && !ban.last.After(last)
	if underWay {
		return Refused
	}
	pause := banTTL
	since := ban.last
	if last.After(since) {
		since = last
	}
	if trials < len(trialPauses) {
		pause = trialPauses[trials]
		// What such a request does tells more than another one of the same.
		if matching < len(ban.Subjects) || ban.Part && !ban.workspaces[c.Workspace] {
			pause = 0
		}
	}
	if now.Sub(since) < pause {
		return Refused
	}
	return Suspect
}

// trialsOf returns how many trials a ban has had, and when the last one was granted.
func (t *Tracker) trialsOf(ban *Ban) (count int, last time.Time) {
	for _, trial := range t.trials {
		if !slices.ContainsFunc(trial.Subjects, func(subject Fingerprint) bool {
			return slices.Contains(ban.Subjects, subject) && trial.at.After(t.successes.last(subject))
		}) {
			continue
		}
		count++
		if trial.at.After(last) {
			last = trial.at
		}
	}
	return count, last
}

// Grant lets a request be sent as the trial of a ban, if one is due. One process at a time
// grants the trials of a ban, for all. The result is to be sent to the other processes.
func (t *Tracker) Grant(now time.Time, id string, c *Candidate) (Evidence, bool) {
	verdict := t.Decide(now, c)
	if verdict.State != Suspect {
		return Evidence{}, verdict.State == Clean
	}
	trial := Trial{ID: id, at: now}
	for i := range t.bans {
		c.subjects(func(subject Fingerprint) bool {
			if slices.Contains(t.bans[i].Subjects, subject) {
				trial.Subjects = append(trial.Subjects, subject)
			}
			return true
		})
	}
	evidence := Evidence{Trials: []Trial{trial}}
	t.Merge(now, evidence)
	return evidence, true
}
