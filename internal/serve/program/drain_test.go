package program

import (
	"net/http"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// expectCleanExit waits for a process that was told to stop.
func (p *process) expectCleanExit() {
	p.t.Helper()
	require.NoError(p.t, p.command.Wait())
	require.Zero(p.t, p.command.ProcessState.ExitCode())
}

// A graceful shutdown cuts no stream. The streams go on for longer than 5.5 s
// after the signal, which is when go-zero would kill the process on its own.
func TestEntryShutdownUnderStreams(t *testing.T) {
	t.Parallel()
	p := startPair(t, "50ms")
	second := p.startEntry(t, "entry-2")
	p.awaitHalves(t, second)
	var running []*stream
	for range 4 {
		opened, _ := p.open(t, p.entry, 160)
		running = append(running, opened)
	}
	p.entry.signal(syscall.SIGTERM)
	after := openStream(t, second, "halves", 5)
	after.expectWhole()
	for _, opened := range running {
		opened.expectWhole()
	}
	p.entry.expectCleanExit()
}

// An agent that shuts down gets no new work and finishes what it has.
func TestAgentShutdownUnderStreams(t *testing.T) {
	t.Parallel()
	p := startPair(t, "50ms")
	first, leaving := p.open(t, p.entry, 160)
	running := []*stream{first}
	for range 3 {
		opened, _ := p.open(t, p.entry, 160)
		running = append(running, opened)
	}
	before := p.begun(leaving)
	p.agents[leaving].signal(syscall.SIGTERM)
	// Its answer to a refused call tells the entry; the call runs elsewhere.
	for range 10 {
		status, _, body := ask(t, p.entry, http.MethodPost, "/v1/completions", trolleyKey, `{"model":"halves","max_tokens":1,"prompt":"a"}`)
		require.Equal(t, http.StatusOK, status, body)
	}
	for _, opened := range running {
		opened.expectWhole()
	}
	require.LessOrEqual(t, p.begun(leaving)-before, 1, "at most the call that was on its way to it")
	p.agents[leaving].expectCleanExit()
}
