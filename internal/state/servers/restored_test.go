package servers

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
)

// A process that was cut off takes the time for an outage of the store, and an entry that
// has gone meanwhile for lapsed. It must not give the server back to processes that have
// seen it go.
func TestServerThatHasGoneIsNotGivenBack(t *testing.T) {
	now := time.Date(2026, 5, 1, 12, 0, 0, 0, time.UTC)
	server := chicoryrock.Server{ID: "s", Service: "llm", StartedMs: 5, Heartbeat: 7}
	stays := chicoryrock.Server{ID: "t", Service: "llm", StartedMs: 5, Heartbeat: 7}
	var cutOff, watching VersionedList
	for _, list := range []*VersionedList{&cutOff, &watching} {
		list.StoreAnswered(now)
		list.ApplyFullRead(now, 10, []Written{{server, VersionOf(9)}, {stays, VersionOf(9)}})
	}
	cutOff.StoreFailed()
	now = now.Add(5 * time.Second)
	watching.StoreAnswered(now)
	remove(now, &watching, 12, "s")
	now = now.Add(time.Second)
	cutOff.StoreAnswered(now)
	cutOff.ApplyFullRead(now, 15, []Written{{stays, VersionOf(9)}})
	changes, newer := pass(now, &cutOff, &watching)
	require.True(t, newer)
	require.Empty(t, changes)
	require.Equal(t, []chicoryrock.Server{stays}, watching.Servers())
	// One that writes its entry again is back.
	server.Heartbeat++
	require.Equal(t, Added, put(&watching, 16, server)[0].Kind)
}

// The copy that a store comes back from names a server that has left since. It must not be
// used again before it writes its entry anew.
func TestServerOfAnOldCopyStaysGone(t *testing.T) {
	now := time.Date(2026, 5, 1, 12, 0, 0, 0, time.UTC)
	server := chicoryrock.Server{ID: "s", Service: "llm", StartedMs: 5, Heartbeat: 7}
	cases := []struct {
		name string
		left func(list *VersionedList)
		want int
	}{
		{"its entry had gone", func(list *VersionedList) { remove(now, list, 12, "s") }, 0},
		{"it had said that it leaves", func(list *VersionedList) {
			leaving := server
			leaving.Leaving = true
			put(list, 12, leaving)
		}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var list VersionedList
			list.StoreAnswered(now)
			list.ApplyFullRead(now, 10, []Written{{server, VersionOf(9)}})
			c.left(&list)
			list.ApplyWatch(now, 12, 14, nil)
			list.ApplyFullRead(now.Add(time.Second), chicoryrock.RevisionIn(1, 11), []Written{{server, VersionOf(chicoryrock.RevisionIn(1, 9))}})
			require.Len(t, list.Servers(), c.want)
			for _, found := range list.Servers() {
				require.True(t, found.Leaving)
			}
			again := server
			again.Heartbeat = 9
			put(&list, chicoryrock.RevisionIn(1, 13), again)
			require.Len(t, list.Servers(), 1)
			require.False(t, list.Servers()[0].Leaving)
		})
	}
}
