package local

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
	"github.com/chicoryrock/chicoryrock/internal/standin/host"
	"github.com/chicoryrock/chicoryrock/internal/state/member"
)

// laterTime is how long after an early answer its connection ends.
const laterTime = 30 * time.Millisecond

// script is what some backend servers answer: the next one that is asked sends the next
// answer, byte for byte, and closes the connection. The last one is sent again and again.
type script struct {
	mu      sync.Mutex
	answers []string
	asked   int
	hasty   bool // the first one answers before it has read the request, and resets the connection
	ends    bool // it ends its side before the reset
	states  bool // each answer states that its connection closes
}

func (s *script) set(answers ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers, s.asked, s.hasty = answers, 0, false
}

func (s *script) next() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	answer := s.answers[min(s.asked, len(s.answers))-1]
	if s.states {
		return withLine(answer, "Connection: close")
	}
	return answer
}

func (s *script) requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asked
}

// listen starts a backend server.
func listen(t *testing.T, serve func(net.Conn)) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", host.Own().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func (s *script) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return // a probe
	}
	if hasty, ends := s.hastens(); hasty {
		_, _ = io.WriteString(conn, s.next())
		time.Sleep(laterTime) // so that all of it has been read
		if ends {
			_ = conn.(*net.TCPConn).CloseWrite()
			time.Sleep(laterTime)
		}
		_ = conn.(*net.TCPConn).SetLinger(0)
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err == nil {
		_, _ = io.WriteString(conn, s.next())
	}
}

// setHasty is set with a server that answers before it has read the request.
func (s *script) setHasty(ends bool, answers ...string) {
	s.set(answers...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hasty, s.ends = true, ends
}

func (s *script) hastens() (hasty, ends bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hasty && s.asked == 0, s.ends
}

// startScripted starts one entry, and backend servers with one script in both pools.
func startScripted(t *testing.T, backends int) (*System, *script) {
	t.Helper()
	return startScriptedBehind(t, backends, (*System).startAgent)
}

// startScriptedAgents is startScripted with agents that answer by the script themselves.
func startScriptedAgents(t *testing.T, agents int) (*System, *script) {
	t.Helper()
	system, script := startScriptedBehind(t, agents, func(s *System, centre *Centre, name, pool string, address netip.AddrPort) error {
		s.show(centre, chicoryrock.VM{Name: name, Role: member.RoleAgent, Pool: pool, Address: address})
		return nil
	})
	script.states = true // an entry would send another call on the connection
	return system, script
}

func startScriptedBehind(t *testing.T, backends int, add func(s *System, centre *Centre, name, pool string, address netip.AddrPort) error) (*System, *script) {
	t.Helper()
	system := startSystem(t, twoWorkspaces(), Centre{Name: "hoan-kiem", Region: "hanoi"})
	script := &script{}
	for n := range backends {
		for _, pool := range []string{system.Pool, system.Service} {
			require.NoError(t, add(system, &system.Centres[0], fmt.Sprint(pool, "-", n), pool, listen(t, script.serve)))
		}
	}
	require.NoError(t, system.StartEntry(&system.Centres[0]))
	require.Eventually(t, func() bool {
		return system.Entries[0].Ready() && system.Entries[0].Sees() >= 2*backends
	}, safetyLimit, time.Millisecond)
	return system, script
}

// Kinds of a scripted answer's framing.
const (
	framed   = iota // by its length
	chunked         // by chunks
	unframed        // by the end of the connection
	broken          // by a chunk that doesn't come
)

// answerOf returns an answer of software version 1.
func answerOf(framing int, status, kind, body string) string {
	head := "HTTP/1.1 " + status + "\r\n" + wire.Version + ": 1\r\n"
	if kind != "" {
		head += "Content-Type: " + kind + "\r\n"
	}
	switch framing {
	case framed:
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	case chunked, broken:
		head += "Transfer-Encoding: chunked\r\n"
		if body != "" {
			body = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
		}
		if framing == chunked {
			body += "0\r\n\r\n"
		}
	}
	return head + "\r\n" + body
}

// completionChunks returns the events of a streamed completion: of each text of choice 0, its
// end for ".", the end of the stream for "!", and other data as it is.
func completionChunks(pieces ...string) string {
	var events strings.Builder
	for _, piece := range pieces {
		switch {
		case piece == "!":
			piece = "[DONE]"
		case piece == ".":
			piece = `{"id":"c","choices":[{"index":0,"text":"","finish_reason":"stop"}]}`
		case !strings.HasPrefix(piece, "{") && piece != "null":
			piece = fmt.Sprintf(`{"id":"c","choices":[{"index":0,"text":%q,"finish_reason":null}]}`, piece)
		}
		events.WriteString("data: " + piece + "\n\n")
	}
	return events.String()
}
