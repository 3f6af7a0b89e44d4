package transfer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/standin/property"
	"github.com/chicoryrock/chicoryrock/internal/state/routing"
)

func TestMain(m *testing.M) { property.Run(m, property.Size{}) }

// tableOf returns a table whose text has elements of a version; each element is the same in
// all versions but the ones at its multiples.
func tableOf(version uint64, elements int) *routing.Table {
	list := make([]string, elements)
	for i := range list {
		list[i] = fmt.Sprintf(`{"name":"r-%d","pad":"%s"}`, i, strings.Repeat("x", 40+i%200))
		if i > 0 && uint64(i)%(50*version) == 0 {
			list[i] = fmt.Sprintf(`{"name":"r-%d-%d"}`, i, version)
		}
	}
	raw := []byte(fmt.Sprintf(`{"version":%d,"routes":[%s]}`, version, strings.Join(list, ",")))
	return &routing.Table{Version: version, Raw: raw, Parts: routing.Split(raw)}
}

// Peers that fail at any moment, that have other versions and versions that come in series
// never make a process ask twice for what has arrived.
func TestNothingThatHasArrivedIsAskedForAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tables []*routing.Table
		for version := range rapid.IntRange(1, 4).Draw(t, "versions") {
			tables = append(tables, tableOf(uint64(version+1), rapid.IntRange(1, 900).Draw(t, "elements")))
		}
		var c Collector
		arrived := make(map[routing.PartDigest]bool)
		newest := 0
		require.NoError(t, c.Start(ManifestOf(tables[0]), nil))
		for calls := 0; c.Missing() > 0; calls++ {
			require.Less(t, calls, 2000)
			if newest < len(tables)-1 && rapid.IntRange(0, 9).Draw(t, "a newer version") == 0 {
				newest++
				require.NoError(t, c.Start(ManifestOf(tables[newest]), nil))
			}
			wanted := c.Wanted()
			if rapid.IntRange(0, 3).Draw(t, "fails") == 0 {
				c.Called(400*time.Millisecond, false)
				continue
			}
			peer := tables[rapid.IntRange(0, newest).Draw(t, "peer")]
			brought := false
			for i := range peer.Parts {
				for _, digest := range wanted {
					if digest == peer.Parts[i].Digest && c.Add(peer.Parts[i].Data) {
						require.False(t, arrived[digest] && len(tables) == 1, "a part came twice")
						arrived[digest], brought = true, true
					}
				}
			}
			c.Called(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms"))*time.Millisecond, brought)
		}
		text, whole := c.Text()
		require.True(t, whole)
		require.Equal(t, tables[newest].Raw, text)
	})
}

func TestSharedPartsAreTakenFromTheTableInForce(t *testing.T) {
	before, after := tableOf(3, 900), tableOf(4, 900)
	var c Collector
	require.NoError(t, c.Start(ManifestOf(after), before))
	require.Positive(t, c.Missing())
	require.Less(t, c.Missing(), len(after.Raw)*3/4)
	require.False(t, c.Add([]byte("other")))
	for i := range after.Parts {
		c.Add(after.Parts[i].Data)
	}
	text, whole := c.Text()
	require.True(t, whole)
	require.Equal(t, after.Raw, text)
	c.Stop()
	_, whole = c.Text()
	require.False(t, whole)
	require.Zero(t, c.Version())
}

func TestBatchesFollowTheTimeOfCalls(t *testing.T) {
	var c Collector
	require.NoError(t, c.Start(ManifestOf(tableOf(1, 4000)), nil))
	first := len(c.Wanted())
	c.Called(time.Millisecond, true)
	more := len(c.Wanted())
	require.Greater(t, more, first)
	for range 40 {
		c.Called(time.Second, false)
	}
	require.Len(t, c.Wanted(), 1, "one part at least")
}

func TestManifestsAreBounded(t *testing.T) {
	cases := []struct {
		name     string
		manifest Manifest
	}{
		{"no version", Manifest{Parts: []PartRef{{Length: 1}}}},
		{"no parts", Manifest{Version: 1}},
		{"negative", Manifest{Version: 1, Parts: []PartRef{{Length: -1}, {Length: 5}}}},
		{"too long", Manifest{Version: 1, Parts: []PartRef{{Length: maxConfig}, {Length: 1}}}},
	}
	for _, c := range cases {
		var collector Collector
		require.ErrorIs(t, collector.Start(c.manifest, nil), chicoryrock.ErrInvalid, c.name)
		require.Empty(t, collector.Wanted())
	}
}
