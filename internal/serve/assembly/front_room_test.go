package assembly

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/platform"
	"github.com/chicoryrock/chicoryrock/platform/sample"
)

// deployTight starts a front that may hold 8 MiB for callers, bodies of up to 4 MiB among
// that, with one backend server.
func deployTight(t *testing.T) (*deployment, *backend) {
	d := deploy(t, func(node *platform.Node) { node.Memory = 16 << 20 })
	d.configureWith(1, func(config string) string {
		return strings.NewReplacer(`"maxBodyBytes":10000`, `"maxBodyBytes":4194304`, `"timeoutMs":1500`, `"timeoutMs":20000`).Replace(config)
	})
	server := d.add("one", "app", fine)
	d.settle(1, 1)
	return d, server
}

// hold sends the head of a request and a part of its body, and returns its connection.
func (d *deployment) hold(id string, length int) net.Conn {
	conn, err := net.Dial("tcp", d.node.Callers.String())
	require.NoError(d.t, err)
	d.t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST /read/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 15000\r\nAuthorization: Bearer k1\r\nContent-Length: %d\r\n\r\npart",
		sample.Host, sample.ID, id, sample.Patience, length)
	require.NoError(d.t, err)
	return conn
}

// heldBytes waits until callers hold more than so many bytes.
func (d *deployment) heldBytes(above int64) {
	require.Eventually(d.t, func() bool {
		held, _ := d.front.front.Room.Total()
		return held > above
	}, waitTime, time.Millisecond)
}

// A body of the largest size whose length isn't stated needs room for two buffers while it
// grows. It must find that where nothing else is going on.
func TestLargestBodyWithoutLengthIsServed(t *testing.T) {
	d, server := deployTight(t)
	request := d.request(t.Context(), http.MethodPost, "/read/x", "chunked", "k1", "")
	request.Body = io.NopCloser(bytes.NewReader(make([]byte, 4<<20)))
	request.ContentLength = -1
	require.Equal(t, http.StatusOK, d.do(request).status)
	require.EqualValues(t, 4<<20, server.last().ContentLength)
}

// A request that finds no room hears when to come back and hasn't run, and small requests
// go on. A front that read on instead would run out of memory.
func TestRequestWithoutRoomIsRefused(t *testing.T) {
	d, server := deployTight(t)
	slow := d.hold("slow", 4<<20)
	d.heldBytes(4 << 20)
	got := d.send(http.MethodPost, "/read/x", "large", "k1", strings.Repeat("x", 4<<20))
	require.NoError(t, got.err)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, chicoryrock.ReasonNoRoom.Sentence()+"\n", got.body)
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Greater(t, after, 0.0)
	require.Zero(t, server.ran("large"))
	require.Equal(t, http.StatusOK, d.send(http.MethodPost, "/read/x", "small", "k1", "small").status)
	require.NoError(t, slow.Close())
	require.Eventually(t, func() bool {
		return d.send(http.MethodPost, "/read/x", "again", "k1", strings.Repeat("x", 4<<20)).status == http.StatusOK
	}, waitTime, time.Millisecond, "the room of a caller that has left is free")
}

// askFrom sends a request with a body of some bytes from a caller address.
func (d *deployment) askFrom(address net.IP, id string, length int) (*http.Response, error) {
	request := d.request(d.t.Context(), http.MethodPost, "/read/x", id, "k1", strings.Repeat("x", length))
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: address}}
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", d.node.Callers.String())
	}}
	response, err := transport.RoundTrip(request)
	if err == nil {
		err = response.Body.Close()
	}
	return response, err
}

// Bodies that one caller address sends slowly make room for another address, and their
// callers hear that they have not run.
func TestSlowBodiesMakeRoomForAnotherCaller(t *testing.T) {
	d, server := deployTight(t)
	crowd := []net.Conn{d.hold("slow-1", 3<<20), d.hold("slow-2", 3<<20)}
	d.heldBytes(6 << 20)
	response, err := d.askFrom(net.IPv4(127, 0, 0, 9), "other", 2<<20)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	// The later one has made the least progress.
	displaced, err := http.ReadResponse(bufio.NewReader(crowd[1]), nil)
	require.NoError(t, err)
	require.NoError(t, displaced.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, displaced.StatusCode)
	require.True(t, displaced.Close)
	require.Zero(t, server.ran("slow-1")+server.ran("slow-2"))
}

// A request that made room while it waited for a backend server is refused as not run, even
// if a server is found for it in the same moment.
func TestWaitingRequestMakesRoomForAnotherCaller(t *testing.T) {
	d, server := deployTight(t)
	statuses := make(chan int, 2)
	var other sync.WaitGroup
	// What waits, waits at the gate: nothing passes while it is held.
	d.front.front.Gate.Change(func() {
		for _, id := range []string{"waits-1", "waits-2"} {
			go func() { statuses <- d.send(http.MethodPost, "/read/x", id, "k1", strings.Repeat("x", 3<<20)).status }()
		}
		d.heldBytes(6 << 20)
		require.Eventually(t, func() bool { return d.scrape("reserved_bytes{kind=\"body\"} 0") }, waitTime, time.Millisecond)
		// Whether it finds its room in time is not looked at.
		other.Go(func() { _, _ = d.askFrom(net.IPv4(127, 0, 0, 9), "other", 2<<20) })
		require.Eventually(t, func() bool {
			return d.scrape("no_room_total{kind=\"waiting\",outcome=\"closed\"} 1")
		}, waitTime, time.Millisecond)
	})
	other.Wait()
	require.ElementsMatch(t, []int{http.StatusOK, http.StatusServiceUnavailable}, []int{<-statuses, <-statuses})
	require.Equal(t, 1, server.ran("waits-1")+server.ran("waits-2"))
}

// scrape says whether the front's metrics hold a line of a series.
func (d *deployment) scrape(line string) bool {
	measureRoom(d.front.front.Room, d.front.metrics)
	recorder := httptest.NewRecorder()
	d.front.metrics.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return strings.Contains(recorder.Body.String(), "chicoryrock_"+line+"\n")
}
