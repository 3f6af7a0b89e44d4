package program

import (
	"context"
	"crypto/rand"
	"io"
	"net/http"
	"time"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/burn"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/ops/explain"
	"github.com/chicoryrock/chicoryrock/internal/ops/metrics"
	"github.com/chicoryrock/chicoryrock/internal/ops/settings"
	"github.com/chicoryrock/chicoryrock/internal/policy/baseline"
	"github.com/chicoryrock/chicoryrock/internal/policy/dispatch"
	"github.com/chicoryrock/chicoryrock/internal/serve/admin"
	"github.com/chicoryrock/chicoryrock/internal/serve/entry"
	"github.com/chicoryrock/chicoryrock/internal/serve/feed"
	"github.com/chicoryrock/chicoryrock/internal/serve/peer"
	"github.com/chicoryrock/chicoryrock/internal/serve/platform"
	"github.com/chicoryrock/chicoryrock/internal/serve/roster"
	"github.com/chicoryrock/chicoryrock/internal/state/member"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

const (
	// callTimeout bounds one call to the platform beyond the wait it asks for.
	callTimeout = 2 * time.Second
	// rosterInterval is how often the platform's list of VMs is read.
	rosterInterval = time.Second
	// recordCapacity is how many requests an entry can explain.
	recordCapacity = 8192
)

// entryParts is everything that makes up an entry.
type entryParts struct {
	config  *settings.Entry
	log     *event.Log
	secrets *secrets
	tables  *object.Holder
	metrics *metrics.Metrics
	records *explain.Recorder
	burn    *burn.Counter
	roster  *roster.Roster
	feed    *feed.Feed
	entry   *entry.Entry
}

func runEntry(ctx context.Context, args, environ []string, stderr io.Writer) error {
	config, err := settings.ParseEntry(args, environ, stderr)
	if err != nil {
		return err
	}
	log := newLog(config.Verbose, stderr)
	secrets, err := loadSecrets(&config.Common, log)
	if err != nil {
		return err
	}
	if err := secrets.loadCallers(config); err != nil {
		return err
	}
	parts := newEntryParts(config, log, secrets)
	return runAll(ctx, parts.entry.Run, parts.roster.Run, parts.feed.Run, parts.peers().Run, parts.operators().Run)
}

func newEntryParts(config *settings.Entry, log *event.Log, secrets *secrets) *entryParts {
	p := &entryParts{
		config:  config,
		log:     log,
		secrets: secrets,
		tables:  &object.Holder{},
		metrics: metrics.New(time.Now),
		records: &explain.Recorder{Capacity: recordCapacity},
		burn:    &burn.Counter{Process: config.Name + "/" + rand.Text()},
	}
	p.roster = &roster.Roster{
		Self:      member.Self{Name: config.Name, Centre: config.Centre, Region: config.Region},
		Directory: &platform.Directory{Address: config.VMs, Timeout: callTimeout},
		Interval:  rosterInterval,
		Seeds:     config.Peers,
		Log:       log,
	}
	p.feed = &feed.Feed{
		Store:   &platform.Store{Address: config.Store, Timeout: callTimeout},
		Holder:  p.tables,
		Log:     log,
		TLS:     secrets.dialPeers,
		Reader:  p.roster.Reader,
		Sources: p.roster.Sources,
		Home:    config.Home == config.Region,
	}
	p.entry = &entry.Entry{
		Settings: config,
		Log:      log,
		Tables:   p.tables,
		Roster:   p.roster,
		Safe:     p.feed.Safe,
		Observer: &entry.Observer{
			Metrics: p.metrics,
			Records: p.records,
			Burn:    p.burn,
		},
		Dispatcher: &dispatch.Dispatcher{
			NewQueue: func(string) chicoryrock.Queue { return &baseline.Queue{} },
			Picker:   baseline.LeastOutstanding{},
		},
		CallerTLS: secrets.callers,
		AgentTLS:  secrets.dialAgents,
	}
	p.entry.Prepare()
	p.roster.Changed = p.entry.ServersChanged
	p.feed.Changed = p.entry.ConfigChanged
	return p
}

// peers serves the other processes of the system.
func (p *entryParts) peers() *peer.Server {
	return &peer.Server{
		Listen:   p.config.Peer,
		TLS:      p.secrets.acceptPeers,
		Handlers: map[string]peer.Handler{feed.MethodWatch: p.feed.HandleWatch},
		Log:      p.log,
	}
}

// operators serves those who run the system.
func (p *entryParts) operators() interface{ Run(context.Context) error } {
	operators := &admin.Admin{
		Listen: p.config.Admin,
		Log:    p.log,
		Ready:  p.entry.Ready,
		Status: func(now time.Time) admin.Status {
			return admin.Status{
				Name:     p.config.Name,
				Role:     member.RoleEntry,
				Centre:   p.config.Centre,
				Revision: p.tables.Revision(),
				Age:      p.feed.Age(now),
			}
		},
		Metrics: p.metricsHandler(),
		Extra:   p.questions(),
	}
	return operators.Server()
}

// metricsHandler brings the gauges up to date at each scrape.
func (p *entryParts) metricsHandler() http.Handler {
	handler := p.metrics.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		now := time.Now()
		p.metrics.Configuration(p.tables.Revision(), now.Add(-p.feed.Age(now)))
		handler.ServeHTTP(w, r)
	})
}
