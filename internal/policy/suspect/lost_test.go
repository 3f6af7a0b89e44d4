package suspect

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// lossy plays requests to six servers of one service whose answers are lost at a rate, each
// request with up to three attempts. None of the servers goes down unless the request is the
// one that crashes them.
type lossy struct {
	tracker Tracker
	random  *rand.Rand
	share   float64
	now     time.Time
	number  int
}

// send sends a request and reports whether it was refused, and how many attempts crashed.
func (l *lossy) send(request Fingerprint, crashes bool) (refused bool, crashed int) {
	candidate := Candidate{Workspace: "w1", Request: request}
	for range 3 {
		l.number++
		id := fmt.Sprint(l.number)
		switch l.tracker.Decide(l.now, &candidate).State {
		case Refused:
			return true, crashed
		case Suspect:
			if _, granted := l.tracker.Grant(l.now, id, &candidate); !granted {
				return true, crashed
			}
		case Clean:
		}
		l.now = l.now.Add(15 * time.Millisecond)
		lost := l.random.Float64() < l.share
		if !lost && !crashes {
			l.tracker.RecordSuccess(l.now, &candidate)
			return false, crashed
		}
		if crashes {
			crashed++
		}
		l.tracker.RecordFailure(l.now, Failure{
			ID: id, Server: fmt.Sprint("i-", l.number%6), Service: "app", Workspace: "w1", Request: request, Crash: crashes,
		})
	}
	return false, crashed
}

// Guards against refusing proper requests because their connections were lost while no
// server went down: for as long as review/3 does it, and as long again without losses.
func TestLostConnectionsRefuseNoRequest(t *testing.T) {
	cases := []struct {
		name  string
		kinds int // different requests
	}{
		{"one request, repeated", 1},
		{"a few requests, repeated", 8},
		{"many requests", 1000},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			refused, sent := 0, 0
			for seed := range uint64(20) {
				l := lossy{random: rand.New(rand.NewPCG(seed, 1)), share: 0.45, now: noon}
				for n := 0; l.now.Sub(noon) < 13*time.Second; n++ {
					if l.now.Sub(noon) > 6500*time.Millisecond {
						l.share = 0
					}
					request := FingerprintOf("w1", fmt.Append(nil, n%c.kinds))
					if no, _ := l.send(request, false); no {
						refused++
					}
					sent++
					l.now = l.now.Add(80 * time.Millisecond)
				}
			}
			require.Zero(t, refused, "of %d", sent)
		})
	}
}

// A request that crashes servers is refused while connections of many others are lost at
// random: after the third crash it has three trials in a day.
func TestCrashingRequestIsRefusedWhileConnectionsAreLost(t *testing.T) {
	l := lossy{random: rand.New(rand.NewPCG(7, 1)), share: 0.45, now: noon}
	crashed := 0
	for n := 0; l.now.Sub(noon) < 3*time.Hour; n++ {
		_, more := l.send(crashing, true)
		crashed += more
		refused, _ := l.send(FingerprintOf("w1", fmt.Append(nil, n%40)), false)
		require.False(t, refused, "a request that crashes nothing")
		l.now = l.now.Add(3 * time.Second)
	}
	require.Equal(t, requestThreshold+3, crashed)
}

// Guards against refusing requests of a service whose servers go down whatever they run, and
// against serving one that crashes servers because other servers go down as well, one by one
// or as a rack.
func TestServiceThatGoesDownClearsRequests(t *testing.T) {
	crash := func(tracker *Tracker, seconds float64, server, service string, request int) {
		own := FingerprintOf("w1", fmt.Append(nil, request))
		tracker.RecordFailure(after(seconds), Failure{
			ID: fmt.Sprint(server, seconds), Server: server, Service: service, Workspace: "w1", Request: own, Crash: true,
		})
	}
	cases := []struct {
		name    string
		others  int // crashes of other servers, of one request each
		spacing float64
		service string
		want    State
	}{
		{"alone", 0, 0, "app", Refused},
		{"a few others", 5, 0.8, "app", Refused},
		{"many others", 12, 0.8, "app", Clean},
		{"a rack at once", 40, 0.002, "app", Refused},
		{"many of another service", 12, 0.8, "other", Refused},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var tracker Tracker
			for i := range 3 {
				crash(&tracker, 2+2*float64(i), fmt.Sprint("i-", i), "app", -1)
			}
			for i := range c.others {
				crash(&tracker, 1+c.spacing*float64(i), fmt.Sprint("other-", i), c.service, i)
			}
			candidate := Candidate{Workspace: "w1", Request: FingerprintOf("w1", []byte("-1"))}
			for _, at := range []time.Time{after(11), after(100), after(590)} {
				require.Equal(t, c.want == Clean, tracker.Decide(at, &candidate).State == Clean, "at %v", at)
			}
			for at := after(595); at.Before(after(620)); at = at.Add(time.Second) {
				require.Equal(t, c.want == Clean, tracker.Decide(at, &candidate).State == Clean, "at %v, as the other crashes grow old", at)
			}
		})
	}
}

// Guards against a process that has just started sending what the others hold back for
// longer than failures count on which no ban rests.
func TestOldBanIsTakenOver(t *testing.T) {
	var tracker, started Tracker
	for i := range 3 {
		tracker.RecordFailure(after(float64(i)), Failure{ID: fmt.Sprint(i), Server: fmt.Sprint(i), Request: crashing, Crash: true})
	}
	candidate := Candidate{Workspace: "w1", Request: crashing}
	_, granted := tracker.Grant(after(20), "trial", &candidate)
	require.True(t, granted)
	tracker.RecordFailure(after(21), Failure{ID: "trial", Server: "4", Request: crashing, Crash: true})
	_, granted = tracker.Grant(after(200), "next", &candidate)
	require.True(t, granted)
	now := after(1200)
	verdict := tracker.Decide(now, &candidate)
	require.Equal(t, Refused, verdict.State)
	require.InDelta(t, 800, verdict.Wait.Seconds(), 1, "until the third trial")
	data, err := json.Marshal(tracker.Export(now))
	require.NoError(t, err)
	var told Evidence
	require.NoError(t, json.Unmarshal(data, &told))
	started.Merge(now, told)
	require.InDelta(t, verdict.Wait.Seconds(), started.Decide(now, &candidate).Wait.Seconds(), 0.01)
}
