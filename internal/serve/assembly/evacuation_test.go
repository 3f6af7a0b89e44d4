package assembly

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/standin/host"
	"github.com/chicoryrock/chicoryrock/internal/standin/store"
	"github.com/chicoryrock/chicoryrock/internal/state/evacuation"
	"github.com/chicoryrock/chicoryrock/internal/state/servers"
	"github.com/chicoryrock/chicoryrock/platform"
	"github.com/chicoryrock/chicoryrock/platform/sample"
)

// evacuationBound is less than the bounds that deployments have, 5 s.
const evacuationBound = 2500 * time.Millisecond

// centres gives a front two data centres in its region and one in another.
func centres(node *platform.Node) {
	node.Regions = map[string]string{"a": "north", "b": "north", "c": "south"}
	node.Bounds.Evacuate = 2 * evacuationBound
}

// addIn is add for a backend server in another data centre.
func (d *deployment) addIn(centre, id, service string, answer http.HandlerFunc) *backend {
	server := httptest.NewUnstartedServer(nil)
	b := &backend{id: id, service: service, answer: answer, runs: map[string]int{}, address: netip.MustParseAddrPort(server.Listener.Addr().String())}
	server.Config.Handler = b
	server.Start()
	d.t.Cleanup(server.Close)
	d.put(platform.ServerPrefix+id, sample.In(sample.Entry(service, b.address, "ready"), centre))
	return b
}

func (d *deployment) remove(key string) {
	_, err := d.store.Commit(d.t.Context(), []chicoryrock.Change{{Key: key, Delete: true, Unconditional: true}})
	require.NoError(d.t, err)
}

// total returns how many requests a backend server has run.
func (b *backend) total() (sum int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, n := range b.runs {
		sum += n
	}
	return sum
}

// doorway passes calls on to the store, until it is shut: then the store turns the front
// behind it away.
type doorway struct {
	store netip.AddrPort
	shut  context.Context
}

func (d *doorway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(d.shut, cancel)()
	request, _ := http.NewRequestWithContext(ctx, r.Method, "http://"+d.store.String()+r.URL.RequestURI(), r.Body)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { _ = response.Body.Close() }()
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.StatusCode)
	_, _ = io.Copy(w, response.Body)
}

// together sends several requests at once, so that one server isn't enough, and returns how
// many were answered.
func (d *deployment) together(tag string) int {
	var all sync.WaitGroup
	var fine atomic.Int64
	for i := range 6 {
		all.Go(func() {
			if d.send(http.MethodPost, "/read/x", fmt.Sprintf("%s-%d", tag, i), "k1", "").status == http.StatusOK {
				fine.Add(1)
			}
		})
	}
	all.Wait()
	return int(fine.Load())
}

// Guards against requests to a data centre that an operator has evacuated, also from fronts
// that leave the watching to others, from one that the store turns away and from one that has
// just started so, and against a data centre that stays unused afterwards.
func TestEvacuatedCentreGetsNoRequests(t *testing.T) {
	shut, shutDoor := context.WithCancel(t.Context())
	door := &doorway{shut: shut}
	entrance := httptest.NewServer(door)
	t.Cleanup(entrance.Close)
	first := deploy(t, centres, talking)
	door.store = first.node.Store
	another := func(i int, store netip.AddrPort) *deployment {
		node := *first.node
		node.Name, node.Callers, node.Ready, node.Store = fmt.Sprintf("front-a-%d", i), host.Own(), host.Own(), store
		talking(&node)
		return first.startAnother(&node)
	}
	turnedAway := another(2, netip.MustParseAddrPort(entrance.Listener.Addr().String()))
	restarted := another(3, first.node.Store)
	rests := []*deployment{another(4, first.node.Store), another(5, first.node.Store)} // the others watch for them
	first.configure(1, "k1")
	slow := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(5 * time.Millisecond)
		fine(w, r)
	}
	first.addIn("a", "i-a", "app", slow)
	b := first.addIn("b", "i-b", "app", slow)
	all := append([]*deployment{first, turnedAway, restarted}, rests...)
	for i, d := range all {
		d.settle(1, 2)
		require.Eventually(t, func() bool { d.together("before"); return b.total() > 0 }, waitTime, time.Millisecond, "front %d", i)
	}
	shutDoor()
	first.put(sample.EvacuationKey("b"), sample.Evacuation)
	acknowledged := time.Now()
	restarted.stop()
	again := *restarted.node
	again.Store = host.Own() // nothing is there
	require.Eventually(t, func() bool { return restarted.ready() == 0 }, waitTime, time.Millisecond)
	restarted = first.startAnother(&again)
	all[2] = restarted
	restarted.settle(1, 2)
	time.Sleep(evacuationBound - time.Since(acknowledged))
	bound := b.total()
	served := 0
	for n := range 20 {
		for i, d := range all {
			served += d.together(fmt.Sprintf("during-%d-%d", n, i))
		}
	}
	require.Equal(t, bound, b.total(), "requests to an evacuated data centre")
	require.Positive(t, served, "the other data centre serves on")
	first.remove(sample.EvacuationKey("b"))
	for i, d := range all {
		from := b.total()
		require.Eventually(t, func() bool { d.together("after"); return b.total() > from }, waitTime, time.Millisecond, "front %d", i)
	}
}

// Guards against a front that does not apply an evacuation, or a newer configuration, as it has
// its servers change by change from a peer, and never read a whole list.
func TestEvacuationsReachAListFromChanges(t *testing.T) {
	d := deploy(t, centres)
	d.configure(1, "k1")
	d.settle(1, 0)
	d.server.Switch(store.Switches{Outage: true})
	p := d.front
	var told servers.Delta
	for i, centre := range []string{"a", "b"} {
		server := chicoryrock.Server{ID: "i-" + centre, Service: "app", Address: host.Own(), Centre: centre, Slots: 1}
		told.Version = servers.VersionOf(uint64(1000 + i))
		told.Updates = append(told.Updates, servers.Update{Version: told.Version, Server: server})
	}
	var fresh servers.VersionedList
	changes, newer := fresh.ApplyDelta(time.Now(), 0, &told)
	require.True(t, newer)
	p.mutex.Lock()
	p.servers = fresh
	p.publish(changes)
	p.mutex.Unlock()
	usable := func() bool { return p.front.Gate.Address("app", "i-b").IsValid() }
	require.True(t, usable())
	state := evacuation.State{Revision: 1002, Facts: []evacuation.Fact{{Centre: "b", Revision: 1002, Evacuated: true}}}
	p.heardEvacuations(time.Now(), netip.AddrPort{}, &state)
	require.False(t, usable())
	state = evacuation.State{Revision: 1003}
	p.heardEvacuations(time.Now(), netip.AddrPort{}, &state)
	require.True(t, usable())
}

// talking gives a front an address at which it talks with others.
func talking(node *platform.Node) {
	at := host.Own()
	node.Address, node.Ports = at.Addr(), [2]uint16{at.Port(), at.Port()}
}

// outOf is a rule that keeps requests away from a backend server in another data centre.
type outOf struct {
	name   string
	centre string
	begin  func(d *deployment)
	reason chicoryrock.Reason
}

func rulesOut() []outOf {
	return []outOf{
		{"evacuated", "b", func(d *deployment) {
			d.configureWith(1, sample.Joined)
			d.put(sample.EvacuationKey("b"), sample.Evacuation)
		}, chicoryrock.ReasonEvacuated},
		{"region of the route", "c", func(d *deployment) {
			d.configureWith(1, func(c string) string { return sample.Joined(sample.Bound(c, "north", "west")) })
		}, chicoryrock.ReasonRegion},
		{"region of the workspace", "c", func(d *deployment) {
			d.configureWith(1, func(c string) string { return sample.Joined(sample.BoundWorkspace(c, "north")) })
		}, chicoryrock.ReasonRegion},
		{"region of both", "b", func(d *deployment) {
			d.configureWith(1, func(c string) string {
				return sample.Joined(sample.BoundWorkspace(sample.Bound(c, "north", "west"), "south", "west"))
			})
		}, chicoryrock.ReasonRegion},
		{"unknown region", "z", func(d *deployment) {
			d.configureWith(1, func(c string) string { return sample.Joined(sample.Bound(c, "north", "")) })
		}, chicoryrock.ReasonRegion},
	}
}

// Guards against ways to a backend server that pass by an evacuation or a region: first
// attempts, retries, streams that go on and sources of prompts in memory. Where nothing else
// is left, the answer comes at once and names the reason.
func TestEveryWayToAServerHeedsItsDataCentre(t *testing.T) {
	for _, rule := range rulesOut() {
		t.Run(rule.name, func(t *testing.T) {
			d := deploy(t, centres)
			rule.begin(d)
			out := []*backend{d.addIn(rule.centre, "out-app", "app", fine), d.addIn(rule.centre, "out-llm", "llm", stream(4, 0))}
			d.settle(1, 2)
			if rule.reason == chicoryrock.ReasonEvacuated {
				require.Eventually(t, func() bool { return !d.front.front.Gate.Address("app", "out-app").IsValid() }, waitTime, time.Millisecond)
			}
			begin := time.Now()
			for _, path := range []string{"/read/x", "/long/x"} {
				got := d.send(http.MethodPost, path, "only", "k1", "")
				require.Equal(t, http.StatusServiceUnavailable, got.status)
				require.Contains(t, got.body, rule.reason.Sentence())
				require.NotEmpty(t, got.header.Get("Retry-After"))
			}
			require.Less(t, time.Since(begin), time.Second, "it need not wait")
			if rule.name == "region of both" {
				return // nothing is in
			}
			in := []*backend{d.add("in-app", "app", hangUp), d.add("in-llm", "llm", stream(4, 2))}
			d.settle(1, 4)
			for n := range 3 {
				d.send(http.MethodPost, "/read/x", fmt.Sprintf("read-%d", n), "k1", "")
				id := fmt.Sprintf("long-%d", n)
				request := d.request(t.Context(), http.MethodPost, "/long/x", id, "k1", "body")
				request.Header.Set(sample.Tokens, "9000,40")
				request.Header.Set(sample.Parts, "a1:2500,b7:3800,"+id+":2700")
				d.do(request)
				require.Empty(t, in[1].last().Header.Get(sample.Fetch))
			}
			require.Positive(t, in[0].total())
			require.Positive(t, in[1].total())
			for _, b := range out {
				require.Zero(t, b.total(), "%v", b.seen)
			}
		})
	}
}

// Guards against a request that waits while its route is bound to another region, and is sent
// by the older configuration.
func TestWaitingRequestHeedsNewRegions(t *testing.T) {
	d := deploy(t, centres)
	release := make(chan struct{})
	held := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/short/held" {
			<-release
		}
		stream(2, 0)(w, r)
	}
	bound := func(version int, region string) {
		d.put(platform.ConfigKey, sample.OneAtOnce(sample.Bound(sample.Config(version, "k1"), region)))
	}
	bound(1, "north")
	north := d.add("i-north", "llm", held)
	d.settle(1, 1)
	south := d.addIn("c", "i-south", "llm", held)
	d.settle(1, 2)
	for round := 1; ; round++ {
		require.Less(t, round, 20, "a request that waits is served in the other region")
		var both sync.WaitGroup
		one, two := fmt.Sprintf("one-%d", round), fmt.Sprintf("two-%d", round)
		both.Go(func() { d.send(http.MethodPost, "/short/held", one, "k1", "") })
		require.Eventually(t, func() bool { return north.ran(one) == 1 }, waitTime, time.Millisecond)
		var got answered
		both.Go(func() { got = d.send(http.MethodPost, "/short/x", two, "k1", "") })
		require.Eventually(t, func() bool { return d.front.front.Gate.Waiting("llm") == 1 }, waitTime, time.Millisecond)
		bound(2*round, "south")
		d.settle(uint64(2*round), 2)
		release <- struct{}{}
		both.Wait()
		require.Zero(t, north.ran(two), "the region that is no longer allowed")
		if got.status == http.StatusOK {
			require.Equal(t, 1, south.ran(two))
			return
		}
		// The machine was so slow that it was refused as late.
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		bound(2*round+1, "north")
		d.settle(uint64(2*round+1), 2)
	}
}
