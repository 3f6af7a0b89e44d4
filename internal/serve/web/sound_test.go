package web

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
)

const sound = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound"

// stale is an answer that belongs to no request.
var stale = strings.Replace(sound, "sound", "stale", 1)

// write starts a server that writes a text to its first request, a stale answer to others on the
// same connection, and a sound one on each other connection. It closes none.
func write(t *testing.T, text string) (url string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	var asked atomic.Int32
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				later := sound
				for {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					answer := later
					if asked.Add(1) == 1 {
						answer, later = text, stale
					}
					_, _ = io.WriteString(conn, answer)
				}
			}()
		}
	}()
	return fmt.Sprintf("http://%s/", listener.Addr())
}

// Guards against a head that is believed although it isn't sound, and against the bytes behind it
// being read as the answer to another request.
func TestUnsoundHeads(t *testing.T) {
	cases := []struct{ name, text string }{
		{"status 000", "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n"},
		{"status 000, bytes behind", "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n" + stale},
		{"status 042 with a body", "HTTP/1.1 042 X\r\nContent-Length: 2\r\n\r\nno" + stale},
		{"status 099 without a length", "HTTP/1.1 099 X\r\n\r\n" + stale},
		{"status 600", "HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n"},
		{"a switch of protocols", "HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n" + stale},
		{"a blank behind a name", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-A : 1\r\n\r\n" + stale},
		{"a blank before the length", "HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n" + stale},
		{"a blank in a name, no content", "HTTP/1.1 204 No Content\r\nX A: 1\r\n\r\n"},
		{"a blank in an interim head", "HTTP/1.1 103 Early\r\nX A: 1\r\n\r\n" + stale},
		{"too many interim heads", strings.Repeat("HTTP/1.1 103 X\r\n\r\n", 9) + stale},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := NewClient(nil)
			defer client.CloseIdleConnections()
			url := write(t, c.text)
			_, err := client.Get(url)
			require.ErrorIs(t, err, chicoryrock.ErrUnsoundHead)
			require.False(t, DialFailed(err))
			for range 3 {
				response, err := client.Get(url)
				require.NoError(t, err)
				body, err := io.ReadAll(response.Body)
				require.NoError(t, err)
				require.NoError(t, response.Body.Close())
				require.Equal(t, "sound", string(body))
			}
		})
	}
}

// Guards against the end of a connection that passes for that of an answer, though the request is
// still being sent: by a server that closes, and one that resets the connection under a write.
func TestEndBeforeTheRequestIsSent(t *testing.T) {
	const unframed = "HTTP/1.1 200 OK\r\n\r\npart"
	cases := []struct {
		name  string
		bytes int64 // of the request that come; it states twice as many, or as many if it is whole
		whole bool
		text  string
		reset bool
		want  error
	}{
		{"the rest hasn't come", 1 << 10, false, unframed, false, ErrUnsent},
		{"the rest hasn't come, a length", 1 << 10, false, sound, false, nil},
		{"reset under a write", 12 << 20, true, unframed, true, ErrUnsent},
		{"reset under a write, a length", 12 << 20, true, sound, true, nil},
		{"sent whole", 1 << 10, true, unframed, false, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = listener.Close() }()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.CopyN(io.Discard, request.Body, min(c.bytes, 1<<10))
				_, _ = io.WriteString(conn, c.text)
				if c.reset {
					time.Sleep(30 * time.Millisecond) // so that all of it has been read
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			}()
			body, rest := io.Pipe()
			go func() {
				_, _ = io.CopyN(rest, zeros{}, c.bytes)
				if c.whole {
					_ = rest.Close()
				}
			}()
			request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/", listener.Addr()), body)
			require.NoError(t, err)
			request.ContentLength = c.bytes
			if !c.whole {
				request.ContentLength *= 2
			}
			client := NewClient(nil)
			defer client.CloseIdleConnections()
			response, err := client.Do(request)
			require.NoError(t, err)
			got, err := io.ReadAll(response.Body)
			require.ErrorIs(t, err, c.want)
			require.True(t, strings.HasSuffix(c.text, string(got)), string(got))
			require.NoError(t, response.Body.Close())
		})
	}
}

// zeros is a reader without an end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }
