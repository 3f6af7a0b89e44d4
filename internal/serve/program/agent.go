package program

import (
	"context"
	"io"
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/settings"
	"github.com/chicoryrock/chicoryrock/internal/serve/admin"
	"github.com/chicoryrock/chicoryrock/internal/serve/agent"
	"github.com/chicoryrock/chicoryrock/internal/serve/feed"
	"github.com/chicoryrock/chicoryrock/internal/serve/platform"
	"github.com/chicoryrock/chicoryrock/internal/serve/roster"
	"github.com/chicoryrock/chicoryrock/internal/state/member"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

// agentRosterInterval is how often an agent reads the list of VMs, which it only
// needs to find entries that tell it the configuration.
const agentRosterInterval = 10 * time.Second

func runAgent(ctx context.Context, args, environ []string, stderr io.Writer) error {
	config, err := settings.ParseAgent(args, environ, stderr)
	if err != nil {
		return err
	}
	log := newLog(config.Verbose, stderr)
	secrets, err := loadSecrets(&config.Common, log)
	if err != nil {
		return err
	}
	tables := &object.Holder{}
	process := &agent.Agent{Settings: config, Log: log, TLS: secrets.acceptCalls}
	list := &roster.Roster{
		Self:      member.Self{Name: config.Name, Centre: config.Centre, Region: config.Region},
		Directory: directoryOf(&config.Common),
		Interval:  agentRosterInterval,
		Seeds:     config.Peers,
		Log:       log,
	}
	follower := &feed.Feed{
		Holder:  tables,
		Log:     log,
		TLS:     secrets.dialPeers,
		Reader:  func() bool { return false },
		Sources: list.Sources,
	}
	operators := &admin.Admin{
		Listen: config.Admin,
		Log:    log,
		Ready:  process.Ready,
		Status: func(now time.Time) admin.Status {
			return admin.Status{
				Name:     config.Name,
				Role:     member.RoleAgent,
				Centre:   config.Centre,
				Revision: tables.Revision(),
				Age:      follower.Age(now),
			}
		},
	}
	return runAll(ctx, process.Run, list.Run, follower.Run, operators.Server().Run)
}

func directoryOf(common *settings.Common) chicoryrock.Directory {
	if !common.VMs.IsValid() {
		return nil
	}
	return &platform.Directory{Address: common.VMs, Timeout: callTimeout}
}
