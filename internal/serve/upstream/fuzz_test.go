package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
)

// Whatever a server sends is refused, or is an answer that is the request's own, with a sound head.
func FuzzReceive(f *testing.F) {
	for _, seed := range []string{
		headBegin + "Content-Length: 4\r\n\r\nfine",
		headBegin + chunks + "4;x=y\r\nfine\r\n0\r\nA: b\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\n" + foreignBegin + "Content-Length: 1\r\n\r\nx" + headBegin + "\r\n",
		"HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n" + headBegin + "\r\n", "HTTP/1.1 101 X\r\nUpgrade: x\r\n\r\n" + headBegin + "\r\n",
		headBegin + "Content-Length : 4\r\n\r\nfine", headBegin + "X A: 1\r\nX\x07: 1\r\n\r\n", "HTTP/1.1 103 X\r\nX-A : 1\r\n\r\n" + headBegin + "\r\n",
		"HTTP/1.1 600 X\r\nRequest-Id: ID\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 999\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "rubbish", "",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		head := &headReader{Reader: bytes.NewReader(data)}
		c := &conn{head: head, reader: bufio.NewReaderSize(head, bufferSize)}
		response, _, err := c.receive(&Call{Method: http.MethodPost, Mine: func(header http.Header) bool { return header.Get("Request-Id") == "ID" }})
		if err != nil {
			return
		}
		if response.Header.Get("Request-Id") != "ID" || response.StatusCode < http.StatusOK || response.StatusCode > 599 {
			t.Errorf("%d %v", response.StatusCode, response.Header)
		}
		for name := range response.Header {
			if strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r >= 0x7f || strings.ContainsRune(`()<>@,;:\"/[]?={}`, r) }) || name == "" {
				t.Errorf("field name %q", name)
			}
		}
		_, _ = io.Copy(io.Discard, response.Body)
	})
}
