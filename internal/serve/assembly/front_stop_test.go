package assembly

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/platform"
)

// A stop under load cuts off nothing that has reached a backend server: callers with
// kept and with new connections go on asking until the front is gone, and each of their
// requests is answered whole or has not run.
func TestPlannedStopUnderLoadCutsNothingOff(t *testing.T) {
	d := deploy(t, func(node *platform.Node) { node.Bounds.Grace = 3 * time.Second })
	d.configure(1, "k1")
	b := d.add("i-1", "app", func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(30 * time.Millisecond)
		fine(w, r)
	})
	d.settle(1, 1)
	const callers = 24
	var served, turned atomic.Int64
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			transport := &http.Transport{DisableKeepAlives: caller%2 == 0}
			defer transport.CloseIdleConnections()
			for i := 0; ; i++ {
				id := fmt.Sprintf("q%d-%d", caller, i)
				// What must run once: the transport sends no request again by itself.
				request := d.request(t.Context(), http.MethodPost, "/book/", id, "k1", "a lot")
				request.GetBody = nil
				response, err := transport.RoundTrip(request)
				var body []byte
				if err == nil {
					body, err = io.ReadAll(response.Body)
					_ = response.Body.Close()
				}
				switch {
				case err != nil && b.ran(id) > 0:
					t.Errorf("%s has run and got %q, %v", id, body, err)
					return
				case err != nil && strings.Contains(err.Error(), "refused"):
					return // the front is gone
				case err != nil:
					turned.Add(1)
				case response.StatusCode == http.StatusOK:
					served.Add(1)
				case b.ran(id) > 0:
					t.Errorf("%s has run and got %d", id, response.StatusCode)
				}
			}
		})
	}
	require.Eventually(t, func() bool { return served.Load() > 10*callers }, waitTime, time.Millisecond)
	before := served.Load()
	d.stop()
	group.Wait()
	t.Logf("%d served before the stop and %d after it, %d connections closed before they were read", before, served.Load()-before, turned.Load())
	require.Greater(t, served.Load(), before, "it serves on until nobody is sent any more")
}
