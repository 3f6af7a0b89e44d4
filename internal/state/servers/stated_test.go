package servers_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/state/servers"
)

// watched has a list take in a watch's answer with one change.
func watched(l *servers.VersionedList, revision uint64, server chicoryrock.Server, removed bool) {
	update := servers.Update{Version: servers.VersionOf(revision), Server: server, Removed: removed}
	l.ApplyWatch(time.Time{}, 0, revision, []servers.Update{update})
}

// What a server says of itself holds for that start of it: neither the store nor a peer that
// knows less takes it back, and the next start is free of it.
func TestStatementsHoldForOneStart(t *testing.T) {
	now := time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)
	address := netip.MustParseAddrPort("10.0.0.1:80")
	server := chicoryrock.Server{ID: "a", Service: "s", Address: address, StartedMs: 5, Heartbeat: 1}
	later := server
	later.Heartbeat = 7
	next := server
	next.StartedMs = 6
	moved := server
	moved.Address = netip.MustParseAddrPort("10.0.0.2:80")
	cases := []struct {
		name    string
		change  func(l *servers.VersionedList)
		leaving bool
	}{
		{"nothing", func(*servers.VersionedList) {}, true},
		{"its entry is written again", func(l *servers.VersionedList) { watched(l, 9, later, false) }, true},
		{"the store is read anew", func(l *servers.VersionedList) {
			l.ApplyFullRead(now, 9, []servers.Written{{Server: later, Version: servers.VersionOf(8)}})
		}, true},
		{"its entry goes and comes back", func(l *servers.VersionedList) {
			watched(l, 8, server, true)
			watched(l, 9, later, false)
		}, true},
		{"a peer's list", func(l *servers.VersionedList) {
			l.ApplyDelta(now, 0, &servers.Delta{Version: servers.VersionOf(9), Full: true, Servers: []chicoryrock.Server{later}})
		}, true},
		{"its next start", func(l *servers.VersionedList) { watched(l, 9, next, false) }, false},
		{"another address", func(l *servers.VersionedList) { watched(l, 9, moved, false) }, false},
	}
	for _, c := range cases {
		var l servers.VersionedList
		watched(&l, 3, server, false)
		change, news := l.Observe(now, servers.StartOf(&server), servers.Statement{Leaving: true})
		require.True(t, news)
		require.Equal(t, servers.Leaving, change.Kind)
		_, news = l.Observe(now, servers.StartOf(&server), servers.Statement{Leaving: true})
		require.False(t, news, "told once")
		_, news = l.Observe(now, servers.StartOf(&server), servers.Statement{})
		require.False(t, news, "an answer without it takes nothing back")
		c.change(&l)
		list := l.Servers()
		require.Len(t, list, 1, c.name)
		require.Equal(t, c.leaving, list[0].Leaving, c.name)
	}
}

// What a process has heard itself goes no further: a peer's list has the entries.
func TestStatementsAreNotPassedOn(t *testing.T) {
	now := time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)
	var l servers.VersionedList
	server := chicoryrock.Server{ID: "a", Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80")}
	l.ApplyFullRead(now, 3, []servers.Written{{Server: server, Version: servers.VersionOf(3)}})
	l.Observe(now, servers.StartOf(&server), servers.Statement{Leaving: true})
	delta := l.DeltaSince(0)
	require.True(t, delta.Full)
	require.False(t, delta.Servers[0].Leaving)
	// Statements of thousands of starts that are gone are forgotten, not those of listed ones.
	for i := range 3000 {
		l.Observe(now, servers.Start{ID: fmt.Sprint("gone-", i)}, servers.Statement{Leaving: true})
	}
	require.True(t, l.Servers()[0].Leaving)
}

// The latest end of all rests that a start has asked for counts.
func TestRestsEndWithTheLatest(t *testing.T) {
	now := time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)
	server := chicoryrock.Server{ID: "a", Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), StartedMs: 5}
	var l servers.List
	l.Put(0, server)
	cases := []struct {
		at, rest, until time.Duration
		news            bool
	}{
		{0, 3 * time.Second, 3 * time.Second, true},
		{time.Second, time.Second, 3 * time.Second, false},
		{time.Second, 3 * time.Second, 4 * time.Second, true},
		{2 * time.Second, 0, 4 * time.Second, false},
		{2 * time.Second, 1000 * time.Hour, 2*time.Second + 5*time.Minute, true},
	}
	for _, c := range cases {
		_, news := l.Observe(now.Add(c.at), servers.StartOf(&server), servers.Statement{Rest: c.rest})
		require.Equal(t, c.news, news, c)
		require.Equal(t, now.Add(c.until), l.Servers()[0].RestUntil, c)
	}
	server.StartedMs = 6
	l.Put(0, server)
	require.Zero(t, l.Servers()[0].RestUntil, "the next start asks for itself")
}

// What a server's answers say of its weights counts until its entry says otherwise.
func TestStatedWeightsHoldUntilTheEntryChanges(t *testing.T) {
	now := time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)
	server := chicoryrock.Server{ID: "a", Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), StartedMs: 5, Weights: "m=1,n=1"}
	entry := func(weights string, startedMs int64) func(*servers.VersionedList) {
		next := server
		next.Weights, next.StartedMs = weights, startedMs
		next.Heartbeat++
		return func(l *servers.VersionedList) { watched(l, 9, next, false) }
	}
	cases := []struct {
		name   string
		said   servers.Statement
		change func(l *servers.VersionedList)
		kind   servers.ChangeKind
		news   bool
		want   string
	}{
		{"another version", servers.Statement{Model: "m", Weights: "2"}, func(*servers.VersionedList) {}, servers.Reweighted, true, "m=2,n=1"},
		{"it leaves besides", servers.Statement{Model: "m", Weights: "2", Leaving: true}, func(*servers.VersionedList) {}, servers.Leaving, true, "m=2,n=1"},
		{"the same version", servers.Statement{Model: "m", Weights: "1"}, func(*servers.VersionedList) {}, servers.Resting, false, "m=1,n=1"},
		{"a model that it isn't listed with", servers.Statement{Model: "o", Weights: "2"}, func(*servers.VersionedList) {}, servers.Resting, false, "m=1,n=1"},
		{"its entry is written again", servers.Statement{Model: "m", Weights: "2"}, entry("m=1,n=1", 5), servers.Reweighted, true, "m=2,n=1"},
		{"its entry follows", servers.Statement{Model: "m", Weights: "2"}, entry("m=3,n=1", 5), servers.Reweighted, true, "m=3,n=1"},
		{"its entry follows and goes back", servers.Statement{Model: "m", Weights: "2"}, func(l *servers.VersionedList) {
			entry("m=2,n=1", 5)(l)
			l.Servers()
			next := server
			next.Heartbeat += 2
			watched(l, 10, next, false)
		}, servers.Reweighted, true, "m=1,n=1"},
		{"its next start", servers.Statement{Model: "m", Weights: "2"}, entry("m=1,n=1", 6), servers.Reweighted, true, "m=1,n=1"},
	}
	for _, c := range cases {
		var l servers.VersionedList
		watched(&l, 3, server, false)
		change, news := l.Observe(now, servers.StartOf(&server), c.said)
		require.Equal(t, c.news, news, c.name)
		require.Equal(t, c.kind, change.Kind, c.name)
		c.change(&l)
		require.Equal(t, c.want, l.Servers()[0].Weights, c.name)
	}
}
