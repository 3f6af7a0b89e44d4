package agent

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/ops/settings"
	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
)

// BenchmarkHop compares a call sent straight to a backend server with the same call
// through its agent.
func BenchmarkHop(b *testing.B) {
	event.DropCalls()
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"choices":[{"text":"marigold"}]}`)
	}))
	b.Cleanup(engine.Close)
	address := netip.MustParseAddrPort(engine.Listener.Addr().String())
	opened := make(chan netip.AddrPort, 1)
	process := &Agent{
		Settings: &settings.Agent{
			Common: settings.Common{Name: "agent-1"},
			Listen: netip.MustParseAddrPort("127.0.0.1:0"),
			Engine: address,
			Slots:  64,
		},
		Log:    event.NewNop(),
		Opened: func(address netip.AddrPort) { opened <- address },
	}
	process.Prepare()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- process.Run(ctx) }()
	b.Cleanup(func() {
		cancel()
		require.NoError(b, <-done)
	})
	for _, way := range []struct {
		name    string
		address netip.AddrPort
	}{{"direct", address}, {"agent", <-opened}} {
		b.Run(way.name, func(b *testing.B) {
			for b.Loop() {
				callOnce(b, way.address)
			}
		})
	}
}

func callOnce(b *testing.B, address netip.AddrPort) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address.String()+"/v1/completions", strings.NewReader(`{"prompt":"lots"}`))
	require.NoError(b, err)
	request.Header.Set(wire.RequestID, "ref")
	request.Header.Set(wire.Tier, "1")
	response, err := http.DefaultClient.Do(request)
	require.NoError(b, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(b, err)
	require.NoError(b, response.Body.Close())
	require.Equal(b, http.StatusOK, response.StatusCode)
}
