// Package command reads the command line of the stand-ins and runs the one that
// it names.
package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock/internal/standin/host"
)

// ErrUsage says that the command line names no known stand-in.
var ErrUsage = errors.New("usage: standin store|vms|engine|plain|orderer|intake|weights|load|measure [-flag value ...]")

// environmentPrefix goes before the upper-case name of a flag, e.g.
// STANDIN_LISTEN, to name the variable that sets it.
const environmentPrefix = "STANDIN_"

// Lookup reads one environment variable, as os.LookupEnv does.
type Lookup func(name string) (string, bool)

// server is any of the stand-ins.
type server interface {
	Start() error
	Addr() netip.AddrPort
	Close()
}

// Run starts the stand-in named by the first argument, prints its address on one
// line and serves until the context ends. The names "load" and "measure" do so to a system instead.
func Run(ctx context.Context, args []string, lookup Lookup, out io.Writer) error {
	if len(args) == 0 {
		return ErrUsage
	}
	if args[0] == "load" {
		return runLoad(ctx, args[1:], lookup, out)
	}
	if args[0] == "measure" {
		return runMeasure(ctx, args[1:], lookup, out)
	}
	build, found := builders[args[0]]
	if !found {
		return errors.Wrapf(ErrUsage, "%q", args[0])
	}
	flags := flag.NewFlagSet("standin "+args[0], flag.ContinueOnError)
	listen := host.Loopback()
	flags.TextVar(&listen, "listen", listen, "address to listen on; port 0 means any free one")
	create := build(flags)
	if err := parse(flags, args[1:], lookup); err != nil {
		return err
	}
	server, err := create(listen)
	if err != nil {
		return err
	}
	return serve(ctx, server, out)
}

func serve(ctx context.Context, server server, out io.Writer) error {
	if err := server.Start(); err != nil {
		return err
	}
	defer server.Close()
	if _, err := fmt.Fprintln(out, server.Addr()); err != nil {
		return errors.WithStack(err)
	}
	<-ctx.Done()
	return nil
}

// parse reads the flags, and takes those not given from the environment.
func parse(flags *flag.FlagSet, args []string, lookup Lookup) error {
	if err := flags.Parse(args); err != nil {
		return errors.WithStack(err)
	}
	if flags.NArg() > 0 {
		return errors.Wrapf(ErrUsage, "%q", flags.Arg(0))
	}
	given := make(map[string]bool)
	flags.Visit(func(f *flag.Flag) { given[f.Name] = true })
	var failed error
	flags.VisitAll(func(f *flag.Flag) {
		value, found := lookup(environmentPrefix + strings.ToUpper(f.Name))
		if !found || given[f.Name] || failed != nil {
			return
		}
		failed = errors.Wrap(flags.Set(f.Name, value), f.Name)
	})
	return failed
}

// sizes reads "garland=1000,lens=2000".
func sizes(text string) (map[string]int64, error) {
	all := make(map[string]int64)
	for part := range strings.SplitSeq(text, ",") {
		if part == "" {
			continue
		}
		name, number, _ := strings.Cut(part, "=")
		size, err := strconv.ParseInt(number, 10, 64)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		all[name] = size
	}
	return all, nil
}
