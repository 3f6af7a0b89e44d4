// Package page draws reports as HTML pages that need no other file. It stands
// apart from the reports themselves so that only the operator's command links the
// plotting library, and not the processes that serve.
package page

import (
	"html/template"
	"io"
	"time"

	"github.com/go-analyze/charts"
	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock/internal/ops/burn"
	"github.com/chicoryrock/chicoryrock/internal/ops/cell"
)

const (
	plotWidth  = 900 // pixels
	plotHeight = 260 // pixels
	// maxLabels is how many times of day stand below a plot.
	maxLabels = 8
)

// burnTemplate holds the whole page. The plots are SVG within it.
var burnTemplate = template.Must(template.New("burn").Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Service-level burn</title>
<style>
body { font-family: sans-serif; margin: 2em; max-width: 70em; }
table { border-collapse: collapse; }
th, td { border-bottom: 1px solid #ccc; padding: 0.3em 0.8em; text-align: right; }
th:first-child, td:first-child { text-align: left; }
.alarm { background: #fdd; }
.note { background: #ffd; padding: 0.5em; }
</style>
</head>
<body>
<h1>Service-level burn</h1>
<p>{{.When}}, over {{.Period}}, from {{.Report.Processes}} processes.
A burn of 1 uses the error budget up exactly; more is too fast.</p>
{{range .Report.Notes}}<p class="note">{{.}}</p>
{{end}}<table>
<tr><th>class</th><th>tier</th><th>target</th><th>goal</th><th>attained</th><th>requests</th><th>budget used</th>
<th>burn {{.Long}}</th><th>burn {{.Short}}</th></tr>
{{range .Levels}}<tr{{if .Alarm}} class="alarm"{{end}}><td>{{.Class}}</td><td>{{.Tier}}</td><td>{{.Target}}</td><td>{{.Goal}}</td>
<td>{{.Attained}}</td><td>{{.Requests}}</td><td>{{.Used}}</td><td>{{printf "%.1f" .Long}}</td><td>{{printf "%.1f" .Short}}</td></tr>
{{end}}</table>
{{range .Levels}}<h2>{{.Class}}</h2>
{{if .Plot}}{{.Plot}}
<table>
<tr><th>workspace</th><th>requests</th><th>attained</th><th>bad</th><th>share of the budget used</th></tr>
{{range .Users}}<tr><td>{{.Workspace}}</td><td>{{.Requests}}</td><td>{{.Attained}}</td><td>{{.Bad}}</td><td>{{.Share}}</td></tr>
{{end}}</table>
{{else}}<p>No requests in the period.</p>
{{end}}{{end}}</body>
</html>
`))

// burnPage is what the template shows.
type burnPage struct {
	Report *burn.Report
	When   string
	Period string
	Long   string
	Short  string
	Levels []levelView
}

type levelView struct {
	Class, Target, Goal, Attained, Used string
	Tier                                int
	Requests                            int64
	Long, Short                         float64
	Alarm                               bool
	Plot                                template.HTML
	Users                               []userView
}

type userView struct {
	Workspace, Attained, Share string
	Requests, Bad              int64
}

// WriteBurn writes a burn report as one HTML page, with times of day in zone.
func WriteBurn(w io.Writer, report *burn.Report, zone *time.Location) error {
	view := burnPage{
		Report: report,
		When:   report.Now.In(zone).Format("2 January 2006 15:04 MST"),
		Period: burn.Spoken(report.Period),
		Long:   burn.Spoken(report.Long),
		Short:  burn.Spoken(report.Short),
	}
	for i := range report.Classes {
		level, err := newLevelView(&report.Classes[i], zone)
		if err != nil {
			return err
		}
		view.Levels = append(view.Levels, level)
	}
	return errors.Wrap(burnTemplate.Execute(w, view), "write the page")
}

func newLevelView(level *burn.Level, zone *time.Location) (levelView, error) {
	view := levelView{
		Class:    level.Class,
		Target:   level.Target(),
		Goal:     burn.Percent(level.Goal),
		Attained: level.Attained(),
		Used:     burn.Percent(level.Used),
		Tier:     level.Tier,
		Requests: level.Good + level.Bad,
		Long:     level.Long,
		Short:    level.Short,
		Alarm:    level.Alarm,
	}
	for _, user := range level.Users {
		view.Users = append(view.Users, userView{
			Workspace: user.Workspace,
			Attained:  burn.Percent(user.Attainment),
			Share:     burn.Percent(user.Share),
			Requests:  user.Good + user.Bad,
			Bad:       user.Bad,
		})
	}
	if len(level.Trend) == 0 {
		return view, nil
	}
	plot, err := plotBurn(level.Trend, zone)
	view.Plot = template.HTML(plot) //nolint:gosec // The library escapes the labels, and they are times of day only.
	return view, err
}

// plotBurn draws burn over time beside the line at which the budget lasts exactly.
func plotBurn(trend []burn.Point, zone *time.Location) ([]byte, error) {
	values := gapped(trend)
	limit := make([]float64, len(values))
	labels := make([]string, len(values))
	for i := range values {
		limit[i] = 1
		labels[i] = trend[0].Start.Add(time.Duration(i) * cell.Span).In(zone).Format("15:04")
	}
	option := charts.NewLineChartOptionWithData([][]float64{values, limit})
	option.XAxis.Labels = labels
	option.XAxis.LabelCount = min(maxLabels, len(labels))
	option.Legend.SeriesNames = []string{"burn", "budget lasts"}
	painter := charts.NewPainter(charts.PainterOptions{OutputFormat: charts.ChartOutputSVG, Width: plotWidth, Height: plotHeight})
	if err := painter.LineChart(option); err != nil {
		return nil, errors.Wrap(err, "draw a plot")
	}
	svg, err := painter.Bytes()
	return svg, errors.Wrap(err, "draw a plot")
}

// gapped returns one value for each cell from the first point to the last, and the
// plotting library's mark of a gap where there were no requests. Without the gaps
// the plot's axis of time would be uneven.
func gapped(trend []burn.Point) []float64 {
	var values []float64
	for _, point := range trend {
		for trend[0].Start.Add(time.Duration(len(values)) * cell.Span).Before(point.Start) {
			values = append(values, charts.GetNullValue())
		}
		values = append(values, point.Burn)
	}
	return values
}
