package suspect

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// Merge takes in what another entry saw, and drops what no longer counts.
func (r *Registry) Merge(now time.Time, update Update) {
	for _, clearing := range update.CleanRuns {
		rec := r.record(clearing.Workspace, clearing.Fingerprint)
		if clearing.At.After(rec.cleared) {
			rec.cleared = clearing.At
		}
	}
	for _, sighting := range update.Crashes {
		r.record(sighting.Workspace, sighting.Fingerprint).add(sighting)
	}
	r.expire(now)
}

// Export returns all that is known, for an entry that has just started.
func (r *Registry) Export() Update {
	var update Update
	for workspace, prints := range r.workspaces {
		for fingerprint, rec := range prints {
			update.Crashes = append(update.Crashes, rec.seen...)
			if !rec.cleared.IsZero() {
				update.CleanRuns = append(update.CleanRuns, CleanRun{Workspace: workspace, Fingerprint: fingerprint, At: rec.cleared})
			}
		}
	}
	slices.SortFunc(update.Crashes, compareSightings)
	slices.SortFunc(update.CleanRuns, func(a, b CleanRun) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Workspace, b.Workspace), bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	return update
}

func compareSightings(a, b CrashReport) int {
	return cmp.Or(
		a.At.Compare(b.At),
		cmp.Compare(a.Crash, b.Crash),
		cmp.Compare(a.Workspace, b.Workspace),
		bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]))
}

func (r *Registry) record(workspace string, fingerprint Fingerprint) *record {
	if r.workspaces == nil {
		r.workspaces = make(map[string]map[Fingerprint]*record)
	}
	prints := r.workspaces[workspace]
	if prints == nil {
		prints = make(map[Fingerprint]*record)
		r.workspaces[workspace] = prints
	}
	rec := prints[fingerprint]
	if rec == nil {
		rec = &record{}
		prints[fingerprint] = rec
	}
	return rec
}

// add counts a sighting once for each crash. Two entries that saw the same crash
// may have different clocks: the earlier time stays, whichever came first.
func (rec *record) add(sighting CrashReport) {
	if known := rec.at(sighting.Crash); known != nil {
		known.Alone = known.Alone && sighting.Alone
		known.PastProbation = known.PastProbation && sighting.PastProbation
		if sighting.At.Before(known.At) {
			known.At = sighting.At
		}
	} else {
		rec.seen = append(rec.seen, sighting)
	}
	slices.SortFunc(rec.seen, compareSightings)
	if extra := len(rec.seen) - maxCrashes; extra > 0 {
		rec.seen = slices.Delete(rec.seen, 0, extra)
	}
}

// expire drops what no longer counts, and the oldest of a workspace that has
// too much.
func (r *Registry) expire(now time.Time) {
	for workspace, prints := range r.workspaces {
		for fingerprint, rec := range prints {
			if now.Sub(rec.latest()) >= provenExpiry {
				delete(prints, fingerprint)
			}
		}
		for len(prints) > maxPrints {
			delete(prints, oldest(prints))
		}
		if len(prints) == 0 {
			delete(r.workspaces, workspace)
		}
	}
}

// latest returns the time of the last thing that was learned of a request.
func (rec *record) latest() time.Time {
	latest := rec.cleared
	for i := range rec.seen {
		if rec.seen[i].At.After(latest) {
			latest = rec.seen[i].At
		}
	}
	return latest
}

func oldest(prints map[Fingerprint]*record) Fingerprint {
	var found Fingerprint
	var since time.Time
	for fingerprint, rec := range prints {
		at := rec.latest()
		if since.IsZero() || at.Before(since) || (at.Equal(since) && bytes.Compare(fingerprint[:], found[:]) < 0) {
			found, since = fingerprint, at
		}
	}
	return found
}
