package program

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A crowd of callers that sends the largest bodies and holds idle connections takes an
// entry neither over its memory nor over its descriptors, and doesn't keep it from
// answering another caller.
func TestEntryOutlivesCrowd(t *testing.T) {
	const bodies, idle, memoryMB, files = 64, 600, 128, 500
	p := startPath(t)
	entry := p.startEntry(t, "entry-2", "-maxbody", fmt.Sprint(crowdBody), "-memory", fmt.Sprint(memoryMB), "-files", fmt.Sprint(files))
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		dialer := net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(crowdAddress, 0)), Timeout: startLimit}
		return dialer.DialContext(ctx, "tcp", entry.address.String())
	}
	body := `{"model":"garland","max_tokens":1,"messages":[{"role":"user","content":"`
	body += strings.Repeat("x", crowdBody-len(body)-len(`"}]}`)) + `"}]}`
	send := func() int {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, entry.url("/v1/chat/completions"), strings.NewReader(body))
		if err != nil {
			return 0
		}
		request.Header.Set("Authorization", "Bearer "+lensKey)
		response, err := (&http.Transport{DisableKeepAlives: true, DialContext: dial}).RoundTrip(request)
		if err != nil {
			return 0
		}
		defer func() { _ = response.Body.Close() }()
		_, _ = io.Copy(io.Discard, response.Body)
		return response.StatusCode
	}
	require.Equal(t, http.StatusOK, send(), "the largest request is served in calm")
	var group sync.WaitGroup
	for range bodies {
		// What comes of the crowd's own requests is not looked at.
		group.Go(func() { send() })
	}
	group.Wait()
	for range idle {
		if conn, err := dial(t.Context(), "", ""); err == nil {
			defer func() { _ = conn.Close() }()
		}
	}
	status, _, _ := ask(t, entry, http.MethodPost, "/v1/chat/completions", trolleyKey, short)
	require.Equal(t, http.StatusOK, status)
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", entry.command.Process.Pid))
	require.NoError(t, err)
	peak := peakMemory(t, entry.command)
	t.Logf("peak memory %d MB, %d descriptors", peak>>20, len(open))
	assert.Less(t, len(open), files)
	assert.Less(t, peak, memoryMB<<20)
}
