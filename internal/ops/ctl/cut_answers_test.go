package ctl

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/internal/serve/admin"
)

// Guards against answers of processes that are cut, or none, and are reported as their state.
func TestCutAnswersOfProcesses(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	texts := make(chan string, 1)
	go func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			_, _ = conn.Read(make([]byte, 4<<10))
			_, _ = io.WriteString(conn, <-texts)
			_ = conn.Close()
		}
	}()
	ask := func(text string) (admin.Status, error) {
		texts <- text
		replies := askEach[admin.Status](t.Context(), []netip.AddrPort{netip.MustParseAddrPort(listener.Addr().String())}, question{path: "/status", timeout: 10 * time.Second})
		return replies[0].value, replies[0].err
	}
	const body = `{"name":"front-1","role":"entry"}`
	var packed bytes.Buffer
	packer := gzip.NewWriter(&packed)
	_, err = packer.Write([]byte(body))
	require.NoError(t, err)
	require.NoError(t, packer.Close())
	const head, length = "HTTP/1.1 200 OK\r\nConnection: close\r\n", "Content-Length: %d\r\n\r\n%s"
	for _, text := range []string{
		head + "\r\n" + body, head + fmt.Sprintf(length, len(body), body), head + "Content-Encoding: gzip\r\n\r\n" + packed.String(),
		head + "Content-Encoding: gzip\r\n" + fmt.Sprintf(length, packed.Len(), packed.String()),
	} {
		for cut := range text {
			_, err := ask(text[:cut])
			require.Error(t, err, "%q", text[:cut])
		}
		status, err := ask(text)
		require.NoError(t, err)
		require.Equal(t, "front-1", status.Name)
	}
	for _, odd := range []string{"", "<html></html>", "[]", body + "x"} {
		_, err := ask(head + fmt.Sprintf(length, len(odd), odd))
		require.Error(t, err, odd)
	}
}
