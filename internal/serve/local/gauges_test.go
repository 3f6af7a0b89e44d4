package local

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/internal/serve/wire"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

// scrape returns the lines of an entry's series.
func (s *System) scrape(t *testing.T, entry int) []string {
	t.Helper()
	response, err := http.Get("http://" + s.Entries[entry].AdminAddress().String() + "/metrics")
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return strings.Split(string(content), "\n")
}

// TestGauges lets one request run and one wait, and then ends both.
func TestGauges(t *testing.T) {
	set := twoWorkspaces()
	set.Pools[0].Slots = 1
	system := startSystem(t, set, oneCentre)
	system.expectGauges(t, `running_requests{pool="garland"} 0`, `queue_length{pool="garland",tier="1"} 0`)
	running := system.open(t, hawkerKey, "400")
	waiting := system.complete(rivalKey, "1")
	system.expectGauges(t, `running_requests{pool="garland"} 1`, `queue_length{pool="garland",tier="1"} 1`)
	require.NoError(t, running.rest())
	require.NoError(t, (<-waiting).err)
	system.expectGauges(t, `running_requests{pool="garland"} 0`, `queue_length{pool="garland",tier="1"} 0`)
}

// expectGauges waits until the first entry's scrape has all lines.
func (s *System) expectGauges(t *testing.T, lines ...string) {
	t.Helper()
	require.Eventually(t, func() bool {
		page := s.scrape(t, 0)
		for _, line := range lines {
			if !slices.Contains(page, "chicoryrock_"+line) {
				return false
			}
		}
		return true
	}, safetyLimit, time.Millisecond)
}

// TestWaitIsExplained lets a request run, one of its tier wait for the slot, and
// one of a lower tier wait for both.
func TestWaitIsExplained(t *testing.T) {
	set := twoWorkspaces()
	set.Pools[0].Slots = 1
	set.Pools[0].File = "pools.yaml"
	set.Classes = append(set.Classes, object.Class{Name: "sheets", Tier: 3, First: 20 * time.Second, Token: time.Second, Goal: 0.95, File: "classes.yaml"})
	set.Routes = append(set.Routes, object.Route{Name: "sheets", Model: "rose", Class: "sheets", Pools: []string{"garland"}, Repeat: true})
	system := startSystem(t, set, oneCentre)
	running := system.open(t, hawkerKey, "400")
	second := system.complete(rivalKey, "1")
	system.expectGauges(t, `queue_length{pool="garland",tier="1"} 1`)
	third := make(chan answer, 1)
	go func() { third <- system.completionOf("rose", hawkerKey, "1") }()
	system.expectGauges(t, `queue_length{pool="garland",tier="3"} 1`)
	require.NoError(t, running.rest())

	expect := func(response *http.Response, part string) {
		t.Helper()
		record, err := system.Entries[0].Explain(response.Header.Get(wire.RequestID))
		require.NoError(t, err)
		require.Contains(t, strings.Join(record.Story(time.UTC), "\n"), part)
	}
	record, err := system.Entries[0].Explain(running.response.Header.Get(wire.RequestID))
	require.NoError(t, err)
	require.NotContains(t, strings.Join(record.Story(time.UTC), "\n"), "had to wait")
	expect((<-second).response, "because every place on the backend servers was in use, as set by pool garland in pools.yaml.")
	expect((<-third).response, "because requests of a higher tier go first; 1 request went first, as set by class sheets in classes.yaml.")
}

// TestBytesAcross counts what goes to a region that has the only backend server,
// and nothing for one nearby.
func TestBytesAcross(t *testing.T) {
	near := startSystem(t, twoWorkspaces(), oneCentre)
	require.NoError(t, near.open(t, hawkerKey, "3").rest())
	require.NotContains(t, strings.Join(near.scrape(t, 0), "\n"), "region_bytes_total{")
	far := startSystem(t, twoWorkspaces(),
		Centre{Name: "hoan-kiem", Region: "hanoi", Entries: 1, Plains: 1},
		Centre{Name: "quan-1", Region: "saigon", Entries: 1, Engines: 1})
	require.Eventually(t, func() bool {
		answer := far.completion(hawkerKey, "3")
		return answer.err == nil && answer.response.StatusCode == http.StatusOK
	}, safetyLimit, time.Millisecond)
	lines := strings.Join(far.scrape(t, 0), "\n")
	require.Contains(t, lines, `chicoryrock_region_bytes_total{from="hanoi",to="saigon"}`)
	require.Contains(t, lines, `chicoryrock_region_bytes_total{from="saigon",to="hanoi"}`)
}
