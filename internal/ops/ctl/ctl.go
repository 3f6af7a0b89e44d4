// Package ctl holds the commands of chicoryctl, the operators' program. Each
// command stands in a file of its own and is listed in commands.
package ctl

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// Exit codes of chicoryctl, the same for all commands.
const (
	ExitFine    = 0 // done, and nothing is wrong
	ExitFaults  = 1 // the declarations have faults, or clash with another publication
	ExitUsage   = 2 // the command line or the environment is wrong
	ExitFailed  = 3 // the store or a process could not be reached; nothing was changed
	ExitUnknown = 4 // a change was sent, but its answer was lost
	ExitPending = 5 // the revision in force is not yet known to be in force everywhere
	ExitNothing = 6 // all were asked, and nothing is known of the request or the span
)

// Env is what a command gets from outside, so that tests can supply it.
type Env struct {
	In      io.Reader // what is read for a file named -
	Out     io.Writer
	Err     io.Writer
	Environ []string // NAME=value, as os.Environ returns it
	Now     func() time.Time
	// Connect makes a client of the platform's key-value service.
	Connect func(address netip.AddrPort) chicoryrock.Store
}

// Command is one subcommand. Run gets the arguments after the command's name
// and returns an exit code.
type Command struct {
	Name    string
	Args    string // the arguments as shown in the help, e.g. "DIR"
	Summary string
	Run     func(ctx context.Context, env *Env, args []string) int
}

// commands lists all subcommands in the order of the help. A new one is added
// by a file with its Command and a line here.
func commands() []Command {
	return []Command{
		checkCommand,
		planCommand,
		publishCommand,
		rollbackCommand,
		withdrawCommand,
		pruneCommand,
		statusCommand,
		explainCommand,
		predictionsCommand,
		burnCommand,
		costCommand,
		usageCommand,
	}
}

// Run runs the command that the arguments name and returns the exit code.
func Run(ctx context.Context, env *Env, args []string) int {
	if len(args) == 0 {
		printHelp(env.Err)
		return ExitUsage
	}
	if args[0] == "-h" || args[0] == "-help" || args[0] == "--help" || args[0] == "help" {
		printHelp(env.Out)
		return ExitFine
	}
	for _, command := range commands() {
		if command.Name == args[0] {
			return command.Run(ctx, env, args[1:])
		}
	}
	_, _ = fmt.Fprintf(env.Err, "There is no command %q.\n\n", args[0])
	printHelp(env.Err)
	return ExitUsage
}

func printHelp(out io.Writer) {
	_, _ = fmt.Fprint(out, "Usage: chicoryctl COMMAND [flags]\n\nCommands:\n")
	for _, command := range commands() {
		_, _ = fmt.Fprintf(out, "  %-9s %-8s %s\n", command.Name, command.Args, command.Summary)
	}
	_, _ = fmt.Fprint(out, "\nEach command explains its flags with -h.\n"+
		"Exit codes: 0 done, 1 faults or a clash, 2 wrong usage, 3 not reached and nothing changed, 4 outcome unknown, 5 not yet in force everywhere, 6 nothing known.\n")
}
