package inbound

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against callers with TLS that are not held to the rules, and against the loss of
// HTTP/2 and of what a handler knows of its caller.
func TestRulesHoldUnderTLS(t *testing.T) {
	left := make(chan struct{}, 1)
	sample := httptest.NewTLSServer(nil)
	defer sample.Close()
	config := TLSConfig(&tls.Config{Certificates: sample.TLS.Certificates, MinVersion: tls.VersionTLS12})
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{
		TLSConfig: config, ConnState: State, ReadHeaderTimeout: waitTime,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/wait" {
				<-r.Context().Done()
				left <- struct{}{}
			}
			if r.TLS == nil {
				w.WriteHeader(http.StatusInternalServerError)
			}
		}),
	}
	ended := make(chan error, 1)
	bounds := func() Bounds { return Bounds{IdleTime: waitTime} }
	go func() { ended <- server.Serve(Listener{Listener: inner, Bounds: bounds}.WrapTLS(config)) }()
	address := inner.Addr().String()
	client := sample.Client()
	response, err := client.Get("https://" + address + "/")
	require.NoError(t, err)
	_ = response.Body.Close()
	require.Equal(t, http.StatusOK, response.StatusCode)

	dial := func(text string, protocols ...string) *tls.Conn {
		trusting := client.Transport.(*http.Transport).TLSClientConfig.Clone()
		trusting.ServerName, trusting.NextProtos = "example.com", protocols
		conn, err := tls.Dial("tcp", address, trusting)
		require.NoError(t, err)
		require.NoError(t, conn.SetDeadline(time.Now().Add(waitTime)))
		_, err = io.WriteString(conn, text)
		require.NoError(t, err)
		return conn
	}
	conn := dial("", protocolHTTP2)
	require.Equal(t, protocolHTTP2, conn.ConnectionState().NegotiatedProtocol)
	_ = conn.Close()
	for _, c := range []struct {
		text string
		want int
	}{{get, http.StatusOK}, {get + get, http.StatusOK}, {"OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusBadRequest}} {
		conn := dial(c.text)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.Equal(t, c.want, response.StatusCode)
		_ = conn.Close()
	}
	conn = dial("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n" + get)
	require.NoError(t, conn.Close())
	<-left
	require.NoError(t, server.Close())
	require.ErrorIs(t, <-ended, http.ErrServerClosed)
}
