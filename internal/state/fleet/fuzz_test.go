package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
)

// Parse rejects a datagram, or returns a report that survives another round trip.
func FuzzParse(f *testing.F) {
	now := time.Unix(1_767_000_000, 0)
	report := Report{
		Process: "front-a-1", Sent: now, LastStoreAnswer: now, Clock: now, ConfigVersion: 7, ServersVersion: 9,
		Loads: []chicoryrock.OpenLoad{{KeyHash: 1, Open: 2, GapSensitive: 1, UnreadTokens: 300}}, CachedPrefixes: []chicoryrock.CachedPrefix{{SessionHash: 1, ServerHash: 2}},
	}
	whole := report.Append(nil)
	report.OmitsLoads = true
	for _, seed := range [][]byte{whole, report.Append(nil), whole[:len(whole)-3], append(whole, 1), {formatVersion}, {formatVersion, 255}, nil} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := Parse(data)
		if err != nil {
			require.ErrorIs(t, err, chicoryrock.ErrInvalid)
			return
		}
		again, err := Parse(got.Append(nil))
		require.NoError(t, err)
		require.Equal(t, got.Process, again.Process)
		require.Equal(t, got.Loads, again.Loads)
		require.Equal(t, got.CachedPrefixes, again.CachedPrefixes)
		fleet := Fleet{Self: "me"}
		fleet.Receive(now, now, &got)
		fleet.Loads(now)
		fleet.Alive(now)
		fleet.ClockOffset(now)
	})
}
