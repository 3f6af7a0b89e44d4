package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/standin/property"
)

func TestMain(m *testing.M) { property.Run(m, property.Size{}) }

var start = time.Date(2026, 5, 1, 8, 0, 0, 0, time.UTC)

func TestReportRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		report := Report{
			Process:        rapid.StringN(0, 40, maxNameLength).Draw(t, "process"),
			ConfigVersion:  rapid.Uint64().Draw(t, "version"),
			ServersVersion: rapid.Uint64().Draw(t, "servers"),
			Clock:          start.Add(time.Duration(rapid.Int64Range(-1e12, 1e12).Draw(t, "clock"))),
			Draining:       rapid.Bool().Draw(t, "draining"),
			SharesLimits:   rapid.Bool().Draw(t, "shares limits"),
			ServersDigest:  rapid.Uint32().Draw(t, "digest"),
			ServersQuiet:   rapid.Uint32().Draw(t, "quiet"),
		}
		report.HasServersDigest = rapid.Bool().Draw(t, "states a digest")
		for range rapid.IntRange(0, 60).Draw(t, "loads") {
			report.Loads = append(report.Loads, chicoryrock.OpenLoad{
				KeyHash:      rapid.Uint32().Draw(t, "of"),
				Open:         rapid.IntRange(0, 1<<16-1).Draw(t, "running"),
				GapSensitive: rapid.IntRange(0, 1<<16-1).Draw(t, "fragile"),
				UnreadTokens: rapid.IntRange(0, 1<<32-1).Draw(t, "unread"),
			})
		}
		for range rapid.IntRange(0, maxPrefixes).Draw(t, "reads") {
			report.CachedPrefixes = append(report.CachedPrefixes, chicoryrock.CachedPrefix{SessionHash: rapid.Uint32().Draw(t, "session"), ServerHash: rapid.Uint32().Draw(t, "server")})
		}
		got, err := Parse(report.Append(nil))
		require.NoError(t, err)
		require.Equal(t, report.Process, got.Process)
		require.True(t, report.Clock.Equal(got.Clock))
		require.Equal(t, []any{report.ConfigVersion, report.ServersVersion, report.Draining, report.SharesLimits}, []any{got.ConfigVersion, got.ServersVersion, got.Draining, got.SharesLimits})
		require.Equal(t, report.HasServersDigest, got.HasServersDigest)
		if report.HasServersDigest {
			require.Equal(t, []uint32{report.ServersDigest, report.ServersQuiet}, []uint32{got.ServersDigest, got.ServersQuiet})
		}
		require.Equal(t, report.Loads, got.Loads)
		require.Equal(t, report.CachedPrefixes, got.CachedPrefixes)
		require.Equal(t, maxSilenceMs*time.Millisecond, got.StoreSilence, "the store has not answered")
	})
}

func TestParseRejectsGarbage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOfN(rapid.Byte(), 0, 80).Draw(t, "data")
		if report, err := Parse(data); err == nil {
			require.Equal(t, data, reencode(data, &report))
		} else {
			require.ErrorIs(t, err, chicoryrock.ErrInvalid)
		}
	})
}

// reencode encodes a parsed report again. The silence and the flags are copied from
// data, because not all of their values survive parsing.
func reencode(data []byte, report *Report) []byte {
	again := report.Append(nil)
	at := 2 + len(report.Process) + 24
	copy(again[at:at+3], data[at:at+3])
	return again
}

func TestSilentPeersExpire(t *testing.T) {
	fleet := Fleet{Self: "b"}
	fleet.Receive(start, start, &Report{Process: "a", ConfigVersion: 4, Clock: start, Loads: []chicoryrock.OpenLoad{{KeyHash: 1, Open: 2, UnreadTokens: 30}}})
	fleet.Receive(start.Add(time.Second), start, &Report{Process: "c", ConfigVersion: 6, Clock: start, Loads: []chicoryrock.OpenLoad{{KeyHash: 1, Open: 1, GapSensitive: 1}}})
	fleet.Receive(start, start, &Report{Process: "b", ConfigVersion: 9})
	now := start.Add(time.Second)
	require.Equal(t, []string{"a", "b", "c"}, fleet.Alive(now))
	require.Equal(t, chicoryrock.OpenLoad{KeyHash: 1, Open: 3, GapSensitive: 1, UnreadTokens: 30}, fleet.Loads(now)[1])
	require.Equal(t, []string{"c", "a"}, fleet.WithNewerConfig(now, 3), "the latest report first")
	require.Equal(t, []string{"c"}, fleet.WithNewerConfig(now, 4))
	require.Empty(t, fleet.WithNewerConfig(now, 6))
	later := start.Add(2 * time.Second)
	require.Equal(t, 1, fleet.Loads(later)[1].Open, "loads that are two seconds old do not count")
	require.Equal(t, []string{"b", "c"}, fleet.Alive(start.Add(aliveTimeout+500*time.Millisecond)))
}

// A report without loads shows that its process is alive and which versions it has. The
// loads received before remain valid for as long as without that report.
func TestReportWithoutLoadsKeepsFormerLoads(t *testing.T) {
	fleet := Fleet{Self: "b"}
	full := Report{Process: "a", ConfigVersion: 4, Clock: start, Loads: []chicoryrock.OpenLoad{{KeyHash: 1, Open: 2}}}
	fleet.Receive(start, start, &full)
	withoutLoads, err := Parse((&Report{Process: "a", ConfigVersion: 5, Clock: start, OmitsLoads: true, Loads: full.Loads}).Append(nil))
	require.NoError(t, err)
	require.Empty(t, withoutLoads.Loads)
	later := start.Add(loadLifetime)
	fleet.Receive(later, start, &withoutLoads)
	require.Equal(t, []string{"a"}, fleet.WithNewerConfig(later, 4))
	require.Equal(t, 2, fleet.Loads(later)[1].Open)
	require.Empty(t, fleet.Loads(later.Add(time.Millisecond)))
}

func TestClockOffsetFollowsMedian(t *testing.T) {
	cases := []struct {
		name   string
		others []time.Duration // how far the peers' clocks are ahead
		want   time.Duration
	}{
		{"alone", nil, 0},
		{"one other", []time.Duration{2 * time.Second}, 0},
		{"this one is off", []time.Duration{2 * time.Second, 2 * time.Second, 2*time.Second + 1}, 2 * time.Second},
		{"one other is off", []time.Duration{0, 3 * time.Second}, 0},
	}
	for _, c := range cases {
		fleet := Fleet{Self: "me"}
		for i, ahead := range c.others {
			fleet.Receive(start, start, &Report{Process: string(rune('a' + i)), Clock: start.Add(ahead)})
		}
		require.Equal(t, c.want, fleet.ClockOffset(start), c.name)
	}
}

// During an outage of the store for all processes, none can write for another, so none
// must be asked to. Otherwise 28 processes made 27 requests a second each.
func TestWithStoreSkipsPeersWithoutStore(t *testing.T) {
	fleet := Fleet{Self: "me"}
	limit := 1700 * time.Millisecond
	fleet.Receive(start, start, &Report{Process: "b", Clock: start, StoreSilence: 5 * time.Second})
	fleet.Receive(start, start, &Report{Process: "c", Clock: start, StoreSilence: maxSilenceMs * time.Millisecond})
	require.Empty(t, fleet.WithStore(start, limit))
	fleet.Receive(start, start, &Report{Process: "d", Clock: start, StoreSilence: time.Second})
	fleet.Receive(start, start, &Report{Process: "a", Clock: start})
	require.Equal(t, []string{"a", "d"}, fleet.WithStore(start, limit))
}

func TestStoreSilenceIsShortestOfPeers(t *testing.T) {
	fleet := Fleet{Self: "me"}
	_, found := fleet.StoreSilence(start)
	require.False(t, found)
	fleet.Receive(start, start, &Report{Process: "a", Clock: start, StoreSilence: maxSilenceMs * time.Millisecond})
	_, found = fleet.StoreSilence(start)
	require.False(t, found, "the store has not answered the peer either")
	fleet.Receive(start, start, &Report{Process: "b", Clock: start, StoreSilence: 3 * time.Second})
	fleet.Receive(start, start, &Report{Process: "c", Clock: start, StoreSilence: time.Second})
	silence, found := fleet.StoreSilence(start.Add(time.Second))
	require.True(t, found)
	require.Equal(t, 2*time.Second, silence)
}

func TestStoreWatchedNeedsRecentReport(t *testing.T) {
	fleet := Fleet{Self: "me"}
	limit := 1700 * time.Millisecond
	require.False(t, fleet.StoreWatched(start, limit))
	report := Report{Process: "a", Clock: start, StoreSilence: time.Second}
	fleet.Receive(start, start, &report)
	require.True(t, fleet.StoreWatched(start.Add(500*time.Millisecond), limit))
	require.False(t, fleet.StoreWatched(start.Add(800*time.Millisecond), limit), "the report is too old")
	report.Draining = true
	fleet.Receive(start, start, &report)
	require.False(t, fleet.StoreWatched(start, limit))
}

// Processes of former builds read a digest as the load of a backend server that they don't
// know, and the loads after it as before: fronts of both builds serve together in an upgrade.
func TestFormerBuildsReadReportsWithADigest(t *testing.T) {
	load := chicoryrock.OpenLoad{KeyHash: 1, Open: 2, UnreadTokens: 3}
	report := Report{Process: "a", Clock: start, ServersVersion: 7, ServersDigest: 5, ServersQuiet: 1<<16 + 2, HasServersDigest: true, Loads: []chicoryrock.OpenLoad{load}}
	data := report.Append(nil)
	data[2+len("a")+26] &^= flagServersDigest // a bit that those don't know
	got, err := Parse(data)
	require.NoError(t, err)
	require.Equal(t, []chicoryrock.OpenLoad{{KeyHash: 0, Open: 1, GapSensitive: 2, UnreadTokens: 5}, load}, got.Loads)
}

// A report without loads has no digest: the last one stated holds.
func TestDigestsOutlastReportsWithoutLoads(t *testing.T) {
	fleet := Fleet{Self: "b"}
	fleet.Receive(start, start, &Report{Process: "a", Clock: start, ServersVersion: 7, ServersDigest: 5, ServersQuiet: 2, HasServersDigest: true})
	fleet.Receive(start, start, &Report{Process: "a", Clock: start, ServersVersion: 8, OmitsLoads: true})
	fleet.Receive(start, start, &Report{Process: "c", Clock: start, ServersVersion: 9})
	require.Equal(t, []ServersDigest{{"a", 7, 2, 5}}, fleet.ServersDigests(start))
	require.Empty(t, fleet.ServersDigests(start.Add(2*aliveTimeout)))
}
