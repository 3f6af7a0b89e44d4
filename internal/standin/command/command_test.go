package command

import (
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/internal/standin/engine"
	"github.com/chicoryrock/chicoryrock/internal/standin/host"
)

func none(string) (string, bool) { return "", false }

// expectServed starts a stand-in by its command line and reads a path of it.
func expectServed(t *testing.T, args, path, want string, lookup Lookup) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	reader, writer := io.Pipe()
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, strings.Fields(args), lookup, writer) }()
	address := make([]byte, len("127.0.0.1:65535\n"))
	n, err := reader.Read(address)
	require.NoError(t, err)
	response, err := http.Get("http://" + strings.TrimSpace(string(address[:n])) + path)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Contains(t, string(body), want)
	cancel()
	require.NoError(t, <-ended)
}

func TestRun(t *testing.T) {
	expectServed(t, "store", "/calls", "null", none)
	expectServed(t, "vms -lag 5s", "/vms", "[]", none)
	expectServed(t, "engine -model lens -slots 3", "/v1/models", `"id":"lens"`, none)
	expectServed(t, "plain", "/lots", `"runs":1`, none)
	expectServed(t, "orderer", "/spent", "0", none)
	expectServed(t, "intake", "/reports", "null", none)
	expectServed(t, "weights -sizes lens=1", "/weights?model=lens", `"size":1`, none)
}

func TestFlagGoesBeforeEnvironment(t *testing.T) {
	lookup := func(name string) (string, bool) {
		value, found := map[string]string{"STANDIN_MODEL": "garland", "STANDIN_SLOTS": "5"}[name]
		return value, found
	}
	expectServed(t, "engine -model lens", "/v1/models", `"id":"lens"`, lookup)
	expectServed(t, "engine", "/load", `"slots":5`, lookup)
}

func TestBadCommandLine(t *testing.T) {
	for _, args := range []string{"", "cluster", "store extra", "store -listen nowhere", "load -target 192.0.2.1:80"} {
		require.Error(t, Run(t.Context(), strings.Fields(args), none, io.Discard), args)
	}
}

func TestLoad(t *testing.T) {
	server := &engine.Server{Listen: host.Loopback(), Model: "garland", Token: time.Microsecond}
	require.NoError(t, server.Start())
	t.Cleanup(server.Close)
	folder := t.TempDir()
	trace, keys, report := filepath.Join(folder, "trace"), filepath.Join(folder, "keys"), filepath.Join(folder, "report")
	call := `{"at":"0s","key":"stall","model":"garland","prompt":3,"output":2,"stream":true}`
	require.NoError(t, os.WriteFile(trace, []byte(call+"\n"+call+"\n"), 0o600))
	require.NoError(t, os.WriteFile(keys, []byte(`{"stall":"ck-secret"}`), 0o600))
	address := server.Addr().String()
	args := []string{"load", "-target", address, "-direct", address, "-trace", trace, "-keys", keys, "-json", report}
	var out strings.Builder
	require.NoError(t, Run(t.Context(), args, none, &out))
	require.Contains(t, out.String(), "added by the system")
	written, err := os.ReadFile(report)
	require.NoError(t, err)
	require.Contains(t, string(written), `"key": "stall"`)
	server.Switch(engine.Switches{Truncate: 1})
	require.ErrorIs(t, Run(t.Context(), args, none, &out), ErrFaults)
}
