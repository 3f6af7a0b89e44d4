package assembly

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/internal/policy/suspect"
	"github.com/chicoryrock/chicoryrock/internal/standin/host"
	"github.com/chicoryrock/chicoryrock/internal/standin/store"
	"github.com/chicoryrock/chicoryrock/internal/state/fleet"
	"github.com/chicoryrock/chicoryrock/platform"
	"github.com/chicoryrock/chicoryrock/platform/sample"
)

// large returns a sample configuration with so many routes more.
func large(version, routes int) string {
	random := rand.New(rand.NewPCG(1, 2))
	more := make([]string, routes)
	for i := range more {
		more[i] = sample.PublicRoute(fmt.Sprintf("r-%x", random.Uint64()), fmt.Sprintf("h%x.example", random.Uint32()), fmt.Sprintf("/%x/%d/", random.Uint64(), i))
	}
	return sample.WithRoutes(sample.Config(version, "k1"), more...)
}

// link passes connections on to an address. All bytes from there together come at a rate.
type link struct {
	rate  int // bytes a second
	mutex sync.Mutex
	free  time.Time // when the bytes that came so far have passed
}

func (l *link) Write(data []byte) (int, error) {
	l.mutex.Lock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(len(data)) * time.Second / time.Duration(l.rate))
	wait := l.free.Sub(now)
	l.mutex.Unlock()
	time.Sleep(wait)
	return len(data), nil
}

// slowLink returns the address of a link.
func slowLink(t *testing.T, target netip.AddrPort, rate int) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	shared := &link{rate: rate}
	pass := func(in, out net.Conn, via io.Writer) {
		defer func() { _ = in.Close() }()
		defer func() { _ = out.Close() }()
		_, _ = io.CopyBuffer(struct{ io.Writer }{io.MultiWriter(via, out)}, struct{ io.Reader }{in}, make([]byte, 4<<10))
	}
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target.String())
			if err != nil {
				_ = in.Close()
				continue
			}
			go pass(in, out, io.Discard)
			go pass(out, in, shared)
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// version returns the version of the configuration in force, zero for none.
func (d *deployment) version() uint64 {
	if table := d.front.front.Table(); table != nil {
		return table.Version
	}
	return 0
}

const (
	// largeRoutes fill a value of the store.
	largeRoutes = 4300
	// storeLink and peerLink are in bytes a second: 10 Mbit/s, and what streams leave of them.
	storeLink = 1_250_000
	peerLink  = 100_000
)

// Guards against limits of time that a configuration of the largest size never meets on a slow link to the store.
func TestLargeConfigurationArrivesFromTheStore(t *testing.T) {
	first := deploy(t)
	first.put(platform.ConfigKey, large(2, largeRoutes))
	node := *first.node
	node.Name, node.Callers, node.Ready, node.Store = "front-a-2", host.Own(), host.Own(), slowLink(t, node.Store, storeLink)
	starts := first.startAnother(&node)
	require.Eventually(t, func() bool { return starts.version() == 2 }, waitTime, 10*time.Millisecond)
}

// Guards against limits of time that a configuration of the largest size never meets on a slow link to a peer.
func TestLargeConfigurationArrivesFromAPeer(t *testing.T) {
	asks, tells := deploy(t, talking), deploy(t, talking)
	asks.configure(1, "k1")
	asks.settle(1, 0)
	asks.server.Switch(store.Switches{Outage: true})
	tells.put(platform.ConfigKey, large(2, largeRoutes))
	require.Eventually(t, func() bool { return tells.version() == 2 }, waitTime, 10*time.Millisecond)
	through := slowLink(t, tells.front.peers.address, peerLink)
	report := fleet.Report{Process: processName("front-b-1", time.Now()), ConfigVersion: 2, OmitsLoads: true}
	require.Eventually(t, func() bool {
		now := time.Now()
		asks.front.peers.heard(now, now, through, &report)
		return asks.version() == 2
	}, waitTime, 50*time.Millisecond)
}

// Guards against fronts that leave the operators' keys to watchers whose reads of just these keys hang.
func TestWatchOfServersDoesNotVouchForOperators(t *testing.T) {
	first := deploy(t)
	shut := make(chan struct{})
	door := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-shut:
			if strings.Contains(r.URL.RawQuery, "op%2F") {
				<-r.Context().Done()
				return
			}
		default:
		}
		(&doorway{store: first.node.Store, shut: t.Context()}).ServeHTTP(w, r)
	}))
	t.Cleanup(door.Close)
	var all []*deployment
	for i := range 5 {
		node := *first.node
		node.Name, node.Callers, node.Ready = fmt.Sprintf("front-a-%d", i+2), host.Own(), host.Own()
		if i < watchers {
			node.Store = netip.MustParseAddrPort(door.Listener.Addr().String())
		}
		talking(&node)
		all = append(all, first.startAnother(&node))
	}
	first.configure(1, "k1")
	for _, d := range all {
		d.settle(1, 0)
	}
	rests := func(d *deployment) bool { return d.front.rests(time.Now()) }
	require.Eventually(t, func() bool { return rests(all[3]) && rests(all[4]) }, waitTime, 10*time.Millisecond)
	close(shut)
	time.Sleep(2 * time.Second) // the watches that wait end
	first.configure(2, "k1")
	for _, d := range all {
		require.Eventually(t, func() bool { return d.version() == 2 }, waitTime, 10*time.Millisecond)
	}
}

// Guards against a front that leaves the store to watchers, knows of a newer configuration and can get it from no peer.
func TestFrontThatGetsNothingFromPeersReadsTheStore(t *testing.T) {
	d := deploy(t, talking)
	d.configure(1, "k1")
	d.settle(1, 0)
	told := uint64(1)
	hear := func() {
		for i := range watchers + 1 {
			report := fleet.Report{Process: processName(fmt.Sprintf("front-0-%d", i), d.front.Started), ConfigVersion: told, OmitsLoads: true}
			d.front.peers.heard(time.Now(), time.Now(), host.Own(), &report)
		}
	}
	begin := time.Now()
	require.Eventually(t, func() bool { hear(); return time.Since(begin) > 3*time.Second && d.front.rests(time.Now()) }, waitTime, 50*time.Millisecond)
	d.configure(2, "k1")
	told = 2
	require.Eventually(t, func() bool { hear(); return d.version() == 2 }, waitTime, 50*time.Millisecond)
}

// Guards against a limit of time that the list of many backend servers never meets on a slow link to a peer.
func TestLargeServerListArrivesFromAPeer(t *testing.T) {
	const count = 2000
	asks, tells := deploy(t, talking), deploy(t, talking)
	asks.configure(1, "k1")
	asks.settle(1, 0)
	asks.server.Switch(store.Switches{Outage: true})
	random := rand.New(rand.NewPCG(3, 4))
	for i := range count {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(random.Uint32()), byte(random.Uint32()), byte(random.Uint32())}), uint16(1+random.IntN(60000)))
		tells.put(platform.ServerPrefix+fmt.Sprintf("i-%010x-%d", random.Uint64()>>24, i), sample.Entry("llm", address, "ready"))
	}
	listed := func(d *deployment) int {
		d.front.mutex.Lock()
		defer d.front.mutex.Unlock()
		return len(d.front.servers.Servers())
	}
	require.Eventually(t, func() bool { return listed(tells) == count }, waitTime, 10*time.Millisecond)
	through := slowLink(t, tells.front.peers.address, peerLink)
	report := fleet.Report{Process: processName("front-b-1", time.Now()), ServersVersion: 1 << 30, OmitsLoads: true}
	require.Eventually(t, func() bool {
		now := time.Now()
		asks.front.peers.heard(now, now, through, &report)
		return listed(asks) == count
	}, waitTime, 50*time.Millisecond)
}

// Guards against a limit of time that much evidence on crashes never meets on a slow link to a peer.
func TestMuchCrashEvidenceArrivesFromAPeer(t *testing.T) {
	const crashes, parts = 40, 64
	asks, tells := deploy(t, talking), deploy(t, talking)
	asks.configure(1, "k1")
	asks.settle(1, 0)
	evidence := bannedFor(time.Second)
	asks.front.front.Told(time.Now(), evidence)
	random := rand.New(rand.NewPCG(5, 6))
	for i := range crashes {
		failure := suspect.Failure{ID: fmt.Sprint("more-", i), Server: fmt.Sprint("gone-", i), Workspace: fmt.Sprint("w", i), Crash: true, Age: suspect.Age(time.Second)}
		for range parts {
			part := suspect.PartFingerprint("llm", random.Uint64())
			failure.Parts = append(failure.Parts, part)
			evidence.Successes = append(evidence.Successes, suspect.Success{Subject: part, Age: suspect.Age(random.IntN(1e9))})
		}
		evidence.Failures = append(evidence.Failures, failure)
	}
	tells.front.front.Told(time.Now(), evidence)
	known := func(d *deployment) int {
		all, _ := d.front.front.Evidence(time.Now())
		return len(all.Failures)
	}
	require.Equal(t, len(evidence.Failures), known(tells))
	through := slowLink(t, tells.front.peers.address, peerLink)
	report := fleet.Report{Process: processName("front-b-1", time.Now()), OmitsLoads: true}
	require.Eventually(t, func() bool {
		now := time.Now()
		asks.front.peers.heard(now, now, through, &report)
		return known(asks) == known(tells)
	}, waitTime, 50*time.Millisecond)
}
