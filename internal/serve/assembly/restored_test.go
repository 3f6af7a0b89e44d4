package assembly

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/state/tally"
	"github.com/chicoryrock/chicoryrock/platform"
)

// The store comes back from a copy in which a server stands that has left since, and in
// which the newest configuration is missing. Neither counts: the front goes on with what it
// knows until they are written again.
func TestFrontKeepsWhatARestoredStoreHasLost(t *testing.T) {
	d := deploy(t)
	d.configure(1, "k1")
	stays := d.add("stays", "app", fine)
	left := d.add("left", "app", fine)
	d.settle(1, 2)
	d.server.Copy()
	d.configure(2, "k1", "k2")
	d.enter(left, "draining")
	require.Eventually(t, func() bool { return d.front.front.Gate.Address("app", "left") == netip.AddrPort{} }, waitTime, time.Millisecond)
	_, err := d.store.Commit(t.Context(), []chicoryrock.Change{{Key: platform.ServerPrefix + "left", Delete: true, Unconditional: true}})
	require.NoError(t, err)
	d.settle(2, 1)
	d.server.Restore()
	// Both are read again from the new history.
	next := d.add("next", "app", fine)
	require.Eventually(t, func() bool { return d.front.front.Gate.Address("app", "next") != netip.AddrPort{} }, waitTime, time.Millisecond)
	for n := range 30 {
		require.Equal(t, http.StatusOK, d.send(http.MethodPost, "/read/x", fmt.Sprintf("id-%d", n), "k2", "").status)
		require.Zero(t, left.ran(fmt.Sprintf("id-%d", n)), "a server that has left")
	}
	require.Positive(t, len(stays.runs)+len(next.runs))
	d.configure(3, "k1", "k3")
	d.settle(3, 2)
	require.Equal(t, http.StatusOK, d.send(http.MethodPost, "/read/x", "after", "k3", "").status)
}

// Counts that the store had and has lost are written again, and reported once.
func TestCountsThatARestoredStoreHasLostAreReported(t *testing.T) {
	taken := &intake{sheet: map[int64]map[string]int64{}}
	server := httptest.NewServer(taken)
	t.Cleanup(server.Close)
	d := deploy(t, func(node *platform.Node) {
		node.Bill = true
		node.API = netip.MustParseAddrPort(server.Listener.Addr().String())
	})
	d.configure(1, "k1")
	d.add("i-1", "app", fine)
	d.settle(1, 1)
	for round := range 3 {
		d.server.Copy()
		for i := range 5 {
			require.Equal(t, http.StatusOK, d.send("GET", "/read/", fmt.Sprintf("o%d-%d", round, i), "k1", "").status)
		}
		require.Eventually(t, func() bool {
			entries, err := d.store.List(t.Context(), tally.CountPrefix)
			sum := 0
			for _, entry := range entries {
				var counts tally.Counts
				if json.Unmarshal(entry.Value, &counts) == nil {
					sum += int(counts["w1"])
				}
			}
			return err == nil && sum == 5*(round+1)
		}, waitTime, time.Millisecond, "the counts are written")
		d.server.Restore()
		require.Eventually(t, func() bool { return taken.sum("w1") == int64(5*(round+1)) }, waitTime, 10*time.Millisecond, "round %d", round)
	}
	require.Zero(t, taken.odd)
}
