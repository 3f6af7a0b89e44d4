package local

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
	"github.com/chicoryrock/chicoryrock/internal/standin/host"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

const (
	hawkerKey = "ck-hawker-secret"
	rivalKey  = "ck-rival-secret"
	// safetyLimit ends a hung test. No promise is measured against it.
	safetyLimit = 30 * time.Second
)

func twoWorkspaces() *object.Set {
	return &object.Set{
		Workspaces: []object.Workspace{{Name: "hawkers"}, {Name: "rivals"}},
		Keys: []object.Key{
			{Name: "hawkers-1", Workspace: "hawkers", Digest: object.Digest(hawkerKey)},
			{Name: "rivals-1", Workspace: "rivals", Digest: object.Digest(rivalKey)},
		},
		Classes: []object.Class{
			{Name: "questions", Tier: 1, First: 20 * time.Second, Token: time.Second, Goal: 0.95},
			{Name: "bookings", Tier: 1, First: 20 * time.Second, Token: time.Second, Goal: 0.95},
		},
		Routes: []object.Route{
			{Name: "questions", Model: "garland", Class: "questions", Pools: []string{"garland"}, Repeat: true},
			{Name: "bookings", Service: "bookings", Class: "bookings", Pools: []string{"bookings"}},
			{Name: "status", Service: "status", Class: "questions", Pools: []string{"bookings"}, Repeat: true},
		},
		Pools: []object.Pool{
			{Name: "garland", Model: "garland-7b", Slots: 4, Max: 8, Save: true},
			{Name: "bookings", Slots: 4, Max: 8},
		},
	}
}

// startSystem starts one data centre, by default with one entry.
func startSystem(t *testing.T, set *object.Set, centres ...Centre) *System {
	t.Helper()
	system := &System{
		Centres: centres,
		Set:     set,
		Pool:    "garland",
		Service: "bookings",
		Slots:   set.Pools[0].Slots,
		Token:   2 * time.Millisecond,
		Address: host.Own, // what calls a free port may belong to another test
	}
	t.Cleanup(system.Close)
	require.NoError(t, system.Start(context.Background()))
	return system
}

// stream is one answer under way.
type stream struct {
	t        *testing.T
	response *http.Response
	events   *wire.EventReader
	text     strings.Builder
	tokens   int
}

// send makes a call through one of the entries.
func (s *System) send(t *testing.T, entry int, key, method, path, body string, header ...string) *http.Response {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), safetyLimit)
	t.Cleanup(cancel)
	request, err := http.NewRequestWithContext(ctx, method, "http://"+s.Callers[entry].String()+path, strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// answer is what came of a call made beside the test's own goroutine.
type answer struct {
	response *http.Response
	body     string
	err      error
}

// complete makes a completion call in the background, with the model's whole
// answer read.
func (s *System) complete(key, tokens string) <-chan answer {
	done := make(chan answer, 1)
	go func() { done <- s.completion(key, tokens) }()
	return done
}

func (s *System) completion(key, tokens string) answer { return s.completionOf("garland", key, tokens) }

func (s *System) completionOf(model, key, tokens string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), safetyLimit)
	defer cancel()
	body := strings.NewReader(`{"model":"` + model + `","max_tokens":` + tokens + `,"prompt":"lots"}`)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Callers[0].String()+"/v1/completions", body)
	if err != nil {
		return answer{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return answer{response: response, body: string(data), err: err}
}

// open starts a streamed answer and reads its first token.
func (s *System) open(t *testing.T, key, tokens string) *stream {
	t.Helper()
	body := `{"model":"garland","stream":true,"max_tokens":` + tokens + `,"messages":[{"role":"user","content":"which"}]}`
	response := s.send(t, 0, key, http.MethodPost, "/v1/chat/completions", body)
	require.Equal(t, http.StatusOK, response.StatusCode)
	opened := &stream{t: t, response: response, events: wire.NewEventReader(response.Body)}
	require.NoError(t, opened.next())
	return opened
}

// next reads one event. Errors: io.EOF at the end marker, errBroken for an error
// event, chicoryrock.ErrTruncated.
func (s *stream) next() error {
	data, err := s.events.Next()
	if err != nil {
		return err
	}
	if strings.Contains(string(data), `"error"`) {
		return errors.Join(errBroken, errors.New(string(data)))
	}
	chunk, err := wire.ParseChunk(data)
	require.NoError(s.t, err)
	for i := range chunk.Choices {
		s.text.WriteString(chunk.Choices[i].Delta.Content)
	}
	s.tokens += chunk.Tokens()
	return nil
}

// rest reads to the end and returns how it ended; nil means whole.
func (s *stream) rest() error {
	for {
		if err := s.next(); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
	}
}

var errBroken = errors.New("error event")

func readAll(t *testing.T, response *http.Response) string {
	t.Helper()
	data, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return string(data)
}
