package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
)

// patience ends a test that hangs; no test waits for it.
const patience = 20 * time.Second

// server answers each request on each connection with the next of its scripts. A
// script writes the answer and says whether the connection goes on.
type server struct {
	listener net.Listener
	script   func(request *http.Request, body []byte, conn net.Conn) bool

	mutex    sync.Mutex
	requests int
	conns    int
}

func start(t *testing.T, script func(*http.Request, []byte, net.Conn) bool) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &server{listener: listener, script: script}
	t.Cleanup(func() { _ = listener.Close() })
	go s.serve()
	return s
}

func (s *server) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mutex.Lock()
		s.conns++
		s.mutex.Unlock()
		go s.talk(conn)
	}
}

func (s *server) talk(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		s.mutex.Lock()
		s.requests++
		s.mutex.Unlock()
		if err != nil || !s.script(request, body, conn) {
			return
		}
	}
}

func (s *server) counts() (requests, conns int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.requests, s.conns
}

func (s *server) address() netip.AddrPort { return netip.MustParseAddrPort(s.listener.Addr().String()) }

func (s *server) call(id string) *Call {
	return &Call{
		Address: s.address(), Method: http.MethodPost, Target: "/a%2Fb/?q=1&r", Host: "h.example", Body: []byte("body " + id),
		Header: http.Header{"Request-Id": {id}, "X-Two": {"a", "b"}},
		Mine:   func(header http.Header) bool { return header.Get("Request-Id") == id },
	}
}

func answer(conn net.Conn, id, headers, body string) {
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: "+id+"\r\n"+headers+"\r\n"+body)
}

func whole(conn net.Conn, id, body string) {
	answer(conn, id, "Content-Length: "+string(rune('0'+len(body)))+"\r\n", body)
}

func do(t *testing.T, client *Client, call *Call) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	got, err := client.Do(ctx, call)
	if err != nil {
		return "", err
	}
	defer func() { _ = got.Body.Close() }()
	body, err := io.ReadAll(got.Body)
	return string(body), err
}

func TestRequestArrivesAsItWas(t *testing.T) {
	var seen *http.Request
	var sent []byte
	s := start(t, func(r *http.Request, body []byte, conn net.Conn) bool {
		seen, sent = r, body
		whole(conn, "1", "fine")
		return true
	})
	body, err := do(t, &Client{}, s.call("1"))
	require.NoError(t, err)
	require.Equal(t, "fine", body)
	require.Equal(t, "/a%2Fb/?q=1&r", seen.RequestURI)
	require.Equal(t, "h.example", seen.Host)
	require.Equal(t, []string{"a", "b"}, seen.Header["X-Two"])
	require.Equal(t, "body 1", string(sent))
}

func TestConnectionServesAgain(t *testing.T) {
	s := start(t, func(r *http.Request, _ []byte, conn net.Conn) bool {
		whole(conn, r.Header.Get("Request-Id"), "fine")
		return true
	})
	client := &Client{}
	for _, id := range []string{"1", "2", "3"} {
		_, err := do(t, client, s.call(id))
		require.NoError(t, err)
	}
	_, conns := s.counts()
	require.Equal(t, 1, conns)
}

// What a connection says after it has answered belongs to no request.
func TestOddConnectionsServeNoOther(t *testing.T) {
	cases := []struct {
		name   string
		script func(id string, conn net.Conn)
	}{
		{"bytes behind the answer", func(id string, conn net.Conn) {
			whole(conn, id, "fine")
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		}},
		{"a second answer", func(id string, conn net.Conn) { whole(conn, id, "fine"); whole(conn, id, "late") }},
		{"an answer that closes", func(id string, conn net.Conn) { answer(conn, id, "Connection: close\r\nContent-Length: 4\r\n", "fine") }},
		{"no idle time", func(id string, conn net.Conn) {
			answer(conn, id, "Keep-Alive: timeout=0\r\nContent-Length: 4\r\n", "fine")
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := start(t, func(r *http.Request, _ []byte, conn net.Conn) bool {
				c.script(r.Header.Get("Request-Id"), conn)
				return true
			})
			client := &Client{}
			for _, id := range []string{"1", "2"} {
				body, err := do(t, client, s.call(id))
				require.NoError(t, err)
				require.Equal(t, "fine", body)
				// The odd bytes may still be on their way.
				time.Sleep(20 * time.Millisecond)
			}
			_, conns := s.counts()
			require.Equal(t, 2, conns)
		})
	}
}

func TestLateAnswerBeforeOursIsPassedOver(t *testing.T) {
	s := start(t, func(r *http.Request, _ []byte, conn net.Conn) bool {
		whole(conn, "another", "late")
		whole(conn, r.Header.Get("Request-Id"), "fine")
		return true
	})
	body, err := do(t, &Client{}, s.call("1"))
	require.NoError(t, err)
	require.Equal(t, "fine", body)
}

func TestForeignAnswersAreNoAnswer(t *testing.T) {
	s := start(t, func(_ *http.Request, _ []byte, conn net.Conn) bool {
		for range maxForeign + 1 {
			whole(conn, "another", "late")
		}
		return true
	})
	_, err := do(t, &Client{}, s.call("1"))
	require.ErrorIs(t, err, ErrBadAnswer)
}

// A server that hangs up after it has read a request may have run it: it is never
// sent again by itself, on whatever connection.
func TestNothingIsSentTwice(t *testing.T) {
	calls := 0
	s := start(t, func(r *http.Request, _ []byte, conn net.Conn) bool {
		if calls++; calls == 1 {
			whole(conn, r.Header.Get("Request-Id"), "fine")
			return true
		}
		return false
	})
	client := &Client{}
	_, err := do(t, client, s.call("1"))
	require.NoError(t, err)
	_, err = do(t, client, s.call("2"))
	require.ErrorIs(t, err, chicoryrock.ErrUnknownOutcome)
	require.NotErrorIs(t, err, chicoryrock.ErrNotRun)
	requests, _ := s.counts()
	require.Equal(t, 2, requests)
}

func TestNoConnectionMeansNotRun(t *testing.T) {
	s := start(t, nil)
	_ = s.listener.Close()
	_, err := do(t, &Client{}, s.call("1"))
	require.ErrorIs(t, err, chicoryrock.ErrNotRun)
}

func TestTornAnswers(t *testing.T) {
	cases := []struct{ name, headers, body string }{
		{"short of its length", "Content-Length: 9\r\n", "fine"},
		{"chunks without an end", "Transfer-Encoding: chunked\r\n", "4\r\nfine\r\n"},
		{"rubbish for a chunk", "Transfer-Encoding: chunked\r\n", "zz\r\nfine\r\n"},
	}
	for _, c := range cases {
		s := start(t, func(r *http.Request, _ []byte, conn net.Conn) bool {
			answer(conn, r.Header.Get("Request-Id"), c.headers, c.body)
			return false
		})
		_, err := do(t, &Client{}, s.call("1"))
		require.Error(t, err, c.name)
	}
	s := start(t, func(r *http.Request, _ []byte, conn net.Conn) bool {
		answer(conn, r.Header.Get("Request-Id"), "", "fine")
		return false
	})
	body, err := do(t, &Client{}, s.call("1"))
	require.NoError(t, err, "without a length, a clean end is the end")
	require.Equal(t, "fine", body)
}

// Guards against chunks that are passed on with their framing, as HTTP/1.0 has none.
func TestChunksOfAnOldVersionAreNoAnswer(t *testing.T) {
	const mine, chunks = "Request-Id: 1\r\n", "\r\n4\r\nfine\r\n0\r\n\r\n"
	cases := []struct {
		name, answer string
		sound        bool
	}{
		{"chunks", "HTTP/1.0 200 OK\r\n" + mine + "Transfer-Encoding: chunked\r\n" + chunks, false},
		{"chunks, other letters", "HTTP/1.0 200 OK\ntransfer-encoding:chunked\n" + mine + "\n4\nfine\n0\n\n", false},
		{"chunks and a length", "HTTP/1.0 200 OK\r\n" + mine + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\nfine", false},
		{"chunks after an interim head", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.0 200 OK\r\n" + mine + "Transfer-Encoding: chunked\r\n" + chunks, false},
		{"chunks behind a long head", "HTTP/1.0 200 OK\r\nX: " + strings.Repeat("x", 9000) + "\r\n" + mine + "Transfer-Encoding: chunked\r\n" + chunks, false},
		{"a length", "HTTP/1.0 200 OK\r\n" + mine + "Content-Length: 4\r\n\r\nfine", true},
		{"to the end, the field in the body", "HTTP/1.0 200 OK\r\n" + mine + "\r\nTransfer-Encoding: chunked\r\n\r\n", true},
		{"chunks of HTTP/1.1", "HTTP/1.1 200 OK\r\n" + mine + "Transfer-Encoding: chunked\r\n" + chunks, true},
	}
	for _, c := range cases {
		for _, piece := range []int{1, len(c.answer)} { // bytes at once
			s := start(t, func(_ *http.Request, _ []byte, conn net.Conn) bool {
				for rest := range slices.Chunk([]byte(c.answer), piece) {
					_, _ = conn.Write(rest)
				}
				return false
			})
			body, err := do(t, &Client{}, s.call("1"))
			if !c.sound {
				require.ErrorIs(t, err, ErrBadAnswer, "%s: %q", c.name, body)
				continue
			}
			require.NoError(t, err, c.name)
		}
	}
}

// Guards against a head that states no end, and a close, that pass for an empty answer; and
// against answers without a body by their kind that count as broken off.
func TestHeadAlone(t *testing.T) {
	cases := []struct {
		method, status string
		whole          bool
	}{
		{"GET", "200 OK", false},
		{"POST", "201 Created", false},
		{"POST", "206 Partial Content", false},
		{"HEAD", "200 OK", true},
		{"GET", "204 No Content", true},
		{"GET", "304 Not Modified", true},
		{"GET", "303 See Other", true},
		{"GET", "404 Not Found", true},
		{"GET", "500 Internal Server Error", true},
	}
	for _, c := range cases {
		s := start(t, func(_ *http.Request, _ []byte, conn net.Conn) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 "+c.status+"\r\nRequest-Id: 1\r\n\r\n")
			return false
		})
		call := s.call("1")
		call.Method = c.method
		_, err := do(t, &Client{}, call)
		if c.whole {
			require.NoError(t, err, c.method+" "+c.status)
			continue
		}
		require.ErrorIs(t, err, ErrClosed, c.status)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF, c.status)
	}
}

// A server may answer before it has read a long request. The rest of the request
// must not be taken for another one.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	conns := make(chan net.Conn, 4)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conns <- conn
			go func() {
				if _, err := http.ReadRequest(bufio.NewReaderSize(conn, 512)); err == nil {
					whole(conn, "1", "soon")
				}
			}()
		}
	}()
	client := &Client{}
	call := &Call{
		Address: netip.MustParseAddrPort(listener.Addr().String()), Method: http.MethodPost, Target: "/", Host: "h",
		Header: http.Header{}, Body: []byte(strings.Repeat("x", 8<<20)),
	}
	body, err := do(t, client, call)
	require.NoError(t, err)
	require.Equal(t, "soon", body)
	require.Empty(t, client.idle)
	_ = (<-conns).Close()
}

func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	s := start(t, func(_ *http.Request, _ []byte, conn net.Conn) bool {
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
		return false
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := (&Client{}).Do(ctx, s.call("1"))
	require.Error(t, err)
	select {
	case <-closed:
	case <-time.After(patience):
		require.Fail(t, "the server still waits")
	}
}

func TestFragileRequestsGetFreshConnections(t *testing.T) {
	s := start(t, func(r *http.Request, _ []byte, conn net.Conn) bool {
		whole(conn, r.Header.Get("Request-Id"), "fine")
		return true
	})
	client := &Client{}
	_, err := do(t, client, s.call("1"))
	require.NoError(t, err)
	client.idle[s.address()][0].since = time.Now().Add(-2 * cautiousIdle)
	call := s.call("2")
	call.Fragile = true
	_, err = do(t, client, call)
	require.NoError(t, err)
	_, conns := s.counts()
	require.Equal(t, 2, conns, "one that was idle for long may be dead without a sign")
}

// A backend server resets connections beyond what it takes, and a request on one of
// those may have run. None is opened beyond the limit: the request is not sent. An
// idle one that is too old for a fragile request makes room for it.
func TestConnectionsAreLimited(t *testing.T) {
	held := make(chan struct{})
	s := start(t, func(r *http.Request, _ []byte, conn net.Conn) bool {
		id := r.Header.Get("Request-Id")
		if id == "held" {
			<-held
		}
		whole(conn, id, "fine")
		return true
	})
	client := &Client{}
	limited := func(id string, most int) *Call {
		call := s.call(id)
		call.Most = most
		return call
	}
	ended := make(chan error, 1)
	go func() {
		_, err := do(t, client, limited("held", 1))
		ended <- err
	}()
	require.Eventually(t, func() bool { _, conns := s.counts(); return conns == 1 }, patience, time.Millisecond)
	_, err := do(t, client, limited("2", 1))
	require.ErrorIs(t, err, chicoryrock.ErrNotRun)
	_, err = do(t, client, limited("3", 2))
	require.NoError(t, err)
	close(held)
	require.NoError(t, <-ended)
	client.mutex.Lock()
	require.Equal(t, 2, client.open[s.address()])
	for _, one := range client.idle[s.address()] {
		one.since = one.since.Add(-2 * cautiousIdle)
	}
	client.mutex.Unlock()
	fragile := limited("4", 2)
	fragile.Fragile = true
	_, err = do(t, client, fragile)
	require.NoError(t, err)
	client.Forget(s.address())
	require.Empty(t, client.open)
}

// A process has a bounded number of descriptors for all backend servers together. The
// connection that has been idle for longest makes room; without one nothing is sent.
func TestConnectionsToAllServersAreLimited(t *testing.T) {
	held := make(chan struct{})
	script := func(r *http.Request, _ []byte, conn net.Conn) bool {
		id := r.Header.Get("Request-Id")
		if id == "held" {
			<-held
		}
		whole(conn, id, "fine")
		return true
	}
	one, two, three := start(t, script), start(t, script), start(t, script)
	client := &Client{Most: 2}
	for _, s := range []*server{one, two, three} {
		_, err := do(t, client, s.call("1"))
		require.NoError(t, err)
	}
	require.Equal(t, 2, client.total)
	require.Empty(t, client.idle[one.address()], "it was idle for longest")
	ended := make(chan error, 2)
	for _, s := range []*server{two, three} {
		go func() {
			_, err := do(t, client, s.call("held"))
			ended <- err
		}()
		require.Eventually(t, func() bool { requests, _ := s.counts(); return requests == 2 }, patience, time.Millisecond)
	}
	_, err := do(t, client, one.call("2"))
	require.ErrorIs(t, err, chicoryrock.ErrNotRun)
	close(held)
	require.NoError(t, <-ended)
	require.NoError(t, <-ended)
	_, err = do(t, client, one.call("3"))
	require.NoError(t, err)
	client.Forget(one.address())
	client.Forget(two.address())
	client.Forget(three.address())
	require.Zero(t, client.total)
	require.Empty(t, client.open)
}
