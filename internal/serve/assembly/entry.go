// Package assembly puts the processes of the system together from their parts.
package assembly

import (
	"context"
	secret "crypto/rand"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/burn"
	"github.com/chicoryrock/chicoryrock/internal/ops/cost"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/ops/explain"
	"github.com/chicoryrock/chicoryrock/internal/ops/metrics"
	"github.com/chicoryrock/chicoryrock/internal/ops/settings"
	"github.com/chicoryrock/chicoryrock/internal/policy/demand"
	"github.com/chicoryrock/chicoryrock/internal/policy/dispatch"
	"github.com/chicoryrock/chicoryrock/internal/policy/pick"
	"github.com/chicoryrock/chicoryrock/internal/serve/admin"
	"github.com/chicoryrock/chicoryrock/internal/serve/duty"
	"github.com/chicoryrock/chicoryrock/internal/serve/entry"
	"github.com/chicoryrock/chicoryrock/internal/serve/exchange"
	"github.com/chicoryrock/chicoryrock/internal/serve/feed"
	"github.com/chicoryrock/chicoryrock/internal/serve/peer"
	"github.com/chicoryrock/chicoryrock/internal/serve/roster"
	"github.com/chicoryrock/chicoryrock/internal/serve/web"
	"github.com/chicoryrock/chicoryrock/internal/state/member"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
	"github.com/chicoryrock/chicoryrock/platform"
)

const (
	// callTimeout bounds one call to the platform beyond the wait it asks for.
	callTimeout = 2 * time.Second
	// rosterInterval is how often the platform's list of VMs is read.
	rosterInterval = 2 * time.Second
	// recordCapacity is how many requests an entry can explain.
	recordCapacity = 8192
)

// Entry is everything that makes up an entry process. Set the exported fields,
// then call Run.
type Entry struct {
	Settings *settings.Entry
	Log      *event.Log
	Opened   func(callers netip.AddrPort) // told the callers' address once it is open; may be nil

	secrets     *secrets
	peerAddress netip.AddrPort
	suspects    *entry.Suspects
	limits      *entry.Limits
	needs       *demand.Counter
	planner     planner
	exchange    *exchange.Exchange
	operators   netip.AddrPort
	tables      *object.Holder
	metrics     *metrics.Metrics
	records     *explain.Recorder
	burn        *burn.Counter
	cost        *cost.Meter
	roster      *roster.Roster
	feed        *feed.Feed
	entry       *entry.Entry
	claims      *duty.Claims
	instance    string // the process's name, and what no earlier process had
	duties      []*duty.Holder
	usage       *duty.Counter
	collector   *duty.Collector
}

// Run builds the parts and runs them until the context ends and the open requests
// are answered.
func (p *Entry) Run(ctx context.Context) error {
	if err := p.build(); err != nil {
		return err
	}
	peers := p.peers()
	address, err := peers.Open()
	if err != nil {
		return err
	}
	p.peerAddress = address
	operators := p.operatorServer()
	if p.operators, err = operators.Open(); err != nil {
		return err
	}
	p.duties = p.newDuties()
	others := []func(context.Context) error{p.roster.Run, p.feed.Run, p.claims.Run, p.usage.Run, peers.Run, p.exchange.Run, operators.Run}
	for _, holder := range p.duties {
		others = append(others, holder.Run)
	}
	return runAll(ctx, p.Log, p.entry.Run, others...)
}

func (p *Entry) build() error {
	secrets, err := loadEntrySecrets(p.Settings, p.Log)
	if err != nil {
		return err
	}
	p.secrets = secrets
	p.tables = &object.Holder{}
	p.instance = p.Settings.Name + "/" + secret.Text()
	p.metrics = metrics.New(time.Now)
	p.records = &explain.Recorder{Capacity: recordCapacity}
	p.burn = &burn.Counter{Process: p.instance}
	p.cost = &cost.Meter{Process: p.instance}
	p.suspects = &entry.Suspects{}
	p.limits = entry.NewLimits(time.Now(), p.Settings.Name)
	p.needs = &demand.Counter{Entry: p.Settings.Name}
	p.planner.core.StartedAt = time.Now()
	p.exchange = &exchange.Exchange{
		Self:     selfOf(&p.Settings.Common),
		Limits:   p.limits,
		Needs:    p.needs,
		Hear:     p.planner.hear,
		Suspects: p.suspects,
		TLS:      p.secrets.dialPeers,
		Log:      p.Log,
	}
	p.suspects.Share, p.suspects.Owns = p.exchange.Share, p.exchange.Owns
	p.roster = p.newRoster()
	p.feed = p.newFeed()
	p.claims = &duty.Claims{Store: p.feed.Store, Log: p.Log}
	p.collector = p.newCollector()
	p.usage = p.newUsage()
	p.entry = p.newEntry()
	p.entry.Prepare()
	p.roster.Read = func(vms []chicoryrock.VM) { p.cost.Observe(time.Now(), vms) }
	p.roster.Changed = p.serversChanged
	p.feed.Changed = p.entry.ConfigChanged
	return nil
}

// Ready says whether the entry serves. It may be called once Opened was.
func (p *Entry) Ready() bool { return p.entry.Ready() && p.entry.Placed() }

// Sees returns how many VMs the entry knows of. It may be called once Opened was.
func (p *Entry) Sees() int { return len(p.roster.VMs()) }

// PeerAddress returns where peers reach the entry. It may be called once Opened
// was.
func (p *Entry) PeerAddress() netip.AddrPort { return p.peerAddress }

// AdminAddress returns where operators reach the entry. It may be called once
// Opened was.
func (p *Entry) AdminAddress() netip.AddrPort { return p.operators }

// Table returns the configuration in force, or nil before the first.
func (p *Entry) Table() *object.Table { return p.tables.Table() }

// Explain returns the record of a request. Errors: those of explain.Recorder.Find.
func (p *Entry) Explain(ref string) (explain.Record, error) { return p.records.Find(ref) }

// serversChanged takes in a list of VMs as it was read.
func (p *Entry) serversChanged(vms []chicoryrock.VM) {
	p.exchange.ServersChanged(vms)
	p.entry.ServersChanged()
}

func (p *Entry) newRoster() *roster.Roster {
	return &roster.Roster{
		Self:      selfOf(&p.Settings.Common),
		Directory: directoryOf(&p.Settings.Common),
		Interval:  rosterInterval,
		Seeds:     p.Settings.Peers,
		Log:       p.Log,
	}
}

func (p *Entry) newFeed() *feed.Feed {
	return &feed.Feed{
		Store:   &platform.Store{Address: p.Settings.Store, Timeout: callTimeout},
		Holder:  p.tables,
		Log:     p.Log,
		TLS:     p.secrets.dialPeers,
		Reader:  p.roster.Reader,
		Sources: p.roster.Sources,
		Home:    p.Settings.Home == p.Settings.Region,
	}
}

func (p *Entry) newEntry() *entry.Entry {
	rules := &queues{}
	return &entry.Entry{
		Settings: p.Settings,
		Log:      p.Log,
		Tables:   p.tables,
		Roster:   p.roster,
		Safe:     p.feed.Safe,
		Opened:   p.Opened,
		Observer: &entry.Observer{Metrics: p.metrics, Records: p.records, Burn: p.burn, Cost: p.cost},
		Rules:    rules.update,
		Suspects: p.suspects,
		Limits:   p.limits,
		Needs:    p.needs,
		Dispatcher: &dispatch.Dispatcher{
			NewQueue: rules.newQueue,
			Picker: &pick.Picker{
				Centre: p.Settings.Centre,
				Region: p.Settings.Region,
				Random: rand.New(rand.NewPCG(xxhash.Sum64String(p.Settings.Name), uint64(time.Now().UnixNano()))),
			},
		},
		Claims:    p.claims,
		Process:   p.instance,
		Usage:     p.usage,
		Room:      room(bytesOf(&p.Settings.Common), int(p.Settings.Files), p.metrics),
		CallerTLS: p.secrets.callers,
		AgentTLS:  p.secrets.dialAgents,
	}
}

// peers serves the other processes of the system.
func (p *Entry) peers() *peer.Server {
	return &peer.Server{
		Listen: p.Settings.Peer,
		TLS:    p.secrets.acceptPeers,
		Handlers: map[string]peer.Handler{
			feed.MethodWatch:    peer.Typed(p.feed.HandleWatch),
			exchange.MethodTell: peer.Typed(p.exchange.HandleTell),
			duty.MethodUsage:    peer.Typed(p.collector.Handle),
		},
		Log:  p.Log,
		Room: peerRoom(int(p.Settings.Files)),
	}
}

// operatorServer serves those who run the system.
func (p *Entry) operatorServer() *web.Server {
	operators := &admin.Admin{
		Listen: p.Settings.Admin,
		Log:    p.Log,
		Ready:  p.entry.Ready,
		Room:   operatorRoom(int(p.Settings.Files)),
		Status: func(now time.Time) admin.Status {
			return admin.Status{
				Name:     p.Settings.Name,
				Role:     member.RoleEntry,
				Centre:   p.Settings.Centre,
				Revision: p.tables.Revision(),
				Age:      p.feed.Age(now),
				Duties:   p.dutyStatus(now),
			}
		},
		Metrics: p.metricsHandler(),
		Extra:   p.questions(),
	}
	return operators.Server()
}

// metricsHandler brings the gauges up to date at each scrape.
func (p *Entry) metricsHandler() http.Handler {
	handler := p.metrics.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		now := time.Now()
		p.metrics.Configuration(p.tables.Revision(), now.Add(-p.feed.Age(now)))
		p.entry.Measure()
		measureRoom(p.entry.Room, p.metrics)
		for _, one := range p.dutyStatus(now) {
			p.metrics.Duty(one.Name, one.Held)
		}
		handler.ServeHTTP(w, r)
	})
}
