package assembly

import (
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
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
