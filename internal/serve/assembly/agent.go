package assembly

import (
	"context"
	secret "crypto/rand"
	"net/netip"
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/ops/settings"
	"github.com/chicoryrock/chicoryrock/internal/serve/admin"
	"github.com/chicoryrock/chicoryrock/internal/serve/agent"
	"github.com/chicoryrock/chicoryrock/internal/serve/duty"
	"github.com/chicoryrock/chicoryrock/internal/serve/feed"
	"github.com/chicoryrock/chicoryrock/internal/serve/roster"
	"github.com/chicoryrock/chicoryrock/internal/state/member"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
	"github.com/chicoryrock/chicoryrock/platform"
)

// agentRosterInterval is how often an agent reads the list of VMs, which it only
// needs to find entries that tell it the configuration.
const agentRosterInterval = 10 * time.Second

// Agent is everything that makes up an agent process. Set the exported fields,
// then call Run.
type Agent struct {
	Settings *settings.Agent
	Log      *event.Log
	Opened   func(entries netip.AddrPort) // told the entries' address once it is open; may be nil

	tables *object.Holder
	roster *roster.Roster
	feed   *feed.Feed
	agent  *agent.Agent
	usage  *duty.Counter
}

// Run builds the parts and runs them until the context ends and the open requests
// are answered.
func (p *Agent) Run(ctx context.Context) error {
	secrets, err := loadSecrets(&p.Settings.Common, p.Log)
	if err != nil {
		return err
	}
	p.tables = &object.Holder{}
	p.roster = &roster.Roster{
		Self:      selfOf(&p.Settings.Common),
		Directory: directoryOf(&p.Settings.Common),
		Interval:  agentRosterInterval,
		Seeds:     p.Settings.Peers,
		Log:       p.Log,
	}
	p.usage = &duty.Counter{
		Process: p.Settings.Name + "/" + secret.Text(),
		Window:  p.Settings.Window,
		Sources: p.roster.Sources,
		TLS:     secrets.dialPeers,
		Log:     p.Log,
	}
	p.agent = &agent.Agent{
		Settings: p.Settings,
		Log:      p.Log,
		TLS:      secrets.acceptCalls,
		Opened:   p.Opened,
		Process:  p.usage.Process,
		Usage:    p.usage,
		Room:     room(bytesOf(&p.Settings.Common), int(p.Settings.Files), nil),
	}
	p.agent.Prepare()
	p.feed = &feed.Feed{
		Holder:  p.tables,
		Log:     p.Log,
		TLS:     secrets.dialPeers,
		Reader:  func() bool { return false },
		Sources: p.roster.Sources,
		Changed: p.agent.ConfigChanged,
	}
	return runAll(ctx, p.Log, p.agent.Run, p.roster.Run, p.feed.Run, p.usage.Run, p.operators().Run)
}

// operators serves those who run the system.
func (p *Agent) operators() interface{ Run(context.Context) error } {
	operators := &admin.Admin{
		Listen: p.Settings.Admin,
		Log:    p.Log,
		Ready:  p.agent.Ready,
		Room:   operatorRoom(int(p.Settings.Files)),
		Status: func(now time.Time) admin.Status {
			return admin.Status{
				Name:     p.Settings.Name,
				Role:     member.RoleAgent,
				Centre:   p.Settings.Centre,
				Revision: p.tables.Revision(),
				Age:      p.feed.Age(now),
			}
		},
	}
	return operators.Server()
}

func selfOf(common *settings.Common) member.Self {
	return member.Self{Name: common.Name, Centre: common.Centre, Region: common.Region}
}

func directoryOf(common *settings.Common) chicoryrock.Directory {
	if !common.VMs.IsValid() {
		return nil
	}
	return &platform.Directory{Address: common.VMs, Timeout: callTimeout}
}
