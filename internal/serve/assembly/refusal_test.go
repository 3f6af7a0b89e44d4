package assembly

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/platform/sample"
)

// repeater is a faulty backend server: it turns the first request away, and writes that
// refusal once more when the request comes again on the same connection, which it runs.
type repeater struct {
	mutex   sync.Mutex
	refused map[string]bool
	runs    map[string]int
}

func (r *repeater) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	earlier := map[string]string{}
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get(sample.ID)
		r.mutex.Lock()
		first := !r.refused[id]
		r.refused[id] = true
		if !first {
			r.runs[id]++
		}
		r.mutex.Unlock()
		if first {
			earlier[id] = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", sample.ID, id, sample.NotRun)
			_, _ = io.WriteString(conn, earlier[id])
			continue
		}
		const body = "id: 1\ndata: fine\n\n"
		_, _ = fmt.Fprintf(conn, "%sHTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s", earlier[id], sample.ID, id, sample.Seal, len(body), body)
	}
}

// A refusal that is written again is no answer to the request's next attempt: a request that
// runs is not said not to have run, and runs once.
func TestRefusalWrittenAgainIsNoAnswer(t *testing.T) {
	for _, path := range []string{"/book/x", "/read/x", "/short/x", "/long/x"} {
		t.Run(path, func(t *testing.T) {
			d := deploy(t)
			d.configure(2, "k1")
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			faulty := &repeater{refused: map[string]bool{}, runs: map[string]int{}}
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					go faulty.serve(conn)
				}
			}()
			service := "app"
			if path == "/short/x" || path == "/long/x" {
				service = "llm"
			}
			d.enter(&backend{id: "faulty", service: service, address: netip.MustParseAddrPort(listener.Addr().String())}, "ready")
			d.settle(2, 1)
			for n := range 5 {
				id := fmt.Sprintf("id-%d", n)
				got := d.send(http.MethodPost, path, id, "k1", "body")
				faulty.mutex.Lock()
				runs := faulty.runs[id]
				faulty.mutex.Unlock()
				require.LessOrEqual(t, runs, 1)
				if got.status == http.StatusServiceUnavailable {
					require.Zero(t, runs, "it was said not to have run")
					continue
				}
				require.Equal(t, http.StatusOK, got.status)
			}
		})
	}
}
