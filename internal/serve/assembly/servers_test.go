package assembly

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/state/servers"
	"github.com/chicoryrock/chicoryrock/platform"
)

// A front whose list lacks a server that the store has must notice by the others' reports, and
// read the store again: the server's entry may not change for long.
func TestListThatLacksAServerIsReadAgain(t *testing.T) {
	all := deployMany(t, 2)
	all[0].configure(2, "k1")
	all[0].add("i-1", "llm", stream(4, 0))
	for _, d := range all {
		d.settle(2, 1)
	}
	// An answer to a watch that tells of a removal stands for any update that went wrong.
	front := all[1].front
	front.mutex.Lock()
	writeOther := func() uint64 {
		revision, _ := all[0].store.Commit(t.Context(), []chicoryrock.Change{{Key: "other", Value: []byte("1"), Unconditional: true}})
		return revision
	}
	revision := writeOther()
	// The first front would take the removal over if it were behind.
	require.Eventually(t, func() bool {
		all[0].front.mutex.Lock()
		defer all[0].front.mutex.Unlock()
		return all[0].front.servers.Version() >= servers.VersionOf(revision)
	}, waitTime, time.Millisecond)
	gone := servers.Update{Version: servers.VersionOf(revision), Server: chicoryrock.Server{ID: "i-1"}, Removed: true}
	notices, _ := front.servers.ApplyWatch(time.Now(), 0, revision, []servers.Update{gone})
	front.publish(notices)
	listed := front.front.Gate.Address("llm", "i-1") // the repair may begin once the lock is free
	front.mutex.Unlock()
	require.Equal(t, netip.AddrPort{}, listed)
	all[0].put(platform.ServerPrefix+"odd", "no entry") // the first front hears of a later revision
	// As others write to the store, a front that reads it again states a revision that the other
	// one hasn't heard of, and which that one takes over.
	require.Eventually(t, func() bool {
		writeOther()
		return front.front.Gate.Address("llm", "i-1").IsValid()
	}, waitTime, time.Millisecond)
	require.True(t, all[0].front.front.Gate.Address("llm", "i-1").IsValid())
}
