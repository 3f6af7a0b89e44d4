package local

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a 200 that looks whole although its backend server stopped within it.
func TestCutAnswerNeverLooksWhole(t *testing.T) {
	const (
		json  = `{"lot":4}`
		whole = `{"choices":[{"text":"ab","finish_reason":"stop"}]}`
	)
	pieces := []string{"a", "b", ".", "!"}
	stream := completionChunks(pieces...)
	cases := []struct {
		name   string
		path   string
		body   string // of the request
		answer string
		want   string
		shows  bool // the answer shows where it ends
	}{
		{"service, length", "/svc/status/a", "", answerOf(framed, ok, "application/json", json), json, true},
		{"service, chunks", "/svc/status/a", "", answerOf(chunked, ok, "text/plain", "lot 4"), "lot 4", true},
		{"service, JSON to the end of the connection", "/svc/status/a", "", answerOf(unframed, ok, "application/vnd.lot+json; charset=utf-8", json), json, true},
		{"service, text to the end of the connection", "/svc/status/a", "", answerOf(unframed, ok, "text/plain", "lot 4"), "lot 4", false},
		{"service, HTTP 1.0", "/svc/status/a", "", "HTTP/1.0" + strings.TrimPrefix(answerOf(unframed, ok, "", "lot 4"), "HTTP/1.1"), "lot 4", false},
		{"service, events", "/svc/status/a", "", answerOf(chunked, ok, events, "data: lot 4"), "data: lot 4", true},
		{"completion, length", "/v1/completions", `{"model":"garland"}`, answerOf(framed, ok, "application/json", whole), whole, true},
		{"completion, chunks", "/v1/completions", `{"model":"garland"}`, answerOf(chunked, ok, "application/json", whole), whole, true},
		{"completion, to the end of the connection", "/v1/completions", `{"model":"garland"}`, answerOf(unframed, ok, "", whole), whole, true},
		{"stream, length", "/v1/completions", asStream, answerOf(framed, ok, events, stream), stream, true},
		{"stream, chunks", "/v1/completions", asStream, answerOf(chunked, ok, events, stream), stream, true},
		{"stream, to the end of the connection", "/v1/completions", asStream, answerOf(unframed, ok, events, stream), stream, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			head := strings.Index(c.answer, "\r\n\r\n") + 4
			for size := range len(c.answer) + 1 {
				t.Run(strconv.Itoa(size), func(t *testing.T) {
					system, script := startScripted(t, 2)
					script.set(c.answer[:size], c.answer)
					if c.body == asStream {
						lines := strings.Count(c.answer[min(head, size):size], "}\n")
						script.set(c.answer[:size], streamed(chunked, pieces[lines:]...))
					}
					response := system.send(t, 0, hawkerKey, http.MethodPost, c.path, c.body)
					got, err := io.ReadAll(response.Body)
					require.NoError(t, err)
					require.Equal(t, http.StatusOK, response.StatusCode)
					want := c.want
					if !c.shows {
						require.Negative(t, response.ContentLength)
						require.Empty(t, response.TransferEncoding)
						if size > head {
							want = c.answer[head:size]
						}
					}
					require.Equal(t, want, string(got))
				})
			}
		})
	}
}

// Guards against chunks that are passed on with their framing, as HTTP/1.0 has none.
func TestChunksOfAnOldVersionAreNoAnswer(t *testing.T) {
	system, script := startScripted(t, 1)
	answer := answerOf(chunked, ok, "text/plain", "lot 4")
	sound := answerOf(framed, ok, "text/plain", "lot 4")
	old := func(answer string) string { return "HTTP/1.0" + strings.TrimPrefix(answer, "HTTP/1.1") }
	for _, first := range []string{old(answer), old(strings.ReplaceAll(answer, "Transfer-Encoding", "transfer-encoding")), old(sound), answer} {
		script.set(first, sound)
		response := system.send(t, 0, hawkerKey, http.MethodGet, "/svc/status/a", "")
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, "lot 4", readAll(t, response), first)
	}
}

// Guards against a length of 0 in answers to HEAD, whose bodies aren't sent.
func TestAnswerToHeadStatesItsServersLength(t *testing.T) {
	system, script := startScripted(t, 1)
	for _, length := range []string{"14", "0", ""} {
		answer := answerOf(unframed, ok, "text/plain", "")
		if length != "" {
			answer = strings.Replace(answer, "\r\n\r\n", "\r\nContent-Length: "+length+"\r\n\r\n", 1)
		}
		script.set(answer)
		response := system.send(t, 0, hawkerKey, http.MethodHead, "/svc/status/a", "")
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, length, response.Header.Get("Content-Length"))
	}
}

// Guards against rules that cut the answers of sound services.
func TestSoundAnswersWithoutAFramePass(t *testing.T) {
	system, script := startScripted(t, 1)
	cases := []struct {
		method, answer, body string
	}{
		{http.MethodHead, answerOf(unframed, ok, "application/json", ""), ""},
		{http.MethodGet, answerOf(unframed, "204 No Content", "", ""), ""},
		{http.MethodGet, answerOf(unframed, "304 Not Modified", "", ""), ""},
		{http.MethodGet, answerOf(unframed, "404 Not Found", "text/plain", ""), ""},
		{http.MethodGet, answerOf(unframed, "404 Not Found", "application/json", ""), ""},
		{http.MethodGet, answerOf(unframed, ok, "application/json", `{"lot":4}`+"\n"), `{"lot":4}` + "\n"},
		{http.MethodGet, answerOf(unframed, ok, "application/x-ndjson", "{}\n{}\n"), "{}\n{}\n"},
		{http.MethodGet, answerOf(unframed, "302 Found", "text/html", "<a>"), "<a>"},
	}
	for _, c := range cases {
		script.set(c.answer)
		response := system.send(t, 0, hawkerKey, c.method, "/svc/status/a", "")
		require.Contains(t, c.answer, " "+response.Status+"\r\n")
		require.Equal(t, c.body, readAll(t, response), c.answer)
		require.Equal(t, 1, script.requests(), c.answer)
	}
}
