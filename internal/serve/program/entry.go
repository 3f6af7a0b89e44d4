package program

import (
	"context"
	"io"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/settings"
	"github.com/chicoryrock/chicoryrock/internal/policy/baseline"
	"github.com/chicoryrock/chicoryrock/internal/policy/dispatch"
	"github.com/chicoryrock/chicoryrock/internal/serve/admin"
	"github.com/chicoryrock/chicoryrock/internal/serve/entry"
	"github.com/chicoryrock/chicoryrock/internal/serve/feed"
	"github.com/chicoryrock/chicoryrock/internal/serve/platform"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

// callTimeout bounds one call to the platform.
const callTimeout = 2 * time.Second

func runEntry(ctx context.Context, args, environ []string, stderr io.Writer) error {
	config, err := settings.ParseEntry(args, environ, stderr)
	if err != nil {
		return err
	}
	log := newLog(config.Verbose, stderr)
	tables := &object.Holder{}
	process := &entry.Entry{
		Settings:  config,
		Log:       log,
		Tables:    tables,
		Directory: &platform.Directory{Address: config.VMs, Timeout: callTimeout},
		Dispatcher: &dispatch.Dispatcher{
			NewQueue: func(string) chicoryrock.Queue { return &baseline.Queue{} },
			Picker:   baseline.LeastOutstanding{},
		},
	}
	follower := &feed.Follower{
		Store:  &platform.Store{Address: config.Store, Timeout: callTimeout},
		Tables: tables,
		Log:    log,
	}
	operators := &admin.Admin{
		Listen: config.Admin,
		Log:    log,
		Ready:  process.Ready,
		Status: func(now time.Time) admin.Status {
			return admin.Status{
				Name:     config.Name,
				Role:     "entry",
				Centre:   config.Centre,
				Revision: tables.Revision(),
				Age:      follower.Age(now),
			}
		},
	}
	return runAll(ctx, process.Run, follower.Run, operators.Server().Run)
}

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
