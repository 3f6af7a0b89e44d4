// Package program puts together the processes of the chicoryrock command: it
// reads the settings, builds the parts and runs them until a signal.
package program

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/core/proc"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
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

const usage = `usage: chicoryrock entry|agent|demo [-h] [settings]

  entry   terminates callers' requests and chooses a backend server for each
  agent   stands beside one backend server and is the only way to it
  demo    runs the whole path in one process and prints a report
`

// Main runs one subcommand and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		fmt.Fprint(stderr, usage)
		return exitUsage
	}
	proc.SetTimeToForceQuit(never)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	switch args[0] {
	case "entry":
		return exitCode(runEntry(ctx, args[1:], os.Environ(), stderr), stderr)
	case "agent":
		return exitCode(runAgent(ctx, args[1:], os.Environ(), stderr), stderr)
	case "-h", "--help", "help":
		fmt.Fprint(stdout, usage)
		return exitFine
	default:
		fmt.Fprint(stderr, usage)
		return exitUsage
	}
}

func exitCode(err error, stderr io.Writer) int {
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitFine
	case errors.Is(err, chicoryrock.ErrInvalid):
		fmt.Fprintln(stderr, err)
		return exitUsage
	default:
		fmt.Fprintln(stderr, err)
		return exitFault
	}
}

func newLog(verbose bool, stderr io.Writer) *event.Log {
	level := zapcore.InfoLevel
	if verbose {
		level = zapcore.DebugLevel
	}
	core := zapcore.NewCore(
		zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()),
		zapcore.Lock(zapcore.AddSync(stderr)),
		level)
	return &event.Log{Zap: zap.New(core)}
}
