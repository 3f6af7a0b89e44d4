// Package program puts together the processes of the chicoryrock command: it
// reads the settings, builds the parts and runs them until a signal.
package program

import (
	"context"
	"flag"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/core/proc"
	"go.uber.org/zap/zapcore"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/ops/settings"
	"github.com/chicoryrock/chicoryrock/internal/serve/assembly"
	"github.com/chicoryrock/chicoryrock/internal/serve/demo"
	"github.com/chicoryrock/chicoryrock/internal/serve/hangup"
)

// The exit codes of the command.
const (
	exitFine  = 0
	exitFault = 1
	exitUsage = 2
)

// never is longer than any process lives. go-zero kills a process some seconds
// after a signal unless it is told to wait this long; the graceful shutdown here
// has its own limit.
const never = 100 * 365 * 24 * time.Hour

const usage = `usage: chicoryrock entry|agent|front|demo [-h] [settings]

  entry   terminates callers' requests and chooses a backend server for each
  agent   stands beside one backend server and is the only way to it
  front   takes in the requests of a platform's callers
  demo    runs the whole path in one process and prints a report
`

// Main runs one subcommand and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		show(stderr, usage)
		return exitUsage
	}
	proc.SetTimeToForceQuit(never)
	if args[0] != "front" {
		hangup.Reset()
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	switch args[0] {
	case "entry":
		return exitCode(runEntry(ctx, args[1:], os.Environ(), stderr), stderr)
	case "agent":
		return exitCode(runAgent(ctx, args[1:], os.Environ(), stderr), stderr)
	case "front":
		return exitCode(runFront(ctx, args[1:], stdout, stderr), stderr)
	case "demo":
		return exitCode(demo.Run(ctx, stdout), stderr)
	case "-h", "--help", "help":
		show(stdout, usage)
		return exitFine
	default:
		show(stderr, usage)
		return exitUsage
	}
}

func exitCode(err error, stderr io.Writer) int {
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitFine
	case errors.Is(err, chicoryrock.ErrInvalid):
		show(stderr, err.Error()+"\n")
		return exitUsage
	default:
		show(stderr, err.Error()+"\n")
		return exitFault
	}
}

func newLog(verbose bool, stderr io.Writer) (*event.Log, error) {
	level := zapcore.InfoLevel
	if verbose {
		level = zapcore.DebugLevel
	}
	log := event.New(level, stderr)
	if err := event.Attach(log); err != nil {
		return nil, err
	}
	event.DropCalls()
	return log, nil
}

// show writes to the terminal, which may have been closed by its owner.
func show(out io.Writer, text string) {
	_, _ = io.WriteString(out, text)
}

func runEntry(ctx context.Context, args, environ []string, stderr io.Writer) error {
	config, err := settings.ParseEntry(args, environ, stderr)
	if err != nil {
		return err
	}
	log, err := newLog(config.Verbose, stderr)
	if err != nil {
		return err
	}
	limitHeap(int(config.Memory) << 20)
	process := &assembly.Entry{Settings: config, Log: log}
	return process.Run(ctx)
}

func runAgent(ctx context.Context, args, environ []string, stderr io.Writer) error {
	config, err := settings.ParseAgent(args, environ, stderr)
	if err != nil {
		return err
	}
	log, err := newLog(config.Verbose, stderr)
	if err != nil {
		return err
	}
	limitHeap(int(config.Memory) << 20)
	process := &assembly.Agent{Settings: config, Log: log}
	return process.Run(ctx)
}
