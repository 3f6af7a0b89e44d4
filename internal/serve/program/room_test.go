package program

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/standin/host"
	"github.com/chicoryrock/chicoryrock/internal/standin/store"
	"github.com/chicoryrock/chicoryrock/platform"
	"github.com/chicoryrock/chicoryrock/platform/sample"
)

const (
	// crowdBody is the largest body that the configuration of a crowd test allows, bytes.
	crowdBody = 4 << 20
	// crowdAnswer is more than the sockets on the way to a caller hold, bytes.
	crowdAnswer = 16 << 20
	// roomFiles is the number of descriptors that a front of a crowd test may use.
	roomFiles = 700
	// crowdPause is how long a backend server of a crowd test takes, so that a crowd's
	// bodies are in the front at the same time.
	crowdPause = 300 * time.Millisecond
)

// The addresses that crowds and ordinary callers connect from.
var (
	crowdAddress    = netip.MustParseAddr("127.0.0.2")
	ordinaryAddress = netip.MustParseAddr("127.0.0.1")
)

// crowded is a front with limits of its own that stand in its settings.
type crowded struct {
	t       *testing.T
	callers netip.AddrPort
	ready   netip.AddrPort
	command *exec.Cmd
}

// startCrowded starts a front that may use the memory of the smallest VM and few
// descriptors, with one backend server.
func startCrowded(t *testing.T) *crowded {
	kept := &store.Server{Listen: host.Loopback()}
	require.NoError(t, kept.Start())
	t.Cleanup(kept.Close)
	client := &platform.Store{Address: kept.Addr()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(serveCrowd)}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	config := strings.NewReplacer(`"maxBodyBytes":10000`, fmt.Sprintf(`"maxBodyBytes":%d`, crowdBody), `"timeoutMs":1500`, `"timeoutMs":8000`).
		Replace(sample.Config(1, "k1"))
	for key, value := range map[string]string{
		platform.ConfigKey:            config,
		platform.ServerPrefix + "one": sample.Entry("app", netip.MustParseAddrPort(listener.Addr().String()), "ready"),
	} {
		_, err := client.Commit(t.Context(), []chicoryrock.Change{{Key: key, Value: []byte(value), Unconditional: true}})
		require.NoError(t, err)
	}
	c := &crowded{t: t}
	c.callers, c.ready, c.command = realFront(t, kept.Addr(), fmt.Sprintf("limits: {memoryMb: %d, maxFds: %d}", smallest>>20, roomFiles))
	require.Eventually(t, func() bool { return isReady(c.ready) }, startLimit, 10*time.Millisecond)
	return c
}

// serveCrowd answers as a backend server: /read/large with an answer that fits in no
// socket, all else after a pause.
func serveCrowd(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.Header().Set(sample.ID, r.Header.Get(sample.ID))
	w.Header().Set(sample.Seal, "s")
	if r.URL.Path == "/read/large" {
		_, _ = w.Write(bytes.Repeat([]byte("x"), crowdAnswer))
		return
	}
	time.Sleep(crowdPause)
	_, _ = io.WriteString(w, "fine")
}

// dial opens a connection to the front from an address.
func (c *crowded) dial(ctx context.Context, from netip.Addr) (net.Conn, error) {
	dialer := net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(from, 0)), Timeout: startLimit}
	return dialer.DialContext(ctx, "tcp", c.callers.String())
}

// ask sends a request with a body on a connection of its own and returns the status
// of its answer.
func (c *crowded) ask(from netip.Addr, id string, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(c.t.Context(), startLimit)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) { return c.dial(ctx, from) }}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.callers.String()+"/read/x", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Host = sample.Host
	request.Header.Set(sample.ID, id)
	request.Header.Set("Authorization", "Bearer k1")
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// askUnread asks for a large answer and leaves it unread. The connection is to be closed.
func (c *crowded) askUnread(id string) net.Conn {
	conn, err := c.dial(c.t.Context(), crowdAddress)
	if err != nil {
		return nil
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(4 << 10)
	}
	_, _ = fmt.Fprintf(conn, "GET /read/large HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nAuthorization: Bearer k1\r\n\r\n", sample.Host, sample.ID, id)
	return conn
}

// files returns how many descriptors the front has open.
func (c *crowded) files() int {
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.command.Process.Pid))
	require.NoError(c.t, err)
	return len(open)
}

// A crowd of callers that sends bodies of the largest legal size, leaves large answers
// unread and holds idle connections takes a front neither over its memory nor over its
// descriptors, and doesn't keep it from answering another caller. Without an account of
// what callers hold, the platform ends the process.
func TestFrontOutlivesCrowd(t *testing.T) {
	const bodies, unread, idle = 64, 32, 900
	c := startCrowded(t)
	body := bytes.Repeat([]byte("x"), crowdBody)
	var open []net.Conn
	defer func() {
		for _, conn := range open {
			_ = conn.Close()
		}
	}()
	for i := range unread {
		if conn := c.askUnread(fmt.Sprintf("unread-%d", i)); conn != nil {
			open = append(open, conn)
		}
	}
	var group sync.WaitGroup
	for i := range bodies {
		// What comes of the crowd's own requests is not looked at.
		group.Go(func() { _, _ = c.ask(crowdAddress, fmt.Sprintf("body-%d", i), body) })
	}
	group.Wait()
	for range idle {
		if conn, err := c.dial(t.Context(), crowdAddress); err == nil {
			open = append(open, conn)
		}
	}
	// An answer on the last connection shows that the front has accepted them all.
	status, err := c.ask(ordinaryAddress, "ordinary", []byte("one"))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.True(t, isReady(c.ready))
	files, peak := c.files(), peakMemory(t, c.command)
	t.Logf("peak memory %d MB, %d descriptors", peak>>20, files)
	assert.Less(t, files, roomFiles)
	assert.Less(t, peak, smallest)
}

// A bound for crowds must not refuse the largest request that the configuration allows
// while nothing else is going on.
func TestFrontServesLargestRequestInCalm(t *testing.T) {
	c := startCrowded(t)
	status, err := c.ask(ordinaryAddress, "large", bytes.Repeat([]byte("x"), crowdBody))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Less(t, peakMemory(t, c.command), smallest)
}
