package local

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
)

const (
	ok       = "200 OK"
	events   = "text/event-stream"
	asStream = `{"model":"garland","stream":true,"max_tokens":4,"prompt":"lots"}`
	// maxAttempts is how many backend servers a request is sent to.
	maxAttempts = 4
)

// streamed returns an answer that streams a completion.
func streamed(framing int, pieces ...string) string {
	return answerOf(framing, ok, events, completionChunks(pieces...))
}

// result is what a caller got of a stream.
type result struct {
	status int
	text   string // of all choices, as it came
	whole  bool   // it came to its end marker
	raw    string
}

// ask makes a streamed call and reads its answer.
func (s *System) ask(t *testing.T, path, body string) result {
	t.Helper()
	response := s.send(t, 0, hawkerKey, http.MethodPost, path, body)
	raw, err := io.ReadAll(response.Body)
	got := result{status: response.StatusCode, raw: string(raw)}
	for line := range strings.Lines(got.raw) {
		data, found := strings.CutPrefix(line, "data: ")
		if chunk, parseErr := wire.ParseChunk([]byte(data)); found && parseErr == nil {
			for i := range chunk.Choices {
				got.text += chunk.Choices[i].Text + chunk.Choices[i].Delta.Content
			}
		}
	}
	got.whole = err == nil && got.status == http.StatusOK && strings.HasSuffix(got.raw, "data: [DONE]\n\n")
	if got.status == http.StatusOK && !got.whole {
		require.Error(t, err, "a stream without its end marker is cut: %s", got.raw)
	}
	return got
}

// Guards against text of a foreign answer in a caller's stream, and against streams that end
// as complete with it.
func TestForeignAnswerIsNoPartOfAStream(t *testing.T) {
	const failure = `{"error":{"message":"boom"}}`
	cases := []struct {
		name   string
		answer string
		begins bool // callers get it, or a part of it, where nothing came before
	}{
		{"error", streamed(chunked, failure), false},
		{"error and end", streamed(chunked, failure, "!"), false},
		{"error as text, and end", streamed(chunked, `{"error":"boom"}`, "!"), false},
		{"error beside a choice", streamed(chunked, `{"error":"boom","choices":[{"index":0,"finish_reason":"error"}]}`, "!"), false},
		{"error object", streamed(chunked, `{"object":"error","message":"boom"}`, "!"), false},
		{"null", streamed(chunked, `null`, "!"), false},
		{"choice without text", streamed(chunked, `{"choices":[{"text":null}]}`, "!"), true},
		{"end", streamed(chunked, "!"), false},
		{"usage and end", streamed(chunked, `{"choices":[],"usage":{"prompt_tokens":1}}`, "!"), false},
		{"role and end", streamed(chunked, `{"choices":[{"index":0,"delta":{"role":"assistant"}}]}`, "!"), true},
		{"nothing", streamed(chunked), false},
		{"nothing, without a frame", streamed(unframed), false},
		{"text", answerOf(chunked, ok, events, "boom\n\n"), false},
		{"text and end", answerOf(chunked, ok, events, "boom\n\ndata: [DONE]\n\n"), false},
		{"head and whole stream", answerOf(unframed, ok, events, "HTTP/1.1 500 boom\r\nContent-Length: 4\r\n\r\n"+completionChunks("boom", ".", "!")), false},
		{"page", answerOf(framed, ok, "text/html", "<p>boom</p>"), false},
		{"page of events", answerOf(chunked, ok, "text/html", completionChunks("boom", ".", "!")), false},
		{"events without a type", answerOf(chunked, ok, "", completionChunks("boom", ".", "!")), false},
		{"JSON", answerOf(framed, ok, "application/json", `{"error":"boom"}`+"\n\n"), false},
		{"whole completion", answerOf(framed, ok, "application/json", `{"choices":[{"text":"boom","finish_reason":"stop"}]}`), false},
		{"no content", answerOf(framed, "204 No Content", "", ""), false},
		{"part", answerOf(chunked, "206 Partial Content", events, completionChunks("boom", ".", "!")), false},
		{"failure", answerOf(framed, "500 Internal Server Error", "application/json", failure+"\n\n"), true},
		{"failure in chunks", answerOf(chunked, "503 Service Unavailable", "text/plain", "boom\n\n"), true},
		{"missing", answerOf(unframed, "404 Not Found", events, "data: boom\n\n"), true},
	}
	whole := streamed(chunked, "a", "b", "c", "d", ".", "!")
	begun := streamed(broken, "a", "b")
	rest := streamed(chunked, "c", "d", ".", "!")
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			system, script := startScripted(t, 6)
			check := func(text string, isWhole bool, answers ...string) {
				script.set(answers...)
				got := system.ask(t, "/v1/completions", asStream)
				require.Equal(t, isWhole, got.whole, got.raw)
				require.Equal(t, text, got.text, got.raw)
				require.NotContains(t, got.raw, "boom")
				require.LessOrEqual(t, script.requests(), maxAttempts)
			}
			check("abcd", true, begun, c.answer, rest)
			check("ab", false, begun, c.answer)
			if !c.begins {
				check("abcd", true, c.answer, whole)
				check("", false, c.answer)
			}
		})
	}
}

// Guards against an end that is believed although a choice has not come to its own.
func TestStreamEndsOnlyWithAllOfItsChoices(t *testing.T) {
	const (
		role   = `{"choices":[{"index":0,"delta":{"role":"assistant"},"finish_reason":null}]}`
		second = `{"choices":[{"index":1,"text":"x","finish_reason":null}]}`
		ended  = `{"choices":[{"index":1,"text":"","finish_reason":"length"}]}`
		both   = `{"choices":[{"index":0,"text":"x","finish_reason":""},{"index":1,"text":"","finish_reason":"stop"}]}`
		failed = `{"error":{"message":"boom"}}`
	)
	cases := []struct {
		name    string
		answers []string
		text    string
		whole   bool
	}{
		{"first answer without a reason", []string{streamed(chunked, "a", "!"), streamed(chunked, "b", ".", "!")}, "ab", true},
		{"no answer with a reason", []string{streamed(chunked, "a", "!"), streamed(chunked, "b", "!")}, "abbb", false},
		{"an error within the first answer", []string{streamed(chunked, "a", failed, "!"), streamed(chunked, "b", ".", "!")}, "ab", true},
		{"errors within all answers", []string{streamed(chunked, "a", failed, "!")}, "aaaa", false},
		{"the role only", []string{streamed(chunked, role, "!")}, "", false},
		{"one choice of two", []string{streamed(chunked, "a", second, ".", "!"), streamed(chunked, ended, "!")}, "ax", true},
		{"never the second choice", []string{streamed(chunked, "a", second, ".", "!"), streamed(chunked, "!")}, "ax", false},
		{"an empty reason", []string{streamed(chunked, both, "!"), streamed(chunked, ".", "!")}, "x", true},
		{"a choice goes on after its end", []string{streamed(broken, "a", ".", second), streamed(chunked, "boom", ".", ended, "!"), streamed(chunked, ended, "!")}, "ax", true},
		{"all choices ended before the break", []string{streamed(broken, "a", "."), streamed(chunked, "!")}, "a", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			system, script := startScripted(t, 6)
			script.set(c.answers...)
			got := system.ask(t, "/v1/completions", asStream)
			require.Equal(t, c.whole, got.whole, got.raw)
			require.Equal(t, c.text, got.text, got.raw)
			require.NotContains(t, got.raw, "boom")
		})
	}
}

// Guards against rules that cut the streams of sound engines.
func TestSoundStreamsPassUnchanged(t *testing.T) {
	const (
		chat  = `{"model":"garland","stream":true,"stream_options":{"include_usage":true},"messages":[{"role":"user","content":"which"}]}`
		two   = `{"model":"garland","stream":true,"n":2,"prompt":"lots"}`
		role  = `{"id":"c","choices":[{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}]}`
		text  = `{"id":"c","choices":[{"index":0,"delta":{"content":"a"}}],"error":null,"usage":null}`
		last  = `{"id":"c","choices":[{"index":0,"delta":{"content":"b"},"finish_reason":"length"}]}`
		tool  = `{"id":"c","choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":"{}"}}]},"finish_reason":"tool_calls"}]}`
		usage = `{"id":"c","choices":[],"usage":{"prompt_tokens":1,"completion_tokens":2}}`
		null  = `{"id":"c","choices":null,"usage":{"prompt_tokens":1,"completion_tokens":2}}`
		none  = `{"id":"c","usage":{"prompt_tokens":1,"completion_tokens":2}}`
		scan  = `{"id":"","choices":[],"prompt_filter_results":[{"prompt_index":0}]}`
		after = `{"id":"","choices":[{"index":0,"content_filter_offsets":{},"finish_reason":null}]}`
		other = `{"id":"c","choices":[{"index":1,"text":"x","finish_reason":null}]}`
		ended = `{"id":"c","choices":[{"index":1,"text":"","finish_reason":"stop"}]}`
		mixed = `{"id":"c","choices":[{"index":1,"text":"x","finish_reason":null},{"index":0,"text":"a","finish_reason":null}]}`
	)
	cases := []struct {
		name   string
		body   string
		kind   string
		pieces []string
	}{
		{"chat", chat, events, []string{role, text, last, usage, "!"}},
		{"chat with tools", chat, events + "; charset=utf-8", []string{role, tool, usage, "!"}},
		{"filter results", chat, "Text/Event-Stream", []string{scan, role, text, last, after, usage, "!"}},
		{"usage without choices", chat, events, []string{text, last, null, none, "!"}},
		{"completion", asStream, events, []string{"a", "b", ".", "!"}},
		{"two choices", two, events, []string{"a", other, ".", other, ended, "!"}},
		{"two choices at once", two, events, []string{mixed, ended, "a", ".", "!"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			system, script := startScripted(t, 1)
			want := completionChunks(c.pieces...)
			path := "/v1/chat/completions"
			if !strings.Contains(c.body, "messages") {
				path = "/v1/completions"
			}
			dressed := "\ufeff" + strings.ReplaceAll(want, "\n\n", "\r\n: hello\r\nevent: message\r\nid: 1\r\nretry: 5\r\nx-field: y\r\n\r\n")
			for _, framing := range []int{framed, chunked, unframed} {
				for _, body := range []string{want, dressed} {
					script.set(answerOf(framing, ok, c.kind, body))
					got := system.ask(t, path, c.body)
					require.Equal(t, want, got.raw)
					require.True(t, got.whole)
				}
			}
		})
	}
}
