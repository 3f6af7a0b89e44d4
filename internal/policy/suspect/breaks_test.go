package suspect

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var (
	noon  = time.Date(2026, 5, 1, 12, 0, 0, 0, time.UTC)
	guilt = FingerprintOf("w1", []byte("crashes"))
)

// after returns a moment so many seconds after noon.
func after(seconds float64) time.Time {
	return noon.Add(time.Duration(seconds * float64(time.Second)))
}

func TestRequestThatBreaksEverywhereIsHeldBack(t *testing.T) {
	type step struct {
		at     float64 // seconds
		server string  // that broke; "-" for an answer, "" for only a look
		want   State
	}
	cases := []struct {
		name  string
		steps []step
	}{
		{"three servers, one try after the hold, a longer hold", []step{
			{0, "a", Clean}, {1, "b", Clean}, {2, "c", Refused}, {6.9, "", Refused}, {7, "", Suspect},
			{8, "d", Refused}, {17, "", Refused}, {18, "", Suspect},
		}},
		{"one crash seen twice counts once", []step{{0, "a", Clean}, {0.5, "a", Clean}, {1, "b", Clean}, {1.2, "b", Clean}}},
		{"one server that is back crashes again", []step{{0, "a", Clean}, {4, "a", Clean}, {8, "a", Refused}}},
		{"an answer clears", []step{{0, "a", Clean}, {1, "b", Clean}, {2, "-", Clean}, {3, "c", Clean}, {4, "d", Clean}}},
		{"old breaks don't count", []step{{0, "a", Clean}, {1, "b", Clean}, {601, "c", Clean}}},
	}
	for _, c := range cases {
		var breaks FailureTracker
		for i, s := range c.steps {
			switch s.server {
			case "":
			case "-":
				breaks.Record(after(s.at), Outcome{Fingerprint: guilt, At: after(s.at)})
			default:
				breaks.Record(after(s.at), Outcome{Fingerprint: guilt, Server: s.server, At: after(s.at)})
			}
			require.Equal(t, s.want, breaks.State(after(s.at), guilt), "%s, step %d", c.name, i)
		}
	}
}

func TestOthersAreNotHeldBack(t *testing.T) {
	var breaks FailureTracker
	require.True(t, breaks.Empty())
	for i := range 3 {
		breaks.Record(noon, Outcome{Fingerprint: guilt, Server: fmt.Sprint(i), At: noon})
	}
	require.Equal(t, Refused, breaks.State(noon, guilt))
	require.Equal(t, Clean, breaks.State(noon, FingerprintOf("w2", []byte("crashes"))))
	require.False(t, breaks.HasFailures(FingerprintOf("w1", []byte("does not"))))
}

// Processes that tell each other everything, in whatever order and more than once,
// judge alike, and none keeps more than it may.
func TestProcessesJudgeAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var happened []Outcome
		for range rapid.IntRange(0, 12).Draw(t, "breaks") {
			happened = append(happened, Outcome{
				Fingerprint: guilt,
				Server:      rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "server"),
				At:          after(float64(2 * rapid.IntRange(0, 20).Draw(t, "at"))),
			})
		}
		now := after(60)
		var one, other FailureTracker
		for _, b := range happened {
			one.Record(now, b)
		}
		for _, i := range rapid.Permutation(indices(len(happened))).Draw(t, "order") {
			other.Record(now, happened[i])
			other.Record(now, happened[i])
		}
		require.Equal(t, one.State(now, guilt), other.State(now, guilt))
	})
}

func indices(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

func TestBreaksAreBounded(t *testing.T) {
	var breaks FailureTracker
	for i := range maxBreakers + 10 {
		breaks.Record(noon, Outcome{Fingerprint: FingerprintOf("w", fmt.Append(nil, i)), Server: "a", At: noon.Add(time.Duration(i))})
	}
	require.Len(t, breaks.requests, maxBreakers)
	require.False(t, breaks.HasFailures(FingerprintOf("w", []byte("0"))))
}
