package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3/packages/ssestream"
	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
	"github.com/chicoryrock/chicoryrock/internal/standin/host"
	"github.com/chicoryrock/chicoryrock/internal/standin/word"
)

// patience ends a test that hangs; no test waits for it.
const patience = 30 * time.Second

func start(t *testing.T) *Server {
	t.Helper()
	server := &Server{Listen: host.Loopback(), Model: "garland", Slots: 4, Token: time.Microsecond}
	require.NoError(t, server.Start())
	t.Cleanup(server.Close)
	return server
}

type result struct {
	text   string
	done   bool // the stream ended with its marker, or the whole answer was read
	usage  *usage
	status int
	err    error
}

func ask(ctx context.Context, server *Server, id, prompt string, tokens, resume int, stream bool) result {
	body := fmt.Sprintf(`{"model":"garland","messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":%t}`,
		prompt, tokens, stream)
	url := "http://" + server.Addr().String() + "/v1/chat/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return result{err: err}
	}
	request.GetBody = nil
	request.Header.Set(wire.RequestID, id)
	request.Header.Set(HeaderUsage, "1")
	request.Header.Set(wire.Resume, fmt.Sprint(resume))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	if stream {
		return readStream(response)
	}
	return readWhole(response)
}

func readWhole(response *http.Response) result {
	out := result{status: response.StatusCode}
	encoded, err := io.ReadAll(response.Body)
	if err != nil {
		return result{err: err}
	}
	var whole answer
	out.err = json.Unmarshal(encoded, &whole)
	if len(whole.Choices) == 1 {
		out.text, out.usage, out.done = whole.Choices[0].Message.Content, whole.Usage, true
	}
	return out
}

func readStream(response *http.Response) result {
	out := result{status: response.StatusCode}
	events := ssestream.NewDecoder(response)
	for out.err == nil && events.Next() {
		data := events.Event().Data
		if out.done = string(data) == "[DONE]\n"; out.done {
			break
		}
		var chunk answer
		out.err = json.Unmarshal(data, &chunk)
		if len(chunk.Choices) == 1 {
			out.text += chunk.Choices[0].Delta.Content
		}
		if chunk.Usage != nil {
			out.usage = chunk.Usage
		}
	}
	if out.err == nil {
		out.err = events.Err()
	}
	return out
}

func TestAnswersAreWholeAndOwn(t *testing.T) {
	server := start(t)
	for _, stream := range []bool{false, true} {
		got := ask(t.Context(), server, "r1", "three short words", 5, 0, stream)
		require.NoError(t, got.err)
		require.True(t, got.done)
		require.NoError(t, word.Check("r1", got.text, 5))
		require.Equal(t, &usage{PromptTokens: 3, CompletionTokens: 5, TotalTokens: 8}, got.usage)
	}
	require.True(t, server.Saw("r1"))
	require.False(t, server.Saw("sk-secret"))
}

func TestTruncatedStreamResumes(t *testing.T) {
	server := start(t)
	server.Switch(Switches{Truncate: 2})
	first := ask(t.Context(), server, "r1", "p", 5, 0, true)
	require.False(t, first.done)
	server.Switch(Switches{})
	rest := ask(t.Context(), server, "r1", "p", 5, 2, true)
	require.True(t, rest.done)
	require.Equal(t, 3, rest.usage.CompletionTokens)
	require.NoError(t, word.Check("r1", first.text+rest.text, 5))
	require.ErrorIs(t, word.Check("r1", first.text+first.text, 4), word.ErrOrder)
}

func TestCrossedAnswersAreForeign(t *testing.T) {
	server := start(t)
	server.Switch(Switches{Cross: 1})
	answers := make(chan error, 2)
	for _, id := range []string{"r1", "r2"} {
		go func() { answers <- word.Check(id, ask(context.Background(), server, id, "p", 3, 0, false).text, 3) }()
	}
	require.ErrorIs(t, <-answers, word.ErrForeign)
	require.ErrorIs(t, <-answers, word.ErrForeign)
}

func TestPoisonCrashesAndThePortComesBack(t *testing.T) {
	server := start(t)
	at := server.Addr()
	server.Switch(Switches{Poison: "snake", Down: time.Millisecond})
	require.Error(t, ask(t.Context(), server, "r1", "a snake", 3, 0, false).err)
	require.Equal(t, 1, server.Stats().Crashes)
	require.Eventually(t, func() bool {
		return ask(t.Context(), server, "r2", "calm", 3, 0, false).err == nil
	}, patience, time.Millisecond)
	require.Equal(t, at, server.Addr())
}

func TestHangUpReadsTheRequestOnce(t *testing.T) {
	server := start(t)
	require.NoError(t, ask(t.Context(), server, "warm", "p", 1, 0, false).err)
	server.Switch(Switches{Hangup: 1})
	require.Error(t, ask(t.Context(), server, "r1", "p", 3, 0, false).err)
	require.Len(t, server.Sightings(), 2)
	require.Equal(t, 1, server.Stats().Begun)
}

func TestCancelFreesTheSlot(t *testing.T) {
	server := start(t)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan result, 1)
	go func() { ended <- ask(ctx, server, "r1", "p", 1<<30, 0, true) }()
	require.Eventually(t, func() bool { return server.Stats().Tokens > 0 }, patience, time.Millisecond)
	cancel()
	<-ended
	require.Eventually(t, func() bool { return server.Load().Running == 0 }, patience, time.Millisecond)
	require.Equal(t, 1, server.Stats().Cancelled)
}

func TestCoreAdmitsHigherTiersFirst(t *testing.T) {
	now := time.Unix(1_000, 0)
	core := Core{Slots: 1, Batch: 2}
	low := core.Arrive(now, 0)
	second := core.Arrive(now, 2)
	first := core.Arrive(now, 1)
	last := core.Arrive(now, 2)
	require.Equal(t, []uint64{first, second}, core.Admit(now))
	require.Equal(t, 2*time.Second, core.Step(time.Second))
	core.Leave(now.Add(time.Second), first)
	require.Equal(t, []uint64{last}, core.Admit(now.Add(time.Second)))
	core.Leave(now.Add(2*time.Second), low)
	require.Equal(t, 2, core.Load().Running)
	require.Zero(t, core.Load().Waiting)
	require.Equal(t, 1, core.Report(now.Add(3*time.Second), 2*time.Second).Waiting)
}

func post(t *testing.T, server *Server, path, body string) (int, string) {
	t.Helper()
	response, err := http.Post("http://"+server.Addr().String()+path, "application/json", strings.NewReader(body))
	require.NoError(t, err)
	answer, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	return response.StatusCode, string(answer)
}

func TestOldFencingNumber(t *testing.T) {
	server := start(t)
	order := func(fence int) int {
		status, _ := post(t, server, "/order", fmt.Sprintf(`{"kind":"load","model":"lens","fence":%d}`, fence))
		return status
	}
	server.Switch(Switches{Fence: true})
	require.Equal(t, http.StatusOK, order(7))
	require.Equal(t, http.StatusConflict, order(6))
	server.Switch(Switches{})
	require.Equal(t, http.StatusOK, order(6))
	require.Len(t, server.Orders(), 2)
}

func TestSwitchChangesOnlyWhatItNames(t *testing.T) {
	server := start(t)
	post(t, server, "/switch", `{"truncate":2}`)
	post(t, server, "/switch", `{"straggle":2}`)
	require.False(t, ask(t.Context(), server, "r1", "p", 5, 0, true).done)
	post(t, server, "/switch", `{"truncate":0}`)
	require.True(t, ask(t.Context(), server, "r2", "p", 5, 0, true).done)
	// The crash may cut its own answer.
	response, err := http.Post("http://"+server.Addr().String()+"/switch", "application/json", strings.NewReader(`{"crash":1000000}`))
	if err == nil {
		_ = response.Body.Close()
	}
	require.Eventually(t, func() bool { return server.Stats().Crashes == 1 }, patience, time.Millisecond)
	require.Eventually(t, func() bool { return ask(t.Context(), server, "r3", "p", 5, 0, true).done }, patience, time.Millisecond)
	_, switches := post(t, server, "/switch", `{}`)
	require.Contains(t, switches, `"crash":0`, "a crash happens once")
	require.Contains(t, switches, `"straggle":2`)
}

func TestDeafEngineWastesTokens(t *testing.T) {
	const tokens = 5000
	server := start(t)
	server.Switch(Switches{Deaf: true})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan result, 1)
	go func() { ended <- ask(ctx, server, "r1", "p", tokens, 0, true) }()
	require.Eventually(t, func() bool { return server.Stats().Tokens > 0 }, patience, time.Millisecond)
	cancel()
	<-ended
	require.Eventually(t, func() bool { return server.Stats().Tokens == tokens }, patience, time.Millisecond)
	require.Positive(t, server.Stats().Wasted)
}
