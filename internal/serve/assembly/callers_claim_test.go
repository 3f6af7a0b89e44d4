package assembly

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/platform/sample"
)

// Guards against a server being avoided for a caller's claim to have events that it never had.
func TestCallersClaimDoesNotSpeakAgainstServer(t *testing.T) {
	d := deploy(t)
	d.configureWith(1, func(config string) string {
		return strings.Replace(config, `"maxAttempts":2,"sticky":true,"resumable":true`, `"maxAttempts":1,"sticky":true,"resumable":true`, 1)
	})
	send := func(id, after string) int {
		request := d.request(t.Context(), http.MethodPost, "/long/x", id, "k1", "x")
		request.Header.Set(sample.Parts, "a1:200,b2:400") // read already by the server that is to be chosen
		if after != "" {
			request.Header.Set("Last-Event-Id", after)
		}
		return d.do(request).status
	}
	// It begins anew where it can't go on, as servers of event streams may.
	one := d.add("i-1", "llm", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", eventsType)
		w.Header().Set(sample.Seal, "s")
		_, _ = io.WriteString(w, numbered(1, 2))
	})
	d.settle(1, 1)
	require.Equal(t, http.StatusOK, send("w1", ""))
	other := d.add("i-2", "llm", stream(2, 0))
	d.settle(1, 2)
	require.Equal(t, http.StatusBadGateway, send("c1", "7"))
	require.Equal(t, 1, one.ran("c1"))
	require.Equal(t, http.StatusOK, send("x1", ""))
	require.Equal(t, 1, one.ran("x1"))
	require.Zero(t, other.ran("x1"))
}
