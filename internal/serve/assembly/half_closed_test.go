package assembly

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/platform/sample"
)

// Guards against an answer that the server's library makes up for a caller that has closed
// only its sending side: a 200 without a seal, or a last chunk behind a part of a stream.
func TestFrontCompletesNothingForAHalfClosedCaller(t *testing.T) {
	d := deploy(t)
	d.configure(1, "k1")
	began, gone := make(chan struct{}, 1), make(chan struct{}, 1)
	d.add("i-1", "app", func(_ http.ResponseWriter, r *http.Request) {
		began <- struct{}{}
		<-r.Context().Done()
		gone <- struct{}{}
	})
	d.add("i-2", "llm", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(sample.Seal, "s")
		_, _ = io.WriteString(w, "id: 1\ndata: piece\n\n")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		gone <- struct{}{}
	})
	d.settle(1, 2)
	for _, path := range []string{"/book/", "/short/"} {
		conn, err := net.Dial("tcp", d.node.Callers.String())
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		require.NoError(t, conn.SetDeadline(time.Now().Add(waitTime)))
		_, err = io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: h.example\r\nRequest-Id: x1\r\nAuthorization: Bearer k1\r\n"+
			sample.Tokens+": 600,40\r\nContent-Length: 2\r\n\r\nhi")
		require.NoError(t, err)
		reader := bufio.NewReader(conn)
		if path == "/short/" {
			line, err := reader.ReadString('\n')
			require.NoError(t, err)
			require.Contains(t, line, "200 OK")
		} else {
			<-began
		}
		require.NoError(t, conn.(*net.TCPConn).CloseWrite())
		rest, err := io.ReadAll(reader)
		require.NoError(t, err)
		require.NotContains(t, string(rest), "200 OK", path)
		require.False(t, strings.HasSuffix(string(rest), "0\r\n\r\n"), "%s: %q", path, rest)
		<-gone
	}
}

// Guards against a request in the body of another one: none of these runs, and neither does
// what stands behind it.
func TestFrontRunsNothingThatIsSmuggled(t *testing.T) {
	d := deploy(t)
	d.configure(1, "k1")
	b := d.add("i-1", "app", fine)
	d.settle(1, 1)
	const head = "POST /book/ HTTP/1.1\r\nHost: h.example\r\nRequest-Id: x1\r\nAuthorization: Bearer k1\r\n"
	const hidden = "0\r\n\r\nGET /read/ HTTP/1.1\r\nHost: h.example\r\nRequest-Id: x2\r\nAuthorization: Bearer k1\r\n\r\n"
	const options = "OPTIONS * HTTP/1.1\r\nHost: h.example\r\n\r\n"
	cases := []struct{ name, text string }{
		{"both", head + "Content-Length: 90\r\nTransfer-Encoding: chunked\r\n\r\n" + hidden},
		{"folded length", head + "Content-Length:\r\n 90\r\nTransfer-Encoding: chunked\r\n\r\n" + hidden},
		{"folded coding", head + "Transfer-Encoding:\r\n chunked\r\n\r\n" + hidden},
		{"behind OPTIONS", options + options + head + "Content-Length: 90\r\nTransfer-Encoding: chunked\r\n\r\n" + hidden},
		{"lengths", head + "Content-Length: 0\r\nContent-Length: 90\r\n\r\n" + hidden},
		{"coding of HTTP/1.0", strings.Replace(head, "1.1", "1.0", 1) + "Transfer-Encoding: chunked\r\n\r\n" + hidden},
	}
	for _, c := range cases {
		got := d.raw(c.text)
		require.True(t, strings.HasPrefix(got, "HTTP/1.1 400 "), "%s: %q", c.name, got)
		require.Equal(t, 1, strings.Count(got, "HTTP/1.1 "), c.name)
		require.Zero(t, b.ran("x1"), c.name)
		require.Zero(t, b.ran("x2"), c.name)
	}
	got := d.raw(head + "X-Long: " + strings.Repeat("x", 20000) + "\r\n\r\n")
	require.True(t, strings.HasPrefix(got, "HTTP/1.1 431 "), got)
	require.Zero(t, b.ran("x1"))
}
