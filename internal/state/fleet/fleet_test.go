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

func TestReportComesBackAsItWas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		report := Report{
			Process:        rapid.StringN(0, 40, maxName).Draw(t, "process"),
			ConfigVersion:  rapid.Uint64().Draw(t, "version"),
			ServersVersion: rapid.Uint64().Draw(t, "servers"),
			Clock:          start.Add(time.Duration(rapid.Int64Range(-1e12, 1e12).Draw(t, "clock"))),
			Draining:       rapid.Bool().Draw(t, "draining"),
		}
		for range rapid.IntRange(0, 60).Draw(t, "loads") {
			report.Loads = append(report.Loads, chicoryrock.OpenLoad{
				KeyHash:      rapid.Uint32().Draw(t, "of"),
				Running:      rapid.IntRange(0, 1<<16-1).Draw(t, "running"),
				GapSensitive: rapid.IntRange(0, 1<<16-1).Draw(t, "fragile"),
				UnreadTokens: rapid.IntRange(0, 1<<32-1).Draw(t, "unread"),
			})
		}
		for range rapid.IntRange(0, maxReads).Draw(t, "reads") {
			report.CachedPrefixes = append(report.CachedPrefixes, chicoryrock.CachedPrefix{SessionHash: rapid.Uint32().Draw(t, "session"), ServerHash: rapid.Uint32().Draw(t, "server")})
		}
		got, err := Parse(report.Append(nil))
		require.NoError(t, err)
		require.Equal(t, report.Process, got.Process)
		require.True(t, report.Clock.Equal(got.Clock))
		require.Equal(t, []any{report.ConfigVersion, report.ServersVersion, report.Draining}, []any{got.ConfigVersion, got.ServersVersion, got.Draining})
		require.Equal(t, report.Loads, got.Loads)
		require.Equal(t, report.CachedPrefixes, got.CachedPrefixes)
		require.Equal(t, longSilence*time.Millisecond, got.StoreSilence, "it has not heard the store")
	})
}

func TestRubbishIsNoReport(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOfN(rapid.Byte(), 0, 80).Draw(t, "data")
		if report, err := Parse(data); err == nil {
			require.Equal(t, data, reencoded(data, &report))
		} else {
			require.ErrorIs(t, err, chicoryrock.ErrInvalid)
		}
	})
}

// reencoded writes a report that was read as it came: what the form has no place
// for is not compared.
func reencoded(data []byte, report *Report) []byte {
	again := report.Append(nil)
	at := 2 + len(report.Process) + 24
	copy(again[at:at+3], data[at:at+3])
	return again
}

func TestFleetForgetsTheSilent(t *testing.T) {
	fleet := Fleet{Self: "b"}
	fleet.Receive(start, start, &Report{Process: "a", ConfigVersion: 4, Clock: start, Loads: []chicoryrock.OpenLoad{{KeyHash: 1, Running: 2, UnreadTokens: 30}}})
	fleet.Receive(start.Add(time.Second), start, &Report{Process: "c", ConfigVersion: 6, Clock: start, Loads: []chicoryrock.OpenLoad{{KeyHash: 1, Running: 1, GapSensitive: 1}}})
	fleet.Receive(start, start, &Report{Process: "b", ConfigVersion: 9})
	now := start.Add(time.Second)
	require.Equal(t, []string{"a", "b", "c"}, fleet.Alive(now))
	require.Equal(t, chicoryrock.OpenLoad{KeyHash: 1, Running: 3, GapSensitive: 1, UnreadTokens: 30}, fleet.Loads(now)[1])
	require.Equal(t, []string{"c", "a"}, fleet.WithNewerConfig(now, 3), "the one heard last first")
	require.Equal(t, []string{"c"}, fleet.WithNewerConfig(now, 4))
	require.Empty(t, fleet.WithNewerConfig(now, 6))
	later := start.Add(2 * time.Second)
	require.Equal(t, 1, fleet.Loads(later)[1].Running, "what was open two seconds ago is not")
	require.Equal(t, []string{"b", "c"}, fleet.Alive(start.Add(aliveTime+500*time.Millisecond)))
}

// A brief report tells that its process lives and what is its newest. The loads
// that it told before hold for as long as they would without it.
func TestBriefReportKeepsLoads(t *testing.T) {
	fleet := Fleet{Self: "b"}
	full := Report{Process: "a", ConfigVersion: 4, Clock: start, Loads: []chicoryrock.OpenLoad{{KeyHash: 1, Running: 2}}}
	fleet.Receive(start, start, &full)
	brief, err := Parse((&Report{Process: "a", ConfigVersion: 5, Clock: start, OmitsLoads: true, Loads: full.Loads}).Append(nil))
	require.NoError(t, err)
	require.Empty(t, brief.Loads)
	later := start.Add(freshTime)
	fleet.Receive(later, start, &brief)
	require.Equal(t, []string{"a"}, fleet.WithNewerConfig(later, 4))
	require.Equal(t, 2, fleet.Loads(later)[1].Running)
	require.Empty(t, fleet.Loads(later.Add(time.Millisecond)))
}

func TestClockFollowsTheMost(t *testing.T) {
	cases := []struct {
		name   string
		others []time.Duration // their clocks, before this one
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

// During an outage of the store for all, nobody can write for another: asking each
// peer to try made 28 processes ask 27 times a second each.
func TestOnlyThoseThatHearTheStoreCanHelp(t *testing.T) {
	fleet := Fleet{Self: "me"}
	limit := 1700 * time.Millisecond
	fleet.Receive(start, start, &Report{Process: "b", Clock: start, StoreSilence: 5 * time.Second})
	fleet.Receive(start, start, &Report{Process: "c", Clock: start, StoreSilence: longSilence * time.Millisecond})
	require.Empty(t, fleet.WithStore(start, limit))
	fleet.Receive(start, start, &Report{Process: "d", Clock: start, StoreSilence: time.Second})
	fleet.Receive(start, start, &Report{Process: "a", Clock: start})
	require.Equal(t, []string{"a", "d"}, fleet.WithStore(start, limit))
}

func TestSilenceIsThatOfWhoHeardLast(t *testing.T) {
	fleet := Fleet{Self: "me"}
	_, found := fleet.StoreSilence(start)
	require.False(t, found)
	fleet.Receive(start, start, &Report{Process: "a", Clock: start, StoreSilence: longSilence * time.Millisecond})
	_, found = fleet.StoreSilence(start)
	require.False(t, found, "it has not heard the store either")
	fleet.Receive(start, start, &Report{Process: "b", Clock: start, StoreSilence: 3 * time.Second})
	fleet.Receive(start, start, &Report{Process: "c", Clock: start, StoreSilence: time.Second})
	silence, found := fleet.StoreSilence(start.Add(time.Second))
	require.True(t, found)
	require.Equal(t, 2*time.Second, silence)
}

func TestWatchedNeedsAFreshWatcher(t *testing.T) {
	fleet := Fleet{Self: "me"}
	limit := 1700 * time.Millisecond
	require.False(t, fleet.StoreWatched(start, limit))
	heard := Report{Process: "a", Clock: start, StoreSilence: time.Second}
	fleet.Receive(start, start, &heard)
	require.True(t, fleet.StoreWatched(start.Add(500*time.Millisecond), limit))
	require.False(t, fleet.StoreWatched(start.Add(800*time.Millisecond), limit), "its news is too old by now")
	heard.Draining = true
	fleet.Receive(start, start, &heard)
	require.False(t, fleet.StoreWatched(start, limit))
}
