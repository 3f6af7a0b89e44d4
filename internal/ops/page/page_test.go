package page

import (
	"bytes"
	"encoding/xml"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/go-analyze/charts"
	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/internal/ops/burn"
	"github.com/chicoryrock/chicoryrock/internal/ops/cell"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

var start = time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)

func draw(t *testing.T, minutes int) string {
	t.Helper()
	counter := &burn.Counter{Process: "e1"}
	for i := range minutes {
		at := start.Add(-time.Duration(i) * time.Minute)
		counter.Add(at, "quote", "<b>hanoi", burn.VerdictBad)
		counter.Add(at, "quote", "saigon", burn.VerdictGood)
	}
	var book burn.Book
	book.Merge(counter.Snapshot(start.Add(-burn.DefaultPeriod)))
	report, err := book.Report(start, burn.Terms{
		Classes: []object.Class{{Name: "quote", Tier: 1, Goal: 0.95}, {Name: "sheet & price", Tier: 2, Goal: 0.9}},
		Missing: []string{"e2"},
	})
	require.NoError(t, err)
	var out bytes.Buffer
	require.NoError(t, WriteBurn(&out, report, time.UTC))
	return out.String()
}

func TestWriteBurn(t *testing.T) {
	text := draw(t, 60)
	for _, want := range []string{
		"1 March 2026 09:00 UTC", "no answer came from e2.", "act now", `class="alarm"`,
		"&lt;b&gt;hanoi", "sheet &amp; price", "100.0%", "No requests in the period.", ">08:00<", ">burn<",
	} {
		require.Contains(t, text, want)
	}
	require.Equal(t, 1, strings.Count(text, "<svg"), "one plot for each class with requests")
	plot := text[strings.Index(text, "<svg") : strings.Index(text, "</svg>")+len("</svg>")]
	require.NoError(t, xml.Unmarshal([]byte(plot), new(struct{})))
}

func TestPageNeedsNoOtherFile(t *testing.T) {
	text := strings.ReplaceAll(draw(t, 60), "http://www.w3.org/", "")
	outside := regexp.MustCompile(`(?i)https?://|<script|<link|@import|\bsrc=|\bhref=|url\(`)
	require.Empty(t, outside.FindAllString(text, -1))
}

func TestPlotOfOnePoint(t *testing.T) {
	require.Contains(t, draw(t, 1), "<svg")
}

func TestPlotKeepsTimeEven(t *testing.T) {
	gap := charts.GetNullValue()
	trend := []burn.Point{{Start: start, Burn: 1}, {Start: start.Add(cell.Span), Burn: 2}, {Start: start.Add(4 * cell.Span), Burn: 3}}
	require.Equal(t, []float64{1, 2, gap, gap, 3}, gapped(trend))
}
