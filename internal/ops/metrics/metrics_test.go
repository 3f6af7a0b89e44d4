package metrics

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
)

var start = time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)

func newMetrics() *Metrics { return New(func() time.Time { return start }) }

// scrape returns the lines of our own series.
func scrape(t *testing.T, m *Metrics) []string {
	t.Helper()
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	require.Equal(t, http.StatusOK, recorder.Code)
	var own []string
	for line := range strings.Lines(recorder.Body.String()) {
		if strings.HasPrefix(line, namespace) {
			own = append(own, strings.TrimSpace(line))
		}
	}
	return own
}

func TestSeries(t *testing.T) {
	cases := []struct {
		act  func(*Metrics)
		want string
	}{
		{func(m *Metrics) {
			m.Request(Ended{"quote", "hanoi", chicoryrock.OutcomeRefused, chicoryrock.ReasonLate})
		},
			`requests_total{class="quote",outcome="refused",reason="late"} 1`},
		{func(m *Metrics) { m.Request(Ended{"", "", chicoryrock.OutcomeRefused, chicoryrock.ReasonUnknownKey}) },
			`requests_total{class="none",outcome="refused",reason="unknown-key"} 1`},
		{func(m *Metrics) {
			m.Request(Ended{"quote", "hanoi", chicoryrock.OutcomeRefused, chicoryrock.ReasonSuspect})
		},
			`workspace_incidents_total{incident="suspect",workspace="hanoi"} 1`},
		{func(m *Metrics) {
			m.Request(Ended{"quote", "hanoi", chicoryrock.OutcomeUnknown, chicoryrock.ReasonClaimed})
		},
			`workspace_incidents_total{incident="unknown",workspace="hanoi"} 1`},
		{func(m *Metrics) { m.Verdict("quote", false) }, `objective_requests_total{class="quote",verdict="bad"} 1`},
		{func(m *Metrics) { m.Verdict("quote", true) }, `objective_requests_total{class="quote",verdict="good"} 1`},
		{func(m *Metrics) { m.Goal("quote", 0.95) }, `objective_goal_ratio{class="quote"} 0.95`},
		{func(m *Metrics) { m.First("quote", 400*time.Millisecond) }, `first_token_seconds_bucket{class="quote",le="0.4"} 1`},
		{func(m *Metrics) { m.First("quote", 401*time.Millisecond) }, `first_token_seconds_bucket{class="quote",le="0.4"} 0`},
		{func(m *Metrics) { m.Gap("quote", 50*time.Millisecond) }, `token_gap_seconds_bucket{class="quote",le="0.05"} 1`},
		{func(m *Metrics) { m.Queue("lens", 2, 7) }, `queue_length{pool="lens",tier="2"} 7`},
		{func(m *Metrics) { m.Running("lens", 3) }, `running_requests{pool="lens"} 3`},
		{func(m *Metrics) { m.Used("quote", Tokens{Prompt: 5, Output: 4, Wasted: 3}) },
			`tokens_total{class="quote",kind="wasted"} 3`},
		{func(m *Metrics) { m.Across("hanoi", "saigon", 9) }, `region_bytes_total{from="hanoi",to="saigon"} 9`},
		{func(m *Metrics) { m.Retry("quote") }, `retries_total{class="quote"} 1`},
		{func(m *Metrics) { m.Hedge("quote") }, `hedges_total{class="quote"} 1`},
		{func(m *Metrics) { m.Foreign("quote") }, `foreign_answers_total{class="quote"} 1`},
		{func(m *Metrics) { m.HedgeWon("quote") }, `hedges_won_total{class="quote"} 1`},
		{func(m *Metrics) { m.Wait("quote", 250*time.Millisecond) }, `wait_seconds_bucket{class="quote",le="0.3"} 1`},
		{func(m *Metrics) { m.Budget("lens", 4.5) }, `retry_budget_left{pool="lens"} 4.5`},
		{func(m *Metrics) { m.Prompt("lens", 700, 300) }, `prompt_tokens_total{kind="kept",pool="lens"} 300`},
		{func(m *Metrics) { m.Call("watch", true) }, `store_calls_total{kind="watch",outcome="failed"} 1`},
		{func(m *Metrics) { m.Window(true) }, `usage_windows_total{outcome="late"} 1`},
		{func(m *Metrics) { m.Servers(1500 * time.Millisecond) }, `servers_age_seconds 1.5`},
		{func(m *Metrics) { m.Duty("usage", true); m.Duty("usage", false) }, `duty_held{duty="usage"} 0`},
		{func(m *Metrics) { m.Configuration(7, start) }, `configuration_revision 7`},
		{func(m *Metrics) { m.Configuration(7, start.Add(-17*time.Second)) }, `configuration_age_seconds 17`},
		{func(*Metrics) {}, `configuration_age_seconds -1`},
	}
	for _, c := range cases {
		m := newMetrics()
		c.act(m)
		require.Contains(t, scrape(t, m), namespace+"_"+c.want)
	}
}

// incident is the end of a request of a workspace that calls for someone to act.
func incident(class, workspace string) Ended {
	return Ended{class, workspace, chicoryrock.OutcomeUnknown, chicoryrock.ReasonUnknownOutcome}
}

func TestLabelsStayBounded(t *testing.T) {
	m := newMetrics()
	const names = 1000
	var group sync.WaitGroup
	for worker := range 4 {
		group.Go(func() {
			for i := range names {
				m.Request(incident(fmt.Sprint(i), fmt.Sprint(worker, i)))
			}
		})
	}
	group.Wait()
	lines := strings.Join(scrape(t, m), "\n")
	require.Contains(t, lines, `class="other"`)
	require.Contains(t, lines, `workspace="other"`)
	require.Len(t, m.workspaces.known, maxWorkspaces)
	require.Len(t, m.classes.known, maxNames)
}

// TestScrapeDoesNotGrowWithWorkspaces serves one workspace and then many.
func TestScrapeDoesNotGrowWithWorkspaces(t *testing.T) {
	m := newMetrics()
	var sizes []int
	for _, workspaces := range []int{1, 570} {
		for i := range workspaces {
			m.Request(Ended{"quote", fmt.Sprint("w", i), chicoryrock.OutcomeServed, chicoryrock.ReasonNone})
			m.Used("quote", Tokens{Prompt: 1, Output: 1})
			m.Verdict("quote", true)
		}
		sizes = append(sizes, len(scrape(t, m)))
	}
	require.Equal(t, sizes[0], sizes[1])
}

func TestKeepFreesPlaces(t *testing.T) {
	m := newMetrics()
	for i := range maxWorkspaces {
		m.Request(incident("quote", fmt.Sprint("w", i)))
	}
	m.Keep(func(workspace string) bool { return workspace != "w0" })
	lines := strings.Join(scrape(t, m), "\n")
	require.NotContains(t, lines, `workspace="w0"`)
	require.Contains(t, lines, `workspace="w1"`)
	m.Request(incident("quote", "new"))
	require.Contains(t, strings.Join(scrape(t, m), "\n"), `workspace="new"`)
}
