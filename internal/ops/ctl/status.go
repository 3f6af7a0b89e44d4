package ctl

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/chicoryrock/chicoryrock/internal/state/publish"
)

const (
	// askTimeout bounds the wait for one process's answer.
	askTimeout = 2 * time.Second
	// askPause lies between two rounds of questions while waiting.
	askPause = 200 * time.Millisecond
)

var statusCommand = Command{
	Name:    "status",
	Summary: "show which processes have the revision in force",
	Run:     runStatus,
}

// process is what one process says of itself. Error is set when it didn't answer.
type process struct {
	Address  netip.AddrPort `json:"address"`
	Name     string         `json:"name,omitempty"`
	Role     string         `json:"role,omitempty"`
	Revision uint64         `json:"revision"`
	Age      time.Duration  `json:"age"` // since it last heard that the revision is in force, nanoseconds
	Error    string         `json:"error,omitempty"`
}

// statusResult is what status prints with -json.
type statusResult struct {
	Head      *publish.Head `json:"head,omitempty"` // only with -store
	Revision  uint64        `json:"revision"`       // that all should have
	Processes []process     `json:"processes"`
}

func runStatus(ctx context.Context, env *Env, args []string) int {
	flags := newFlags("status")
	asJSON := flags.Bool("json", false, "print JSON")
	var store, admin addresses
	flags.Var(&store, "store", "address of the platform's key-value service; if left out, the newest revision seen is taken for the one in force")
	flags.Var(&admin, "admin", "admin addresses of the processes, separated by commas; needed")
	_, code, goOn := parse(env, flags, args, 0)
	if !goOn {
		return code
	}
	if !expectAdmin(env, admin) {
		return ExitUsage
	}
	if len(store) > 0 && !expectStore(env, store) {
		return ExitUsage
	}
	status := statusResult{Processes: askAll(ctx, admin)}
	if len(store) == 1 {
		head, err := publish.ReadHead(ctx, env.Connect(store[0]))
		if err != nil {
			_, _ = fmt.Fprintf(env.Err, "The store does not say which revision is in force: %v.\n", err)
			code = ExitFailed
		} else {
			status.Head, status.Revision = &head, head.Revision
		}
	}
	for _, one := range status.Processes {
		status.Revision = max(status.Revision, one.Revision)
	}
	return printStatus(env, *asJSON, status, code)
}

func printStatus(env *Env, asJSON bool, status statusResult, code int) int {
	if asJSON {
		printJSON(env.Out, status)
	} else {
		printProcesses(env.Out, status.Processes, status.Revision)
	}
	if code != ExitFine {
		return code
	}
	for _, one := range status.Processes {
		if one.Error != "" {
			return ExitFailed
		}
	}
	if behind(status.Processes, status.Revision) > 0 {
		return ExitPending
	}
	return ExitFine
}

func printProcesses(out io.Writer, processes []process, revision uint64) {
	for _, one := range processes {
		if one.Error != "" {
			_, _ = fmt.Fprintf(out, "%-21s did not answer: %s\n", one.Address, one.Error)
			continue
		}
		state := "in force"
		if one.Revision < revision {
			state = fmt.Sprintf("behind, has not yet taken %d", revision)
		}
		_, _ = fmt.Fprintf(out, "%-21s %-16s %-6s revision %-6d %s, confirmed %s ago\n",
			one.Address, one.Name, one.Role, one.Revision, state, one.Age.Round(time.Millisecond))
	}
}

// behind counts the processes that aren't known to have a revision.
func behind(processes []process, revision uint64) int {
	late := 0
	for _, one := range processes {
		if one.Error != "" || one.Revision < revision {
			late++
		}
	}
	return late
}

// await asks until every process has a revision or the wait is over, and returns
// the last answers.
func await(ctx context.Context, admin []netip.AddrPort, revision uint64, wait time.Duration) []process {
	limit := time.NewTimer(wait)
	defer limit.Stop()
	pause := time.NewTicker(askPause)
	defer pause.Stop()
	for {
		processes := askAll(ctx, admin)
		if behind(processes, revision) == 0 {
			return processes
		}
		select {
		case <-ctx.Done():
			return processes
		case <-limit.C:
			return processes
		case <-pause.C:
		}
	}
}

func askAll(ctx context.Context, admin []netip.AddrPort) []process {
	replies := askEach[process](ctx, admin, question{path: "/status", timeout: askTimeout})
	answers := make([]process, 0, len(replies))
	for _, one := range replies {
		answer := one.value
		switch {
		case one.err != nil:
			answer = process{Error: one.err.Error()}
		case answer.Name == "":
			answer = process{Error: "its answer is no status"}
		}
		answer.Address = one.address
		answers = append(answers, answer)
	}
	return answers
}
