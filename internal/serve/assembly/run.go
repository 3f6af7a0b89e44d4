package assembly

import (
	"context"
	"fmt"

	"golang.org/x/sync/errgroup"

	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/serve/guard"
)

// runAll runs the parts until the first one, which is the process's purpose, has
// ended; the others are stopped after it.
// Other parts that panic start again; their errors end the process, for a person to see.
func runAll(ctx context.Context, log *event.Log, main func(context.Context) error, others ...func(context.Context) error) error {
	parts := guard.Parts{Log: log, Strict: true}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, background := errgroup.WithContext(background)
	for i, other := range others {
		group.Go(func() error { return parts.Keep(background, fmt.Sprintf("part %d", i+1), other) })
	}
	group.Go(func() error {
		defer cancel()
		return main(ctx)
	})
	return group.Wait()
}
