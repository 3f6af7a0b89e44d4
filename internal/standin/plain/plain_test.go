package plain

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
	"github.com/chicoryrock/chicoryrock/internal/standin/host"
)

func call(t *testing.T, server *Server, method, path, body, key string) (Receipt, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+server.Addr().String()+path, strings.NewReader(body))
	require.NoError(t, err)
	request.GetBody = nil
	request.Header.Set(wire.IdempotencyKey, key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Receipt{}, err
	}
	defer func() { _ = response.Body.Close() }()
	var receipt Receipt
	return receipt, json.NewDecoder(response.Body).Decode(&receipt)
}

func TestCallsAreCounted(t *testing.T) {
	server := &Server{Listen: host.Loopback()}
	require.NoError(t, server.Start())
	t.Cleanup(server.Close)
	for _, test := range []struct {
		method, path, body, key string
		want                    Receipt
	}{
		{http.MethodPost, "/lots", "marigold", "k1", Receipt{Key: "k1", Runs: 1, Body: "marigold"}},
		{http.MethodPost, "/lots", "marigold", "k1", Receipt{Key: "k1", Runs: 2, Body: "marigold"}},
		{http.MethodPost, "/lots", "jasmine", "", Receipt{Key: "jasmine", Runs: 1, Body: "jasmine"}},
		{http.MethodGet, "/lots/1", "", "", Receipt{Key: "/lots/1", Runs: 1}},
	} {
		got, err := call(t, server, test.method, test.path, test.body, test.key)
		require.NoError(t, err)
		require.Equal(t, test.want, got)
	}
	server.Switch(Switches{Hangup: 1})
	_, err := call(t, server, http.MethodPost, "/lots", "rose", "k2")
	require.Error(t, err)
	require.Equal(t, map[string]int{"k1": 2, "jasmine": 1, "k2": 1}, server.Runs())
	require.Equal(t, map[string]int{"/lots/1": 1}, server.Reads())
}
