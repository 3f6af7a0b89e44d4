package assembly

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/platform/sample"
)

// raw answers with bytes as they are, %s being the request's ID, and ends as it is told to.
func raw(text string, end func(conn *net.TCPConn)) func(w http.ResponseWriter, r *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = conn.Write([]byte(strings.ReplaceAll(text, "%s", r.Header.Get(sample.ID))))
		if tcp, isTCP := conn.(*net.TCPConn); isTCP {
			end(tcp)
		}
	}
}

// withFIN ends a connection as a close does.
func withFIN(*net.TCPConn) {}

// withReset has the peer see a reset instead of the connection's end.
func withReset(conn *net.TCPConn) { _ = conn.SetLinger(0) }

// headOf returns the head of a 200 with a type and more lines.
func headOf(mediaType string, more ...string) string {
	lines := []string{"HTTP/1.1 200 OK", sample.ID + ": %s", sample.Seal + ": s"}
	if mediaType != "" {
		lines = append(lines, "Content-Type: "+mediaType)
	}
	return strings.Join(append(lines, more...), "\r\n") + "\r\n\r\n"
}

// lastChunk ends a body in chunks.
const lastChunk = "0\r\n\r\n"

// chunked returns a body in one chunk with its end.
func chunked(body string) string { return open(body) + lastChunk }

// open returns a chunk of a body that goes on.
func open(body string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(body), body) }

// numbered returns events with these IDs.
func numbered(ids ...int) string {
	var body strings.Builder
	for _, id := range ids {
		_, _ = fmt.Fprintf(&body, "id: %d\ndata: piece-%d\n\n", id, id)
	}
	return body.String()
}

const (
	eventsType      = "text/event-stream"
	inChunkedCoding = "Transfer-Encoding: chunked"
	unframed        = "Connection: close"
)

func ofLength(body string) string { return fmt.Sprintf("Content-Length: %d", len(body)) }

// broken is the first answer of a stream that breaks off after two events.
var broken = headOf(eventsType, inChunkedCoding) + open(numbered(1, 2))

// Guards against bytes of another answer than the stream's next events in a stream that broke
// off, and against its end being taken from an answer that doesn't go on with it.
func TestBrokenStreamIsNotJoinedWithForeignAnswer(t *testing.T) {
	const failure = `{"error":{"message":"overloaded"}}` + "\n\n"
	second := "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\noops\n"
	type answerCase struct{ name, answer, got string }
	cases := []answerCase{
		{"500", "HTTP/1.1 500 Internal Server Error\r\n" + sample.ID + ": %s\r\n" + ofLength(failure) + "\r\n\r\n" + failure, ""},
		{"500 that ends with its connection", "HTTP/1.1 500 Internal Server Error\r\n" + sample.ID + ": %s\r\n\r\n" + failure, ""},
		{"404", "HTTP/1.1 404 Not Found\r\n" + sample.ID + ": %s\r\n" + ofLength(failure) + "\r\n\r\n" + failure, ""},
		{"another type", headOf("application/json", ofLength(failure)) + failure, ""},
		{"another type in chunks", headOf("application/json", inChunkedCoding) + chunked(failure), ""},
		{"plain text", headOf("text/plain", ofLength(numbered(3, 4))) + numbered(3, 4), ""},
		{"no type", headOf("", ofLength(numbered(3, 4))) + numbered(3, 4), ""},
		{"no seal", strings.Replace(headOf(eventsType, inChunkedCoding), sample.Seal+": s\r\n", "", 1) + chunked(numbered(3, 4)), ""},
		{"encoded", headOf(eventsType, inChunkedCoding, "Content-Encoding: gzip") + chunked("\x1f\x8b\n\n"), ""},
		{"text instead of events", headOf(eventsType, inChunkedCoding) + chunked("upstream connect error\n\n"), ""},
		{"text that ends with its connection", headOf(eventsType, unframed) + "upstream connect error\n\n", ""},
		{"a page", headOf(eventsType, inChunkedCoding) + chunked("<html>\n<body>502 Bad Gateway</body>\n\n</html>\n\n"), ""},
		{"an error's text", headOf(eventsType, inChunkedCoding) + chunked(failure), ""},
		{"an error's field", headOf(eventsType, inChunkedCoding) + chunked("error: overloaded\n\n"), ""},
		{"an error as an event", headOf(eventsType, inChunkedCoding) + chunked("event: error\ndata: overloaded\n\n"), ""},
		{"length 0", headOf(eventsType, "Content-Length: 0"), ""},
		{"length 0 of no type", "HTTP/1.1 200 OK\r\n" + sample.ID + ": %s\r\nContent-Length: 0\r\n\r\n", ""},
		{"chunks that end at once", headOf(eventsType, inChunkedCoding) + lastChunk, ""},
		{"comments only", headOf(eventsType, inChunkedCoding) + chunked(": still here\n\n"), ""},
		{"no body", headOf(eventsType, unframed), ""},
		{"half a head", headOf(eventsType, inChunkedCoding)[:40], ""},
		{"another answer behind an event", headOf(eventsType, unframed) + numbered(3) + second, numbered(3)},
		{"another answer in a chunk", headOf(eventsType, inChunkedCoding) + chunked(numbered(3)+second), numbered(3)},
		{"the end of a connection behind an event", headOf(eventsType, unframed) + numbered(3), numbered(3)},
		{"all events again", headOf(eventsType, inChunkedCoding) + chunked(numbered(1, 2, 3, 4)), ""},
		{"the last event again", headOf(eventsType, inChunkedCoding) + chunked(numbered(2, 3, 4)), ""},
		{"events that go back", headOf(eventsType, inChunkedCoding) + chunked(numbered(3, 2)), numbered(3)},
		{"events that repeat", headOf(eventsType, inChunkedCoding) + chunked(numbered(3, 3)), numbered(3)},
	}
	breaks := []struct {
		name, answer string
		end          func(*net.TCPConn)
	}{
		{"closed", broken, withFIN},
		{"closed within an event", headOf(eventsType, inChunkedCoding) + open(numbered(1, 2)+"id: 3\nda"), withFIN},
		{"reset", broken, withReset},
	}
	for _, b := range breaks {
		for _, c := range cases {
			t.Run(b.name+"/"+c.name, func(t *testing.T) {
				got, runs := secondAnswer(t, raw(b.answer, b.end), raw(c.answer, withFIN))
				require.LessOrEqual(t, runs, 2)
				if got.err != nil && got.status == 0 {
					return // reset before the caller read anything
				}
				require.Equal(t, http.StatusOK, got.status)
				require.Error(t, got.err, "a stream that isn't complete must not look so: %q", got.body)
				require.True(t, strings.HasPrefix(numbered(1, 2)+c.got, got.body), got.body)
				if b.name == "closed" {
					require.Equal(t, numbered(1, 2)+c.got, got.body)
				}
			})
		}
	}
}

// Guards against sound answers being refused as a part of a stream that broke off.
func TestBrokenStreamGoesOnWithItsNextEvents(t *testing.T) {
	cases := []struct{ name, head, body string }{
		{"the next ones", headOf(eventsType, inChunkedCoding), numbered(3, 4)},
		{"parameters of the type", headOf(eventsType+"; charset=utf-8", inChunkedCoding), numbered(3, 4)},
		{"numbers that jump", headOf(eventsType, inChunkedCoding), numbered(7, 40)},
		{"comments and a pause for reconnecting", headOf(eventsType, inChunkedCoding), ": hello\n\nretry: 100\n\n" + numbered(3) + ": more\n\n" + numbered(4)},
		{"a field of the server's", headOf(eventsType, inChunkedCoding), "weight-versions: 2\nid: 3\ndata: x\n\n" + numbered(4)},
		{"events without IDs behind the next one", headOf(eventsType, inChunkedCoding), numbered(3) + "data: x\n\nevent: done\ndata: y\n\n"},
		{"lines that end with CR LF", headOf(eventsType, inChunkedCoding), strings.ReplaceAll(numbered(3, 4), "\n", "\r\n")},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, runs := secondAnswer(t, raw(broken, withFIN), raw(c.head+chunked(c.body), withFIN))
			require.NoError(t, got.err)
			require.Equal(t, 2, runs)
			require.Equal(t, numbered(1, 2)+c.body, got.body)
		})
	}
}

// secondAnswer returns what the caller of a stream gets from a first answer and one that is
// to go on with it, and how many servers ran the request.
func secondAnswer(t *testing.T, first, second func(w http.ResponseWriter, r *http.Request)) (got answered, runs int) {
	d := deploy(t)
	d.configure(1, "k1")
	answer := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") == "" {
			first(w, r)
			return
		}
		second(w, r)
	}
	one, other := d.add("i-1", "llm", answer), d.add("i-2", "llm", answer)
	d.settle(1, 2)
	got = d.send(http.MethodPost, "/long/x", "s1", "k1", "x")
	return got, one.ran("s1") + other.ran("s1")
}
