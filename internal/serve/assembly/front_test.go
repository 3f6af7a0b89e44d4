package assembly

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/platform"
	"github.com/chicoryrock/chicoryrock/platform/sample"
)

func TestFrontBeforeAnyConfiguration(t *testing.T) {
	d := deploy(t)
	require.Equal(t, http.StatusServiceUnavailable, d.ready())
	got := d.send("GET", "/read/1", "r1", "k1", "")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.Equal(t, "r1", got.header.Get(sample.ID))
	d.configure(1, "k1")
	d.add("i-1", "app", fine)
	d.settle(1, 1)
	require.Equal(t, http.StatusOK, d.ready())
}

func TestFrontAdmitsByRouteAndKey(t *testing.T) {
	d := deploy(t)
	d.configure(1, "k1")
	b := d.add("i-1", "app", fine)
	d.settle(1, 1)
	cases := []struct {
		path, key, body string
		want            int
	}{
		{"/read/x%2Fy?q=1", "k1", "hello", http.StatusOK},
		{"/nowhere/", "k1", "", http.StatusNotFound},
		{"/read", "k1", "", http.StatusNotFound},
		{"/read/", "k9", "", http.StatusUnauthorized},
		{"/read/", "", "", http.StatusUnauthorized},
		{"/read/", "k1", strings.Repeat("x", 10001), http.StatusRequestEntityTooLarge},
	}
	for i, c := range cases {
		id := fmt.Sprintf("a%d", i)
		got := d.send("POST", c.path, id, c.key, c.body)
		require.Equal(t, c.want, got.status, "%v", c)
		require.Equal(t, c.want == http.StatusOK, b.ran(id) == 1, "%v", c)
	}
	seen := b.last()
	require.Equal(t, "/read/x%2Fy?q=1", seen.RequestURI)
	require.Equal(t, "w1", seen.Header.Get(sample.Workspace))
	require.Empty(t, seen.Header.Get("Authorization"))
	require.Equal(t, "i-1", seen.Header.Get(sample.Server))
}

// raw sends bytes on a connection of its own and returns all that comes back.
func (d *deployment) raw(text string) string {
	conn, err := net.Dial("tcp", d.node.Callers.String())
	require.NoError(d.t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, text)
	require.NoError(d.t, err)
	require.NoError(d.t, conn.SetReadDeadline(time.Now().Add(waitTime)))
	got, err := io.ReadAll(conn)
	require.NoError(d.t, err)
	return string(got)
}

func TestFrontRunsNothingOfBadRequests(t *testing.T) {
	d := deploy(t)
	d.configure(1, "k1")
	b := d.add("i-1", "app", fine)
	d.settle(1, 1)
	const head = "POST /book/ HTTP/1.1\r\nHost: h.example\r\nRequest-Id: x1\r\nAuthorization: Bearer k1\r\nConnection: close\r\n"
	cases := []struct{ name, text string }{
		{"lengths that clash", head + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!"},
		{"a length that is none", head + "Content-Length: -4\r\n\r\n"},
		{"a bad chunk", head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n"},
		{"an unknown coding", head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"},
		{"both a length and chunks", head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"},
		{"no host", "POST /book/ HTTP/1.1\r\nRequest-Id: x1\r\nConnection: close\r\n\r\n"},
		{"no request at all", "\x16\x03\x01\x02\x00\x01\r\n\r\n"},
	}
	for _, c := range cases {
		got := d.raw(c.text)
		require.Contains(t, got, "HTTP/1.1 ", c.name)
		require.NotContains(t, got, "200 OK", c.name)
		require.Zero(t, b.ran("x1"), c.name)
	}
	smuggled := "GET /book/ HTTP/1.1\r\nHost: h.example\r\nRequest-Id: x2\r\nAuthorization: Bearer k1\r\n\r\n"
	got := d.raw(head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(smuggled), smuggled))
	require.Contains(t, got, "200 OK")
	require.Equal(t, 1, b.ran("x1"))
	require.Zero(t, b.ran("x2"), "what stands in a body is no request")
}

// A booking whose answer is lost may have run: it is not sent again, and its
// caller is not told that it has not run.
func TestFrontSendsABookingOnce(t *testing.T) {
	d := deploy(t)
	d.configure(1, "k1")
	one, two := d.add("i-1", "app", hangUp), d.add("i-2", "app", hangUp)
	d.settle(1, 2)
	for i := range 6 {
		id := fmt.Sprintf("b%d", i)
		got := d.send("POST", "/book/", id, "k1", "a lot")
		require.Equal(t, http.StatusBadGateway, got.status)
		require.Empty(t, got.header.Get("Retry-After"))
		require.Equal(t, 1, one.ran(id)+two.ran(id))
	}
}

func TestFrontTriesAReadElsewhere(t *testing.T) {
	d := deploy(t)
	d.configure(1, "k1")
	one, two := d.add("i-1", "app", hangUp), d.add("i-2", "app", fine)
	d.settle(1, 2)
	for i := range 6 {
		id := fmt.Sprintf("c%d", i)
		got := d.send("GET", "/read/", id, "k1", "")
		require.Equal(t, http.StatusOK, got.status)
		require.Equal(t, "s", got.header.Get(sample.Seal))
		require.LessOrEqual(t, one.ran(id)+two.ran(id), 2)
	}
}

func TestFrontPassesAFailureOnWhole(t *testing.T) {
	d := deploy(t)
	d.configure(1, "k1")
	b := d.add("i-1", "app", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(sample.Seal, "s")
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "no lots left")
	})
	d.settle(1, 1)
	got := d.send("POST", "/book/", "d1", "k1", "")
	require.Equal(t, answered{status: 500, header: got.header, body: "no lots left"}, got)
	require.Equal(t, "s", got.header.Get(sample.Seal))
	require.Equal(t, 1, b.ran("d1"))
}

// A backend server's own 503 without the sign that the request has not run is no
// promise to pass on for a booking.
func TestFrontPromisesNothingForWhatRan(t *testing.T) {
	d := deploy(t)
	d.configure(1, "k1")
	d.add("i-1", "app", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	d.settle(1, 1)
	require.Equal(t, http.StatusBadGateway, d.send("POST", "/book/", "e1", "k1", "").status)
}

func TestFrontRefusesWhatNobodyRuns(t *testing.T) {
	d := deploy(t)
	d.configure(1, "k1")
	d.add("i-1", "app", notRun)
	d.add("i-2", "app", notRun)
	d.settle(1, 2)
	got := d.send("POST", "/book/", "f1", "k1", "")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
}

func pieces(from, to int) string {
	text := ""
	for i := from; i <= to; i++ {
		text += fmt.Sprintf("id: %d\ndata: piece-%d\n\n", i, i)
	}
	return text
}

func TestFrontResumesAStream(t *testing.T) {
	d := deploy(t)
	d.configure(1, "k1")
	one, two := d.add("i-1", "llm", stream(6, 3)), d.add("i-2", "llm", stream(6, 3))
	d.settle(1, 2)
	got := d.send("POST", "/long/", "g1", "k1", "prompt")
	require.Equal(t, http.StatusOK, got.status)
	require.NoError(t, got.err, "the second goes on after the third event and does not break")
	require.Equal(t, pieces(1, 6), got.body)
	require.Equal(t, 2, one.ran("g1")+two.ran("g1"))
}

func TestFrontBreaksAStreamThatMayNotBeResumed(t *testing.T) {
	d := deploy(t)
	d.configure(1, "k1")
	one, two := d.add("i-1", "llm", stream(6, 3)), d.add("i-2", "llm", stream(6, 3))
	d.settle(1, 2)
	got := d.send("POST", "/short/", "h1", "k1", "prompt")
	require.Equal(t, pieces(1, 3), got.body, "whole events only")
	require.Error(t, got.err, "it must not look complete")
	require.Equal(t, 1, one.ran("h1")+two.ran("h1"))
}

func TestFrontKeepsItsTimeLimit(t *testing.T) {
	d := deploy(t)
	d.configure(1, "k1")
	gone := make(chan struct{}, 4)
	d.add("i-1", "app", func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		gone <- struct{}{}
	})
	d.settle(1, 1)
	got := d.send("POST", "/book/", "j1", "k1", "")
	require.Equal(t, http.StatusGatewayTimeout, got.status)
	<-gone
}

func TestFrontCancelsForACallerThatLeaves(t *testing.T) {
	d := deploy(t)
	d.configure(1, "k1")
	running, gone := make(chan struct{}), make(chan struct{})
	d.add("i-1", "llm", func(_ http.ResponseWriter, r *http.Request) {
		close(running)
		<-r.Context().Done()
		close(gone)
	})
	d.settle(1, 1)
	ctx, leave := context.WithCancel(t.Context())
	go func() { _ = d.do(d.request(ctx, "POST", "/short/", "k1", "k1", "")) }()
	<-running
	leave()
	select {
	case <-gone:
	case <-time.After(waitTime):
		require.Fail(t, "the backend server works on for nobody")
	}
}

func TestFrontFollowsTheConfiguration(t *testing.T) {
	d := deploy(t)
	d.configure(3, "k1", "k2")
	d.add("i-1", "app", fine)
	d.settle(3, 1)
	require.Equal(t, http.StatusOK, d.send("GET", "/read/", "l1", "k2", "").status)
	d.configure(5, "k1")
	d.settle(5, 1)
	require.Equal(t, http.StatusUnauthorized, d.send("GET", "/read/", "l2", "k2", "").status)
	d.configure(4, "k1", "k2")
	_, err := d.store.Commit(t.Context(), []chicoryrock.Change{{Key: platform.ConfigKey, Value: []byte("{"), Unconditional: true}})
	require.NoError(t, err)
	d.enter(d.add("i-2", "app", fine), "ready")
	d.settle(5, 2)
	require.Equal(t, http.StatusUnauthorized, d.send("GET", "/read/", "l3", "k2", "").status, "an older one never returns")
}

func TestFrontLeavesAServerThatLeaves(t *testing.T) {
	d := deploy(t)
	d.configure(1, "k1")
	one, two := d.add("i-1", "app", fine), d.add("i-2", "app", fine)
	d.settle(1, 2)
	d.enter(one, "draining")
	_, err := d.store.Commit(t.Context(), []chicoryrock.Change{{Key: platform.ServerPrefix + "rubbish", Value: []byte("\x00"), Unconditional: true}})
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		d.front.mutex.Lock()
		defer d.front.mutex.Unlock()
		return d.front.servers.Servers()[0].Leaving
	}, waitTime, time.Millisecond)
	for i := range 8 {
		require.Equal(t, http.StatusOK, d.send("GET", "/read/", fmt.Sprintf("m%d", i), "k1", "").status)
	}
	require.Empty(t, one.runs)
	require.Len(t, two.runs, 8)
}

// A stop must not cost a request that was read: what runs is answered, and callers
// are told to open new connections elsewhere.
func TestFrontDrains(t *testing.T) {
	d := deploy(t, func(node *platform.Node) { node.Bounds.Grace = waitTime })
	d.configure(1, "k1")
	running, free := make(chan struct{}), make(chan struct{})
	d.add("i-1", "app", func(w http.ResponseWriter, r *http.Request) {
		close(running)
		<-free
		fine(w, r)
	})
	d.settle(1, 1)
	done := make(chan answered, 1)
	go func() { done <- d.send("GET", "/read/", "n1", "k1", "") }()
	<-running
	d.stop()
	require.Eventually(t, func() bool { return d.ready() == http.StatusServiceUnavailable }, waitTime, time.Millisecond)
	late := d.send("GET", "/nowhere/", "n2", "k1", "")
	require.Equal(t, http.StatusNotFound, late.status)
	close(free)
	got := <-done
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, "fine", got.body)
}

// intake takes usage as the platform does.
type intake struct {
	mutex sync.Mutex
	sheet map[int64]map[string]int64
	odd   int // reports that differ from one before for the same window
}

func (i *intake) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var message struct {
		WindowID int64            `json:"windowId"`
		Counts   map[string]int64 `json:"counts"`
	}
	if r.Header.Get(sample.Holder) == "" || r.Header.Get(sample.Fence) == "" || json.NewDecoder(r.Body).Decode(&message) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if before, found := i.sheet[message.WindowID]; found && fmt.Sprint(before) != fmt.Sprint(message.Counts) {
		i.odd++
	}
	i.sheet[message.WindowID] = message.Counts
}

func (i *intake) sum(workspace string) (sum int64) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for _, counts := range i.sheet {
		sum += counts[workspace]
	}
	return sum
}

func TestFrontBillsWhatBegan(t *testing.T) {
	taken := &intake{sheet: map[int64]map[string]int64{}}
	server := httptest.NewServer(taken)
	t.Cleanup(server.Close)
	d := deploy(t, func(node *platform.Node) {
		node.Bill = true
		node.API = netip.MustParseAddrPort(server.Listener.Addr().String())
	})
	d.configure(1, "k1")
	d.add("i-1", "app", fine)
	d.add("i-2", "llm", stream(3, 0))
	d.settle(1, 2)
	for i := range 5 {
		require.Equal(t, http.StatusOK, d.send("GET", "/read/", fmt.Sprintf("o%d", i), "k1", "").status)
		require.Equal(t, http.StatusOK, d.send("POST", "/short/", fmt.Sprintf("p%d", i), "k1", "x").status)
	}
	require.Equal(t, http.StatusNotFound, d.send("GET", "/nowhere/", "q1", "k1", "").status)
	require.Eventually(t, func() bool { return taken.sum("w1") == 10 }, waitTime, 10*time.Millisecond)
	require.Zero(t, taken.odd)
}

// A service states that it may be scaled: the least count of backend servers is
// ordered where it runs, and only there.
func TestFrontOrdersForServicesThatMayBeScaled(t *testing.T) {
	taken := &ordered{counts: map[string]int{}}
	server := httptest.NewServer(taken)
	t.Cleanup(server.Close)
	d := deploy(t, func(node *platform.Node) {
		node.Scale = true
		node.API = netip.MustParseAddrPort(server.Listener.Addr().String())
	})
	d.add("i-1", "app", fine)
	d.add("i-2", "llm", stream(3, 0))
	d.configureWith(1, sample.Scaled)
	d.settle(1, 2)
	require.Eventually(t, func() bool { return taken.count("app", "a") == 3 }, waitTime, 10*time.Millisecond)
	require.Zero(t, taken.count("llm", "a"))
}

// ordered takes orders as the platform does.
type ordered struct {
	mutex  sync.Mutex
	counts map[string]int // by service and data centre
}

func (o *ordered) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var message platform.OrderMessage
	if r.URL.Path != platform.PathOrder || json.NewDecoder(r.Body).Decode(&message) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	order, err := platform.ReadOrder(r.Header, message)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.counts[order.Pool+" "+order.Centre] = order.Replicas
}

func (o *ordered) count(service, centre string) int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.counts[service+" "+centre]
}
