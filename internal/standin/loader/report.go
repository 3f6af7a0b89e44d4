package loader

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// Quantiles sums up a latency. In JSON the times are nanoseconds.
type Quantiles struct {
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50"`
	P95   time.Duration `json:"p95"`
	P99   time.Duration `json:"p99"`
	Max   time.Duration `json:"max"`
}

// Section is what became of the calls of one key, model and way, or of all calls
// of a way.
type Section struct {
	Way    Way            `json:"way"`
	All    bool           `json:"all"` // holds all calls of its way
	Key    string         `json:"key,omitempty"`
	Model  string         `json:"model,omitempty"`
	Calls  int            `json:"calls"`
	Whole  int            `json:"whole"`  // answers that were whole and their call's own
	Met    int            `json:"met"`    // whole answers within their call's targets
	Tokens int            `json:"tokens"` // of the whole answers
	Good   int            `json:"good"`   // tokens of the answers within their call's targets
	Counts map[string]int `json:"counts"` // by status and reason, e.g. "503 late"; status 0 means no answer
	Faults map[string]int `json:"faults"` // by kind, of the answers that were not whole or not their call's own
	First  Quantiles      `json:"first"`  // to the first token of a stream
	Gap    Quantiles      `json:"gap"`    // between the tokens of a stream
	End    Quantiles      `json:"end"`    // to the end of the answer
}

// Added is the latency of the system less that of the direct way, in one run.
type Added struct {
	First Difference `json:"first"`
	Gap   Difference `json:"gap"`
	End   Difference `json:"end"`
}

// Difference is a difference of quantiles. In JSON the times are nanoseconds.
type Difference struct {
	P50 time.Duration `json:"p50"`
	P99 time.Duration `json:"p99"`
}

// Report is the result of a run.
type Report struct {
	Sections []Section     `json:"sections"`
	Added    *Added        `json:"added,omitempty"` // only with a direct way
	Sent     Quantiles     `json:"sent"`            // how late calls were sent
	Unsent   int           `json:"unsent"`          // calls left out because too many were open or the time was up
	Span     time.Duration `json:"span"`            // of the whole run
}

// Report sums up the outcomes so far.
func (t *Tally) Report() Report {
	var report Report
	if t.sent == nil {
		return report
	}
	report.Sent = quantiles(t.sent)
	for _, sum := range t.sums {
		report.Sections = append(report.Sections, sum.section())
	}
	for _, way := range []Way{System, Direct} {
		if t.total[way] != nil {
			section := t.total[way].section()
			section.All = true
			report.Sections = append(report.Sections, section)
		}
	}
	system, direct := t.total[System], t.total[Direct]
	if system != nil && direct != nil {
		report.Added = &Added{
			First: difference(system.first, direct.first),
			Gap:   difference(system.gap, direct.gap),
			End:   difference(system.end, direct.end),
		}
	}
	return report
}

func (s *sum) section() Section {
	return Section{
		Way:    s.way,
		Key:    s.key,
		Model:  s.model,
		Calls:  s.calls,
		Whole:  s.whole,
		Met:    s.met,
		Tokens: s.tokens,
		Good:   s.good,
		Counts: maps.Clone(s.counts),
		Faults: maps.Clone(s.faults),
		First:  quantiles(s.first),
		Gap:    quantiles(s.gap),
		End:    quantiles(s.end),
	}
}

func quantiles(histogram *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		Count: histogram.TotalCount(),
		P50:   at(histogram, 50),
		P95:   at(histogram, 95),
		P99:   at(histogram, 99),
		Max:   time.Duration(histogram.Max()) * time.Microsecond,
	}
}

func difference(system, direct *hdrhistogram.Histogram) Difference {
	return Difference{
		P50: at(system, 50) - at(direct, 50),
		P99: at(system, 99) - at(direct, 99),
	}
}

func at(histogram *hdrhistogram.Histogram, percentile float64) time.Duration {
	return time.Duration(histogram.ValueAtPercentile(percentile)) * time.Microsecond
}

// Faults returns the number of answers that were not whole or not their call's
// own, over both ways.
func (r Report) Faults() int {
	count := 0
	for _, section := range r.Sections {
		if !section.All {
			continue
		}
		for _, n := range section.Faults {
			count += n
		}
	}
	return count
}

// Write prints the report as a table.
func (r Report) Write(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row(table, "way", "key", "model", "calls", "whole", "met", "tokens", "good", "first p50/p95/p99", "gap p50/p95/p99", "end p50/p95/p99", "statuses", "faults")
	for _, s := range r.Sections {
		key := s.Key
		if s.All {
			key = "(all)"
		}
		row(table, string(s.Way), key, s.Model, fmt.Sprint(s.Calls), fmt.Sprint(s.Whole), s.share(), fmt.Sprint(s.Tokens), fmt.Sprint(s.Good),
			s.First.String(), s.Gap.String(), s.End.String(), list(s.Counts), list(s.Faults))
	}
	if err := table.Flush(); err != nil {
		return errors.WithStack(err)
	}
	if r.Added != nil {
		_, _ = fmt.Fprintf(out, "added by the system: first p50 %v p99 %v, gap p50 %v p99 %v, end p50 %v p99 %v\n",
			r.Added.First.P50, r.Added.First.P99, r.Added.Gap.P50, r.Added.Gap.P99, r.Added.End.P50, r.Added.End.P99)
	}
	_, err := fmt.Fprintf(out, "calls sent late by: %v; calls not sent: %d; run: %v\n",
		r.Sent, r.Unsent, r.Span.Round(time.Millisecond))
	return errors.WithStack(err)
}

// share returns the share of the calls, refused ones included, whose targets were
// met, e.g. "98.50%".
func (s Section) share() string {
	return fmt.Sprintf("%.2f%%", 100*float64(s.Met)/float64(max(1, s.Calls)))
}

// String returns e.g. "20ms/31ms/40ms", or "-" without a value.
func (q Quantiles) String() string {
	if q.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%v/%v/%v", q.P50, q.P95, q.P99)
}

func row(table io.Writer, cells ...string) {
	_, _ = fmt.Fprintln(table, strings.Join(cells, "\t"))
}

// list returns e.g. "200:5 503 late:2".
func list(counts map[string]int) string {
	parts := make([]string, 0, len(counts))
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s:%d", name, counts[name]))
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, ", ")
}
