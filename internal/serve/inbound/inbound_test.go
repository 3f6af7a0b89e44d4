package inbound

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/chicoryrock/chicoryrock/internal/policy/framing"
)

// waitTime ends a test that hangs.
const waitTime = 20 * time.Second

const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// account counts what it has given, up to a limit.
type account struct {
	mutex       sync.Mutex
	limit       int
	bytes, open int
}

func (a *account) Open(net.Conn) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.open++
	return true
}

func (a *account) Keep(_ net.Conn, bytes int) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.bytes+bytes > a.limit {
		return false
	}
	a.bytes += bytes
	return true
}

func (a *account) Release(_ net.Conn, bytes int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.bytes -= bytes
}

func (a *account) Closed(net.Conn) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.open--
}

func (a *account) empty() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.bytes == 0 && a.open == 0
}

// door is a server behind a listener of this package.
type door struct {
	t       testing.TB
	address string
	ended   chan error
}

func open(t testing.TB, listener Listener, handler http.HandlerFunc) *door {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d := &door{t: t, address: inner.Addr().String(), ended: make(chan error, 1000)}
	listener.Listener = inner
	listener.Ended = func(_ time.Time, _ netip.AddrPort, why error) { d.ended <- why }
	if listener.Bounds == nil {
		listener.Bounds = func() Bounds {
			return Bounds{Limits: framing.Limits{HeadBytes: 16 << 10}, HeaderTime: waitTime, IdleTime: waitTime, UnreadTime: waitTime, HeavyLines: 100}
		}
	}
	server := &http.Server{Handler: handler, ConnState: State, ReadHeaderTimeout: waitTime}
	go func() { _ = server.Serve(listener.Wrap()) }()
	t.Cleanup(func() { _ = server.Close() })
	return d
}

func (d *door) dial(text string) *net.TCPConn {
	conn, err := net.Dial("tcp", d.address)
	require.NoError(d.t, err)
	d.t.Cleanup(func() { _ = conn.Close() })
	require.NoError(d.t, conn.SetDeadline(time.Now().Add(waitTime)))
	_, err = io.WriteString(conn, text)
	require.NoError(d.t, err)
	return conn.(*net.TCPConn)
}

// status sends bytes and returns the status of the answer, zero for none.
func (d *door) status(text string) int {
	conn := d.dial(text)
	defer func() { _ = conn.Close() }()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func (d *door) expectEnd(why error) {
	select {
	case err := <-d.ended:
		require.ErrorIs(d.t, err, why)
	case <-time.After(waitTime):
		require.Fail(d.t, "the connection does not end")
	}
}

// Guards against heads that reach the server without having been checked, and against
// refusals that their callers don't get.
func TestHeadsAreCheckedFirst(t *testing.T) {
	d := open(t, Listener{}, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
		}
	})
	cases := []struct {
		name, text string
		want       int
	}{
		{"ordinary", get, http.StatusOK},
		{"empty line before", "\r\n" + get, http.StatusOK},
		{"long head in pieces", "GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("x", 12<<10) + "\r\n\r\n", http.StatusOK},
		{"chunks", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", http.StatusOK},
		{"both framings", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", http.StatusBadRequest},
		{"asterisk", "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusBadRequest},
		{"bad chunk", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", http.StatusBadRequest},
		{"first line without end", "GET /" + strings.Repeat("x", 200<<10), http.StatusRequestHeaderFieldsTooLarge},
		{"head above the limit", "GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 40<<10), http.StatusRequestHeaderFieldsTooLarge},
		{"empty lines", strings.Repeat("\r\n", 1000), http.StatusBadRequest},
		{"version", "GET / HTTP/3.0\r\n\r\n", http.StatusHTTPVersionNotSupported},
	}
	for _, c := range cases {
		require.Equal(t, c.want, d.status(c.text), c.name)
	}
}

// Guards against pipelined requests that are taken in while an answer is under way, and
// against a caller whose leaving is not noticed behind them.
func TestNextRequestWaitsForTheAnswer(t *testing.T) {
	calls, left, answer := make(chan string, 10), make(chan struct{}, 10), make(chan struct{}, 10)
	d := open(t, Listener{}, func(_ http.ResponseWriter, r *http.Request) {
		calls <- r.URL.Path
		select {
		case <-answer:
		case <-r.Context().Done():
			left <- struct{}{}
		}
	})
	next := func(n int) string { return fmt.Sprintf("GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", n) }
	conn := d.dial(next(1) + next(2))
	require.Equal(t, "/1", <-calls)
	_, err := io.WriteString(conn, next(3)+strings.Repeat("x", 64<<10))
	require.NoError(t, err)
	require.Empty(t, calls)
	answer <- struct{}{}
	require.Equal(t, "/2", <-calls)
	require.Empty(t, calls)
	require.NoError(t, conn.CloseWrite())
	select {
	case <-left:
	case <-time.After(waitTime):
		require.Fail(t, "the caller's leaving is not noticed")
	}
}

// Guards against callers that make the server work and keep what they don't read.
func TestUnreadAnswersEndTheConnection(t *testing.T) {
	bounds := func() Bounds { return Bounds{UnreadTime: 200 * time.Millisecond} }
	d := open(t, Listener{Bounds: bounds}, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 32<<20))
	})
	d.dial(get)
	d.expectEnd(ErrUnread)

	var mutex sync.Mutex
	runs := 0
	d = open(t, Listener{Bounds: bounds}, func(w http.ResponseWriter, _ *http.Request) {
		mutex.Lock()
		defer mutex.Unlock()
		runs++
		_, _ = w.Write(make([]byte, 100<<10))
	})
	const sent = 2000
	conn := d.dial("")
	require.NoError(t, conn.SetReadBuffer(4<<10))
	go func() { _, _ = io.WriteString(conn, strings.Repeat(get, sent)) }()
	d.expectEnd(ErrUnread)
	mutex.Lock()
	defer mutex.Unlock()
	require.Less(t, runs, sent)
}

// Guards against time limits that the server's library doesn't keep: those of a head, and
// of the wait for one, as they are when the wait begins.
func TestHeadsAreBoundedInTime(t *testing.T) {
	d := open(t, Listener{Bounds: func() Bounds {
		return Bounds{HeaderTime: 50 * time.Millisecond, IdleTime: 100 * time.Millisecond}
	}}, func(http.ResponseWriter, *http.Request) { time.Sleep(300 * time.Millisecond) })
	require.Equal(t, http.StatusOK, d.status(get), "no limit holds for the answer")
	require.Zero(t, d.status("GET / HT"))
	d.expectEnd(ErrLateHead)
	require.Zero(t, d.status(""))
	conn := d.dial(get)
	got, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Contains(t, string(got), "200 OK")
}

// Guards against the memory of many heads of very many lines: they take turns, and the
// others are served meanwhile.
func TestHeavyRequestsTakeTurns(t *testing.T) {
	bounds := func() Bounds { return Bounds{HeavyLines: 10, HeaderTime: 200 * time.Millisecond} }
	began, answer := make(chan struct{}), make(chan struct{})
	d := open(t, Listener{Bounds: bounds, Heavy: 1}, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			began <- struct{}{}
			<-answer
		}
	})
	heavy := func(path string) string {
		return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 20) + "\r\n"
	}
	d.dial(heavy("/slow"))
	<-began
	require.Equal(t, http.StatusServiceUnavailable, d.status(heavy("/")))
	require.Equal(t, http.StatusOK, d.status(get))
	close(answer)
	require.Equal(t, http.StatusOK, d.status(heavy("/")))
}

// Guards against memory that an account is asked for and never told of again.
func TestAccountIsToldOfAll(t *testing.T) {
	a := &account{limit: 30 << 10}
	d := open(t, Listener{Account: a}, func(http.ResponseWriter, *http.Request) {})
	long := func(size int) string {
		return "GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("x", size) + "\r\n\r\n"
	}
	require.Equal(t, http.StatusOK, d.status(get+get))
	require.Equal(t, http.StatusOK, d.status(long(6<<10)))
	require.Equal(t, http.StatusServiceUnavailable, d.status(long(14<<10)))
	d.expectEnd(ErrNoRoom)
	conn := d.dial("GET /" + strings.Repeat("x", 5<<10))
	require.NoError(t, conn.Close())
	conn = d.dial(get)
	_, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	require.Eventually(t, a.empty, waitTime, time.Millisecond)
}

// processorTime returns what this process has used.
func processorTime(b *testing.B) time.Duration {
	var usage unix.Rusage
	require.NoError(b, unix.Getrusage(unix.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkRequest is an ordinary request and its answer on a kept connection, with the
// package and without.
func BenchmarkRequest(b *testing.B) {
	request := "POST /read/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 600\r\n"
	for i := range 18 {
		request += fmt.Sprintf("X-Header-%d: some value of a header\r\n", i)
	}
	request += "\r\n" + strings.Repeat("b", 600)
	handler := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "fine")
	}
	exchange := func(b *testing.B, address string) {
		conn, err := net.Dial("tcp", address)
		require.NoError(b, err)
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		b.ReportAllocs()
		begin := processorTime(b)
		for b.Loop() {
			_, err := io.WriteString(conn, request)
			require.NoError(b, err)
			response, err := http.ReadResponse(reader, nil)
			require.NoError(b, err)
			_, _ = io.Copy(io.Discard, response.Body)
		}
		b.ReportMetric(float64((processorTime(b)-begin).Nanoseconds())/float64(b.N), "cpu-ns/op")
	}
	b.Run("plain", func(b *testing.B) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		server := &http.Server{Handler: http.HandlerFunc(handler), ReadHeaderTimeout: waitTime, IdleTimeout: waitTime}
		go func() { _ = server.Serve(listener) }()
		defer func() { _ = server.Close() }()
		exchange(b, listener.Addr().String())
	})
	b.Run("wrapped", func(b *testing.B) { exchange(b, open(b, Listener{}, handler).address) })
}
