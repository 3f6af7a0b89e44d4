package web

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/chicoryrock/chicoryrock"
)

// soundTransport returns only answers whose heads are sound.
type soundTransport struct {
	*http.Transport
}

// RoundTrip implements http.RoundTripper. Errors: chicoryrock.ErrUnsoundHead, or the transport's.
func (t soundTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	var heads chicoryrock.Heads
	var conn net.Conn
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn },
		Got1xxResponse: func(status int, header textproto.MIMEHeader) error {
			_, err := heads.Check(status, header)
			return err
		},
	}
	response, err := t.Transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if _, err := heads.Check(response.StatusCode, response.Header); err != nil {
		_ = response.Body.Close()
		// Without a body to wait for, the transport would use it again.
		_ = conn.Close()
		return nil, err
	}
	return response, nil
}
