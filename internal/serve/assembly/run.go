package assembly

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// runAll runs the parts until the first one, which is the process's purpose, has
// ended; the others are stopped after it.
func runAll(ctx context.Context, main func(context.Context) error, others ...func(context.Context) error) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, background := errgroup.WithContext(background)
	for _, other := range others {
		group.Go(func() error { return other(background) })
	}
	group.Go(func() error {
		defer cancel()
		return main(ctx)
	})
	return group.Wait()
}
