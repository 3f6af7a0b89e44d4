package program

import (
	"context"
	"io"
	"time"

	"github.com/chicoryrock/chicoryrock/internal/ops/settings"
	"github.com/chicoryrock/chicoryrock/internal/serve/admin"
	"github.com/chicoryrock/chicoryrock/internal/serve/agent"
)

func runAgent(ctx context.Context, args, environ []string, stderr io.Writer) error {
	config, err := settings.ParseAgent(args, environ, stderr)
	if err != nil {
		return err
	}
	log := newLog(config.Verbose, stderr)
	process := &agent.Agent{Settings: config, Log: log}
	operators := &admin.Admin{
		Listen: config.Admin,
		Log:    log,
		Ready:  process.Ready,
		Status: func(time.Time) admin.Status {
			return admin.Status{Name: config.Name, Role: "agent", Centre: config.Centre}
		},
	}
	return runAll(ctx, process.Run, operators.Server().Run)
}
