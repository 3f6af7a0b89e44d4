package local

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
	"github.com/chicoryrock/chicoryrock/internal/standin/engine"
	"github.com/chicoryrock/chicoryrock/internal/standin/word"
)

// crashesOf counts the crashes of all engines.
func (s *System) crashesOf() int {
	count := 0
	for _, server := range s.Engines {
		count += server.Stats().Crashes
	}
	return count
}

// TestPoisonedRequest crashes two engines at the most, also when its caller sends
// it again to another entry, and the requests that ran beside it get their answers.
func TestPoisonedRequest(t *testing.T) {
	centre := engines(4)
	centre.Entries = 2
	system := startSystem(t, twoWorkspaces(), centre)
	for _, server := range system.Engines {
		server.Switch(engine.Switches{Poison: "oleander", Down: time.Minute})
	}
	var innocents []*stream
	for range 4 {
		innocents = append(innocents, system.open(t, rivalKey, "300"))
	}

	const poisoned = `{"model":"garland","max_tokens":2,"prompt":"oleander"}`
	first := system.send(t, 0, hawkerKey, http.MethodPost, "/v1/completions", poisoned)
	require.Equal(t, chicoryrock.ReasonSuspect.String(), first.Header.Get(wire.Reason))
	require.Equal(t, 2, system.crashesOf())

	require.Eventually(t, func() bool {
		again := system.send(t, 1, hawkerKey, http.MethodPost, "/v1/completions", poisoned)
		return again.Header.Get(wire.Reason) == chicoryrock.ReasonSuspect.String()
	}, safetyLimit, time.Millisecond)
	require.Equal(t, 2, system.crashesOf(), "no engine more, at whichever entry")

	for _, innocent := range innocents {
		require.NoError(t, innocent.rest())
		require.NoError(t, word.Check(innocent.response.Header.Get(wire.RequestID), innocent.text.String(), 300))
	}
	same := system.send(t, 0, rivalKey, http.MethodPost, "/v1/completions", `{"model":"garland","max_tokens":2,"prompt":"lots"}`)
	require.Equal(t, http.StatusOK, same.StatusCode, "others are served")
}

// TestCrashingMessage sends calls that are all different, but for one message that crashes
// each engine. The first few of them show which message it is, at both entries together, and
// calls with the other messages are served.
func TestCrashingMessage(t *testing.T) {
	centre := engines(12)
	centre.Entries = 2
	system := startSystem(t, twoWorkspaces(), centre)
	for _, server := range system.Engines {
		server.Switch(engine.Switches{Poison: "oleander", Down: time.Second})
	}
	chat := func(entry int, key string, messages ...string) string {
		for i, text := range messages {
			messages[i] = fmt.Sprintf(`{"role":"user","content":%q}`, text)
		}
		body := `{"model":"garland","max_tokens":2,"messages":[` + strings.Join(messages, ",") + `]}`
		return system.send(t, entry, key, http.MethodPost, "/v1/chat/completions", body).Header.Get(wire.Reason)
	}
	// Later than notice after the fifth crash, three more calls with the message may reach
	// engines.
	const known, notice, allowed, rounds = 5, 3 * time.Second, 3, 40
	reasons := map[string]int{}
	var fifth time.Time
	atNotice := -1
	for n := range rounds {
		reasons[chat(n%2, hawkerKey, "lots", "oleander", fmt.Sprint("question ", n))]++
		require.Empty(t, chat(n%2, hawkerKey, "lots", fmt.Sprint("other question ", n)), "a sound call with the same first message, round %d", n)
		if fifth.IsZero() && system.crashesOf() >= known {
			fifth = time.Now()
		}
		if atNotice < 0 && !fifth.IsZero() && time.Since(fifth) >= notice {
			atNotice = system.crashesOf()
		}
		time.Sleep(150 * time.Millisecond)
	}
	require.GreaterOrEqual(t, atNotice, known, "%v", reasons)
	require.LessOrEqual(t, system.crashesOf()-atNotice, allowed, "%v", reasons)
	require.GreaterOrEqual(t, reasons[chicoryrock.ReasonCrashPart.String()], rounds/2, "%v", reasons)
}

// TestLimitOverEntries refuses a workspace above its rate, at whichever entry, with
// the time to come back, and leaves others alone.
func TestLimitOverEntries(t *testing.T) {
	set := twoWorkspaces()
	set.Workspaces[0].Rate = 1
	set.Workspaces[0].Burst = 60
	centre := oneCentre
	centre.Entries = 2
	system := startSystem(t, set, centre)
	const call = `{"model":"garland","max_tokens":100,"prompt":"lots"}`
	first := system.send(t, 0, hawkerKey, http.MethodPost, "/v1/completions", call)
	require.Equal(t, http.StatusOK, first.StatusCode, "a burst is within the limit")
	refused := system.send(t, 0, hawkerKey, http.MethodPost, "/v1/completions", call)
	require.Equal(t, chicoryrock.ReasonLimit.String(), refused.Header.Get(wire.Reason))
	require.NotEmpty(t, refused.Header.Get(wire.RetryAfter))
	require.Eventually(t, func() bool {
		other := system.send(t, 1, hawkerKey, http.MethodPost, "/v1/completions", call)
		return other.StatusCode == http.StatusTooManyRequests
	}, safetyLimit, 10*time.Millisecond, "the other entry hears of it")
	rival := system.send(t, 0, rivalKey, http.MethodPost, "/v1/completions", call)
	require.Equal(t, http.StatusOK, rival.StatusCode)
}
