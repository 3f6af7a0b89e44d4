package program

import (
	"context"
	"flag"
	"io"
	"net/netip"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/serve/assembly"
	"github.com/chicoryrock/chicoryrock/internal/serve/hangup"
	"github.com/chicoryrock/chicoryrock/platform"
)

// maxHedge is the largest share of requests that may be hedged: the repeats of a service
// are limited to as much altogether.
const maxHedge = 0.2

const frontUsage = `usage: chicoryrock front [-settings FILE] [-metrics PORT] [-hedge SHARE] [-verbose]

Takes in the requests of a platform's callers. The settings file is the
platform's; without -settings, CHICORYROCK_NODE_FILE names it.
`

// runFront runs a front until the context ends.
func runFront(ctx context.Context, args []string, stdout, stderr io.Writer) error {
	flags := flag.NewFlagSet("front", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() { show(stderr, frontUsage) }
	file := flags.String("settings", os.Getenv(platform.NodeFileVariable), "settings file of the node")
	port := flags.Uint("metrics", 0, "port of the node's address at which /metrics is served, 0 for none")
	share := flags.Float64("hedge", 0, "share of a service's requests that may also be sent to a second server, 0 to 0.2; 0 for none")
	verbose := flags.Bool("verbose", false, "lines of the debug level too")
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return errors.Wrap(chicoryrock.ErrInvalid, err.Error())
	}
	if flags.NArg() > 0 {
		return errors.Wrapf(chicoryrock.ErrInvalid, "unexpected arguments: %s", strings.Join(flags.Args(), " "))
	}
	if !(*share >= 0 && *share <= maxHedge) { // also refuses NaN
		return errors.Wrapf(chicoryrock.ErrInvalid, "-hedge %v: must be from 0 to %v", *share, maxHedge)
	}
	node, err := readNode(*file)
	if err != nil {
		return err
	}
	bounded := event.NewBounded(stdout)
	defer bounded.Close()
	log, err := newLog(*verbose, bounded)
	if err != nil {
		return err
	}
	limitHeap(node.Memory)
	process := &assembly.Front{Node: node, Log: log, File: *file, Started: time.Now(), Hedge: *share, Dropped: bounded.Dropped, Hangup: hangup.Signals()}
	if *port != 0 {
		process.Scrapes = netip.AddrPortFrom(node.Address, uint16(*port))
	}
	return process.Run(ctx)
}

// heapPart is the part of a process's memory that the runtime may use before it collects as
// fast as it can, in tenths. With three quarters a front of 134 MB peaked at 123 MB. The rest is for the program's own pages, 17 MB of a front, and
// for what the runtime exceeds its limit by.
const heapPart = 7

// limitHeap sets the runtime's limit from the memory that the process may use, bytes; zero
// for no limit. A lower limit of the environment (GOMEMLIMIT) stays.
func limitHeap(memory int) {
	if memory > 0 {
		debug.SetMemoryLimit(min(int64(memory)/10*heapPart, debug.SetMemoryLimit(-1)))
	}
}

func readNode(file string) (*platform.Node, error) {
	if file == "" {
		return nil, errors.Wrapf(chicoryrock.ErrInvalid, "no settings file: give -settings or set %s", platform.NodeFileVariable)
	}
	data, err := os.ReadFile(file) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, errors.Wrap(chicoryrock.ErrInvalid, err.Error())
	}
	return platform.ReadNode(data)
}
