package lease_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/internal/standin/host"
	"github.com/chicoryrock/chicoryrock/internal/standin/store"
	"github.com/chicoryrock/chicoryrock/internal/state/lease"
	"github.com/chicoryrock/chicoryrock/platform"
)

// A holder after the store's return from a copy has a higher fencing number than all
// before, although the store gives their revisions out again.
func TestFencesGrowWhenTheStoreIsRestored(t *testing.T) {
	server := &store.Server{Listen: host.Loopback()}
	require.NoError(t, server.Start())
	t.Cleanup(server.Close)
	server.Copy()
	client := &platform.Store{Address: server.Addr(), Timeout: 10 * time.Second}
	first := lease.Lease{Duty: "d", Holder: "a", TTL: time.Minute}
	require.NoError(t, first.AcquireOrRenew(t.Context(), time.Now(), client))
	server.Restore()
	next := lease.Lease{Duty: "d", Holder: "b", TTL: time.Minute}
	require.NoError(t, next.AcquireOrRenew(t.Context(), time.Now(), &platform.Store{Address: server.Addr(), Timeout: 10 * time.Second}))
	require.Greater(t, next.Fence(), first.Fence())
}
