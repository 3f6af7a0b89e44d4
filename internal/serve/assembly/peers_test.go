package assembly

import (
	"context"
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/state/fleet"
)

// A peer that froze a moment ago still counts as alive. Asking it alone kept a
// configuration from a front for three seconds (mantrap-fleet, trouble-2, seed
// 742194423211).
func TestFetchGoesOnToTheNextPeer(t *testing.T) {
	cases := []struct {
		name   string
		from   []string
		frozen map[string]bool
		want   []string
	}{
		{"nobody knows better", nil, nil, nil},
		{"the first answers", []string{"a", "b"}, nil, []string{"a"}},
		{"the first is frozen", []string{"a", "b", "c"}, map[string]bool{"a": true}, []string{"a", "b"}},
		{"no more than a few", []string{"a", "b", "c", "d"}, map[string]bool{"a": true, "b": true, "c": true, "d": true}, []string{"a", "b", "c"}},
	}
	for _, c := range cases {
		var called []string
		front := &Front{Log: event.NewNop()}
		answered := front.firstOf(t.Context(), c.from, asked, func(_ context.Context, process string) error {
			called = append(called, process)
			if c.frozen[process] {
				return chicoryrock.ErrUnknownOutcome
			}
			return nil
		})
		require.Equal(t, c.want, called, c.name)
		require.Equal(t, len(called) > 0 && !c.frozen[called[len(called)-1]], answered, c.name)
	}
}

// A process that has joined is known by what it tells, without a look at the store.
// An entry of an earlier process of its node, read late, does not take its place.
func TestPeersAreLearnedFromTheirReports(t *testing.T) {
	now := time.Date(2026, 5, 1, 8, 0, 0, 0, time.UTC)
	old, young := processName("front-a-2", now), processName("front-a-2", now.Add(time.Minute))
	where := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr("10.1.0.2"), port) }
	p := &peers{process: processName("front-a-1", now), log: event.NewNop(), fleet: fleet.Fleet{Self: processName("front-a-1", now)}}
	entry := func(process string, address netip.AddrPort) chicoryrock.KeyValue {
		value, err := json.Marshal(peerRecord{Process: process, Address: address})
		require.NoError(t, err)
		return chicoryrock.KeyValue{Key: peerPrefix + "front-a-2", Value: value}
	}
	p.reset(now, []chicoryrock.KeyValue{entry(old, where(7200))}, 1)
	require.Equal(t, []netip.AddrPort{where(7200)}, p.addresses())
	p.heard(now, now, where(7201), &fleet.Report{Process: young, Clock: now})
	require.Equal(t, []netip.AddrPort{where(7201)}, p.addresses())
	p.reset(now, []chicoryrock.KeyValue{entry(old, where(7200))}, 2)
	p.heard(now, now, where(7200), &fleet.Report{Process: old, Clock: now})
	require.Equal(t, []netip.AddrPort{where(7201)}, p.addresses())
	require.NotNil(t, p.client(young))
	p.heard(now, now, where(7203), &fleet.Report{Process: p.process, Clock: now})
	p.heard(now, now, where(7203), &fleet.Report{Process: "nameless", Clock: now})
	require.Len(t, p.addresses(), 1)
}

// Which processes watch the store for all is known from their entries already: the
// others need not watch until they have heard of them.
func TestFirstEntriesWatchEarly(t *testing.T) {
	now := time.Date(2026, 5, 1, 8, 0, 0, 0, time.UTC)
	var entries []chicoryrock.KeyValue
	var names []string
	for i := range 9 {
		node := "front-a-" + string(rune('1'+i))
		names = append(names, processName(node, now))
		value, err := json.Marshal(peerRecord{Process: names[i], Address: netip.AddrPortFrom(netip.MustParseAddr("10.1.0.2"), uint16(7200+i))})
		require.NoError(t, err)
		entries = append(entries, chicoryrock.KeyValue{Key: peerPrefix + node, Value: value})
	}
	early := 0
	for _, name := range names {
		p := &peers{process: name, log: event.NewNop(), fleet: fleet.Fleet{Self: name}}
		require.False(t, p.early(), "it has read nothing")
		p.reset(now, entries, 1)
		if p.early() {
			early++
		}
	}
	require.Equal(t, watchers, early)
}

// Limits are divided by all processes that may send requests. One that is cut off still
// may; VMs that are gone for good count no more after a while, but only where most are
// heard: the others may be the ones that are cut off.
func TestMembersOfALimit(t *testing.T) {
	now := time.Date(2026, 5, 1, 8, 0, 0, 0, time.UTC)
	cases := []struct {
		name        string
		read        bool // the entries have been read from the store
		listed      int  // other processes with an entry
		heard       int  // of these, those heard in the last seconds
		silent      time.Duration
		wantMembers int
		wantSharing int
		draining    bool
	}{
		{"nothing is known yet", false, 0, 0, 0, firstProcesses, 0, false},
		{"alone", true, 0, 0, 0, 1, 0, false},
		{"all are heard", true, 5, 5, 0, 6, 5, false},
		{"some are silent", true, 5, 3, time.Minute, 6, 3, false},
		{"some are silent for long", true, 5, 3, 2 * memberTime, 4, 3, false},
		{"this one is cut off", true, 5, 1, 2 * memberTime, 6, 1, false},
		{"the others shut down", true, 5, 5, 0, 6, 0, true},
	}
	for _, c := range cases {
		p := &peers{process: "front-a-0-1", log: event.NewNop(), fleet: fleet.Fleet{Self: "front-a-0-1"}}
		for i := range c.listed {
			name := processName("front-a-"+string(rune('1'+i)), now)
			value, err := json.Marshal(peerRecord{Process: name, Address: netip.AddrPortFrom(netip.MustParseAddr("10.1.0.2"), uint16(7200+i))})
			require.NoError(t, err)
			p.change(now, chicoryrock.KeyValue{Key: peerPrefix + "front-a-" + string(rune('1'+i)), Value: value})
		}
		later := now.Add(c.silent)
		for i := range c.heard {
			name := processName("front-a-"+string(rune('1'+i)), now)
			p.heard(later, later, netip.AddrPortFrom(netip.MustParseAddr("10.1.0.2"), uint16(7200+i)), &fleet.Report{Process: name, Clock: later, SharesLimits: true, Draining: c.draining})
		}
		p.read = c.read
		require.Equal(t, c.wantMembers, p.members(later), c.name)
		require.Len(t, p.fleet.SharingLimits(later), c.wantSharing, c.name)
	}
}
