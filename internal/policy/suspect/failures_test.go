package suspect

import (
	"fmt"
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
		{"three servers, one attempt after the backoff, a longer backoff", []step{
			{0, "a", Clean}, {1, "b", Clean}, {2, "c", Refused}, {6.9, "", Refused}, {7, "", Suspect},
			{8, "d", Refused}, {17, "", Refused}, {18, "", Suspect},
		}},
		{"one crash reported twice counts once", []step{{0, "a", Clean}, {0.5, "a", Clean}, {1, "b", Clean}, {1.2, "b", Clean}}},
		{"a restarted server crashes again", []step{{0, "a", Clean}, {4, "a", Clean}, {8, "a", Refused}}},
		{"an answer clears", []step{{0, "a", Clean}, {1, "b", Clean}, {2, "-", Clean}, {3, "c", Clean}, {4, "d", Clean}}},
		{"old failures don't count", []step{{0, "a", Clean}, {1, "b", Clean}, {601, "c", Clean}}},
	}
	for _, c := range cases {
		var tracker FailureTracker
		for i, s := range c.steps {
			switch s.server {
			case "":
			case "-":
				tracker.Record(after(s.at), Outcome{Fingerprint: crashing, At: after(s.at)})
			default:
				tracker.Record(after(s.at), Outcome{Fingerprint: crashing, Server: s.server, At: after(s.at)})
			}
			require.Equal(t, s.want, tracker.State(after(s.at), crashing), "%s, step %d", c.name, i)
		}
	}
}

func TestOtherRequestsAreNotRefused(t *testing.T) {
	var tracker FailureTracker
	require.True(t, tracker.Empty())
	for i := range 3 {
		tracker.Record(noon, Outcome{Fingerprint: crashing, Server: fmt.Sprint(i), At: noon})
	}
	require.Equal(t, Refused, tracker.State(noon, crashing))
	require.Equal(t, Clean, tracker.State(noon, FingerprintOf("w2", []byte("crashes"))))
	require.False(t, tracker.HasFailures(FingerprintOf("w1", []byte("does not"))))
}

// Processes that exchange all failures get the same state from them in any order
// and with repetitions.
func TestStateIsIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var failures []Outcome
		for range rapid.IntRange(0, 12).Draw(t, "breaks") {
			failures = append(failures, Outcome{
				Fingerprint: crashing,
				Server:      rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "server"),
				At:          after(float64(2 * rapid.IntRange(0, 20).Draw(t, "at"))),
			})
		}
		now := after(60)
		var one, other FailureTracker
		for _, failure := range failures {
			one.Record(now, failure)
		}
		for _, i := range rapid.Permutation(indices(len(failures))).Draw(t, "order") {
			other.Record(now, failures[i])
			other.Record(now, failures[i])
		}
		require.Equal(t, one.State(now, crashing), other.State(now, crashing))
	})
}

func indices(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

func TestTrackerIsBounded(t *testing.T) {
	var tracker FailureTracker
	for i := range maxRequests + 10 {
		tracker.Record(noon, Outcome{Fingerprint: FingerprintOf("w", fmt.Append(nil, i)), Server: "a", At: noon.Add(time.Duration(i))})
	}
	require.Len(t, tracker.failures, maxRequests)
	require.False(t, tracker.HasFailures(FingerprintOf("w", []byte("0"))))
}
