package suspect

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var (
	noon     = time.Date(2026, 5, 1, 12, 0, 0, 0, time.UTC)
	crashing = FingerprintOf("w1", []byte("crashes"))
)

// after returns the time that many seconds after noon.
func after(seconds float64) time.Time {
	return noon.Add(time.Duration(seconds * float64(time.Second)))
}

func part(id uint64) Fingerprint { return PartFingerprint("llm", id) }

func parts(ids ...uint64) []Fingerprint {
	var all []Fingerprint
	for _, id := range ids {
		all = append(all, part(id))
	}
	return all
}

// attempt is one attempt of a request that is like no other one.
type attempt struct {
	at        float64 // seconds after noon
	server    string
	workspace string
	parts     []uint64
	lost      bool // its connection was lost
	crash     bool // its server ended
}

// take records what became of an attempt.
func (a *attempt) take(tracker *Tracker, number int) {
	own := FingerprintOf(a.workspace, fmt.Append(nil, number))
	if a.lost || a.crash {
		tracker.RecordFailure(after(a.at), Failure{
			ID: fmt.Sprint(number), Server: a.server, Workspace: a.workspace, Request: own, Parts: parts(a.parts...), Crash: a.crash,
		})
		return
	}
	tracker.RecordSuccess(after(a.at), &Candidate{Workspace: a.workspace, Request: own, Parts: parts(a.parts...)})
}

func crashes(ids ...uint64) []attempt {
	var all []attempt
	for i := range 5 {
		all = append(all, attempt{at: float64(i), server: fmt.Sprint(i), workspace: "w1", parts: ids, crash: true})
	}
	return all
}

func TestRepeatedFailuresRefuseRequest(t *testing.T) {
	type step struct {
		at     float64 // seconds after noon
		server string  // whose attempt failed; "-" for a complete answer, "" for no attempt
		want   State
	}
	cases := []struct {
		name  string
		steps []step
	}{
		{"three servers, one trial after the pause, a longer pause", []step{
			{0, "a", Clean}, {1, "b", Clean}, {2, "c", Refused}, {16.9, "", Refused}, {17, "", Suspect},
			{18, "d", Refused}, {137, "", Refused}, {138, "", Suspect},
		}},
		{"one crash reported twice counts once", []step{{0, "a", Clean}, {0.5, "a", Clean}, {1, "b", Clean}, {1.2, "b", Clean}}},
		{"a restarted server crashes again", []step{{0, "a", Clean}, {4, "a", Clean}, {8, "a", Refused}}},
		{"an answer clears", []step{{0, "a", Clean}, {1, "b", Clean}, {2, "-", Clean}, {3, "c", Clean}, {4, "d", Clean}}},
		{"old failures don't count", []step{{0, "a", Clean}, {1, "b", Clean}, {601, "c", Clean}}},
	}
	for _, c := range cases {
		var tracker Tracker
		candidate := Candidate{Workspace: "w1", Request: crashing}
		for i, s := range c.steps {
			if tracker.Decide(after(s.at), &candidate).State == Suspect {
				_, granted := tracker.Grant(after(s.at), fmt.Sprint("trial", i), &candidate)
				require.True(t, granted)
			}
			switch s.server {
			case "":
			case "-":
				tracker.RecordSuccess(after(s.at), &candidate)
			default:
				tracker.RecordFailure(after(s.at), Failure{ID: fmt.Sprint(i), Server: s.server, Request: crashing, Crash: true})
			}
			state := tracker.Decide(after(s.at), &candidate).State
			if s.want == Suspect {
				require.Equal(t, Refused, state, "%s, step %d: one trial at a time", c.name, i)
				continue
			}
			require.Equal(t, s.want, state, "%s, step %d", c.name, i)
		}
	}
}

func TestOtherRequestsAreNotRefused(t *testing.T) {
	var tracker Tracker
	require.True(t, tracker.Empty())
	for i := range 3 {
		tracker.RecordFailure(noon, Failure{ID: fmt.Sprint(i), Server: fmt.Sprint(i), Request: crashing, Crash: true})
	}
	require.Equal(t, Refused, tracker.Decide(noon, &Candidate{Request: crashing}).State)
	require.Equal(t, Clean, tracker.Decide(noon, &Candidate{Request: FingerprintOf("w2", []byte("crashes"))}).State)
}

// Each case is a course of attempts and what may be done afterwards with requests that
// have certain parts.
func TestWhichPartIsBanned(t *testing.T) {
	rack := func(at float64, ids ...uint64) []attempt {
		var all []attempt
		for i := range 12 {
			all = append(all, attempt{at: at + float64(i)/200, server: fmt.Sprint(i), workspace: "w1", parts: ids, crash: true})
		}
		return all
	}
	lost := func(ids ...uint64) []attempt {
		all := crashes(ids...)
		for i := range all {
			all[i].crash, all[i].lost = false, true
		}
		return all
	}
	well := func(at float64, ids ...uint64) attempt {
		return attempt{at: at, server: "x", workspace: "w1", parts: ids}
	}
	beside := func(course []attempt, ids ...uint64) []attempt {
		all := slices.Clone(course)
		for _, a := range course {
			a.parts = ids
			all = append(all, a)
		}
		return all
	}
	later := crashes(1, 9)
	for i := range later {
		later[i].at, later[i].server = later[i].at+0.5, "later-"+later[i].server
	}
	cases := []struct {
		name    string
		course  []attempt
		refused [][]uint64
		tried   [][]uint64 // sent as trials
		clean   [][]uint64
	}{
		{"after a shared part that others run with", append(crashes(1, 7), well(4.1, 1)), [][]uint64{{1, 7}, {7}, {2, 7}}, nil, [][]uint64{{1}, {2}}},
		{"before it", append(crashes(7, 1), well(4.1, 1)), [][]uint64{{7, 1}, {7}}, nil, [][]uint64{{1}}},
		{"in the middle", append(crashes(1, 7, 2), well(4.1, 1), well(4.1, 2)), [][]uint64{{1, 7, 2}, {7}}, nil, [][]uint64{{1}, {1, 2}}},
		{"beside one that is only ever seen with it", append(crashes(1, 7, 8), well(4.1, 1)), [][]uint64{{1, 7, 8}}, [][]uint64{{7}, {8}}, [][]uint64{{1}}},
		{"told apart by another request", append(crashes(1, 7, 8), well(4.1, 1, 8)), [][]uint64{{1, 7, 8}, {7}}, nil, [][]uint64{{8}}},
		{"two at once", append(append(crashes(1, 7), later...), well(5, 1)), [][]uint64{{7}, {9}}, nil, [][]uint64{{1}}},
		{"requests that ran beside it", append(beside(crashes(1, 7), 3), well(4.1, 3), well(4.1, 1)), [][]uint64{{7}}, nil, [][]uint64{{3}, {1}}},
		{"too few crashes", crashes(1, 7)[:3], nil, nil, [][]uint64{{1, 7}}},
		{"connections that were lost otherwise", lost(1, 7), nil, nil, [][]uint64{{1, 7}}},
		{"servers that ended together", rack(0, 1, 7), nil, nil, [][]uint64{{1, 7}}},
		{"one server that ended once, seen by many", []attempt{
			{at: 0, server: "a", parts: []uint64{7}, crash: true}, {at: 0.1, server: "a", parts: []uint64{7}, crash: true},
			{at: 0.2, server: "a", parts: []uint64{7}, crash: true}, {at: 0.3, server: "a", parts: []uint64{7}, crash: true},
		}, nil, nil, [][]uint64{{7}}},
		{"a run after the crashes", append(crashes(1, 7), well(5, 7), well(5, 1)), nil, nil, [][]uint64{{1, 7}}},
		{"runs before the crashes", append([]attempt{well(-1, 7), well(-1, 1)}, append(crashes(1, 7), well(4.1, 1))...), [][]uint64{{7}}, nil, [][]uint64{{1}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var tracker Tracker
			for i := range c.course {
				c.course[i].take(&tracker, i)
			}
			at := after(6)
			check := func(want State, requests [][]uint64) {
				for i, ids := range requests {
					candidate := Candidate{Workspace: "w1", Request: FingerprintOf("w1", fmt.Append(nil, "new", i)), Parts: parts(ids...)}
					require.Equal(t, want, tracker.Decide(at, &candidate).State, "%v", ids)
				}
			}
			check(Refused, c.refused)
			check(Suspect, c.tried)
			check(Clean, c.clean)
			other := Candidate{Workspace: "w1", Parts: []Fingerprint{PartFingerprint("other", 7)}}
			require.Equal(t, Clean, tracker.Decide(at, &other).State, "another model's servers run it")
		})
	}
}

// A ban has three trials, one at a time and further and further apart, for as long as such
// requests come. One that runs well ends it.
func TestTrialsAreFewAndEndABan(t *testing.T) {
	var tracker Tracker
	for i, a := range crashes(7) {
		a.take(&tracker, i)
	}
	candidate := Candidate{Workspace: "w1", Parts: parts(7)}
	trials := 0
	for second := 5; second < 12*60*60; second++ {
		now := after(float64(second))
		if tracker.Decide(now, &candidate).State != Suspect {
			continue
		}
		trials++
		id := fmt.Sprint("trial", trials)
		_, granted := tracker.Grant(now, id, &candidate)
		require.True(t, granted)
		require.Equal(t, Refused, tracker.Decide(now, &candidate).State)
		tracker.RecordFailure(now.Add(time.Second), Failure{ID: id, Server: id, Workspace: "w1", Parts: parts(7), Crash: true})
	}
	require.Equal(t, 3, trials)
	require.Equal(t, Refused, tracker.Decide(after(12*60*60), &candidate).State)
	fresh := Candidate{Workspace: "w2", Parts: parts(7)}
	require.Equal(t, Refused, tracker.Decide(after(12*60*60), &fresh).State, "another workspace's request is no fourth")
	nextDay := after(26 * 60 * 60)
	require.NotEqual(t, Refused, tracker.Decide(nextDay, &candidate).State)
	tracker.RecordSuccess(nextDay, &candidate)
	require.Equal(t, Clean, tracker.Decide(nextDay.Add(time.Second), &candidate).State)
}

// A workspace that crashes servers with another one's parts in its prompts can't deny that
// one its service: its next request is tried at once, and ends the ban.
func TestAnotherWorkspaceIsTriedAtOnce(t *testing.T) {
	var tracker Tracker
	for i, a := range crashes(7) {
		a.take(&tracker, i)
	}
	now := after(5)
	victim := Candidate{Workspace: "w2", Parts: parts(7)}
	require.Equal(t, Suspect, tracker.Decide(now, &victim).State)
	require.Equal(t, Refused, tracker.Decide(now, &Candidate{Workspace: "w1", Parts: parts(7)}).State)
	_, granted := tracker.Grant(now, "trial", &victim)
	require.True(t, granted)
	tracker.RecordSuccess(now.Add(time.Second), &victim)
	require.Equal(t, Clean, tracker.Decide(now.Add(2*time.Second), &victim).State)
}

// What bans rest on is neither crowded out nor lost with all processes.
func TestBansAreKept(t *testing.T) {
	var tracker Tracker
	number := 0
	for _, a := range crashes(7) {
		a.take(&tracker, number)
		number++
	}
	require.Len(t, tracker.Bans(after(5)), 1)
	for range 2 * maxFailures {
		a := attempt{at: 6, server: fmt.Sprint(number), workspace: "w2", parts: []uint64{uint64(1000 + number)}, crash: true}
		a.take(&tracker, number)
		number++
	}
	require.LessOrEqual(t, len(tracker.failures), maxFailures)
	candidate := Candidate{Workspace: "w1", Parts: parts(7)}
	require.Equal(t, Refused, tracker.Decide(after(7), &candidate).State)
	data, err := json.Marshal(tracker.Keep(after(7)))
	require.NoError(t, err)
	require.Less(t, len(data), 8<<10)
	var kept Evidence
	require.NoError(t, json.Unmarshal(data, &kept))
	var restarted Tracker
	restarted.Merge(after(8), kept.Aged(time.Second))
	require.Equal(t, Refused, restarted.Decide(after(8), &candidate).State)
	require.Equal(t, tracker.Digest(after(30)), restarted.Digest(after(30)))
}

func TestTrackerIsBounded(t *testing.T) {
	var tracker Tracker
	for i := range maxFailures + 10 {
		tracker.RecordFailure(noon.Add(time.Duration(i)), Failure{ID: fmt.Sprint(i), Server: "a", Request: FingerprintOf("w", fmt.Append(nil, i)), Crash: true})
		tracker.RecordSuccess(noon, &Candidate{Parts: parts(uint64(5000+i), uint64(50000+i))})
	}
	require.Len(t, tracker.failures, maxFailures)
	require.LessOrEqual(t, len(tracker.successes.newer)+len(tracker.successes.older), 2*maxSubjects)
	many := make([]Fingerprint, 2*maxParts)
	tracker.RecordFailure(noon.Add(time.Second), Failure{ID: "many", Parts: many, Crash: true})
	require.Len(t, tracker.failures["many"].Parts, maxParts)
	require.LessOrEqual(t, len(tracker.News(noon).Failures), maxNews)
}

// Processes that exchange all evidence decide alike, in whatever order and however often it
// comes.
func TestDecisionsAreIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var told []Evidence
		number := 0
		for range rapid.IntRange(0, 20).Draw(t, "attempts") {
			number++
			ids := rapid.SliceOfN(rapid.Uint64Range(1, 4), 1, 3).Draw(t, "parts")
			age := Age(rapid.IntRange(10, 400).Draw(t, "age")) * Age(100*time.Millisecond)
			if rapid.IntRange(0, 4).Draw(t, "well") == 0 {
				told = append(told, Evidence{Successes: []Success{{Subject: part(ids[0]), Age: age}}})
				continue
			}
			failure := Failure{
				ID: fmt.Sprint(number), Server: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "server"), Workspace: "w1",
				Request: crashing, Parts: parts(ids...), Age: age,
			}
			told = append(told, Evidence{Failures: []Failure{failure}})
			if rapid.Bool().Draw(t, "crash") {
				failure.Crash = true
				told = append(told, Evidence{Failures: []Failure{failure}})
			}
		}
		now := after(60)
		var one, other Tracker
		for _, evidence := range told {
			one.Merge(now, evidence)
		}
		for _, evidence := range rapid.Permutation(append(told, told...)).Draw(t, "order") {
			other.Merge(now, evidence)
		}
		require.Equal(t, one.Bans(now), other.Bans(now))
		require.Equal(t, one.Digest(now), other.Digest(now))
		var late Tracker
		late.Merge(now, one.Export(now))
		require.Equal(t, one.Bans(now), late.Bans(now), "a process that is told what another one knows")
	})
}

// A process that has not been told of the success that ended a ban must not pass for one that
// knows the same: it would refuse the request until the ban expires, with the reply that the
// message was lost.
func TestLostSuccessShowsInTheDigest(t *testing.T) {
	var one, other Tracker
	course := crashes(1, 7)
	for i := range partThreshold {
		course[i].take(&one, i)
	}
	other.Merge(after(4), one.Export(after(4)))
	require.NotEmpty(t, other.Bans(after(4)))
	require.Equal(t, one.Digest(after(4)), other.Digest(after(4)))
	one.RecordSuccess(after(5), &Candidate{Workspace: "w1", Parts: parts(1)})
	require.NotEqual(t, one.Bans(after(5)), other.Bans(after(5)))
	require.NotEqual(t, one.Digest(after(5)), other.Digest(after(5)))
	other.Merge(after(5), one.Export(after(5)))
	require.Equal(t, one.Digest(after(6)), other.Digest(after(6)))
}

// After a crash, only a success that others may lack is told: that of a part that crashes
// have come close to a ban, once by one process, and that of a request that had failed.
func TestSuccessIsToldWhereItMatters(t *testing.T) {
	var one, other Tracker
	course := crashes(1, 7)
	well := Candidate{Workspace: "w1", Parts: parts(1)}
	for i := range partThreshold - 2 {
		course[i].take(&one, i)
	}
	one.RecordSuccess(after(1.5), &well)
	require.Empty(t, one.News(after(1.5)).Successes)
	course[partThreshold-2].take(&one, partThreshold-2)
	one.RecordSuccess(after(3), &well)
	other.Merge(after(3), one.Export(after(3)))
	other.RecordSuccess(after(3.1), &well)
	told := one.News(after(3.1))
	require.Equal(t, part(1), told.Successes[0].Subject)
	require.Len(t, told.Successes, 1)
	other.Merge(after(3.2), told)
	require.Empty(t, other.News(after(3.3)).Successes, "another process has told it")
	one.RecordSuccess(after(4), &well)
	require.Empty(t, one.News(after(4)).Successes, "nothing has happened since")

	one.RecordFailure(after(5), Failure{ID: "x", Server: "x", Request: crashing, Crash: true})
	one.RecordSuccess(after(6), &Candidate{Request: crashing})
	require.Equal(t, crashing, one.News(after(6)).Successes[0].Subject)
}

func TestBatchesHoldAllEvidenceAndFailuresLast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var evidence Evidence
		for i := range rapid.IntRange(0, 60).Draw(t, "failures") {
			parts := make([]Fingerprint, rapid.IntRange(0, maxParts).Draw(t, "parts"))
			evidence.Failures = append(evidence.Failures, Failure{ID: fmt.Sprint(i), Parts: parts})
		}
		evidence.Successes = make([]Success, rapid.IntRange(0, 3*batchSize).Draw(t, "successes"))
		for i := range rapid.IntRange(0, maxTrialRecords).Draw(t, "trials") {
			evidence.Trials = append(evidence.Trials, Trial{ID: fmt.Sprint(i), Subjects: make([]Fingerprint, 4)})
		}
		var all Evidence
		for _, batch := range evidence.Batches() {
			size := len(batch.Successes) + 5*len(batch.Trials)
			for i := range batch.Failures {
				size += 1 + len(batch.Failures[i].Parts)
			}
			require.LessOrEqual(t, size, batchSize)
			require.False(t, batch.Empty())
			require.False(t, len(batch.Successes) > 0 && len(all.Failures) > 0)
			all.Failures = append(all.Failures, batch.Failures...)
			all.Successes = append(all.Successes, batch.Successes...)
			all.Trials = append(all.Trials, batch.Trials...)
		}
		require.Len(t, all.Successes, len(evidence.Successes))
		require.Equal(t, evidence.Failures, all.Failures)
		require.Equal(t, evidence.Trials, all.Trials)
	})
}
