package ctl

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/state/publish"
)

// defaultKeep is how many revisions prune keeps: about half a day at 2,200
// publications a day. Each costs the store one chunk and one head.
const defaultKeep = 1000

var pruneCommand = Command{
	Name:    "prune",
	Summary: "remove from the store what only old revisions need",
	Run:     runPrune,
}

// pruneResult is what prune prints with -json.
type pruneResult struct {
	Removed int    `json:"removed"`
	Error   string `json:"error,omitempty"`
}

func runPrune(ctx context.Context, env *Env, args []string) int {
	flags := newFlags("prune")
	asJSON := flags.Bool("json", false, "print JSON")
	keep := flags.Int("keep", defaultKeep, fmt.Sprintf("revisions to keep for rollback, at least %d", publish.MinKeptRevisions))
	var store addresses
	flags.Var(&store, "store", "address of the platform's key-value service; needed")
	if _, code, goOn := parse(env, flags, args, 0); !goOn {
		return code
	}
	if !expectStore(env, store) {
		return ExitUsage
	}
	publisher := &publish.Publisher{Store: env.Connect(store[0])}
	removed, err := publisher.Prune(ctx, *keep)
	outcome := pruneResult{Removed: removed}
	if err != nil {
		outcome.Error = err.Error()
	}
	if *asJSON {
		printJSON(env.Out, outcome)
	} else {
		outcome.print(env)
	}
	switch {
	case err == nil:
		return ExitFine
	case errors.Is(err, chicoryrock.ErrInvalid) && *keep < publish.MinKeptRevisions:
		return ExitUsage
	default:
		return ExitFailed
	}
}

func (p pruneResult) print(env *Env) {
	if p.Error != "" {
		_, _ = fmt.Fprintf(env.Err, "Pruning stopped: %s. Running it again is safe.\n", p.Error)
	}
	_, _ = fmt.Fprintf(env.Out, "%s removed.\n", count(p.Removed, "chunk"))
}
