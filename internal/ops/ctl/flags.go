package ctl

import (
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock/internal/ops/layout"
	"github.com/chicoryrock/chicoryrock/internal/ops/settings"
)

// newFlags makes a flag set for one command. Each flag can also be set by an
// environment variable: -store by CHICORYROCK_STORE. A flag goes before its
// variable.
func newFlags(name string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.Usage = func() {
		_, _ = fmt.Fprintf(flags.Output(), "Usage: chicoryctl %s\n", name)
		flags.PrintDefaults()
		_, _ = fmt.Fprintf(flags.Output(), "Each flag can be set by the environment too, such as -json by %sJSON.\n", settings.Prefix)
	}
	return flags
}

// parse reads flags and positional arguments, which may come in any order, and
// expects exactly count of the latter. When the command must not go on it
// returns false and the exit code.
func parse(env *Env, flags *flag.FlagSet, args []string, count int) ([]string, int, bool) {
	positional, code, goOn := parseAny(env, flags, args)
	if goOn && len(positional) != count {
		_, _ = fmt.Fprintf(env.Err, "Expected %d arguments besides flags, but found %d.\n", count, len(positional))
		flags.Usage()
		return nil, ExitUsage, false
	}
	return positional, code, goOn
}

// parseAny does the same for any number of positional arguments.
func parseAny(env *Env, flags *flag.FlagSet, args []string) ([]string, int, bool) {
	flags.SetOutput(env.Err)
	if err := fromEnvironment(flags, env.Environ); err != nil {
		_, _ = fmt.Fprintln(env.Err, err)
		return nil, ExitUsage, false
	}
	var positional []string
	for {
		err := flags.Parse(args)
		if errors.Is(err, flag.ErrHelp) {
			return nil, ExitFine, false
		}
		if err != nil {
			return nil, ExitUsage, false
		}
		if flags.NArg() == 0 {
			break
		}
		positional = append(positional, flags.Arg(0))
		args = flags.Args()[1:]
	}
	return positional, ExitFine, true
}

func fromEnvironment(flags *flag.FlagSet, environ []string) error {
	for _, pair := range environ {
		name, value, _ := strings.Cut(pair, "=")
		name, ours := strings.CutPrefix(name, settings.Prefix)
		if !ours || flags.Lookup(strings.ToLower(name)) == nil {
			continue
		}
		if err := flags.Set(strings.ToLower(name), value); err != nil {
			return errors.Errorf("%s%s: %v", settings.Prefix, name, err)
		}
	}
	return nil
}

// printJSON writes a value for use in a pipeline.
func printJSON(out io.Writer, value any) {
	_ = layout.JSON(out, value) // a closed pipe leaves nobody to tell
}
