package assembly

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/platform/sample"
)

// Guards against a caller that takes a stream up getting anything but the events after its last.
func TestTakenUpStreamIsNotJoinedWithForeignAnswer(t *testing.T) {
	const failure = `{"error":{"message":"overloaded"}}` + "\n\n"
	cases := []struct {
		name, answer string
		status       int
		body         string // passed on, if the status is 200
		whole        bool
	}{
		{"the rest", headOf(eventsType, inChunkedCoding) + chunked(numbered(3, 4)), http.StatusOK, numbered(3, 4), true},
		{"nothing more", headOf(eventsType, inChunkedCoding) + lastChunk, http.StatusOK, "", true},
		{"nothing more, by length", headOf(eventsType, "Content-Length: 0"), http.StatusOK, "", true},
		{"comments only", headOf(eventsType, inChunkedCoding) + chunked(": x\n\n"), http.StatusOK, ": x\n\n", true},
		{"no body", headOf(eventsType, unframed), http.StatusBadGateway, "", true},
		{"no type", headOf("", "Content-Length: 0"), http.StatusBadGateway, "", true},
		{"another type", headOf("application/json", ofLength(failure)) + failure, http.StatusBadGateway, "", true},
		{"text", headOf(eventsType, inChunkedCoding) + chunked("upstream connect error\n\n"), http.StatusBadGateway, "", true},
		{"an error as an event", headOf(eventsType, inChunkedCoding) + chunked("event: error\ndata: x\n\n"), http.StatusBadGateway, "", true},
		{"all events again", headOf(eventsType, inChunkedCoding) + chunked(numbered(1, 2, 3, 4)), http.StatusBadGateway, "", true},
		{"events that go back", headOf(eventsType, inChunkedCoding) + chunked(numbered(3, 1)), http.StatusOK, numbered(3), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := deploy(t)
			d.configure(1, "k1")
			answer := raw(c.answer, withFIN)
			d.add("i-1", "llm", answer)
			d.add("i-2", "llm", answer)
			d.settle(1, 2)
			got := d.takeUp("t1", "b1", 2)
			require.Equal(t, c.status, got.status, got.body)
			require.Equal(t, c.whole, got.err == nil)
			if c.status == http.StatusOK {
				require.Equal(t, c.body, got.body)
			}
		})
	}
}

// Guards against foreign bytes in streams of one answer, and against streams whose place isn't
// known beginning anew within themselves.
func TestForeignBytesEndFirstAnswer(t *testing.T) {
	const nameless = "data: a\n\ndata: b\n\n"
	again := headOf(eventsType, inChunkedCoding) + chunked(numbered(1, 2, 3))
	rest := headOf(eventsType, inChunkedCoding) + chunked(numbered(3))
	cases := []struct {
		name, first, second string // second is any later answer
		body                string
		whole               bool
		runs                int
	}{
		{"text amid events", headOf(eventsType, inChunkedCoding) + chunked(numbered(1, 2)+"{\"error\":1}\n\n"), rest, numbered(1, 2, 3), true, 2},
		{"numbers that go back", headOf(eventsType, inChunkedCoding) + chunked(numbered(1, 2, 1)), rest, numbered(1, 2, 3), true, 2},
		{"text before events", headOf(eventsType, inChunkedCoding) + chunked("oops\n\n"), again, numbered(1, 2, 3), true, 2},
		{"a break behind comments", headOf(eventsType, inChunkedCoding) + open(": x\n\n"), again, numbered(1, 2, 3), true, 2},
		{"a break without IDs", headOf(eventsType, inChunkedCoding) + open(nameless), again, nameless, false, 1},
		{"a break behind an event without an ID", headOf(eventsType, inChunkedCoding) + open(numbered(1, 2)+"data: x\n\n"), again, numbered(1, 2) + "data: x\n\n", false, 1},
		{"a break behind a name", headOf(eventsType, inChunkedCoding) + open("id: x\ndata: x\n\n"), again, "id: x\ndata: x\n\n", false, 1},
		{"no stream", headOf("application/json", ofLength("{}")) + "{}", again, "{}", true, 1},
		{"no stream and no seal", "HTTP/1.1 200 OK\r\n" + sample.ID + ": %s\r\nContent-Type: text/html\r\nContent-Length: 2\r\n\r\nno", again, numbered(1, 2, 3), true, 2},
		{"no stream, broken", headOf("application/json", "Content-Length: 3") + "{}", again, numbered(1, 2, 3), true, 2},
		{"comments first", headOf(eventsType, inChunkedCoding) + chunked(": x\n\n"+numbered(1)), again, ": x\n\n" + numbered(1), true, 1},
		{"comments only", headOf(eventsType, inChunkedCoding) + chunked(": x\n\n"), again, ": x\n\n", true, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var runs atomic.Int32
			answer := func(w http.ResponseWriter, r *http.Request) {
				if runs.Add(1) == 1 {
					raw(c.first, withFIN)(w, r)
					return
				}
				raw(c.second, withFIN)(w, r)
			}
			d := deploy(t)
			d.configure(1, "k1")
			d.add("i-1", "llm", answer)
			d.add("i-2", "llm", answer)
			d.settle(1, 2)
			got := d.send(http.MethodPost, "/long/x", "s1", "k1", "x")
			require.Equal(t, http.StatusOK, got.status)
			require.Equal(t, c.body, got.body)
			require.Equal(t, c.whole, got.err == nil)
			require.EqualValues(t, c.runs, runs.Load())
		})
	}
}

// copyAnswer returns what a caller gets of a stream that breaks off after two events and goes on
// from its copy, whose server answers with a text.
func copyAnswer(t *testing.T, text string) answered {
	t.Helper()
	d := deploy(t)
	d.configureWith(1, sample.Copied)
	answer := func(w http.ResponseWriter, r *http.Request, crash func()) {
		if r.Header.Get(sample.FromCopy) != "" {
			raw(text, withFIN)(w, r)
			return
		}
		w.Header().Set("Content-Type", eventsType)
		w.Header().Set(sample.Seal, "s")
		_, _ = fmt.Fprint(w, numbered(1, 2))
		_ = http.NewResponseController(w).Flush()
		crash()
	}
	d.addMortal("i-1", answer)
	d.addMortal("i-2", answer)
	d.settle(1, 2)
	request := d.request(t.Context(), http.MethodPost, "/short/", "x1", "k1", "x")
	request.Header.Set(sample.Tokens, "600,300")
	return d.do(request)
}

// Guards against a copy whose answer doesn't go on with the run being joined with it.
func TestRunIsNotJoinedWithForeignAnswerOfItsCopy(t *testing.T) {
	cases := []struct {
		name, answer, body string
		whole              bool
	}{
		{"the rest", headOf(eventsType, inChunkedCoding) + chunked(numbered(3, 4)), numbered(1, 2, 3, 4), true},
		{"all events again", headOf(eventsType, inChunkedCoding) + chunked(numbered(1, 2, 3, 4)), numbered(1, 2), false},
		{"text", headOf(eventsType, inChunkedCoding) + chunked("oops\n\n"), numbered(1, 2), false},
		{"another type", headOf("application/json", ofLength("{}")) + "{}", numbered(1, 2), false},
		{"no event", headOf(eventsType, inChunkedCoding) + lastChunk, numbered(1, 2), false},
		{"the end of a connection", headOf(eventsType, unframed) + numbered(3), numbered(1, 2, 3), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := copyAnswer(t, c.answer)
			require.Equal(t, http.StatusOK, got.status)
			require.Equal(t, c.body, got.body)
			require.Equal(t, c.whole, got.err == nil)
		})
	}
}

// Guards against a success being passed on that something before the backend server has made.
func TestSuccessWithoutProofIsNotPassedOn(t *testing.T) {
	page := "HTTP/1.1 200 OK\r\n" + sample.ID + ": %s\r\nContent-Type: text/html\r\nContent-Length: 2\r\n\r\nno"
	cases := []struct {
		path, service string
		status, runs  int
	}{
		{"/read/x", "app", http.StatusOK, 2},
		{"/long/x", "llm", http.StatusOK, 2},
		{"/book/x", "app", http.StatusBadGateway, 1},
		{"/short/x", "llm", http.StatusBadGateway, 1},
	}
	for _, c := range cases {
		t.Run(c.path, func(t *testing.T) {
			var runs atomic.Int32
			answer := func(w http.ResponseWriter, r *http.Request) {
				if runs.Add(1) == 1 {
					raw(page, withFIN)(w, r)
					return
				}
				raw(headOf(eventsType, ofLength(numbered(1)))+numbered(1), withFIN)(w, r)
			}
			d := deploy(t)
			d.configure(1, "k1")
			d.add("i-1", c.service, answer)
			d.add("i-2", c.service, answer)
			d.settle(1, 2)
			got := d.send(http.MethodPost, c.path, "s1", "k1", "x")
			require.NoError(t, got.err)
			require.Equal(t, c.status, got.status)
			require.EqualValues(t, c.runs, runs.Load())
			if c.status == http.StatusOK {
				require.Equal(t, numbered(1), got.body)
			}
		})
	}
}

// Guards against what an answer says of its server being believed of one that the server hasn't made.
func TestForeignAnswerSaysNothingOfItsServer(t *testing.T) {
	for _, status := range []string{"200 OK", "502 Bad Gateway"} {
		t.Run(status, func(t *testing.T) {
			var runs atomic.Int32
			d := deploy(t)
			d.configure(1, "k1")
			d.add("i-1", "app", func(w http.ResponseWriter, r *http.Request) {
				if runs.Add(1) > 1 {
					fine(w, r)
					return
				}
				raw("HTTP/1.1 "+status+"\r\n"+sample.ID+": %s\r\n"+sample.Leaving+": 1\r\n"+sample.Limit+": 0.01\r\nContent-Length: 0\r\n\r\n", withFIN)(w, r)
			})
			d.settle(1, 1)
			require.Equal(t, http.StatusBadGateway, d.send(http.MethodPost, "/book/x", "s1", "k1", "x").status)
			require.Equal(t, http.StatusOK, d.send(http.MethodPost, "/book/x", "s2", "k1", "x").status)
		})
	}
}

// Guards against a final answer that something before a backend server has made, where another
// server could answer.
func TestForeignRefusalIsTriedElsewhere(t *testing.T) {
	for _, status := range []string{"302 Found", "400 Bad Request", "404 Not Found", "502 Bad Gateway"} {
		for _, sealed := range []bool{false, true} {
			t.Run(fmt.Sprint(status, sealed), func(t *testing.T) {
				var runs atomic.Int32
				proof := ""
				if sealed {
					proof = sample.Seal + ": s\r\n"
				}
				answer := func(w http.ResponseWriter, r *http.Request) {
					if runs.Add(1) > 1 {
						fine(w, r)
						return
					}
					raw("HTTP/1.1 "+status+"\r\n"+sample.ID+": %s\r\n"+proof+"Content-Length: 0\r\n\r\n", withFIN)(w, r)
				}
				d := deploy(t)
				d.configure(1, "k1")
				d.add("i-1", "app", answer)
				d.add("i-2", "app", answer)
				d.settle(1, 2)
				got := d.send(http.MethodPost, "/read/x", "s1", "k1", "x")
				want := http.StatusOK
				if sealed && !strings.HasPrefix(status, "5") {
					_, _ = fmt.Sscan(status, &want)
				}
				require.Equal(t, want, got.status)
			})
		}
	}
}
