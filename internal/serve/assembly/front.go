package assembly

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/ops/metrics"
	"github.com/chicoryrock/chicoryrock/internal/policy/demand"
	"github.com/chicoryrock/chicoryrock/internal/policy/dispatch"
	"github.com/chicoryrock/chicoryrock/internal/policy/place"
	"github.com/chicoryrock/chicoryrock/internal/policy/queue"
	"github.com/chicoryrock/chicoryrock/internal/policy/quota"
	"github.com/chicoryrock/chicoryrock/internal/policy/retry"
	"github.com/chicoryrock/chicoryrock/internal/serve/billing"
	"github.com/chicoryrock/chicoryrock/internal/serve/duty"
	"github.com/chicoryrock/chicoryrock/internal/serve/follow"
	"github.com/chicoryrock/chicoryrock/internal/serve/front"
	"github.com/chicoryrock/chicoryrock/internal/serve/gate"
	"github.com/chicoryrock/chicoryrock/internal/serve/guard"
	"github.com/chicoryrock/chicoryrock/internal/serve/inbound"
	"github.com/chicoryrock/chicoryrock/internal/serve/origins"
	"github.com/chicoryrock/chicoryrock/internal/serve/upstream"
	"github.com/chicoryrock/chicoryrock/internal/state/fleet"
	"github.com/chicoryrock/chicoryrock/internal/state/origin"
	"github.com/chicoryrock/chicoryrock/internal/state/routing"
	"github.com/chicoryrock/chicoryrock/internal/state/servers"
	"github.com/chicoryrock/chicoryrock/platform"
)

const (
	// storeTimeout bounds the store's answers; a watch's own wait is added. Answers
	// take some milliseconds, and up to a quarter of a second while it is slow.
	storeTimeout = 500 * time.Millisecond
	// apiTimeout bounds the answers of the interface for orders and usage.
	apiTimeout = 2 * time.Second
	// upstreamSilence is how long a backend server may leave sent bytes without an
	// acknowledgement.
	upstreamSilence = 1200 * time.Millisecond
	// firstProcesses is how many processes are taken to share the budget of repeats
	// at least: those that are not known yet repeat too.
	firstProcesses = 6
	// retryMargin is the share of the allowed repeats that is used.
	retryMargin = 0.7
	// renewPart is the part of a duty's lease after which it is renewed.
	renewPart = 3
	// frontQueue is the most requests that wait for one service.
	frontQueue = 4000
	// closeTime is how long a process that ends tries to hand on its counts: what
	// its requests leave of the grace at least.
	closeTime = 500 * time.Millisecond
	// scrapeTimeout bounds the header of a scrape.
	scrapeTimeout = 5 * time.Second
	// candidates is how many processes try for a duty.
	candidates = 2
	// dutyUsage names the duty of reporting usage.
	dutyUsage = "usage"
)

// Front is one front with all that it needs. Set the exported fields, then call
// Run.
type Front struct {
	Node    *platform.Node
	Log     *event.Log
	File    string // of the settings
	Started time.Time
	Dropped func() int64 // lines of the log that were dropped; may be nil
	// Hedge is the share of a service's requests that may be hedged; 0 for none.
	Hedge float64
	// Scrapes is where metrics are served, at /metrics; the zero value for nowhere.
	Scrapes netip.AddrPort
	// Hangup is where SIGHUP arrives; nil to ask for it in Run.
	Hangup <-chan os.Signal

	parts   guard.Parts
	metrics *metrics.Metrics
	front   *front.Front
	store   *platform.Store
	mutex   sync.Mutex
	servers servers.VersionedList
	starts  servers.Starts
	clock   billing.Clock
	book    *billing.Book
	needs   *demand.Counter
	peers   *peers
	// evacuations are followed like the servers.
	evacuations evacuations
	// collector writes the counts of other processes with this one's.
	collector billing.Collector
	usage     *billing.Reporter // nil without that duty
	origins   *origins.Origins
	granting  sync.Mutex // held while a trial of a ban is decided
	duties    []*duty.Holder
	read      []byte        // the settings as last read
	watched   time.Time     // when the store last answered a watch of the servers by this process
	operator  watchState    // of what operators write
	news      chan struct{} // the store has told something that the peers should know
	restored  chan struct{} // the store has come back from a copy
	again     atomic.Bool   // the list of backend servers is to be read from the store again
	told      chan struct{} // a peer knows something that it was told of just now
	// toldConfig is like told, for the part that collects configurations.
	toldConfig     chan struct{}
	configurations configurations
}

// Run runs the front until the context ends and its requests have drained.
func (p *Front) Run(ctx context.Context) error {
	node := p.Node
	process := processName(node.Name, p.Started)
	p.store = &platform.Store{Address: node.Store, Timeout: storeTimeout}
	p.metrics = metrics.New(time.Now)
	p.store.Called = func(kind string, err error) { p.metrics.Call(kind, err != nil) }
	p.restored = make(chan struct{}, 1)
	p.store.Restored = func(era uint64) {
		p.Log.Write(event.Restored, zap.Uint64("era", era))
		signalTo(p.restored)
	}
	p.parts.Log = p.Log
	p.news, p.told, p.toldConfig = make(chan struct{}, 1), make(chan struct{}, 1), make(chan struct{}, 1)
	p.configurations.failed = make(map[string]time.Time)
	p.book = &billing.Book{Process: process, Length: node.Bounds.UsageWindow, Store: p.store, Log: p.Log, Clock: &p.clock}
	p.peers = &peers{
		process: process,
		address: netip.AddrPortFrom(node.Address, node.Ports[0]),
		store:   p.store,
		log:     p.Log,
		fleet:   fleet.Fleet{Self: process},
	}
	p.collector.Store = p.store
	p.book.Relay, p.book.Collect, p.book.Keep, p.book.Alive = p.relay, p.collect, p.keep, p.lives
	p.needs = &demand.Counter{Entry: process}
	p.build()
	p.Log.Write(event.Started, zap.String("name", node.Name), zap.String("process", process),
		zap.Stringer("address", node.Callers), zap.String("centre", node.Centre))
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, background := errgroup.WithContext(background)
	keep := func(ctx context.Context, part string, run func(context.Context) error) {
		group.Go(func() error { return p.parts.Keep(ctx, part, run) })
	}
	for _, follower := range p.followers() {
		keep(background, "follow "+follower.Prefix, follower.Run)
	}
	keep(background, "follow "+peerPrefix, p.followPeers)
	keep(background, "write again", p.writeAgain)
	keep(background, "lapse", p.expire)
	keep(background, "settings", p.reload)
	keep(background, "learned", p.remember)
	keep(background, "bans", p.rememberBans)
	keep(background, "software versions", p.origins.Run)
	if p.Scrapes.IsValid() {
		// Callers are served without metrics too: their failures leave the front ready.
		aside := &guard.Parts{Log: p.Log}
		group.Go(func() error { return aside.Keep(background, "metrics", p.serveMetrics) })
	}
	if p.talks() {
		keep(background, "peers", func(ctx context.Context) error { return p.peerServer().Run(ctx) })
		keep(background, "reports", func(ctx context.Context) error { return p.gossip().Run(ctx) })
		keep(background, "share", p.share)
		keep(background, "collect configurations", p.collectConfigurations)
		keep(background, "catch up servers", p.catchUpServers)
		keep(background, "catch up evacuations", p.catchUpEvacuations)
		keep(background, "crashes", p.tellCrashes)
		keep(background, "compare crashes", p.compareCrashes)
	}
	if node.Bill {
		keep(background, "counts", p.book.Run)
		keep(background, "seals", p.usage.Follow)
		keep(background, "pauses", p.usage.Attend)
		keep(ctx, "duty "+dutyUsage, p.hold(p.reporter(process)).Run)
	}
	if node.Scale {
		keep(ctx, "duty "+duty.OrdersDuty, p.hold(p.orders(process)).Run)
	}
	group.Go(func() error {
		defer cancel()
		return p.front.Run(ctx)
	})
	err := group.Wait()
	if node.Bill {
		closing, stop := context.WithTimeout(context.WithoutCancel(ctx), closeTime)
		p.book.Close(closing)
		stop()
	}
	closing, stop := context.WithTimeout(context.WithoutCancel(ctx), closeTime)
	defer stop()
	if unsaved := p.origins.Write(closing); unsaved != nil {
		p.Log.Write(event.OriginUnsaved, zap.Error(unsaved))
	}
	p.Log.Write(event.Stopped, zap.String("process", process))
	return err
}

// serveMetrics answers scrapes.
func (p *Front) serveMetrics(ctx context.Context) error {
	mux := http.NewServeMux()
	scraped := p.metrics.Handler()
	mux.HandleFunc("/metrics", func(w http.ResponseWriter, r *http.Request) {
		p.gauges(time.Now())
		scraped.ServeHTTP(w, r)
	})
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", p.Scrapes.String())
	if err != nil {
		return errors.Wrap(err, "listen for metrics")
	}
	server := &http.Server{
		Handler: mux, ReadHeaderTimeout: scrapeTimeout, MaxHeaderBytes: inbound.SmallHead, ErrorLog: p.Log.Std(), ConnState: inbound.State,
	}
	room := operatorRoom(p.Node.Files)
	room.Guard(server)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(inbound.Listener{Listener: room.Listener(listener), Bounds: inbound.Small}.Wrap()); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve metrics")
	}
	return nil
}

func (p *Front) build() {
	node := p.Node
	p.origins = origins.New()
	p.starts.Lifetime = origin.Retention
	p.origins.Store, p.origins.Log = p.store, p.Log
	p.origins.Members = func() int { return p.front.Members() }
	p.origins.Changed, p.origins.Ask = p.republish, p.askSoftware
	p.front = &front.Front{
		Node: node,
		Log:  p.Log,
		Upstream: &upstream.Client{
			Control: platform.SetUnackedTimeout(upstreamSilence),
			Most:    connections(node.Files),
		},
		Room:  room(node.Memory, node.Files, p.metrics),
		Asked: operatorRoom(node.Files),
		Placer: &place.Placer{
			Centre: node.Centre, Region: node.Region,
			SlotsPerEngine: p.slots, TokensPerEvent: p.stride, FetchTimePerToken: p.fetchTime, CopyTimePerToken: p.copyTime,
			Seed: xxhash.Sum64String(p.peers.process), Quota: &quota.Member{Name: p.peers.process},
		},
		Budget:  p.budget,
		Hedge:   p.Hedge,
		Began:   p.book.Began,
		Needs:   p.needs,
		Metrics: p.metrics,
		Dropped: p.Dropped,
		Process: p.peers.process,
		Trial:   p.askTrial,
		Sound:   p.parts.Sound,
		Origins: p.origins,
		Verify:  p.listedServer,
		Starts:  p.listedStarts,
		Observe: p.observeServer,
	}
	if node.Bill {
		p.usage = p.newUsage()
	}
	p.front.Placer.Quota.Changed = p.front.LimitChanged
	members := 1
	if p.talks() {
		members = firstProcesses
	}
	p.front.SetLimitMembers(nil, members)
	newQueue := func(string) chicoryrock.Queue { return &queue.Queue{Limit: frontQueue} }
	p.front.Gate = gate.New(&dispatch.Dispatcher{NewQueue: newQueue, Picker: p.front.Picker()})
}

// processes returns how many processes share the budget of repeats.
func (p *Front) processes() int { return max(p.front.Members(), firstProcesses) }

// slots returns how many requests an engine of a service runs at once.
func (p *Front) slots(service string) int { return p.engine(service).Slots }

// stride returns how many tokens an event of a service's streams holds.
func (p *Front) stride(service string) int { return p.engine(service).TokensPerEvent }

// fetchTime returns how long an engine of a service takes to fetch a token.
func (p *Front) fetchTime(service string) time.Duration { return p.engine(service).FetchTimePerToken }

// copyTime returns how long the memory of a token takes to a copy on another engine.
func (p *Front) copyTime(service string) time.Duration { return p.engine(service).CopyTimePerToken }

// engine returns what is known of a service's engines; zeros where it has none.
func (p *Front) engine(service string) routing.Engine {
	if table := p.front.Table(); table != nil {
		if found := table.Service(service); found != nil && found.Engine != nil {
			return *found.Engine
		}
	}
	return routing.Engine{}
}

// budget is this process's part of the repeats that a service allows.
func (p *Front) budget() retry.Budget {
	bounds := p.front.Bounds()
	slack := bounds.RetrySlack * retryMargin / float64(p.processes())
	// Of the slack, half may go at once to retries that begin anew, and half over the window.
	return retry.Budget{
		Ratio:    bounds.RetryShare * retryMargin,
		Burst:    max(slack, 1),
		Window:   bounds.RetryWindow,
		Saved:    max(slack/2, 1),
		BaseRate: slack / 2 / bounds.RetryWindow.Seconds(),
	}
}

// newUsage returns what seals and reports usage windows.
func (p *Front) newUsage() *billing.Reporter {
	bounds := &p.Node.Bounds
	return &billing.Reporter{
		Length:    bounds.UsageWindow,
		Late:      bounds.UsageLate,
		Store:     p.store,
		Biller:    &platform.API{Address: p.Node.API, Timeout: apiTimeout, Holder: p.Node.Name},
		Log:       p.Log,
		Clock:     &p.clock,
		Alive:     p.peers.alive,
		Sent:      p.metrics.Window,
		Share:     p.shareSeal,
		Told:      p.toldSeals,
		Era:       p.store.Era,
		Unwritten: p.book.Unwritten,
	}
}

func (p *Front) reporter(process string) *duty.Holder {
	bounds := &p.Node.Bounds
	return &duty.Holder{
		Duty:      dutyUsage,
		Process:   process,
		Store:     p.store,
		Log:       p.Log,
		Candidate: p.candidate,
		Work:      p.usage.Work,
		TTL:       bounds.Lease,
		Renew:     bounds.Lease / renewPart,
	}
}

// candidate says whether this process should try for duties: the first two of
// those that live are enough, and spare the store the others' looks. Who lives is not
// known at the start.
func (p *Front) candidate() bool {
	now := time.Now()
	if !p.settled(now) {
		return false
	}
	alive := p.peers.alive(now)
	return slices.Contains(alive[:min(len(alive), candidates)], p.peers.process)
}

func (p *Front) followers() []*follow.Follower {
	return []*follow.Follower{
		{
			Store: p.store, Prefix: platform.OperatorPrefix, Log: p.Log, Settled: p.settled, Rest: p.restsOperator, Patient: p.leaves,
			Reset:   p.readOperator,
			Changed: p.changeOperator,
			Resume:  true,
			Heard:   p.heardOperator,
			Cut:     p.failedOperator,
			Lost:    p.failedOperator,
		},
		{
			Store: p.store, Prefix: platform.ServerPrefix, Log: p.Log, Settled: p.settled, Rest: p.rests, Patient: p.leaves,
			Reset:   p.resetServers,
			Changed: p.changeServers,
			Heard:   p.heardServers,
			Lost:    p.lostServers,
			Again:   func() bool { return p.again.Swap(false) },
		},
	}
}

// followPeers enters this process in the store and then follows the others' entries. In
// that order, of two processes that start at once at least one reads the other's entry
// and sends it reports, from which that one knows where it is.
func (p *Front) followPeers(ctx context.Context) error {
	if p.talks() {
		if err := p.peers.join(ctx, p.Node.Name); err != nil {
			return err
		}
	}
	follower := follow.Follower{
		Store: p.store, Prefix: peerPrefix, Log: p.Log, Wait: peerWait, Settled: p.settled, Rest: p.rests, Patient: p.leaves,
		Reset: func(now time.Time, entries []chicoryrock.KeyValue, revision uint64) {
			p.peers.reset(now, entries, revision)
			// The others learn from a report that this process is there, and tell it what
			// they do.
			signalTo(p.news)
		},
		Changed: func(now time.Time, changes *follow.Changes) {
			for _, entry := range changes.Entries {
				p.peers.change(now, entry)
			}
		},
	}
	return follower.Run(ctx)
}

// writeAgain writes this process's entries, counts and seals again after the store has come
// back from a copy.
func (p *Front) writeAgain(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.restored:
		}
		p.book.Restored()
		p.origins.Restored(time.Now())
		if p.usage != nil {
			p.usage.Restored(ctx, time.Now())
		}
		if p.talks() {
			if err := p.peers.join(ctx, p.Node.Name); err != nil {
				return err
			}
		}
	}
}

// talks says whether this process exchanges reports with others.
func (p *Front) talks() bool { return p.Node.Ports[0] != 0 }

// settled says whether this process knows enough of the others to decide what it
// leaves to them: that takes a while, but one of those that watch for all by the
// entries in the store need not wait.
func (p *Front) settled(now time.Time) bool {
	return !p.talks() || now.Sub(p.Started) >= settleTime || p.peers.early()
}

// configure takes in the operator's configuration as the store has it.
func (p *Front) configure(now time.Time, entry chicoryrock.KeyValue) {
	if entry.Key != platform.ConfigKey || entry.Deleted {
		return
	}
	p.takeRaw(now, entry.Value, "store")
	signalTo(p.news)
}

// republish passes the list of backend servers on again after a change of what else is known
// of them.
func (p *Front) republish() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.publishAgain()
}

// publishAgain is republish with the lock held. A list that a peer has sent change by change
// has a version, too, although it was never read as a whole.
func (p *Front) publishAgain() {
	if p.servers.Loaded() || p.servers.Version() > 0 {
		p.publish(nil)
	}
}
