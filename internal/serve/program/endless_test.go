package program

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/standin/host"
	"github.com/chicoryrock/chicoryrock/internal/standin/pour"
	"github.com/chicoryrock/chicoryrock/internal/standin/store"
	"github.com/chicoryrock/chicoryrock/platform"
	"github.com/chicoryrock/chicoryrock/platform/sample"
)

// smallest is the memory of the smallest VM that a front is to run on, bytes.
const smallest = 112 << 20

// realFront starts a front as a process of its own, on a store. More lines of its
// settings may be given.
func realFront(t *testing.T, storeAt netip.AddrPort, more ...string) (callers, ready netip.AddrPort, command *exec.Cmd) {
	callers, ready = host.Own(), host.Own()
	settings := fmt.Sprintf("node: one\nip: %q\nzone: a\nregion: north\nzones: {a: north}\nlisten: {front: %q, ready: %q}\n"+
		"bounds: {graceS: 4, leaseMs: 1500, usageWindowS: 1, usageLateS: 3, budgetRatio: 0.2, budgetSlack: 60}\nplatform: {address: %q}\n",
		callers.Addr(), callers, ready, storeAt) + strings.Join(more, "\n")
	file := filepath.Join(t.TempDir(), "node.yaml")
	require.NoError(t, os.WriteFile(file, []byte(settings), 0o600))
	command = exec.Command(programPath("chicoryrock"), "front", "-settings", file)
	require.NoError(t, command.Start())
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	return callers, ready, command
}

// peakMemory is the most memory that a process has had resident, bytes.
func peakMemory(t *testing.T, command *exec.Cmd) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", command.Process.Pid))
	require.NoError(t, err)
	_, rest, found := strings.Cut(string(status), "VmHWM:")
	require.True(t, found)
	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	require.NoError(t, err)
	return kilobytes << 10
}

// Fifty servers at once that answer without end take a front neither its memory nor
// its sound servers' requests, and nothing of theirs looks like a whole answer.
func TestFrontOutlivesAnswersWithoutEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + sample.ID + ": ID\r\n" + sample.Seal + ": s\r\n"
	const chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
	const unframed = head + "Connection: close\r\n\r\n"
	const events = head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	cases := []struct{ name, service, path, beginning, again string }{
		{"head", "app", "/read/", head, "X-More: yes\r\n"},
		{"bytes that are no answer", "app", "/read/", "", "rubbish"},
		{"lines that are no answer", "app", "/read/", "", "rubbish\n"},
		{"bytes that are no answer in a head", "app", "/read/", head, "rubbish"},
		{"bytes that are no chunk", "app", "/read/", chunked, "rubbish"},
		{"no end of a chunk's size", "app", "/read/", chunked, "0"},
		{"bytes that are no chunk in a stream", "llm", "/short/", events + "c\r\ndata: piece\n\r\n", "rubbish"},
		{"bytes that are no event", "llm", "/short/", strings.Replace(unframed, "Connection", "Content-Type: text/event-stream\r\nConnection", 1), "rubbish"},
		{"interim heads", "app", "/read/", "", "HTTP/1.1 102 Processing\r\n\r\n"},
		{"chunks", "app", "/read/", chunked, "10\r\n0123456789abcdef\r\n"},
		{"body without length", "app", "/read/", unframed, "0123456789abcdef"},
		{"failure without length", "app", "/read/", strings.Replace(unframed, "200 OK", "500 Oh", 1), "0123456789abcdef"},
		{"trailer", "app", "/read/", chunked + "0\r\n", "X-More: yes\r\n"},
		{"one line of an event", "llm", "/short/", events + "8000000\r\ndata: ", "yes"},
		{"lines of an event", "llm", "/short/", events, "c\r\ndata: piece\n\r\n"},
	}
	const servers = 50
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			kept := &store.Server{Listen: host.Loopback()}
			require.NoError(t, kept.Start())
			t.Cleanup(kept.Close)
			client := &platform.Store{Address: kept.Addr()}
			put := func(key, value string) {
				_, err := client.Commit(t.Context(), []chicoryrock.Change{{Key: key, Value: []byte(value), Unconditional: true}})
				require.NoError(t, err)
			}
			put(platform.ConfigKey, sample.Config(1, "k1"))
			var hostile []*pour.Server
			for i := range servers {
				server := &pour.Server{Beginning: c.beginning, Again: c.again, Echo: sample.ID}
				address, err := server.Start()
				require.NoError(t, err)
				t.Cleanup(server.Close)
				hostile = append(hostile, server)
				put(platform.ServerPrefix+fmt.Sprintf("bad-%02d", i), sample.Entry(c.service, address, "ready"))
			}
			soundService, soundPath := "llm", "/long/"
			if c.service == soundService {
				soundService, soundPath = "app", "/book/"
			}
			put(platform.ServerPrefix+"sound", sample.Entry(soundService, soundServer(t), "ready"))
			callers, ready, command := realFront(t, kept.Addr())
			require.Eventually(t, func() bool { return isReady(ready) }, startLimit, 10*time.Millisecond)
			var group sync.WaitGroup
			for i := range 10 {
				group.Go(func() { askSound(t, callers, soundPath, fmt.Sprintf("sound-%d", i)) })
			}
			for i := range servers {
				group.Go(func() { askHostile(t, callers, c.path, fmt.Sprintf("r%d", i)) })
			}
			group.Wait()
			asked := int64(0)
			for _, server := range hostile {
				asked += server.Asked()
			}
			require.GreaterOrEqual(t, asked, int64(servers), "all requests have reached a server")
			require.True(t, isReady(ready))
			require.Less(t, peakMemory(t, command), smallest)
		})
	}
}

// soundServer answers each request with a whole stream.
func soundServer(t *testing.T) netip.AddrPort {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(sample.ID, r.Header.Get(sample.ID))
		w.Header().Set(sample.Seal, "s")
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range 5 {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: piece\n\n", i+1)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(100 * time.Millisecond)
		}
	}))
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// askSound sends a request that a sound server answers.
func askSound(t *testing.T, callers netip.AddrPort, path, id string) {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+callers.String()+path, strings.NewReader(id))
	if err != nil {
		t.Error(err)
		return
	}
	request.Host = sample.Host
	request.Header.Set(sample.ID, id)
	request.Header.Set("Authorization", "Bearer k1")
	request.Header.Set(sample.Tokens, "600,40")
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		t.Errorf("%s: %v", id, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if body, err := io.ReadAll(response.Body); err != nil || response.StatusCode != http.StatusOK || strings.Count(string(body), "piece") != 5 {
		t.Errorf("%s: status %d, %q, %v", id, response.StatusCode, body, err)
	}
}

func isReady(ready netip.AddrPort) bool {
	response, err := http.Get("http://" + ready.String() + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// askHostile sends a request that no server answers. Its answer is a failure, or
// breaks off.
func askHostile(t *testing.T, callers netip.AddrPort, path, id string) {
	ctx, cancel := context.WithTimeout(t.Context(), startLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+callers.String()+path, strings.NewReader(id))
	if err != nil {
		t.Error(err)
		return
	}
	request.Host = sample.Host
	request.Header.Set(sample.ID, id)
	request.Header.Set(sample.Patience, "3000")
	request.Header.Set("Authorization", "Bearer k1")
	request.Header.Set(sample.Tokens, "600,40")
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	if n, err := io.Copy(io.Discard, response.Body); err == nil && response.StatusCode == http.StatusOK {
		t.Errorf("%s: an answer of %d bytes looks whole", id, n)
	}
	if ctx.Err() != nil {
		t.Errorf("%s: no answer by the caller's time", id)
	}
}
