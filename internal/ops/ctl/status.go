package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/chicoryrock/chicoryrock/internal/serve/web"
	"github.com/chicoryrock/chicoryrock/internal/state/publish"
)

const (
	// askTimeout bounds the wait for one process's answer.
	askTimeout = 2 * time.Second
	// askPause lies between two rounds of questions while waiting.
	askPause = 200 * time.Millisecond
	// maxStatusBytes is the largest answer that is read.
	maxStatusBytes = 64 << 10
	// maxAsked is how many processes are asked at the same time.
	maxAsked = 32
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
	if len(admin) == 0 {
		_, _ = fmt.Fprintln(env.Err, "-admin is missing: name the processes to ask, such as 127.0.0.1:7101,127.0.0.1:7102.")
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
	client := web.NewClient(nil)
	defer client.CloseIdleConnections()
	service := web.NewService("chicoryctl-status", client)
	answers := make([]process, len(admin))
	slots := make(chan struct{}, maxAsked)
	var group sync.WaitGroup
	for i, address := range admin {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			answers[i] = ask(ctx, service, address)
		})
	}
	group.Wait()
	return answers
}

func ask(ctx context.Context, service httpc.Service, address netip.AddrPort) process {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	one := process{Address: address}
	if err := read(ctx, service, &one); err != nil {
		return process{Address: address, Error: err.Error()}
	}
	one.Address = address
	return one
}

func read(ctx context.Context, service httpc.Service, one *process) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+one.Address.String()+"/status", nil)
	if err != nil {
		return err
	}
	response, err := service.DoRequest(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("it answered with status %d", response.StatusCode)
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, maxStatusBytes))
	if err != nil {
		return err
	}
	if err := json.Unmarshal(content, one); err != nil || one.Name == "" {
		return errors.New("its answer is no status")
	}
	return nil
}
