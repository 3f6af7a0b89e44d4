package program

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
)

// answer is what a booking's caller got; the zero value when the connection broke.
type answer struct {
	status  int
	reason  string
	outcome string
	body    string
}

// tryBook sends one booking and takes a broken connection for no answer.
func tryBook(entry *process, key, body string) answer {
	request, err := http.NewRequest(http.MethodPost, entry.url("/svc/orders/book"), strings.NewReader(body))
	if err != nil {
		return answer{}
	}
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+trolleyKey)
	request.Header.Set(wire.IdempotencyKey, key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{}
	}
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header.Get(wire.Reason), response.Header.Get(wire.Outcome), string(data)}
}

// runs returns how often the plain service ran each booking.
func (p *path) runs(t *testing.T) map[string]int {
	t.Helper()
	counts := map[string]int{}
	p.plain.get("/runs", &counts)
	return counts
}

func TestBookingRunsOnceAcrossEntries(t *testing.T) {
	p := startPath(t)
	entries := []*process{p.entry, p.startEntry(t, "entry-2"), p.startEntry(t, "entry-3")}
	answers := make([]answer, 12)
	var group sync.WaitGroup
	for i := range answers {
		group.Go(func() { answers[i] = tryBook(entries[i%len(entries)], "race", "scarce blade set") })
	}
	group.Wait()
	served := 0
	for _, got := range answers {
		if got.status == http.StatusOK {
			served++
			continue
		}
		require.Equal(t, chicoryrock.ReasonClaimed.String(), got.reason)
		require.Equal(t, wire.OutcomeUnknown, got.outcome)
	}
	require.Equal(t, 1, served)
	require.Equal(t, map[string]int{"race": 1}, p.runs(t))

	eventually(t, func() bool {
		return strings.Contains(tryBook(entries[1], "race", "scarce blade set").body, "answered with status 200")
	}, "another entry tells how the first call ended")
	other := tryBook(entries[2], "race", "another body")
	require.Equal(t, wire.OutcomeNotRun, other.outcome)
	require.Equal(t, chicoryrock.ReasonClaimed.String(), other.reason)
	require.Equal(t, map[string]int{"race": 1}, p.runs(t))
}

func TestBookingInOutageOfTheStore(t *testing.T) {
	p := startPath(t)
	p.store.post("/switch", map[string]any{"outage": true}, nil)
	got := tryBook(p.entry, "k", "lots")
	require.Equal(t, chicoryrock.ReasonNoStore.String(), got.reason)
	require.Equal(t, wire.OutcomeNotRun, got.outcome)
	require.Empty(t, p.runs(t))
	p.store.post("/switch", map[string]any{"outage": false, "lose": 1}, nil)
	eventually(t, func() bool { return tryBook(p.entry, "k", "lots").status == http.StatusOK }, "the same key runs after the outage")
	require.Equal(t, map[string]int{"k": 1}, p.runs(t))
}

// A resend to another entry after the first one was killed must not run again,
// and tells that nothing is known.
func TestBookingAfterEntryCrash(t *testing.T) {
	p := startPath(t)
	second := p.startEntry(t, "entry-2")
	p.plain.post("/switch", map[string]any{"late": time.Minute}, nil)
	first := make(chan answer, 1)
	go func() { first <- tryBook(p.entry, "crash", "lots") }()
	eventually(t, func() bool { return p.runs(t)["crash"] == 1 }, "the booking runs")
	require.NoError(t, p.entry.command.Process.Kill())
	require.Equal(t, answer{}, <-first)
	p.plain.post("/switch", map[string]any{"late": 0}, nil)
	got := tryBook(second, "crash", "lots")
	require.Equal(t, chicoryrock.ReasonClaimed.String(), got.reason)
	require.Equal(t, wire.OutcomeUnknown, got.outcome)
	require.Equal(t, 1, p.runs(t)["crash"])
}

func TestBookingAfterAgentCrash(t *testing.T) {
	p := startPath(t)
	p.plain.post("/switch", map[string]any{"late": time.Minute}, nil)
	first := make(chan answer, 1)
	go func() { first <- tryBook(p.entry, "crash", "lots") }()
	eventually(t, func() bool { return p.runs(t)["crash"] == 1 }, "the booking runs")
	require.NoError(t, p.plainAgent.command.Process.Kill())
	got := <-first
	require.Equal(t, chicoryrock.ReasonUnknownOutcome.String(), got.reason)
	require.Equal(t, wire.OutcomeUnknown, got.outcome)

	agent := startAgent(t, "agent-3", "orders", p.plain)
	p.vms.post("/vms", []chicoryrock.VM{vmOf("agent-1", "garland", p.agent), vmOf("agent-3", "orders", agent)}, nil)
	p.plain.post("/switch", map[string]any{"late": 0}, nil)
	eventually(t, func() bool { return tryBook(p.entry, "next", "lots").status == http.StatusOK }, "the new agent serves")
	eventually(t, func() bool {
		return strings.Contains(tryBook(p.entry, "crash", "lots").body, "not known whether it ran")
	}, "the claim tells that nothing is known")
	require.Equal(t, 1, p.runs(t)["crash"])
}

// A duplicate that reaches the agent, whichever entry sends it, must not reach
// the backend server.
func TestAgentRefusesDuplicate(t *testing.T) {
	p := startPath(t)
	send := func(id, digest string) string {
		request, err := http.NewRequest(http.MethodPost, p.plainAgent.url("/svc/orders/book"), strings.NewReader("lots"))
		require.NoError(t, err)
		request.Header.Set(wire.RequestID, id)
		request.Header.Set(wire.Once, "1")
		request.Header.Set(wire.Claim, digest)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		return response.Header.Get(wire.Reason) + response.Header.Get(wire.Outcome)
	}
	const refused = "claimedunknown"
	require.Empty(t, send("r1", ""))
	require.Equal(t, refused, send("r1", ""))
	require.Empty(t, send("r2", "d1"))
	require.Equal(t, refused, send("r3", "d1"))
	require.Equal(t, map[string]int{"lots": 2}, p.runs(t))
}

// The backend server hangs up after it ran a booking: the refusal may not say
// "not run", and the key stays claimed.
func TestBookingWithoutAnswer(t *testing.T) {
	p := startPath(t)
	p.plain.post("/switch", map[string]any{"hangup": 1}, nil)
	got := tryBook(p.entry, "k1", "the same lots")
	require.Equal(t, wire.OutcomeUnknown, got.outcome)
	eventually(t, func() bool {
		return strings.Contains(tryBook(p.entry, "k1", "the same lots").body, "not known whether it ran")
	}, "the claim tells that nothing is known")
	require.Equal(t, 1, p.runs(t)["k1"])
}
