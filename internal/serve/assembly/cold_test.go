package assembly

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/platform"
	"github.com/chicoryrock/chicoryrock/platform/sample"
)

// Guards against cold servers that are sent more than they bear, and against the limit
// outliving the cold.
func TestColdServersGetWhatTheyBear(t *testing.T) {
	const perSecond, over, slack = 8, 1.5, 3
	d := deploy(t, func(node *platform.Node) { node.Bounds.ColdOver, node.Bounds.ColdSlack = over, slack })
	d.configureWith(1, func(config string) string { return sample.Bearing(config, perSecond) })
	var mutex sync.Mutex
	var came []time.Time
	b := d.add("i-1", "app", func(w http.ResponseWriter, r *http.Request) {
		mutex.Lock()
		came = append(came, time.Now())
		mutex.Unlock()
		fine(w, r)
	})
	d.settle(1, 1)
	write := func(entry string) {
		_, err := d.store.Commit(t.Context(), []chicoryrock.Change{{Key: platform.ServerPrefix + b.id, Value: []byte(entry), Unconditional: true}})
		require.NoError(t, err)
	}
	entry := sample.Entry(b.service, b.address, "ready")
	write(sample.Later(sample.Cold(entry, 600_000)))
	require.Eventually(t, d.front.front.KnowsLimits, waitTime, time.Millisecond)

	refused := 0
	for i := range 50 {
		got := d.send("GET", "/read/", fmt.Sprintf("c%d", i), "k1", "")
		require.NoError(t, got.err)
		if got.status != http.StatusOK {
			require.Equal(t, http.StatusServiceUnavailable, got.status)
			require.NotEmpty(t, got.header.Get("Retry-After"))
			refused++
		}
		time.Sleep(10 * time.Millisecond)
	}
	require.Positive(t, refused)
	mutex.Lock()
	require.NotEmpty(t, came, "what it bears is used")
	for i := range came {
		within := 0
		for j := i; j < len(came) && came[j].Sub(came[i]) < time.Second; j++ {
			within++
		}
		require.LessOrEqual(t, float64(within), perSecond*over+slack)
	}
	mutex.Unlock()

	write(strings.Replace(entry, `"seq":1`, `"seq":20`, 1))
	require.Eventually(t, func() bool {
		for i := range 40 {
			if d.send("GET", "/read/", fmt.Sprintf("w%d-%d", time.Now().UnixNano(), i), "k1", "").status != http.StatusOK {
				return false
			}
		}
		return true
	}, waitTime, 20*time.Millisecond, "it is served as before once it is warm")
}
