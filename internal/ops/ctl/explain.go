package ctl

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock/internal/ops/explain"
	"github.com/chicoryrock/chicoryrock/internal/ops/retell"
	"github.com/chicoryrock/chicoryrock/internal/serve/admin"
)

const (
	// defaultSpan is how far back a summary reaches when -from is left out.
	defaultSpan = time.Hour
	// dayClock is the short form of -from and -to, a time of the present day.
	dayClock = "15:04"
)

var explainCommand = Command{
	Name:    "explain",
	Args:    "[REF]",
	Summary: "tell why one request, or a class or workspace over a span, fared as it did",
	Run:     runExplain,
}

// explainFlags are what explain is asked for.
type explainFlags struct {
	admin     addresses
	log       *string
	json      *bool
	class     *string
	workspace *string
	from      *string
	to        *string
}

func runExplain(ctx context.Context, env *Env, args []string) int {
	set := newFlags("explain REF | explain -class NAME|-workspace NAME [-from TIME] [-to TIME]")
	flags := &explainFlags{
		log:       set.String("log", "", "file with the log of fronts, or - for standard input: tell the story from its lines, ask no process"),
		json:      set.Bool("json", false, "print JSON"),
		class:     set.String("class", "", "class to sum up"),
		workspace: set.String("workspace", "", "workspace to sum up"),
		from:      set.String("from", "", "begin of the span, such as 09:00 (today) or 2026-03-01T09:00:00Z; an hour before -to if left out"),
		to:        set.String("to", "", "end of the span; now if left out"),
	}
	set.Var(&flags.admin, "admin", "admin addresses of the entries, separated by commas; needed")
	positional, code, goOn := parseAny(env, set, args)
	if !goOn {
		return code
	}
	if *flags.log != "" {
		return flags.retell(env, positional)
	}
	if !expectAdmin(env, flags.admin) {
		return ExitUsage
	}
	named := *flags.class != "" || *flags.workspace != ""
	switch {
	case len(positional) == 1 && !named:
		return flags.one(ctx, env, positional[0])
	case len(positional) == 0 && named:
		return flags.span(ctx, env)
	default:
		_, _ = fmt.Fprintln(env.Err, "Give either one reference, or -class, -workspace or both.")
		return ExitUsage
	}
}

// retell tells the story of one request from a log.
func (f *explainFlags) retell(env *Env, positional []string) int {
	if len(positional) != 1 {
		_, _ = fmt.Fprintln(env.Err, "Give one reference with -log.")
		return ExitUsage
	}
	log, err := openLog(env, *f.log)
	if err != nil {
		_, _ = fmt.Fprintln(env.Err, err)
		return ExitUsage
	}
	defer func() { _ = log.Close() }()
	story, err := retell.Story(log, positional[0])
	if err != nil {
		_, _ = fmt.Fprintln(env.Err, err)
		return ExitNothing
	}
	for _, sentence := range story {
		_, _ = fmt.Fprintln(env.Out, sentence)
	}
	return ExitFine
}

// one tells the story of one request. Only the entry that took the request knows
// it, so a process that does not answer matters only when no other one knows.
func (f *explainFlags) one(ctx context.Context, env *Env, ref string) int {
	replies := askEach[explain.Record](ctx, f.admin, question{"/explain", url.Values{"ref": {ref}}, askTimeout})
	for _, one := range replies {
		if one.err != nil {
			continue
		}
		if *f.json {
			printJSON(env.Out, one.value)
		} else {
			printStory(env, one.value.Story(env.Now().Location()))
		}
		return ExitFine
	}
	return unexplained(env, replies)
}

// unexplained says why no process could tell the story. An expired record goes
// before the rest, since the other entries never had it.
func unexplained(env *Env, replies []reply[explain.Record]) int {
	var unknown, expired *admin.ProblemError
	var silent []reply[explain.Record]
	for _, one := range replies {
		var problem *admin.ProblemError
		switch {
		case !errors.As(one.err, &problem):
			silent = append(silent, one)
		case problem.Status == http.StatusGone:
			expired = problem
		default:
			unknown = problem
		}
	}
	if expired != nil {
		_, _ = fmt.Fprintln(env.Err, expired.Text)
		return ExitNothing
	}
	if len(silent) == 0 {
		_, _ = fmt.Fprintln(env.Err, unknown.Text)
		return ExitNothing
	}
	_, _ = fmt.Fprintf(env.Err, "None of the %s that answered knows this request, but not all were heard: no answer came from %s.\n",
		count(len(replies)-len(silent), "process"), strings.Join(missing(silent), ", "))
	return ExitFailed
}

// span sums up a class or workspace over all processes.
func (f *explainFlags) span(ctx context.Context, env *Env) int {
	from, to, err := f.times(env.Now())
	if err != nil {
		_, _ = fmt.Fprintln(env.Err, err)
		return ExitUsage
	}
	query := url.Values{
		"from":      {from.Format(time.RFC3339Nano)},
		"to":        {to.Format(time.RFC3339Nano)},
		"class":     {*f.class},
		"workspace": {*f.workspace},
	}
	replies := askEach[explain.Summary](ctx, f.admin, question{"/summary", query, reportTimeout})
	sum := explain.Summary{From: from, To: to, Class: *f.class, Workspace: *f.workspace}
	for _, one := range replies {
		if one.err == nil {
			sum.From, sum.To = one.value.From, one.value.To
			sum.Merge(one.value)
		}
	}
	return f.printSpan(env, sum, missing(replies))
}

// spanResult is what explain prints for a span with -json.
type spanResult struct {
	Summary explain.Summary `json:"summary"`
	Missing []string        `json:"missing"` // processes whose counts are not in it
}

func (f *explainFlags) printSpan(env *Env, sum explain.Summary, silent []string) int {
	switch {
	case *f.json:
		printJSON(env.Out, spanResult{sum, silent})
	case sum.Requests() > 0:
		printStory(env, sum.Story(env.Now().Location()))
	}
	warnPartial(env, silent, len(f.admin))
	switch {
	case len(silent) > 0:
		return ExitFailed
	case sum.Requests() == 0:
		_, _ = fmt.Fprintf(env.Err, "Nothing is known of this span: no such request ended that came between %s and %s.\n",
			sum.From.Format(time.RFC3339), sum.To.Format(time.RFC3339))
		return ExitNothing
	}
	return ExitFine
}

// times reads the span that is asked for.
func (f *explainFlags) times(now time.Time) (from, to time.Time, err error) {
	to = now
	if *f.to != "" {
		if to, err = readTime(*f.to, now); err != nil {
			return from, to, err
		}
	}
	from = to.Add(-defaultSpan)
	if *f.from != "" {
		if from, err = readTime(*f.from, now); err != nil {
			return from, to, err
		}
	}
	if !from.Before(to) {
		return from, to, errors.Errorf("The span is empty: -from (%s) must lie before -to (%s).", from.Format(time.RFC3339), to.Format(time.RFC3339))
	}
	return from, to, nil
}

// readTime reads a time in full, or a time of the present day in its zone.
func readTime(text string, now time.Time) (time.Time, error) {
	if clock, err := time.Parse(dayClock, text); err == nil {
		return time.Date(now.Year(), now.Month(), now.Day(), clock.Hour(), clock.Minute(), 0, 0, now.Location()), nil
	}
	full, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, errors.Errorf("%q is no time: write 09:00 for today, or 2026-03-01T09:00:00Z", text)
	}
	return full, nil
}

func printStory(env *Env, sentences []string) {
	for _, sentence := range sentences {
		_, _ = fmt.Fprintln(env.Out, sentence)
	}
}

// warnPartial names the processes that a report lacks.
func warnPartial(env *Env, silent []string, asked int) {
	if len(silent) > 0 {
		_, _ = fmt.Fprintf(env.Err, "%d of %s gave no answer: %s.\n", len(silent), count(asked, "process"), strings.Join(silent, ", "))
	}
}
