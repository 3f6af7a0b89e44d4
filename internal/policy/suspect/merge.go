package suspect

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// Merge adds the crash reports and clean runs of another entry, and drops those
// that have expired.
func (r *Registry) Merge(now time.Time, update Update) {
	for _, run := range update.CleanRuns {
		rec := r.findOrCreate(run.Workspace, run.Fingerprint)
		if run.At.After(rec.lastCleanRun) {
			rec.lastCleanRun = run.At
		}
	}
	for _, report := range update.Crashes {
		r.findOrCreate(report.Workspace, report.Fingerprint).add(report)
	}
	r.expire(now)
}

// Export returns all crash reports and clean runs, for an entry that has just
// started.
func (r *Registry) Export() Update {
	var update Update
	for workspace, requests := range r.workspaces {
		for fingerprint, rec := range requests {
			update.Crashes = append(update.Crashes, rec.crashes...)
			if !rec.lastCleanRun.IsZero() {
				update.CleanRuns = append(update.CleanRuns, CleanRun{Workspace: workspace, Fingerprint: fingerprint, At: rec.lastCleanRun})
			}
		}
	}
	slices.SortFunc(update.Crashes, compareReports)
	slices.SortFunc(update.CleanRuns, func(a, b CleanRun) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Workspace, b.Workspace), bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	return update
}

func compareReports(a, b CrashReport) int {
	return cmp.Or(
		a.At.Compare(b.At),
		cmp.Compare(a.Crash, b.Crash),
		cmp.Compare(a.Workspace, b.Workspace),
		bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]))
}

func (r *Registry) findOrCreate(workspace string, fingerprint Fingerprint) *record {
	if r.workspaces == nil {
		r.workspaces = make(map[string]map[Fingerprint]*record)
	}
	requests := r.workspaces[workspace]
	if requests == nil {
		requests = make(map[Fingerprint]*record)
		r.workspaces[workspace] = requests
	}
	rec := requests[fingerprint]
	if rec == nil {
		rec = &record{}
		requests[fingerprint] = rec
	}
	return rec
}

// add adds a report, or merges it into the report of the same crash. Two entries that
// report the same crash may have different clocks: the earlier time is kept, in any
// order of arrival.
func (rec *record) add(report CrashReport) {
	if known := rec.reportOf(report.Crash); known != nil {
		known.Alone = known.Alone && report.Alone
		known.PastProbation = known.PastProbation && report.PastProbation
		if report.At.Before(known.At) {
			known.At = report.At
		}
	} else {
		rec.crashes = append(rec.crashes, report)
	}
	slices.SortFunc(rec.crashes, compareReports)
	if excess := len(rec.crashes) - maxCrashes; excess > 0 {
		rec.crashes = slices.Delete(rec.crashes, 0, excess)
	}
}

// expire drops the requests whose records have expired, and the oldest ones of a
// workspace that has more than maxRequestsPerWorkspace.
func (r *Registry) expire(now time.Time) {
	for workspace, requests := range r.workspaces {
		for fingerprint, rec := range requests {
			if now.Sub(rec.lastTime()) >= aloneReportTTL {
				delete(requests, fingerprint)
			}
		}
		for len(requests) > maxRequestsPerWorkspace {
			delete(requests, oldest(requests))
		}
		if len(requests) == 0 {
			delete(r.workspaces, workspace)
		}
	}
}

// lastTime returns the time of a request's last crash report or clean run.
func (rec *record) lastTime() time.Time {
	last := rec.lastCleanRun
	for i := range rec.crashes {
		if rec.crashes[i].At.After(last) {
			last = rec.crashes[i].At
		}
	}
	return last
}

// oldest returns the request whose last crash report or clean run is the oldest;
// among equals, the one with the lowest fingerprint.
func oldest(requests map[Fingerprint]*record) Fingerprint {
	var found Fingerprint
	var foundTime time.Time
	for fingerprint, rec := range requests {
		at := rec.lastTime()
		if foundTime.IsZero() || at.Before(foundTime) || (at.Equal(foundTime) && bytes.Compare(fingerprint[:], found[:]) < 0) {
			found, foundTime = fingerprint, at
		}
	}
	return found
}
