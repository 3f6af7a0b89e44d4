package web

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/net/http/httpguts"
)

// script is a connection that answers a request with a text once it has a part of it, and that
// takes no more than this part unless it is to take all.
type script struct {
	net.Conn

	answer io.Reader
	all    bool
	asked  chan struct{}
	once   sync.Once
}

func (s *script) Read(p []byte) (int, error) {
	<-s.asked
	return s.answer.Read(p)
}

func (s *script) Write(p []byte) (int, error) {
	first := false
	s.once.Do(func() { first = true; close(s.asked) })
	if first || s.all {
		return len(p), nil
	}
	return 0, syscall.ECONNRESET
}

func (s *script) Close() error { return nil }

func (s *script) SetDeadline(time.Time) error { return nil }

// Whatever a server sends is refused, or is an answer with a sound head that ends by its own word
// or after a request that was sent whole.
func FuzzAnswer(f *testing.F) {
	for _, seed := range []string{
		sound, stale + sound, "HTTP/1.1 200 OK\r\n\r\npart", "HTTP/1.0 200 OK\r\n\r\npart", "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n" + sound,
		"HTTP/1.1 101 X\r\nUpgrade: x\r\n\r\n" + sound, "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nfine", "HTTP/1.1 103 Early\r\nX A: 1\r\n\r\n" + sound,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\nX A: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nX\x07: 1\r\n\r\n", "HTTP/1.1 999\r\n\r\n",
	} {
		f.Add([]byte(seed), true)
		f.Add([]byte(seed), false)
	}
	f.Fuzz(func(t *testing.T, data []byte, all bool) {
		transport := soundTransport{&http.Transport{DisableKeepAlives: true, DialContext: func(context.Context, string, string) (net.Conn, error) {
			return &script{answer: bytes.NewReader(data), all: all, asked: make(chan struct{})}, nil
		}}}
		request, err := http.NewRequest(http.MethodPost, "http://server/", bytes.NewReader(make([]byte, 64<<10)))
		if err != nil {
			t.Fatal(err)
		}
		response, err := transport.RoundTrip(request)
		if err != nil {
			return
		}
		defer func() { _ = response.Body.Close() }()
		if response.StatusCode < http.StatusOK || response.StatusCode > 599 {
			t.Errorf("status %d", response.StatusCode)
		}
		for name := range response.Header {
			if !httpguts.ValidHeaderFieldName(name) {
				t.Errorf("field name %q", name)
			}
		}
		if _, err := io.Copy(io.Discard, response.Body); err == nil && !all && !Framed(response) {
			t.Error("an end before that of the request")
		}
	})
}
