package local

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an answer that comes late on a kept connection, and is taken for that of the
// next request.
func TestLateAnswerIsNotTheNextRequests(t *testing.T) {
	system := startSystem(t, twoWorkspaces(), Centre{Name: "hoan-kiem", Region: "hanoi"})
	// The server answers each connection's first request twice, the second time late.
	address := listen(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for _, body := range []string{"sound", "late"} {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, answerOf(framed, ok, "text/plain", body))
		}
	})
	require.NoError(t, system.startAgent(&system.Centres[0], "service", system.Service, address))
	require.NoError(t, system.StartEntry(&system.Centres[0]))
	require.NoError(t, system.awaitReady())
	for range 20 {
		response := system.send(t, 0, hawkerKey, http.MethodGet, "/svc/status/a", "")
		require.Equal(t, "sound", readAll(t, response))
	}
}
