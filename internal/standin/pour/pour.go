// Package pour is a server that answers without end.
package pour

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// blockSize is about how much is written at once, bytes.
	blockSize = 32 << 10
	// maxRequest is how much of a request is read, bytes.
	maxRequest = 4 << 10
	// mark stands in a beginning for the value of the header that is echoed.
	mark = "ID"
)

// Server answers each request with one text again and again behind a beginning, until
// the other end closes. Set the exported fields, then call Start.
type Server struct {
	Beginning string
	Again     string
	Echo      string // name of the request's header whose value replaces "ID"; empty for none

	listener net.Listener
	asked    atomic.Int64
}

// Start listens on loopback and returns where.
func (s *Server) Start() (netip.AddrPort, error) {
	config := net.ListenConfig{}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "listen")
	}
	s.listener = listener
	go s.accept()
	return netip.MustParseAddrPort(listener.Addr().String()), nil
}

// Close ends the listening. Connections end with their other end.
func (s *Server) Close() { _ = s.listener.Close() }

// Asked returns how many requests have come.
func (s *Server) Asked() int64 { return s.asked.Load() }

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.answer(conn)
	}
}

func (s *Server) answer(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request := make([]byte, maxRequest)
	n, err := conn.Read(request)
	s.asked.Add(1)
	if err == nil {
		_, err = io.WriteString(conn, s.beginning(string(request[:n])))
	}
	block := bytes.Repeat([]byte(s.Again), 1+blockSize/len(s.Again))
	for err == nil {
		_, err = conn.Write(block)
	}
}

func (s *Server) beginning(request string) string {
	if s.Echo == "" {
		return s.Beginning
	}
	_, value, _ := strings.Cut(request, s.Echo+": ")
	value, _, _ = strings.Cut(value, "\r")
	return strings.ReplaceAll(s.Beginning, mark, value)
}
