package host

import (
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// A connection that is accepted while the host closes does not wait for the end of
// that, as the end waits for it.
func TestConnectionsAreTrackedWhileTheHostCloses(t *testing.T) {
	var h Host
	conn, other := net.Pipe()
	defer func() { _, _ = conn.Close(), other.Close() }()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.track(conn, http.StateNew)
	require.Len(t, h.conns, 1)
	h.track(conn, http.StateClosed)
	require.Empty(t, h.conns)
}
