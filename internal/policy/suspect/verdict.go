package suspect

import (
	"slices"
	"time"
)

// Verdict says what may be done with a request.
type Verdict struct {
	// State is Suspect if the request may be sent once it has been granted a trial.
	State State
	Ban   Ban           // unless State is Clean
	Wait  time.Duration // until the next trial may be granted, if State is Refused
}

// Decide returns what may be done with a request.
func (t *Tracker) Decide(now time.Time, c *Candidate) Verdict {
	t.evaluate(now)
	verdict := Verdict{State: Clean}
	for i := range t.bans {
		state, wait := t.decide(now, c, &t.bans[i])
		if state == Refused || state == Suspect && verdict.State == Clean {
			verdict = Verdict{State: state, Ban: t.bans[i], Wait: wait}
		}
		if state == Refused {
			break
		}
	}
	return verdict
}

// decide returns what one ban says of a request, and how long it does so.
func (t *Tracker) decide(now time.Time, c *Candidate, ban *Ban) (State, time.Duration) {
	matching := 0
	c.subjects(func(subject Fingerprint) {
		if slices.Contains(ban.Subjects, subject) {
			matching++
		}
	})
	if matching == 0 {
		return Clean, 0
	}
	trials, last := t.trialsOf(ban)
	underWay := !last.IsZero() && now.Sub(last) < trialTime && !ban.last.After(last)
	if underWay {
		return Refused, trialTime - now.Sub(last)
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
	if wait := pause - now.Sub(since); wait > 0 {
		return Refused, wait
	}
	return Suspect, 0
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
// grants the trials of a ban, for all. The evidence is for the process that asked for it.
func (t *Tracker) Grant(now time.Time, id string, c *Candidate) (Evidence, bool) {
	evidence, granted := t.Offer(now, id, c)
	t.RecordTrials(now, evidence)
	return evidence, granted
}

// Offer is Grant without the record: the trial counts only once RecordTrials takes it in.
func (t *Tracker) Offer(now time.Time, id string, c *Candidate) (Evidence, bool) {
	verdict := t.Decide(now, c)
	if verdict.State != Suspect {
		return Evidence{}, verdict.State == Clean
	}
	trial := Trial{ID: id, at: now}
	for i := range t.bans {
		c.subjects(func(subject Fingerprint) {
			if slices.Contains(t.bans[i].Subjects, subject) {
				trial.Subjects = append(trial.Subjects, subject)
			}
		})
	}
	return Evidence{Trials: []Trial{trial}}, true
}

// RecordTrials takes in trials that this process grants.
func (t *Tracker) RecordTrials(now time.Time, granted Evidence) {
	t.Merge(now, Evidence{Trials: granted.Trials})
	for i := range granted.Trials {
		note(&t.news.trials, granted.Trials[i].ID)
	}
}
