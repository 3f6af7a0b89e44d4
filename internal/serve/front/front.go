// Package front takes in the requests of a platform's callers: chosen by host and
// path, with a key for each workspace, and passed on byte for byte to a backend
// server. Which one, when, and whether again, the same core decides that serves
// the model interface of package entry.
package front

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/ops/metrics"
	"github.com/chicoryrock/chicoryrock/internal/ops/trail"
	"github.com/chicoryrock/chicoryrock/internal/policy/demand"
	"github.com/chicoryrock/chicoryrock/internal/policy/departure"
	"github.com/chicoryrock/chicoryrock/internal/policy/place"
	"github.com/chicoryrock/chicoryrock/internal/policy/retry"
	"github.com/chicoryrock/chicoryrock/internal/policy/suspect"
	"github.com/chicoryrock/chicoryrock/internal/serve/gate"
	"github.com/chicoryrock/chicoryrock/internal/serve/guard"
	"github.com/chicoryrock/chicoryrock/internal/serve/inbound"
	"github.com/chicoryrock/chicoryrock/internal/serve/origins"
	"github.com/chicoryrock/chicoryrock/internal/serve/reserve"
	"github.com/chicoryrock/chicoryrock/internal/serve/upstream"
	"github.com/chicoryrock/chicoryrock/internal/state/routing"
	"github.com/chicoryrock/chicoryrock/internal/state/servers"
	"github.com/chicoryrock/chicoryrock/platform"
)

const (
	// expireInterval is how often waiting requests are checked for lateness.
	expireInterval = 20 * time.Millisecond
	// sweepInterval is how often idle connections to backend servers are looked at.
	sweepInterval = time.Second
	// headerTimeout bounds the time for a request's header until the operator's
	// limits are known.
	headerTimeout = 10 * time.Second
	// idleTimeout closes a caller's idle connection until the operator's limits
	// are known.
	idleTimeout = time.Minute
	// maxHeader is the largest header that is read at all, bytes.
	maxHeader = 128 << 10
	// noticeTime is how long the platform takes to send no more new connections to
	// a process that isn't ready: two questions a second apart, and some more.
	noticeTime = 2500 * time.Millisecond
	// callerSilence is how long a caller may leave sent bytes without an
	// acknowledgement. Its connection counts as lost then, and its backend server
	// need not work on for it.
	callerSilence = 3 * time.Second
	// leastConnections is how many connections to one backend server each process
	// may have, however many processes there are: some streams and a spare one.
	leastConnections = 4
	// exitMargin is kept from the end of the time for a shutdown.
	exitMargin = 600 * time.Millisecond
	// finalTime is how long open requests may take to get their final answer before that.
	finalTime = 100 * time.Millisecond
)

// Front is one process that callers connect to. Set the exported fields, then
// call Run.
type Front struct {
	Node     *platform.Node
	Log      *event.Log
	Upstream *upstream.Client
	Placer   *place.Placer
	Gate     *gate.Gate
	Budget   func() retry.Budget // for the repeats of a service
	Began    func(now time.Time, workspace string)
	Needs    *demand.Counter
	Metrics  *metrics.Metrics
	Dropped  func() int64 // lines of the log that were dropped; may be nil
	// Process names this process in what it tells the others.
	Process string
	// Trial asks the process that grants the trials of a ban whether a request may be sent
	// as one.
	Trial func(ctx context.Context, ban *suspect.Ban, id string, candidate *suspect.Candidate) bool
	// Observe takes in what a start of a backend server says of itself in an answer.
	Observe func(now time.Time, start servers.Start, said servers.Statement)
	// Verify reads the entry of a backend server from the store. Errors:
	// chicoryrock.ErrNotFound for a server that is gone, and those of the store. Nil where
	// there is nothing to read.
	Verify func(ctx context.Context, server string) (chicoryrock.Server, error)
	// Starts returns the starts of a backend server that were listed lately; nil for none.
	Starts func(server string) []chicoryrock.Server
	// Origins knows which build began each stream.
	Origins *origins.Origins
	// Room is what callers may hold in memory, and how many connections they may have; nil
	// for no limits.
	Room *reserve.Pool
	// Asked is the room of the address at which the platform asks whether it is ready.
	Asked *reserve.Pool
	// Hedge is the share of a service's requests that may be hedged; 0 for none.
	Hedge float64
	// Sound says whether the other parts of the process run; nil for always.
	Sound func(now time.Time) bool

	bounds   atomic.Pointer[platform.Bounds]
	table    atomic.Pointer[routing.Table]
	known    atomic.Bool // a list of backend servers has been read, and which of them are evacuated
	open     atomic.Int64
	placing  sync.Mutex
	suspects suspects
	cold     coldServers
	retries  retriers
	limits   limits
	hedges   hedges
	served   counts
	trails   trail.Book
	ended    endings
	runs     departure.Runs
	endsAt   atomic.Pointer[time.Time] // when open requests get their final answer; nil but in a shutdown
	parts    guard.Parts

	evacuated map[string]bool // data centres that are being evacuated; nil until that is known
}

// Bounds returns the platform's bounds that are in force.
func (f *Front) Bounds() platform.Bounds {
	if bounds := f.bounds.Load(); bounds != nil {
		return *bounds
	}
	return f.Node.Bounds
}

// SetBounds puts other bounds in force.
func (f *Front) SetBounds(bounds platform.Bounds) { f.bounds.Store(&bounds) }

// Table returns the configuration in force, or nil.
func (f *Front) Table() *routing.Table { return f.table.Load() }

// Draining says whether the process is shutting down.
func (f *Front) Draining() bool { return f.endsAt.Load() != nil }

// Loads returns what this process has open, for its peers.
func (f *Front) Loads(now time.Time) []chicoryrock.OpenLoad {
	f.placing.Lock()
	defer f.placing.Unlock()
	return f.Placer.OpenLoads(now)
}

// Reads returns which sessions' parts were read where since it was last asked.
func (f *Front) Reads() []chicoryrock.CachedPrefix {
	f.placing.Lock()
	defer f.placing.Unlock()
	return f.Placer.TakeCachedPrefixes()
}

// SetReads takes in what another process saw of that.
func (f *Front) SetReads(now time.Time, reads []chicoryrock.CachedPrefix) {
	f.placing.Lock()
	defer f.placing.Unlock()
	f.Placer.AddCachedPrefixes(now, reads)
}

// SetOthers takes in what the other processes have open.
func (f *Front) SetOthers(now time.Time, loads map[uint32]chicoryrock.OpenLoad, processes int) {
	f.placing.Lock()
	defer f.placing.Unlock()
	f.Placer.SetPeerLoads(now, loads, processes)
}

// Learned returns what the placer has learned of the engines.
func (f *Front) Learned() map[string]place.Calibration {
	f.placing.Lock()
	defer f.placing.Unlock()
	return f.Placer.Calibrations()
}

// Teach gives the placer what was learned before.
func (f *Front) Teach(learned map[string]place.Calibration) {
	f.placing.Lock()
	defer f.placing.Unlock()
	f.Placer.Restore(learned)
}

// Configure puts a configuration in force if it is newer than the present one.
func (f *Front) Configure(table *routing.Table) bool {
	for {
		present := f.table.Load()
		if !table.Newer(present) {
			return false
		}
		if f.table.CompareAndSwap(present, table) {
			return true
		}
	}
}

// boot is one start of a backend server.
type boot struct {
	id   string
	born int64
}

// SetEvacuated takes in the data centres that are being evacuated. It takes effect with the
// next SetServers.
func (f *Front) SetEvacuated(centres []string) {
	evacuated := make(map[string]bool, len(centres))
	for _, centre := range centres {
		evacuated[centre] = true
	}
	f.placing.Lock()
	f.evacuated = evacuated
	f.placing.Unlock()
}

// SetServers takes in the backend servers that may be used.
func (f *Front) SetServers(now time.Time, list []chicoryrock.Server) {
	pools := make(map[string][]chicoryrock.Replica)
	if table := f.Table(); table != nil {
		for i := range table.Services {
			pools[table.Services[i].Name] = nil
		}
	}
	f.Origins.SetServers(now, list)
	f.restarted(now, list)
	f.placing.Lock()
	f.cold.set(now, list)
	for i := range list {
		s := &list[i]
		coldUntil := f.cold.until(s)
		pools[s.Service] = append(pools[s.Service], chicoryrock.Replica{
			Name:      s.ID,
			Pool:      s.Service,
			Centre:    s.Centre,
			Region:    f.Node.Regions[s.Centre],
			Address:   s.Address,
			StartedMs: s.StartedMs,
			RestUntil: s.RestUntil,
			Slots:     s.Slots,
			Leaving:   s.Leaving,
			Evacuated: f.evacuated[s.Centre],
			ColdUntil: coldUntil,
			Version:   s.Build(),
			Weights:   s.Weights,
			Unlisted:  !f.Origins.MayBegin(s.Service, s.Build()),
		})
	}
	f.limitCold(now, list, pools)
	known := f.evacuated != nil
	f.limits.setNames(list)
	for name, replicas := range pools {
		f.Placer.SetReplicas(name, replicas)
	}
	f.placing.Unlock()
	f.Gate.SetReplicas(pools)
	if known {
		f.known.Store(true)
	}
}

// Ready says whether the process can serve.
func (f *Front) Ready() bool {
	sound := f.Sound == nil || f.Sound(time.Now())
	return f.table.Load() != nil && f.known.Load() && !f.Draining() && sound
}

// Run serves until the context ends, then drains within the platform's grace.
func (f *Front) Run(ctx context.Context) error {
	f.trails.Log = f.Log
	callers, err := listen(f.Node.Callers)
	if err != nil {
		return err
	}
	asked, err := listen(f.Node.Ready)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           http.HandlerFunc(f.safely),
		ReadHeaderTimeout: headerTimeout, // the bounds of callers hold besides
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          f.Log.Std(),
		ConnState:         f.connChanged,
		ConnContext:       withConn,
	}
	ready := &http.Server{
		Handler:           http.HandlerFunc(f.handleReady),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    inbound.SmallHead,
		ErrorLog:          f.Log.Std(),
		ConnState:         inbound.State,
	}
	f.Asked.Guard(ready)
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, background := errgroup.WithContext(background)
	group.Go(func() error { return serve(server, f.accept(f.Room.Listener(callers))) })
	group.Go(func() error {
		return serve(ready, inbound.Listener{Listener: f.Asked.Listener(asked), Bounds: inbound.Small, Ended: f.ended.add}.Wrap())
	})
	group.Go(func() error { return f.parts.Keep(background, "tick", f.tick) })
	group.Go(func() error {
		defer cancel()
		select {
		case <-ctx.Done():
			f.drain(server)
		case <-background.Done():
		}
		_ = server.Close()
		return ready.Close()
	})
	return group.Wait()
}

func listen(address netip.AddrPort) (net.Listener, error) {
	config := net.ListenConfig{Control: platform.SetUnackedTimeout(callerSilence)}
	listener, err := config.Listen(context.Background(), "tcp", address.String())
	return listener, errors.Wrapf(err, "listen at %v", address)
}

func serve(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.WithStack(err)
}

func (f *Front) handleReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != platform.ReadyPath:
		w.WriteHeader(http.StatusNotFound)
	case f.Ready():
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// drain serves on until the platform sends no more callers, then waits for the
// open requests.
func (f *Front) drain(server *http.Server) {
	begin := time.Now()
	grace := f.Bounds().Grace
	endsAt := begin.Add(grace - min(exitMargin+finalTime, grace/8))
	f.endsAt.Store(&endsAt)
	f.Log.Write(event.Draining, zap.Int64("open", f.open.Load()))
	time.Sleep(min(noticeTime, grace/3))
	ctx, cancel := context.WithDeadline(context.Background(), endsAt)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		f.Log.Write(event.Failed, zap.String("why", "requests were still open at the end of the grace"),
			zap.Int64("open", f.open.Load()), zap.Error(err))
		f.suspects.endCalls(errShutdown)
		// It waits until the answers have been sent, not only until their handlers have ended.
		final, cancel := context.WithTimeout(context.Background(), min(finalTime, grace/16))
		defer cancel()
		_ = server.Shutdown(final)
	}
}

// takes reports whether a request that has not been sent yet can be expected to end before the
// process does.
func (f *Front) takes(now time.Time, route *routing.Route, limit time.Duration) bool {
	endsAt := f.endsAt.Load()
	return endsAt == nil || f.runs.Takes(now, *endsAt, route.Name, limit)
}

// tick does what is due from time to time.
func (f *Front) tick(ctx context.Context) error {
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-expire.C:
			f.Gate.Expire(now)
			f.enforceBans(now)
		case now := <-sweep.C:
			f.Upstream.Sweep(now)
			f.Room.Write(f.Log)
			f.served.write(f.Log, f.open.Load(), f.trails.Left(), f.dropped())
			f.liftCold(now)
			f.ended.write(f.Log, f.Metrics)
			f.writeViews(now)
			f.writeSent(now)
		}
	}
}

// dropped returns how many lines of the log were dropped since it was last asked.
func (f *Front) dropped() int64 {
	if f.Dropped == nil {
		return 0
	}
	return f.Dropped()
}

// writeViews logs what is believed of the pools with engines.
func (f *Front) writeViews(now time.Time) {
	f.placing.Lock()
	views := f.Placer.Estimates(now)
	f.placing.Unlock()
	for i := range views {
		v := &views[i]
		f.Log.Write(event.PoolBelief, zap.String("pool", v.Pool), zap.Int("replicas", v.Replicas), zap.Int("readers", v.LongPromptReplicas),
			zap.Int("wanted", v.WantedLongPromptReplicas), zap.Bool("apart", v.Partitioned), zap.Float64("mixed", v.MixedLateShare), zap.Duration("pause", v.LongestPause), zap.Duration("base", v.BaseTime),
			zap.Duration("token", v.TimePerToken), zap.Float64("reading", v.LongPromptLoad), zap.Int("open", v.OpenRequests))
	}
}

// locked guards the placer, which the gate's lock doesn't cover when answers are
// observed.
type locked struct{ front *Front }

// Pick implements chicoryrock.Picker.
func (l locked) Pick(now time.Time, request *chicoryrock.Request, replicas []chicoryrock.Replica) (int, bool) {
	l.front.placing.Lock()
	defer l.front.placing.Unlock()
	return l.front.Placer.Pick(now, request, replicas)
}

// Picker returns the front's placer under its lock.
func (f *Front) Picker() chicoryrock.Picker { return locked{f} }

func (f *Front) asked(now time.Time, request *chicoryrock.Request) {
	f.placing.Lock()
	defer f.placing.Unlock()
	f.Placer.RecordArrival(now, request)
}

func (f *Front) choice(request *chicoryrock.Request) (place.Placement, bool) {
	f.placing.Lock()
	defer f.placing.Unlock()
	return f.Placer.Placement(request)
}

// connections returns how many connections this process may have to one backend
// server of a service: its part of what such a server takes from all.
func (f *Front) connections(service string) int {
	table := f.Table()
	if table == nil {
		return 0
	}
	found := table.Service(service)
	if found == nil || found.MaxConns <= 0 {
		return 0
	}
	return max(found.MaxConns/f.Members(), leastConnections)
}

// address returns where a backend server is reached; the zero value for one that
// is not known or gets no new work.
func (f *Front) address(service, name string) netip.AddrPort {
	if name == "" {
		return netip.AddrPort{}
	}
	return f.Gate.Address(service, name)
}

// returns says how long a refused request's caller should wait.
func (f *Front) returns(now time.Time, request *chicoryrock.Request) (time.Duration, bool) {
	replicas := f.Gate.ReplicasFor(now, request)
	f.placing.Lock()
	defer f.placing.Unlock()
	return f.Placer.RecordRefusal(now, request, replicas)
}

func (f *Front) first(now time.Time, request *chicoryrock.Request) {
	f.placing.Lock()
	defer f.placing.Unlock()
	f.Placer.RecordFirstToken(now, request)
}

func (f *Front) latePause(request *chicoryrock.Request) {
	f.placing.Lock()
	defer f.placing.Unlock()
	f.Placer.RecordLatePause(request)
}

func (f *Front) done(now time.Time, request *chicoryrock.Request, pause time.Duration, failed bool) {
	f.placing.Lock()
	defer f.placing.Unlock()
	f.Placer.RecordEnd(now, request, pause, failed)
}
