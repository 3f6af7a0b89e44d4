package assembly

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/internal/state/servers"
	"github.com/chicoryrock/chicoryrock/platform"
	"github.com/chicoryrock/chicoryrock/platform/sample"
)

// Guards against requests that come late in the grace, are passed on and cut off at its end.
func TestRequestsLateInTheGraceAreNotCutOff(t *testing.T) {
	const grace = 3 * time.Second
	cases := []struct {
		name, path, patience string
		takes                time.Duration // at the backend server
	}{
		{"at most once", "/book/", "1500", 1200 * time.Millisecond},
		{"repeatable", "/read/", "1500", 1200 * time.Millisecond},
		{"stream", "/short/", "6000", 2 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, func(node *platform.Node) { node.Bounds.Grace = grace })
			d.configure(1, "k1")
			answer := func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(c.takes)
				stream(3, 0)(w, r)
			}
			servers := []*backend{d.add("i-1", "app", answer), d.add("i-2", "llm", answer)}
			d.settle(1, 2)
			ran := func(id string) int { return servers[0].ran(id) + servers[1].ran(id) }
			var group sync.WaitGroup
			stopped := make(chan struct{})
			for i := range 12 {
				// Connections that are open before the stop, and send their first request in the grace.
				conn, err := net.Dial("tcp", d.node.Callers.String())
				require.NoError(t, err)
				t.Cleanup(func() { _ = conn.Close() })
				group.Go(func() {
					<-stopped
					time.Sleep(time.Duration(i+1) * grace / 13)
					id := fmt.Sprintf("q%d", i)
					request := d.request(t.Context(), http.MethodPost, c.path, id, "k1", "a lot")
					request.Header.Set(sample.Patience, c.patience)
					if request.Write(conn) != nil {
						return // it was closed before
					}
					response, err := http.ReadResponse(bufio.NewReader(conn), request)
					var body []byte
					if err == nil {
						body, err = io.ReadAll(response.Body)
						_ = response.Body.Close()
					}
					switch {
					case err != nil && ran(id) > 0:
						t.Errorf("%s has run and got %q, %v", id, body, err)
					case err == nil && response.StatusCode == http.StatusServiceUnavailable && ran(id) > 0:
						t.Errorf("%s has run and got %d", id, response.StatusCode)
					case err == nil && response.StatusCode != http.StatusOK && response.StatusCode != http.StatusServiceUnavailable:
						t.Errorf("%s got %d", id, response.StatusCode)
					}
				})
			}
			d.stop()
			close(stopped)
			group.Wait()
		})
	}
}

// Guards against requests that wait, or run without an answer yet, as the grace ends and get no answer.
func TestOpenRequestsAreAnsweredAtTheEndOfTheGrace(t *testing.T) {
	const grace = 2 * time.Second
	d := deploy(t, func(node *platform.Node) { node.Bounds.Grace = grace })
	d.configureWith(1, sample.Unhurried)
	b := d.add("i-1", "app", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	d.settle(1, 1)
	const running, waiting = 4, 8
	statuses := make(chan int, running+waiting)
	ask := func(count int, name string) {
		for i := range count {
			go func() {
				request := d.request(t.Context(), http.MethodPost, "/read/x", fmt.Sprint(name, i), "k1", "x")
				request.Header.Set(sample.Patience, "30000")
				statuses <- d.do(request).status
			}()
		}
	}
	ask(running, "runs")
	require.Eventually(t, func() bool { return b.total() == running }, waitTime, time.Millisecond)
	listed := d.front.front.Gate.Replicas("app")[0]
	start := servers.Start{ID: listed.Name, Address: listed.Address, StartedMs: listed.StartedMs}
	d.front.observeServer(time.Now(), start, servers.Statement{Rest: 5 * time.Second})
	ask(waiting, "waits")
	require.Eventually(t, func() bool { return d.front.front.Gate.Waiting("app") == waiting }, waitTime, time.Millisecond)
	d.stop()
	counts := make(map[int]int)
	for range running + waiting {
		counts[<-statuses]++
	}
	require.Equal(t, map[int]int{http.StatusServiceUnavailable: waiting, http.StatusGatewayTimeout: running}, counts, "zero for no answer")
}

// Guards against requests that wait, are sent late in the grace and cut off at its end.
func TestRequestsThatWaitAreNotSentTooLateInTheGrace(t *testing.T) {
	const grace, rest, waiting = 3 * time.Second, 1500 * time.Millisecond, 4
	d := deploy(t, func(node *platform.Node) { node.Bounds.Grace = grace })
	d.configureWith(1, sample.Unhurried)
	b := d.add("i-1", "app", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	d.settle(1, 1)
	listed := d.front.front.Gate.Replicas("app")[0]
	start := servers.Start{ID: listed.Name, Address: listed.Address, StartedMs: listed.StartedMs}
	d.front.observeServer(time.Now(), start, servers.Statement{Rest: rest})
	statuses := make(chan int, waiting)
	for i := range waiting {
		go func() {
			request := d.request(t.Context(), http.MethodPost, "/book/x", fmt.Sprint("waits", i), "k1", "x")
			request.Header.Set(sample.Patience, "30000")
			statuses <- d.do(request).status
		}()
	}
	require.Eventually(t, func() bool { return d.front.front.Gate.Waiting("app") == waiting }, rest, time.Millisecond)
	d.stop()
	for range waiting {
		require.Equal(t, http.StatusServiceUnavailable, <-statuses)
	}
	require.Zero(t, b.total())
}
