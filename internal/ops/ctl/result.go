package ctl

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
	"github.com/chicoryrock/chicoryrock/internal/state/publish"
)

// Outcomes of a command that changes the configuration, as printed with -json.
const (
	outcomePublished = "published"
	outcomeUnchanged = "unchanged" // the set in force is the same already
	outcomePending   = "pending"   // published, but not yet seen in force everywhere
	outcomeFaults    = "faults"
	outcomeClash     = "clash"
	outcomeMissing   = "missing" // no such key or revision
	outcomeFailed    = "failed"  // nothing was changed
	outcomeUnknown   = "unknown" // the answer was lost
)

// result is what a command that changes the configuration prints with -json.
type result struct {
	Outcome   string                 `json:"outcome"`
	Text      string                 `json:"text"`
	Revision  uint64                 `json:"revision,omitempty"`
	ID        string                 `json:"id"`
	Faults    []object.Fault         `json:"faults,omitempty"`
	Clash     *publish.ConflictError `json:"clash,omitempty"`
	Kept      []string               `json:"kept,omitempty"` // withdrawn keys that a rollback left out
	Processes []process              `json:"processes,omitempty"`
}

func (r *result) code() int {
	switch r.Outcome {
	case outcomePublished, outcomeUnchanged:
		return ExitFine
	case outcomePending:
		return ExitPending
	case outcomeUnknown:
		return ExitUnknown
	case outcomeFailed:
		return ExitFailed
	default:
		return ExitFaults
	}
}

// newResult explains what came of a publication.
func newResult(publication publish.Publication, head publish.Head, err error) *result {
	r := &result{ID: publication.ID, Revision: head.Revision}
	if err != nil {
		r.explain(err)
		return r
	}
	if head.ID != publication.ID {
		r.Outcome = outcomeUnchanged
		r.Text = fmt.Sprintf("There is nothing to publish: revision %d is in force and has the same objects.", head.Revision)
		return r
	}
	r.Outcome = outcomePublished
	r.Text = fmt.Sprintf("Revision %d is published.", head.Revision)
	return r
}

func (r *result) explain(err error) {
	var conflict *publish.ConflictError
	var fault *publish.FaultError
	switch {
	case errors.As(err, &conflict):
		r.Outcome, r.Clash, r.Text = outcomeClash, conflict, clashText(conflict)
	case errors.As(err, &fault):
		r.Outcome, r.Faults, r.Text = outcomeFaults, fault.Faults, "Nothing was published: mend the faults first."
	case errors.Is(err, chicoryrock.ErrUnknownOutcome):
		r.Outcome = outcomeUnknown
		r.Text = fmt.Sprintf("The store's answer was lost, so the change may or may not be in force. "+
			"Run the same command with -id %s: it finds out and publishes only if need be.", r.ID)
	case errors.Is(err, chicoryrock.ErrNotFound):
		r.Outcome, r.Text = outcomeMissing, fmt.Sprintf("Nothing was changed: there is no such thing (%v).", err)
	case errors.Is(err, chicoryrock.ErrStale):
		r.Outcome, r.Text = outcomeFailed, fmt.Sprintf("Nothing was changed: the store is behind, which needs a look (%v).", err)
	default:
		r.Outcome, r.Text = outcomeFailed, fmt.Sprintf("Nothing was changed: %v.", err)
	}
}

func clashText(conflict *publish.ConflictError) string {
	text := fmt.Sprintf("Nothing was published: revision %d by %q went first.", conflict.Head.Revision, conflict.Head.Author)
	if len(conflict.Clashes) == 0 {
		return text + " It changed none of your objects: take its changes into your folder and publish again."
	}
	names := make([]string, 0, len(conflict.Clashes))
	for _, ref := range conflict.Clashes {
		names = append(names, ref.String())
	}
	return text + " Both of you changed " + strings.Join(names, ", ") + ": settle these, then publish again."
}

func (r *result) print(env *Env, asJSON bool) int {
	if asJSON {
		printJSON(env.Out, r)
		return r.code()
	}
	for _, fault := range r.Faults {
		_, _ = fmt.Fprintln(env.Out, fault)
	}
	for _, name := range r.Kept {
		_, _ = fmt.Fprintf(env.Out, "The key %s was withdrawn and stays so.\n", name)
	}
	printProcesses(env.Out, r.Processes, r.Revision)
	_, _ = fmt.Fprintln(env.Out, r.Text)
	return r.code()
}
