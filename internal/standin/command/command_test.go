package command

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
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
	for _, args := range []string{"", "cluster", "store extra", "store -listen nowhere"} {
		require.Error(t, Run(t.Context(), strings.Fields(args), none, io.Discard), args)
	}
}
