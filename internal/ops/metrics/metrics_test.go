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
			`requests_total{class="quote",outcome="refused",reason="late",workspace="hanoi"} 1`},
		{func(m *Metrics) { m.Request(Ended{"", "", chicoryrock.OutcomeRefused, chicoryrock.ReasonUnknownKey}) },
			`requests_total{class="none",outcome="refused",reason="unknown-key",workspace="none"} 1`},
		{func(m *Metrics) { m.Verdict("quote", false) }, `objective_requests_total{class="quote",verdict="bad"} 1`},
		{func(m *Metrics) { m.Verdict("quote", true) }, `objective_requests_total{class="quote",verdict="good"} 1`},
		{func(m *Metrics) { m.Goal("quote", 0.95) }, `objective_goal_ratio{class="quote"} 0.95`},
		{func(m *Metrics) { m.First("quote", 400*time.Millisecond) }, `first_token_seconds_bucket{class="quote",le="0.4"} 1`},
		{func(m *Metrics) { m.First("quote", 401*time.Millisecond) }, `first_token_seconds_bucket{class="quote",le="0.4"} 0`},
		{func(m *Metrics) { m.Gap("quote", 50*time.Millisecond) }, `token_gap_seconds_bucket{class="quote",le="0.05"} 1`},
		{func(m *Metrics) { m.Queue("lens", 2, 7) }, `queue_length{pool="lens",tier="2"} 7`},
		{func(m *Metrics) { m.Running("lens", 3) }, `running_requests{pool="lens"} 3`},
		{func(m *Metrics) { m.Used("quote", "hanoi", Tokens{Prompt: 5, Output: 4, Wasted: 3}) },
			`tokens_total{class="quote",kind="wasted",workspace="hanoi"} 3`},
		{func(m *Metrics) { m.Across("hanoi", "saigon", 9) }, `region_bytes_total{from="hanoi",to="saigon"} 9`},
		{func(m *Metrics) { m.Retry("quote") }, `retries_total{class="quote"} 1`},
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

func TestLabelsStayBounded(t *testing.T) {
	m := newMetrics()
	var group sync.WaitGroup
	for worker := range 4 {
		group.Go(func() {
			for i := range maxWorkspaces {
				m.Request(Ended{Class: fmt.Sprint(i), Workspace: fmt.Sprint(worker, i), Outcome: chicoryrock.OutcomeServed})
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

func TestForgetFreesAPlace(t *testing.T) {
	m := newMetrics()
	for i := range maxWorkspaces {
		m.Request(Ended{Workspace: fmt.Sprint("w", i)})
	}
	m.Used("quote", "w0", Tokens{Prompt: 1})
	m.Forget("w0")
	require.NotContains(t, strings.Join(scrape(t, m), "\n"), `workspace="w0"`)
	m.Request(Ended{Workspace: "new"})
	m.Forget(valueOther)
	require.Contains(t, strings.Join(scrape(t, m), "\n"), `workspace="new"`)
}
