package command

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock/internal/standin/loader"
)

// ErrFaults says that some answers were not whole or not their call's own.
var ErrFaults = errors.New("answers at fault")

// load is the settings of `standin load`.
type load struct {
	loader loader.Loader
	call   loader.Call
	every  time.Duration
	count  int
	direct string
	trace  string
	keys   string
	json   string
}

func (l *load) declare(flags *flag.FlagSet) {
	flags.TextVar(&l.loader.Target, "target", netip.AddrPort{}, "address of an entry; loopback only")
	flags.StringVar(&l.direct, "direct", "", "addresses of engines that get every call as well, with commas between")
	flags.StringVar(&l.trace, "trace", "", "file with the calls, one JSON object a line; in place of -every and -count")
	flags.DurationVar(&l.every, "every", 100*time.Millisecond, "time between two calls")
	flags.IntVar(&l.count, "count", 100, "number of calls")
	flags.StringVar(&l.call.Key, "key", "", "name of the key")
	flags.StringVar(&l.call.Model, "model", "garland", "model")
	flags.IntVar(&l.call.Prompt, "prompt", 50, "length of the prompts, tokens")
	flags.IntVar(&l.call.Output, "output", 20, "length of the answers, tokens")
	flags.BoolVar(&l.call.Stream, "stream", true, "ask for streams")
	flags.DurationVar(&l.call.First, "first", 0, "target for the first token; 0 means none")
	flags.DurationVar(&l.call.Token, "token", 0, "target for the mean time between tokens; 0 means none")
	flags.StringVar(&l.keys, "keys", "", "file with a JSON object that gives the secret of each key name")
	flags.IntVar(&l.loader.Open, "open", loader.DefaultOpen, "most calls open at once")
	flags.DurationVar(&l.loader.Longest, "longest", loader.DefaultLongest, "no call is sent after this")
	flags.DurationVar(&l.loader.Timeout, "timeout", loader.DefaultTimeout, "longest wait for one answer")
	flags.StringVar(&l.loader.Name, "name", "", "begins the name of every request; new for each run")
	flags.StringVar(&l.json, "json", "", "file that gets the report as JSON")
}

// runLoad sends a load and prints the report. Errors: ErrFaults, ErrInvalid.
func runLoad(ctx context.Context, args []string, lookup Lookup, out io.Writer) error {
	var load load
	flags := flag.NewFlagSet("standin load", flag.ContinueOnError)
	load.declare(flags)
	if err := parse(flags, args, lookup); err != nil {
		return err
	}
	if err := load.prepare(); err != nil {
		return err
	}
	report, err := load.loader.Run(ctx)
	if err != nil {
		return err
	}
	if err := load.write(report, out); err != nil {
		return err
	}
	if faults := report.Faults(); faults > 0 {
		return errors.Wrapf(ErrFaults, "%d", faults)
	}
	return nil
}

// prepare reads the files and completes the settings.
func (l *load) prepare() error {
	if l.loader.Name == "" {
		l.loader.Name = "load" + strconv.FormatInt(time.Now().UnixNano(), 36)
	}
	for address := range strings.SplitSeq(l.direct, ",") {
		if address == "" {
			continue
		}
		engine, err := netip.ParseAddrPort(address)
		if err != nil {
			return errors.WithStack(err)
		}
		l.loader.Direct = append(l.loader.Direct, engine)
	}
	if err := l.readKeys(); err != nil {
		return err
	}
	return l.readCalls()
}

func (l *load) readKeys() error {
	if l.keys == "" {
		return nil
	}
	encoded, err := os.ReadFile(filepath.Clean(l.keys))
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(json.Unmarshal(encoded, &l.loader.Keys))
}

func (l *load) readCalls() error {
	if l.trace == "" {
		l.loader.Calls = loader.Constant(l.call, l.every, min(l.count, loader.MaxCalls))
		return nil
	}
	file, err := os.Open(filepath.Clean(l.trace))
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = file.Close() }()
	l.loader.Calls, err = loader.Read(file)
	return err
}

func (l *load) write(report loader.Report, out io.Writer) error {
	if err := report.Write(out); err != nil {
		return err
	}
	if l.json == "" {
		return nil
	}
	encoded, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.WriteFile(filepath.Clean(l.json), append(encoded, '\n'), 0o600))
}
