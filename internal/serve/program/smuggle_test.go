package program

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
	"github.com/chicoryrock/chicoryrock/internal/standin/engine"
)

// A caller that sends the headers that the system's own processes use gets
// neither another workspace's route, nor another tier, nor part of an answer.
func TestSmuggledHeaders(t *testing.T) {
	p := startPath(t)
	smuggle := func(model string) (*http.Response, string) {
		body := strings.NewReader(`{"model":"` + model + `","max_tokens":4,"prompt":"a","workspace":"lens"}`)
		request, err := http.NewRequest(http.MethodPost, p.entry.url("/v1/completions?workspace=lens"), body)
		require.NoError(t, err)
		request.Header.Set("Authorization", "Bearer "+trolleyKey)
		for name, value := range map[string]string{
			wire.Workspace: "lens", wire.Class: "other", wire.Tier: "99", wire.Resume: "3", wire.RequestID: "mine", wire.Once: "1",
		} {
			request.Header.Set(name, value)
		}
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		defer func() { _ = response.Body.Close() }()
		answer, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		return response, string(answer)
	}
	refused, _ := smuggle("private")
	require.Equal(t, http.StatusNotFound, refused.StatusCode)
	require.Equal(t, chicoryrock.ReasonNoRoute.String(), refused.Header.Get(wire.Reason))

	served, answer := smuggle("garland")
	require.Equal(t, http.StatusOK, served.StatusCode, answer)
	require.Contains(t, answer, `"completion_tokens":4`)
	var seen []engine.Sighting
	p.engine.get("/seen", &seen)
	require.Len(t, seen, 1)
	header := seen[0].Header
	require.Equal(t, "1", header.Get(wire.Tier))
	require.Empty(t, header.Get(wire.Workspace))
	require.Empty(t, header.Get(wire.Resume))
	require.Equal(t, served.Header.Get(wire.RequestID), header.Get(wire.RequestID))
}
