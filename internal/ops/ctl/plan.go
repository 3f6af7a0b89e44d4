package ctl

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/chicoryrock/chicoryrock/internal/state/object"
	"github.com/chicoryrock/chicoryrock/internal/state/publish"
)

var planCommand = Command{
	Name:    "plan",
	Args:    "DIR",
	Summary: "show what publishing a folder would change, and whom it touches",
	Run:     runPlan,
}

// planResult is what plan prints with -json.
type planResult struct {
	Revision uint64         `json:"revision"` // in force now
	Faults   []object.Fault `json:"faults"`
	Changes  []planChange   `json:"changes"`
}

// planChange is one change with the workspaces that it touches.
type planChange struct {
	publish.Change
	Touches []string `json:"touches"`
}

func runPlan(ctx context.Context, env *Env, args []string) int {
	flags := newFlags("plan DIR")
	asJSON := flags.Bool("json", false, "print JSON")
	var store addresses
	flags.Var(&store, "store", "address of the platform's key-value service; needed")
	positional, code, goOn := parse(env, flags, args, 1)
	if !goOn {
		return code
	}
	if !expectStore(env, store) {
		return ExitUsage
	}
	declared, faults, err := loadFolder(positional[0])
	if err != nil {
		_, _ = fmt.Fprintln(env.Err, err)
		return ExitUsage
	}
	publisher := &publish.Publisher{Store: env.Connect(store[0])}
	current, head, err := publisher.Current(ctx)
	if err != nil {
		_, _ = fmt.Fprintf(env.Err, "The set in force cannot be read: %v.\n", err)
		return ExitFailed
	}
	if len(faults) == 0 {
		// Once more against the withdrawn keys, which only the store knows.
		declared.Set.Withdrawn = current.Withdrawn
		faults = append(faults, object.Check(declared.Set, declared.Sources)...)
	}
	return printPlan(env, *asJSON, newPlan(current, head, declared.Set, faults))
}

func newPlan(current *object.Set, head publish.Head, set *object.Set, faults []object.Fault) planResult {
	plan := planResult{Revision: head.Revision, Faults: faults, Changes: []planChange{}}
	if len(faults) > 0 {
		return plan
	}
	changes := publish.Diff(current, set)
	touched := publish.AffectedWorkspaces(current, set, changes)
	for i, change := range changes {
		plan.Changes = append(plan.Changes, planChange{Change: change, Touches: touched[i]})
	}
	return plan
}

func printPlan(env *Env, asJSON bool, plan planResult) int {
	if asJSON {
		printJSON(env.Out, plan)
	} else {
		plan.print(env.Out)
	}
	if len(plan.Faults) > 0 {
		return ExitFaults
	}
	return ExitFine
}

func (p planResult) print(out io.Writer) {
	for _, fault := range p.Faults {
		_, _ = fmt.Fprintln(out, fault)
	}
	if len(p.Faults) > 0 {
		_, _ = fmt.Fprintf(out, "%s; nothing can be published.\n", count(len(p.Faults), "fault"))
		return
	}
	for _, change := range p.Changes {
		_, _ = fmt.Fprintf(out, "%-8s %s%s\n", change.Action, change.Ref, touches(change.Touches))
		for _, field := range change.Fields {
			_, _ = fmt.Fprintf(out, "           %s: %s -> %s\n", field.Name, orNone(field.Old), orNone(field.New))
		}
	}
	_, _ = fmt.Fprintf(out, "Revision %d is in force. Publishing would make %s.\n", p.Revision, count(len(p.Changes), "change"))
	if len(p.Changes) > 0 {
		_, _ = fmt.Fprintf(out, "To publish just this, and not over what others publish meanwhile: chicoryctl publish DIR -base %d\n", p.Revision)
	}
}

func touches(workspaces []string) string {
	if len(workspaces) == 0 {
		return ", touches no workspace"
	}
	return ", touches " + strings.Join(workspaces, ", ")
}

func orNone(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}
