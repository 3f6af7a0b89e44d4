package web

import (
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

// soundTransport returns only answers whose heads are sound, with bodies whose ends are.
type soundTransport struct {
	*http.Transport
}

// RoundTrip implements http.RoundTripper. Errors: chicoryrock.ErrUnsoundHead, or the transport's.
func (t soundTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	var heads chicoryrock.Heads
	var conn net.Conn
	sent := make(chan httptrace.WroteRequestInfo, 1)
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			select {
			case <-sent: // that of an earlier connection
			default:
			}
			sent <- info
		},
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
	if !Framed(response) {
		response.Body = &unframedBody{ReadCloser: response.Body, sent: sent}
	}
	return response, nil
}

// Framed reports whether an answer states where it ends, or has no body by its kind.
func Framed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Request.Method == http.MethodHead
}

// sentTime bounds the wait for the end of sending after that of the connection. Only a request
// whose own body has stopped coming takes so long.
const sentTime = time.Second

// unframedBody is the body of an answer that ends with its connection. A reset is told once: if
// the sender of the request gets it, the reader sees a plain end, which proves nothing.
type unframedBody struct {
	io.ReadCloser

	sent chan httptrace.WroteRequestInfo
}

// Read implements io.Reader. Error: ErrUnsent, or the connection's.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	// The transport has closed the connection, so that a write that waits for room fails.
	limit := time.NewTimer(sentTime)
	defer limit.Stop()
	select {
	case info := <-b.sent:
		b.sent <- info // for the next call
		if info.Err == nil {
			return n, err
		}
	case <-limit.C:
	}
	return n, errors.WithStack(ErrUnsent)
}
