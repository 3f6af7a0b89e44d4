package local

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
	"github.com/chicoryrock/chicoryrock/internal/standin/engine"
	"github.com/chicoryrock/chicoryrock/internal/standin/fault"
	"github.com/chicoryrock/chicoryrock/internal/standin/plain"
	"github.com/chicoryrock/chicoryrock/internal/standin/word"
)

var oneCentre = Centre{Name: "hoan-kiem", Region: "hanoi", Entries: 1, Engines: 1, Plains: 1}

func engines(count int) Centre {
	centre := oneCentre
	centre.Engines = count
	return centre
}

// TestWithdrawnKey ends what runs and what waits, and refuses what is new.
func TestWithdrawnKey(t *testing.T) {
	set := twoWorkspaces()
	set.Pools[0].Slots = 1
	system := startSystem(t, set, oneCentre)
	running := system.open(t, hawkerKey, "100000")
	waiting := system.complete(hawkerKey, "1")

	withdrawn := *set
	withdrawn.Keys = set.Keys[1:]
	begin := time.Now()
	require.NoError(t, system.Publish(&withdrawn))

	require.ErrorIs(t, running.rest(), errBroken, "the running stream is ended, and not as whole")
	t.Logf("running stream ended %s after publishing", time.Since(begin))
	refused := <-waiting
	require.NoError(t, refused.err)
	require.Equal(t, http.StatusUnauthorized, refused.response.StatusCode)
	fresh := system.send(t, 0, hawkerKey, http.MethodGet, "/v1/models", "")
	require.Equal(t, http.StatusUnauthorized, fresh.StatusCode)
	other := system.open(t, rivalKey, "5")
	require.NoError(t, other.rest(), "another workspace is served")
}

// TestCrashResumes moves a stream to another engine without a gap or a repeat.
func TestCrashResumes(t *testing.T) {
	system := startSystem(t, twoWorkspaces(), engines(2))
	running := system.open(t, hawkerKey, "300")
	for i := range system.Engines {
		if system.Engines[i].Stats().Begun > 0 {
			system.Engines[i].Switch(engine.Switches{Crash: time.Minute})
		}
	}
	require.NoError(t, running.rest())
	ref := running.response.Header.Get(wire.RequestID)
	require.NoError(t, word.Check(ref, running.text.String(), 300))
}

// TestTruncatedStream never presents a stream that was cut as whole, where the
// engines cannot resume it.
func TestTruncatedStream(t *testing.T) {
	set := twoWorkspaces()
	set.Pools[0].Save = false
	system := startSystem(t, set, oneCentre)
	system.Engines[0].Switch(engine.Switches{Truncate: 10})
	cut := system.open(t, hawkerKey, "20")
	require.ErrorIs(t, cut.rest(), errBroken)
}

// TestCrossedAnswers drops answers that belong to another request.
func TestCrossedAnswers(t *testing.T) {
	system := startSystem(t, twoWorkspaces(), oneCentre)
	system.Engines[0].Switch(engine.Switches{Cross: 1})
	for _, done := range []<-chan answer{system.complete(hawkerKey, "3"), system.complete(rivalKey, "3")} {
		whole := <-done
		require.NoError(t, whole.err)
		require.Equal(t, http.StatusOK, whole.response.StatusCode)
		chunk, err := wire.ParseChunk([]byte(whole.body))
		require.NoError(t, err)
		require.NoError(t, word.Check(whole.response.Header.Get(wire.RequestID), chunk.Choices[0].Text, 3))
	}
}

// TestKeyStaysHere lets no backend server see a caller's key, wherever it stands.
func TestKeyStaysHere(t *testing.T) {
	system := startSystem(t, twoWorkspaces(), oneCentre)
	const body = `{"model":"garland","max_tokens":1,"messages":[]}`
	cases := []struct {
		name   string
		path   string
		body   string
		header []string
		status int
	}{
		{"usual header", "/v1/chat/completions", body, nil, http.StatusOK},
		{"other headers", "/v1/chat/completions", body, []string{"X-Api-Key", hawkerKey, "Cookie", hawkerKey}, http.StatusOK},
		{"forwarded header", "/v1/chat/completions", body, []string{wire.IdempotencyKey, hawkerKey}, http.StatusBadRequest},
		{"query", "/v1/chat/completions?api_key=" + hawkerKey, body, nil, http.StatusBadRequest},
		{"body", "/v1/chat/completions", `{"model":"garland","user":"` + hawkerKey + `"}`, nil, http.StatusBadRequest},
		{"service path", "/svc/status/" + hawkerKey, "", nil, http.StatusBadRequest},
	}
	for _, c := range cases {
		answer := system.send(t, 0, hawkerKey, http.MethodPost, c.path, c.body, c.header...)
		require.Equal(t, c.status, answer.StatusCode, c.name)
		require.NotContains(t, readAll(t, answer), hawkerKey, c.name)
	}
	require.Positive(t, system.Engines[0].Stats().Begun)
	require.False(t, system.Engines[0].Saw(hawkerKey))
	for _, header := range system.Plains[0].Headers() {
		require.NotContains(t, header, "Authorization")
	}
}

// TestUnknownOutcome says that a booking may have run, and runs it once.
func TestUnknownOutcome(t *testing.T) {
	system := startSystem(t, twoWorkspaces(), oneCentre)
	system.Plains[0].Switch(plain.Switches{Hangup: 1})
	answer := system.send(t, 0, hawkerKey, http.MethodPost, "/svc/bookings/blades", `{"set":4}`)
	require.Equal(t, wire.OutcomeUnknown, answer.Header.Get(wire.Outcome))
	require.Equal(t, chicoryrock.ReasonUnknownOutcome.String(), answer.Header.Get(wire.Reason))
	runs := 0
	for _, count := range system.Plains[0].Runs() {
		runs += count
	}
	require.Equal(t, 1, runs)
}

// TestLeavingServer gets no new work, and finishes what it has.
func TestLeavingServer(t *testing.T) {
	system := startSystem(t, twoWorkspaces(), engines(2))
	running := system.open(t, hawkerKey, "800")
	leaving := 0
	if system.Engines[1].Stats().Begun > 0 {
		leaving = 1
	}
	system.Stop([]string{"backend-1", "backend-2"}[leaving])
	for range 20 {
		another := system.open(t, rivalKey, "2")
		require.NoError(t, another.rest())
	}
	require.Equal(t, 1, system.Engines[leaving].Stats().Begun, "no new work for the one that shuts down")
	require.NoError(t, running.rest())
	require.NoError(t, word.Check(running.response.Header.Get(wire.RequestID), running.text.String(), 800))
}

// TestListedAsLeaving gives no new work to a backend server once the list of VMs
// says that it leaves, though its agent knows nothing of it. The same prompt goes to
// the same one until then.
func TestListedAsLeaving(t *testing.T) {
	system := startSystem(t, twoWorkspaces(), engines(2))
	call := func() {
		whole := <-system.complete(hawkerKey, "1")
		require.NoError(t, whole.err)
	}
	call()
	leaving := 0
	if system.Engines[1].Stats().Begun > 0 {
		leaving = 1
	}
	system.Leave([]string{"backend-1", "backend-2"}[leaving])
	begun := func() int { return system.Engines[leaving].Stats().Begun }
	require.Eventually(t, func() bool {
		before := begun()
		call()
		return begun() == before
	}, safetyLimit, time.Millisecond)
	before := begun()
	for range 40 {
		call()
	}
	require.Equal(t, before, begun())
}

// TestStartInOutage lets an entry that starts while the store is out learn the
// configuration from its peers.
func TestStartInOutage(t *testing.T) {
	system := startSystem(t, twoWorkspaces(), oneCentre)
	system.Store.Switch(fault.Switches{Outage: true})
	require.NoError(t, system.StartEntry(&system.Centres[0]))
	require.NoError(t, system.awaitReady())
	answer := system.send(t, 1, hawkerKey, http.MethodPost, "/v1/completions", `{"model":"garland","max_tokens":1,"prompt":"a"}`)
	require.Equal(t, http.StatusOK, answer.StatusCode)
}

// TestHungUpCaller cancels the work on the engine.
func TestHungUpCaller(t *testing.T) {
	system := startSystem(t, twoWorkspaces(), oneCentre)
	running := system.open(t, hawkerKey, "100000")
	require.NoError(t, running.response.Body.Close())
	require.Eventually(t, func() bool { return system.Engines[0].Stats().Cancelled == 1 }, safetyLimit, time.Millisecond)
}

// TestBurstWaits queues what no engine has room for, and answers all of it.
func TestBurstWaits(t *testing.T) {
	system := startSystem(t, twoWorkspaces(), oneCentre)
	var calls []<-chan answer
	for range 40 {
		calls = append(calls, system.complete(hawkerKey, "4"))
	}
	for _, done := range calls {
		whole := <-done
		require.NoError(t, whole.err)
		require.Equal(t, http.StatusOK, whole.response.StatusCode)
	}
}

// TestLimitedEngine sends an engine no more than the limit that it states, whichever entry
// the requests come through. The others go to the engine without one.
func TestLimitedEngine(t *testing.T) {
	const limit, callers = 1.0, 8
	centre := engines(2)
	centre.Entries = 3
	system := startSystem(t, twoWorkspaces(), centre)
	system.Engines[0].Switch(engine.Switches{Limit: limit})
	begin := time.Now()
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for range 20 {
				response := system.send(t, caller%centre.Entries, hawkerKey, http.MethodPost, "/v1/completions", `{"model":"garland","max_tokens":40,"prompt":"lots"}`)
				assert.Equal(t, http.StatusOK, response.StatusCode)
				assert.NotEmpty(t, readAll(t, response))
			}
		})
	}
	group.Wait()
	got := len(system.Engines[0].Sightings())
	require.Positive(t, got)
	// As many as there are callers may be sent before the first answer states the limit.
	require.LessOrEqual(t, float64(got), 1.5*limit*time.Since(begin).Seconds()+5+callers, "of %d requests", 20*callers)
}
