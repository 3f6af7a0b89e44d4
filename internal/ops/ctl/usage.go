package ctl

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/chicoryrock/chicoryrock/internal/ops/layout"
	"github.com/chicoryrock/chicoryrock/internal/state/usage"
)

// usagePatience is how long after a window's end its report may be under way
// before the table says that it is overdue.
const usagePatience = 30 * time.Minute

var usageCommand = Command{
	Name:    "usage",
	Summary: "list the newest usage windows: open, sealed or sent, and what came late",
	Run:     runUsage,
}

// usageFlags are what usage is asked for.
type usageFlags struct {
	admin     addresses
	json      *bool
	workspace *string
}

func runUsage(ctx context.Context, env *Env, args []string) int {
	set := newFlags("usage")
	flags := &usageFlags{
		json:      set.Bool("json", false, "print JSON"),
		workspace: set.String("workspace", "", "show the figures of one workspace; those of all together if left out"),
	}
	set.Var(&flags.admin, "admin", "admin addresses of the entries, separated by commas; the first that answers suffices; needed")
	if _, code, goOn := parse(env, set, args, 0); !goOn {
		return code
	}
	if !expectAdmin(env, flags.admin) {
		return ExitUsage
	}
	rows, silent := flags.ask(ctx)
	if len(silent) == len(flags.admin) {
		warnPartial(env, silent, len(flags.admin))
		return ExitFailed
	}
	if len(rows) == 0 {
		_, _ = fmt.Fprintln(env.Err, "No usage window has been opened yet.")
		return ExitNothing
	}
	return flags.print(env, rows)
}

// ask reads the windows from the first process that answers. All of them read the
// same records of the store, so the others have nothing to add.
func (f *usageFlags) ask(ctx context.Context) ([]usage.WindowSummary, []string) {
	var silent []string
	for i := range f.admin {
		replies := askEach[[]usage.WindowSummary](ctx, f.admin[i:i+1], question{path: "/usage", timeout: reportTimeout})
		if replies[0].err == nil {
			return replies[0].value, silent
		}
		silent = append(silent, missing(replies)...)
	}
	return nil, silent
}

func (f *usageFlags) print(env *Env, rows []usage.WindowSummary) int {
	if *f.json {
		printJSON(env.Out, rows)
		return ExitFine
	}
	var text strings.Builder
	f.writeRows(&text, env.Now(), rows)
	_ = layout.Columns(env.Out, text.String()) // a closed pipe leaves nobody to tell
	return ExitFine
}

func (f *usageFlags) writeRows(out io.Writer, now time.Time, rows []usage.WindowSummary) {
	_, _ = fmt.Fprint(out, "WINDOW\tSTATE\tREQUESTS\tPROMPT\tOUTPUT\tLATE REQUESTS\tNOTE\n")
	for i := range rows {
		total, late := f.figures(&rows[i])
		_, _ = fmt.Fprintf(out, "%s\t%s\t%d\t%d\t%d\t%d\t%s\n", rows[i].Start.Format(time.RFC3339), rows[i].State,
			total.Requests, total.PromptTokens, total.OutputTokens, late.Requests, noteOf(now, &rows[i]))
	}
}

// figures returns what a window bills, and the part of it that belongs to earlier
// windows.
func (f *usageFlags) figures(row *usage.WindowSummary) (total, late usage.Counts) {
	if *f.workspace == "" {
		return row.Total, row.Late
	}
	for _, line := range row.Lines {
		if line.Workspace == *f.workspace {
			return line.Counts, line.Late
		}
	}
	return usage.Counts{}, usage.Counts{}
}

// noteOf says what an operator has to look into.
func noteOf(now time.Time, row *usage.WindowSummary) string {
	if len(row.MismatchedWorkspaces) > 0 {
		return "off: the intake has other figures for " + strings.Join(row.MismatchedWorkspaces, ", ")
	}
	return overdue(now, row)
}

// overdue says that a window should have been reported by now.
func overdue(now time.Time, row *usage.WindowSummary) string {
	age := now.Sub(row.Start)
	if row.State == usage.StateSent || age < usagePatience {
		return ""
	}
	return fmt.Sprintf("overdue: began %s ago", age.Round(time.Minute))
}
