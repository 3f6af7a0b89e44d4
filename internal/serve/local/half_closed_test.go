package local

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an answer that the server's library makes up for a caller that has closed
// only its sending side.
func TestEntryCompletesNothingForAHalfClosedCaller(t *testing.T) {
	set := twoWorkspaces()
	set.Pools[0].Slots = 1
	system := startSystem(t, set, oneCentre)
	running := system.open(t, rivalKey, "100000") // so that the next one waits
	body := `{"model":"garland","max_tokens":1,"prompt":"lots"}`
	conn, err := net.Dial("tcp", system.Callers[0].String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(safetyLimit)))
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", hawkerKey, len(body), body)
	require.NoError(t, err)
	require.NoError(t, conn.(*net.TCPConn).CloseWrite())
	got, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.NotContains(t, string(got), "200 OK")
	_ = running.response.Body.Close()
}
