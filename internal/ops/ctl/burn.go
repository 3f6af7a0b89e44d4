package ctl

import (
	"bytes"
	"context"
	"fmt"
	"net/url"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/burn"
	"github.com/chicoryrock/chicoryrock/internal/ops/page"
)

// pageMode is the mode of a written page: whoever may look at reports may read it.
const pageMode = 0o644

var burnCommand = Command{
	Name:    "burn",
	Summary: "report each class's service level and who uses its error budget",
	Run:     runBurn,
}

// burnFlags are what burn is asked for.
type burnFlags struct {
	admin addresses
	json  *bool
	html  *string
	terms burn.Terms
}

func runBurn(ctx context.Context, env *Env, args []string) int {
	set := newFlags("burn")
	flags := &burnFlags{
		json: set.Bool("json", false, "print JSON"),
		html: set.String("html", "", "also write one self-contained HTML page to this `FILE`"),
	}
	set.Var(&flags.admin, "admin", "admin addresses of the entries, separated by commas; needed")
	set.DurationVar(&flags.terms.Period, "period", burn.DefaultPeriod, "span over which the error budget is reckoned")
	set.DurationVar(&flags.terms.Long, "long", burn.DefaultLong, "long span of burn")
	set.DurationVar(&flags.terms.Short, "short", burn.DefaultShort, "short span of burn")
	if _, code, goOn := parse(env, set, args, 0); !goOn {
		return code
	}
	if !expectAdmin(env, flags.admin) || !expectPeriod(env, flags.terms.Period) {
		return ExitUsage
	}
	report, silent, err := flags.report(ctx, env.Now())
	if errors.Is(err, chicoryrock.ErrInvalid) {
		_, _ = fmt.Fprintln(env.Err, err)
		return ExitUsage
	}
	if len(silent) == len(flags.admin) {
		warnPartial(env, silent, len(flags.admin))
		return ExitFailed
	}
	if code := flags.print(env, report); code != ExitFine {
		return code
	}
	warnPartial(env, silent, len(flags.admin))
	return reportCode(env, silent, err)
}

// report merges the counts of the processes. The classes are those of the newest
// configuration among them, so that a report needs no store, which may be out.
func (f *burnFlags) report(ctx context.Context, now time.Time) (*burn.Report, []string, error) {
	query := url.Values{"since": {now.Add(-f.terms.Period).Format(time.RFC3339)}}
	replies := askEach[burn.Reading](ctx, f.admin, question{"/burn", query, reportTimeout})
	var book burn.Book
	var newest uint64
	for _, one := range replies {
		if one.err != nil {
			f.terms.Missing = append(f.terms.Missing, one.address.String())
			continue
		}
		book.Merge(one.value.Snapshot)
		if one.value.Revision >= newest {
			newest = one.value.Revision
			f.terms.Classes = one.value.Classes
		}
	}
	report, err := book.Report(now, f.terms)
	return report, missing(replies), err
}

func (f *burnFlags) print(env *Env, report *burn.Report) int {
	if *f.html != "" {
		if err := writePage(*f.html, report, env.Now().Location()); err != nil {
			_, _ = fmt.Fprintln(env.Err, err)
			return ExitUsage
		}
	}
	write := report.WriteTable
	if *f.json {
		write = report.WriteJSON
	}
	_ = write(env.Out) // a closed pipe leaves nobody to tell
	return ExitFine
}

// writePage writes the page only when it is whole.
func writePage(name string, report *burn.Report, zone *time.Location) error {
	var content bytes.Buffer
	if err := page.WriteBurn(&content, report, zone); err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(name, content.Bytes(), pageMode), "write the page")
}

// reportCode returns the exit code of a report that was printed.
func reportCode(env *Env, silent []string, err error) int {
	switch {
	case len(silent) > 0:
		return ExitFailed
	case err != nil:
		_, _ = fmt.Fprintf(env.Err, "The report is empty: %v.\n", err)
		return ExitNothing
	}
	return ExitFine
}
