package agent

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap/zapcore"

	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
)

// Guards against a line on a broken answer that doesn't say whose it was and what was wrong, or that
// has control bytes of it.
func TestLogSaysWhatWasWrongWithAnAnswer(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"status", "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n", "status 000"},
		{"a name", "HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n", `field name \"Content-Length \"`},
		{"a long line of control bytes", "HTTP/1.1 200 OK\r\n" + strings.Repeat("\x7f\u0085", 9000) + ": 1\r\n\r\n", "malformed"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = listener.Close() }()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.Copy(io.Discard, request.Body)
					_, _ = io.WriteString(conn, c.text)
				}
			}()
			var log bytes.Buffer
			a := agentOf(netip.MustParseAddrPort(listener.Addr().String()))
			a.Settings.Name, a.Log = "garland-1", event.New(zapcore.InfoLevel, &log)
			require.Equal(t, wire.OutcomeUnknown, ask(a).Header().Get(wire.Outcome))
			line := strings.TrimSuffix(log.String(), "\n")
			require.Contains(t, line, `"server":"garland-1"`)
			require.Contains(t, line, c.want)
			require.Less(t, len(line), 1000)
			require.NotRegexp(t, "[\x00-\x1f\x7f-\\x{9f}]", line)
		})
	}
}
