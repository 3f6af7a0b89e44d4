package program

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
	"github.com/chicoryrock/chicoryrock/internal/standin/engine"
	"github.com/chicoryrock/chicoryrock/internal/standin/word"
)

// pair is a whole path with two agents in front of two engines that can go on
// where a stream broke.
type pair struct {
	*path
	engines [2]*process
	agents  [2]*process
}

// startPair starts two engines that take the given time for a token, such as 20ms.
func startPair(t *testing.T, token string) *pair {
	t.Helper()
	p := &pair{path: startPath(t)}
	for i := range p.engines {
		p.engines[i] = start(t, "standin", "engine", "-listen", "127.0.0.1:0", "-model", "garland-7b", "-token", token)
		p.agents[i] = startAgent(t, fmt.Sprintf("half-%d", i), "halves", p.engines[i])
	}
	set := testSet()
	set.Pools = append(set.Pools, set.Pools[0])
	halves := &set.Pools[len(set.Pools)-1]
	halves.Name, halves.Save = "halves", true
	route := set.Routes[0]
	route.Name, route.Model, route.Pools = "halves", "halves", []string{"halves"}
	set.Routes = append(set.Routes, route)
	p.list(t)
	p.putConfig(set)
	p.awaitHalves(t, p.entry)
	return p
}

// list names all agents that the test started to the list of VMs.
func (p *pair) list(t *testing.T) {
	t.Helper()
	p.vms.post("/vms", []chicoryrock.VM{
		vmOf("agent-1", "garland", p.agent), vmOf("agent-2", "orders", p.plainAgent),
		vmOf("half-0", "halves", p.agents[0]), vmOf("half-1", "halves", p.agents[1]),
	}, nil)
}

func (p *pair) awaitHalves(t *testing.T, entry *process) {
	t.Helper()
	eventually(t, func() bool {
		status, _, _ := ask(t, entry, http.MethodPost, "/v1/completions", trolleyKey, `{"model":"halves","max_tokens":1,"prompt":"a"}`)
		return status == http.StatusOK
	}, "the entry serves the model halves")
}

func (p *pair) begun(i int) int {
	var stats engine.Stats
	p.engines[i].get("/stats", &stats)
	return stats.Begun
}

// open starts a stream and returns which of the engines runs it.
func (p *pair) open(t *testing.T, entry *process, tokens int) (*stream, int) {
	t.Helper()
	before := [2]int{p.begun(0), p.begun(1)}
	opened := openStream(t, entry, "halves", tokens)
	for i := range p.engines {
		if p.begun(i) > before[i] {
			return opened, i
		}
	}
	require.Fail(t, "no engine began the stream")
	return nil, 0
}

// stream is one streamed answer under way.
type stream struct {
	t      *testing.T
	ref    string
	total  int
	body   io.Closer
	events *wire.EventReader
	text   strings.Builder
}

// openStream asks for a stream and reads its first event.
func openStream(t *testing.T, entry *process, model string, tokens int) *stream {
	t.Helper()
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"which"}]}`, model, tokens)
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, entry.url("/v1/chat/completions"), strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+trolleyKey)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	require.Equal(t, http.StatusOK, response.StatusCode)
	opened := &stream{
		t:      t,
		ref:    response.Header.Get(wire.RequestID),
		total:  tokens,
		body:   response.Body,
		events: wire.NewEventReader(response.Body),
	}
	require.NoError(t, opened.next())
	return opened
}

var errEvent = errors.New("error event")

// next reads one event. Errors: io.EOF at the end marker, errEvent, or the
// connection's.
func (s *stream) next() error {
	data, err := s.events.Next()
	if err != nil {
		return err
	}
	if strings.Contains(string(data), `"error"`) {
		return fmt.Errorf("%w: %s", errEvent, data)
	}
	chunk, err := wire.ParseChunk(data)
	require.NoError(s.t, err)
	for i := range chunk.Choices {
		s.text.WriteString(chunk.Choices[i].Delta.Content)
	}
	return nil
}

// rest reads to the end; nil means that the end marker came.
func (s *stream) rest() error {
	for {
		err := s.next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// expectWhole reads the rest and checks it for gaps, repeats and foreign words.
func (s *stream) expectWhole() {
	s.t.Helper()
	require.NoError(s.t, s.rest())
	require.NoError(s.t, word.Check(s.ref, s.text.String(), s.total))
}
