package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// endless writes one text again and again behind a beginning, until the other end
// closes.
func endless(beginning, again string) func(*http.Request, []byte, net.Conn) bool {
	block := bytes.Repeat([]byte(again), 1+(32<<10)/len(again))
	return func(r *http.Request, _ []byte, conn net.Conn) bool {
		_, err := io.WriteString(conn, strings.ReplaceAll(beginning, "ID", r.Header.Get("Request-Id")))
		for err == nil {
			_, err = conn.Write(block)
		}
		return false
	}
}

const (
	headBegin    = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n"
	foreignBegin = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n"
	chunks       = "Transfer-Encoding: chunked\r\n\r\n"
)

// Whatever a server sends without end is given up on after a bounded number of bytes,
// and the connection is closed, so that the server's writes end too.
func TestAnswersWithoutEnd(t *testing.T) {
	// mostKept is the most memory that one such answer may take: the head's bound, some
	// times over while it is parsed.
	const mostKept = 16 * maxHead
	cases := []struct {
		name      string
		beginning string
		again     string
		head      bool // the answer never begins
	}{
		{"a head of many lines", headBegin, "X-More: yes\r\n", true},
		{"a head of one line", headBegin + "X-More: ", "yes", true},
		{"a status line", "HTTP/1.1 200 ", "OK", true},
		{"bytes that are no answer", "", "rubbish", true},
		{"line feeds", "", "\n", true},
		{"heads below 200", "", "HTTP/1.1 102 Processing\r\n\r\n", true},
		{"answers to another request", "", foreignBegin + "Content-Length: 1\r\n\r\nx", true},
		{"the body of another's answer", foreignBegin + chunks, "4\r\nmore\r\n", true},
		{"a chunk's extension", headBegin + chunks + "4;", "x=y;", false},
		{"a chunk's size", headBegin + chunks, "0", false},
		{"a trailer of many lines", headBegin + chunks + "4\r\nfine\r\n0\r\n", "X-More: yes\r\n", false},
		{"a trailer of one line", headBegin + chunks + "4\r\nfine\r\n0\r\nX-More: ", "yes", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := start(t, endless(c.beginning, c.again))
			client := &Client{}
			ctx, cancel := context.WithTimeout(t.Context(), patience)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			answer, err := client.Do(ctx, s.call("1"))
			if !c.head {
				require.NoError(t, err)
				_, err = io.Copy(io.Discard, answer.Body)
				require.NoError(t, answer.Body.Close())
			}
			runtime.ReadMemStats(&after)
			require.Error(t, err)
			require.NoError(t, ctx.Err(), "it ends by its bound, not by the request's time")
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(mostKept))
			require.Empty(t, client.idle, "the connection serves no other request")
			require.Empty(t, client.open)
		})
	}
}

// A server may announce an answer some times before it comes.
func TestInterimHeadsArePassedOver(t *testing.T) {
	const interim = 8
	s := start(t, func(r *http.Request, _ []byte, conn net.Conn) bool {
		for range interim {
			_, _ = io.WriteString(conn, "HTTP/1.1 102 Processing\r\n\r\n")
		}
		whole(conn, r.Header.Get("Request-Id"), "fine")
		return true
	})
	body, err := do(t, &Client{}, s.call("1"))
	require.NoError(t, err)
	require.Equal(t, "fine", body)
}
