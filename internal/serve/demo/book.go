package demo

import (
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/serve/local"
	"github.com/chicoryrock/chicoryrock/internal/serve/pause"
	"github.com/chicoryrock/chicoryrock/internal/standin/loader"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

// line counts what became of the calls of one class and workspace.
type line struct {
	calls    int
	attained int // whole, first token and mean gap within the targets
	refused  int
	broken   int
	goodput  int // tokens of attained answers
	wasted   int // tokens of late, slow or broken answers
	reasons  map[string]int
}

type lineKey struct{ class, workspace string }

// book keeps the outcomes of the run.
type book struct {
	table *object.Table

	mu      sync.Mutex
	lines   map[lineKey]*line
	refused string // reference of a refused request, to be explained
	notes   []string
	ended   int
}

func newBook(system *local.System) *book {
	return &book{table: system.Entries[0].Table(), lines: make(map[lineKey]*line)}
}

// add takes in one outcome of the load tool.
func (b *book) add(outcome loader.Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended++
	class := b.classOf(outcome)
	l := b.line(lineKey{class: class.Name, workspace: outcome.Key})
	l.calls++
	switch {
	case outcome.Status != http.StatusOK:
		l.refused++
		l.reasons[outcome.Reason]++
		if b.refused == "" && outcome.Reason != "" {
			b.refused = outcome.Ref
		}
	case outcome.Err != nil:
		l.broken++
		l.wasted += outcome.Tokens
	case attained(class, outcome):
		l.attained++
		l.goodput += outcome.Tokens
	default:
		l.wasted += outcome.Tokens
	}
}

func (b *book) classOf(outcome loader.Outcome) *object.Class {
	route, err := b.table.Model(outcome.Model, outcome.Key)
	if err != nil {
		return &object.Class{Name: "unknown"}
	}
	return b.table.Class(route.Class)
}

func (b *book) line(key lineKey) *line {
	l, found := b.lines[key]
	if !found {
		l = &line{reasons: make(map[string]int)}
		b.lines[key] = l
	}
	return l
}

func attained(class *object.Class, outcome loader.Outcome) bool {
	if outcome.First > class.First {
		return false
	}
	if len(outcome.Gaps) == 0 {
		return true
	}
	return (outcome.Whole-outcome.First)/time.Duration(len(outcome.Gaps)) <= class.Token
}

func (b *book) note(text string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.notes = append(b.notes, text)
}

// progress writes a line each second until the context ends.
func (b *book) progress(ctx context.Context, out io.Writer) {
	begin := time.Now()
	pause.Every(ctx, progressInterval, func(now time.Time) { b.writeProgress(out, now.Sub(begin)) })
}

func (b *book) writeProgress(out io.Writer, elapsed time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	refused := 0
	for _, l := range b.lines {
		refused += l.refused
	}
	sayf(out, "%4.0f s  %4d ended  %4d refused  %s\n", elapsed.Seconds(), b.ended, refused, strings.Join(b.notes, "; "))
	b.notes = nil
}

// write prints the report: a row for each class and workspace, then the cost.
func (b *book) write(out io.Writer, elapsed time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	sayf(out, "\n")
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	sayf(table, "class\tworkspace\tcalls\tattained\tgoodput tok/s\twasted tok\trefused\tbroken\treasons\n")
	keys := slices.SortedFunc(maps.Keys(b.lines), func(x, y lineKey) int {
		return strings.Compare(x.class+x.workspace, y.class+y.workspace)
	})
	for _, key := range keys {
		l := b.lines[key]
		sayf(table, "%s\t%s\t%d\t%.1f%%\t%.0f\t%d\t%d\t%d\t%s\n", key.class, key.workspace, l.calls,
			100*float64(l.attained)/float64(l.calls), float64(l.goodput)/elapsed.Seconds(), l.wasted, l.refused, l.broken, reasonList(l.reasons))
	}
	// The terminal may have been closed by its owner.
	_ = table.Flush()
	pool := b.table.Pool(poolName)
	cost := float64(engineCount) * pool.Cost * elapsed.Hours()
	sayf(out, "\ncost: %d backend servers for %.0f s at %.2f an hour: %.4f\n", engineCount, elapsed.Seconds(), pool.Cost, cost)
}

func reasonList(reasons map[string]int) string {
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(reasons)) {
		name := reason
		if name == "" {
			name = "no answer"
		}
		parts = append(parts, name)
	}
	return strings.Join(parts, ", ")
}

// explain tells the story of one refused request in plain words.
func (b *book) explain(out io.Writer, system *local.System) error {
	if b.refused == "" {
		sayf(out, "\nno request was refused\n")
		return nil
	}
	for _, entry := range system.Entries {
		record, err := entry.Explain(b.refused)
		if errors.Is(err, chicoryrock.ErrNotFound) {
			continue
		}
		if err != nil {
			return err
		}
		sayf(out, "\nchicoryctl explain %s\n", b.refused)
		for _, sentence := range record.Story(time.Local) {
			sayf(out, "  %s\n", sentence)
		}
		return nil
	}
	return errors.Wrapf(chicoryrock.ErrNotFound, "request %s", b.refused)
}
