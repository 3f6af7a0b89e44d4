package ctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock/internal/ops/layout"
	"github.com/chicoryrock/chicoryrock/internal/ops/retell"
)

var predictionsCommand = Command{
	Name:    "predictions",
	Summary: "compare, from a log of fronts, predicted times to the first token with those seen",
	Run:     runPredictions,
}

func runPredictions(_ context.Context, env *Env, args []string) int {
	set := newFlags("predictions -log FILE")
	name := set.String("log", "", "file with the log of fronts, or - for standard input; needed")
	asJSON := set.Bool("json", false, "print JSON")
	if _, code, goOn := parse(env, set, args, 0); !goOn {
		return code
	}
	log, err := openLog(env, *name)
	if err != nil {
		_, _ = fmt.Fprintln(env.Err, err)
		return ExitUsage
	}
	defer func() { _ = log.Close() }()
	all, err := retell.Predictions(log)
	switch {
	case err != nil:
		_, _ = fmt.Fprintln(env.Err, err)
		return ExitNothing
	case *asJSON:
		printJSON(env.Out, all)
	default:
		writePredictions(env.Out, all)
	}
	return ExitFine
}

func writePredictions(out io.Writer, all []retell.Prediction) {
	var rows strings.Builder
	rows.WriteString("ROUTE\tREQUESTS\tPREDICTED\tSEEN\tRATIO\t9 OF 10 WITHIN\tLONGEST PAUSE\n")
	for _, one := range all {
		fmt.Fprintf(&rows, "%s\t%d\t%s\t%s\t%.2f\t%s\t%s\n", one.Route, one.Requests, rounded(one.Predicted), rounded(one.Seen),
			one.Ratio, rounded(one.Tail), rounded(one.Pause))
	}
	_ = layout.Columns(out, rows.String()) // a closed pipe leaves nobody to tell
}

func rounded(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }

// openLog opens a log by its name; - is standard input.
func openLog(env *Env, name string) (io.ReadCloser, error) {
	switch name {
	case "":
		return nil, errors.New("-log is missing: name a file with the log of fronts, or - for standard input.")
	case "-":
		return io.NopCloser(env.In), nil
	}
	file, err := os.Open(name) //nolint:gosec // the operator names the file on the command line
	return file, errors.WithStack(err)
}
