package command

import (
	"context"
	"flag"
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock/internal/standin/measure"
)

// runMeasure takes the measurement that the first argument names and prints it.
func runMeasure(ctx context.Context, args []string, lookup Lookup, out io.Writer) error {
	if len(args) == 0 {
		return errors.Wrap(ErrUsage, "standin measure latency|memory|config|withdraw -fleet FILE")
	}
	var made measure.Measure
	flags := flag.NewFlagSet("standin measure", flag.ContinueOnError)
	path := flags.String("fleet", "", "file with the processes to measure, one JSON object a line")
	flags.IntVar(&made.Workspaces, "workspaces", 570, "workspaces in the configuration, each with two keys")
	flags.IntVar(&made.Ghosts, "ghosts", 0, "agents in the list of VMs that do not run")
	if err := parse(flags, args[1:], lookup); err != nil {
		return err
	}
	file, err := os.Open(filepath.Clean(*path))
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = file.Close() }()
	if made.Fleet, err = measure.ReadFleet(file); err != nil {
		return err
	}
	table, err := made.Run(ctx, args[0])
	if err != nil {
		return err
	}
	return table.Write(out)
}
