package assembly

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/platform"
	"github.com/chicoryrock/chicoryrock/platform/sample"
)

// putRaw writes the entry of a backend server.
func (d *deployment) putRaw(id, entry string) {
	_, err := d.store.Commit(d.t.Context(), []chicoryrock.Change{{Key: platform.ServerPrefix + id, Value: []byte(entry), Unconditional: true}})
	require.NoError(d.t, err)
}

// addListed adds an engine whose first entry states its weights, so that the register never has
// its version without them.
func (d *deployment) addListed(id string, answer http.HandlerFunc) *backend {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(d.t, err)
	b := &backend{id: id, service: "llm", answer: answer, runs: map[string]int{}, address: netip.MustParseAddrPort(listener.Addr().String())}
	server := &http.Server{Handler: b}
	go func() { _ = server.Serve(listener) }()
	d.t.Cleanup(func() { _ = server.Close() })
	d.putRaw(id, sample.WeightedOf(sample.EntryOf(b.service, b.address, "ready", "v1"), "m", 1))
	return b
}

// replacing answers a stream within which the weights change and which then breaks off; what goes
// on with one has the first weights.
func replacing(w http.ResponseWriter, r *http.Request) {
	from := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &from)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(sample.Seal, "s")
	w.Header().Set(sample.Weights, "1")
	if from > 0 {
		for n := from + 1; n <= 4; n++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: 1\n\n", n)
		}
		return
	}
	_, _ = fmt.Fprint(w, "id: 1\ndata: 1\n\nweight-versions: 2\nid: 2\ndata: 2\n\n")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// Guards against a stream within which weights changed, and that goes on at the first ones.
func TestStreamOfTwoWeightsIsNotTakenUp(t *testing.T) {
	for _, builds := range []int{2, 1, 1, 1, 1} { // that the register has
		all := deployMany(t, 2)
		all[0].configure(2, "k1")
		for i := range 2 {
			id := fmt.Sprintf("i-%d", i)
			if builds == 1 {
				all[0].addListed(id, replacing)
				continue
			}
			b := all[0].add(id, "llm", replacing)
			all[0].putRaw(b.id, sample.WeightedOf(sample.EntryOf(b.service, b.address, "ready", "v1"), "m", 1))
		}
		for _, d := range all {
			d.settle(2, 2)
		}
		for n, d := range slices.Backward(all) { // first at the one that didn't begin it
			first := all[0].do(all[0].ofModel("/long/", fmt.Sprintf("b%d", n)))
			require.Error(t, first.err, first.body)
			request := d.ofModel("/long/", fmt.Sprintf("t%d", n))
			request.Header.Set("Last-Event-Id", "2")
			request.Header.Set(sample.Resumes, fmt.Sprintf("b%d", n))
			rest := d.do(request)
			t.Logf("front %d: begun %q then %d %q", n, first.body, rest.status, rest.body)
			if rest.status == http.StatusOK {
				t.Errorf("front %d: taken up", n)
			}
		}
	}
}

// Guards against a stream whose weights change where it is taken up, and that goes on at the first
// ones at the front that began it.
func TestStreamOfTwoWeightsIsNotTakenUpWhereItBegan(t *testing.T) {
	all := deployMany(t, 2)
	all[0].configure(2, "k1")
	for i := range 2 {
		all[0].addListed(fmt.Sprintf("i-%d", i), func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Last-Event-Id") == "" {
				stream(4, 0)(w, r)
				return
			}
			r.Header.Del("Last-Event-Id")
			replacing(w, r)
		})
	}
	for _, d := range all {
		d.settle(2, 2)
	}
	first := all[0].do(all[0].ofModel("/long/", "b"))
	require.NoError(t, first.err)
	takeUp := func(d *deployment, id string, after int) answered {
		request := d.ofModel("/long/", id)
		request.Header.Set("Last-Event-Id", fmt.Sprint(after))
		request.Header.Set(sample.Resumes, "b")
		return d.do(request)
	}
	second := takeUp(all[1], "t1", 0)
	require.Equal(t, http.StatusOK, second.status)
	require.Error(t, second.err)
	require.NotEqual(t, http.StatusOK, takeUp(all[0], "t2", 2).status)
}

// Guards against a stream that is lost as another server has one model more.
func TestOtherModelsOfAServerDoNotMatter(t *testing.T) {
	d := deploy(t)
	d.configureWith(1, sample.Copied)
	all := d.addWeighted([]weighted{{1, 1, true}, {1, 1, true}}, true)
	b := all[1]
	entry := sample.EntryOf(b.service, b.address, "ready", "v1")
	d.putRaw(b.id, strings.Replace(entry, "{", `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]},{"name":"n","version":1,"adapters":[]}],`, 1))
	d.settle(1, 2)
	time.Sleep(500 * time.Millisecond)
	got := d.do(d.ofModel("/long/", "x1"))
	t.Logf("%d %v %q", got.status, got.err, got.body)
	require.NoError(t, got.err)
}

// Guards against a stream that is lost as its servers load another model.
func TestStreamGoesOnThoughAnotherModelIsLoaded(t *testing.T) {
	all := deployMany(t, 2)
	all[0].configure(2, "k1")
	servers := all[0].addWeighted([]weighted{{1, 1, true}, {1, 1, true}}, false)
	for _, d := range all {
		d.settle(2, 2)
	}
	first := all[0].do(all[0].ofModel("/long/", "b"))
	require.Equal(t, 200, first.status)
	for _, b := range servers {
		entry := sample.EntryOf(b.service, b.address, "ready", "v1")
		all[0].putRaw(b.id, strings.Replace(entry, "{", `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]},{"name":"n","version":1,"adapters":[]}],`, 1))
	}
	time.Sleep(time.Second)
	request := all[1].ofModel("/long/", "t")
	request.Header.Set("Last-Event-Id", "2")
	request.Header.Set(sample.Resumes, "b")
	rest := all[1].do(request)
	t.Logf("%d %q", rest.status, rest.body)
	require.Equal(t, 200, rest.status)
}

// Guards against a stream that is refused as its record, or a later start of its server, names the
// weights of more models than its own.
func TestRecordOfAllWeightsIsComparedByModel(t *testing.T) {
	all := deployMany(t, 2)
	all[0].configure(2, "k1")
	var servers []*backend
	enter := func(i int, models string, change func(string) string) {
		entry := change(sample.EntryOf("llm", servers[i].address, "ready", []string{"v1", "v1", "v2"}[i]))
		all[0].putRaw(servers[i].id, strings.Replace(entry, "{", `{"stage":"both","models":[`+models+`],`, 1))
	}
	const two = `{"name":"m","version":1,"adapters":[]},{"name":"n","version":1,"adapters":[]}`
	for i, version := range []string{"v1", "v1", "v2"} {
		servers = append(servers, all[0].addVersion(fmt.Sprintf("i-%d", i), version, versioned(version, 4, never)))
		enter(i, two, func(entry string) string { return entry })
	}
	for _, d := range all {
		d.settle(2, 3)
	}
	for n := range 4 {
		all[0].begin(fmt.Sprintf("b%d", n), 1) // names no model
	}
	time.Sleep(500 * time.Millisecond) // the records are written
	for i := range servers {
		enter(i, two+`,{"name":"o","version":1,"adapters":[]}`, sample.Restarted)
	}
	time.Sleep(500 * time.Millisecond)
	for n := range 4 {
		request := all[1].ofModel("/long/", fmt.Sprintf("t%d", n))
		request.Header.Set("Last-Event-Id", "1")
		request.Header.Set(sample.Resumes, fmt.Sprintf("b%d", n))
		rest := all[1].do(request)
		require.Equal(t, http.StatusOK, rest.status, rest.body)
	}
}

// Guards against requests that are refused as entries name weights that were replaced.
func TestStreamsBeginThoughWeightsAreListedLate(t *testing.T) {
	d := deploy(t)
	d.configureWith(1, sample.Copied)
	d.addWeighted([]weighted{{1, 2, true}, {1, 2, true}}, false)
	d.settle(1, 2)
	for n := range 3 {
		got := d.do(d.ofModel("/long/", fmt.Sprintf("x%d", n)))
		t.Logf("%d %q", got.status, got.body)
		if got.status != 200 {
			t.Errorf("refused")
		}
	}
}

// Guards against a request that has not run and is refused with the last server of its version.
func TestRequestIsNotBoundToAVersionThatHasGone(t *testing.T) {
	d := deploy(t)
	d.configure(2, "k1")
	var once sync.Once
	d.addVersion("i-0", "v1", func(w http.ResponseWriter, r *http.Request) {
		once.Do(func() {
			_, err := d.store.Commit(t.Context(), []chicoryrock.Change{{Key: platform.ServerPrefix + "i-0", Delete: true, Unconditional: true}})
			if err != nil {
				t.Error(err)
			}
		})
		time.Sleep(400 * time.Millisecond)
		w.Header().Set(sample.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	d.addVersion("i-1", "v2", versioned("v2", 4, never))
	d.settle(2, 2)
	require.Eventually(t, func() bool {
		return d.front.origins.MayBegin("llm", "v1") && d.front.origins.MayBegin("llm", "v2")
	}, waitTime, time.Millisecond)
	for n := range 20 {
		got := d.do(d.promptOf(t.Context(), fmt.Sprintf("p%d", n)))
		if got.status != 200 {
			t.Errorf("%d: %d %q", n, got.status, got.body)
		}
	}
}

// Guards against a request that has not run and waits for its recorded version when the last server
// of that version goes.
func TestWaitingRequestIsNotBoundToAVersionThatGoes(t *testing.T) {
	d := deploy(t, func(node *platform.Node) { node.Bounds.RetrySlack = 60000 })
	d.configureWith(2, sample.Unhurried)
	turned := make(chan struct{})
	var once sync.Once
	d.addVersion("i-0", "v1", func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(300 * time.Millisecond) // the record is written
		w.Header().Set(sample.NotRun, "1")
		w.Header().Set("Retry-After", "2")
		w.WriteHeader(http.StatusServiceUnavailable)
		once.Do(func() { close(turned) })
	})
	d.addVersion("i-1", "v2", versioned("v2", 4, never))
	d.settle(2, 2)
	require.Eventually(t, func() bool {
		return d.front.origins.MayBegin("llm", "v1") && d.front.origins.MayBegin("llm", "v2")
	}, waitTime, time.Millisecond)
	go func() {
		<-turned
		time.Sleep(300 * time.Millisecond)
		_, err := d.store.Commit(d.t.Context(), []chicoryrock.Change{{Key: platform.ServerPrefix + "i-0", Delete: true, Unconditional: true}})
		if err != nil {
			t.Error(err)
		}
	}()
	var group sync.WaitGroup
	for n := range 8 {
		group.Go(func() {
			if got := d.do(d.promptOf(t.Context(), fmt.Sprintf("p%d", n))); got.status != 200 {
				t.Errorf("%d: %d %q", n, got.status, got.body)
			}
		})
	}
	group.Wait()
	<-turned
}

// Guards against streams of a server that has started again as another version than listed, also
// where it is listed with yet another start, or not any more, when they are taken up.
func TestStreamsOfAServerThatIsListedLateAreNotJoined(t *testing.T) {
	cases := []struct{ name, then string }{
		{"listed still", "v2"},
		{"gone", ""},
		{"started again as the version that it was listed with", "v1"},
		{"started again as the same version", "v2"},
	}
	for n, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			all := deployMany(t, 2)
			all[0].configure(2, "k1")
			var serves atomic.Value
			serves.Store("v2") // started again, its entry is late
			fresh := all[0].addVersion("i-0", "v1", func(w http.ResponseWriter, r *http.Request) {
				versioned(serves.Load().(string), 4, never)(w, r)
			})
			all[0].addVersion("i-1", "v1", versioned("v1", 4, never))
			all[0].addVersion("i-2", "v2", versioned("v2", 4, never))
			for _, d := range all {
				d.settle(2, 3)
			}
			for _, d := range all {
				require.Eventually(t, func() bool {
					return d.front.origins.MayBegin("llm", "v1") && d.front.origins.MayBegin("llm", "v2")
				}, waitTime, time.Millisecond)
			}
			began := map[string]string{}
			for n := range 8 {
				id := fmt.Sprintf("s%d", n)
				began[id] = all[0].begin(id, 1)
			}
			entry := sample.EntryOf(fresh.service, fresh.address, "ready", "v2")
			all[0].putRaw("i-0", strings.Replace(entry, `"born":5`, `"born":9`, 1))
			time.Sleep(time.Second)
			switch {
			case c.then == "":
				_, err := all[0].store.Commit(t.Context(), []chicoryrock.Change{{Key: platform.ServerPrefix + "i-0", Delete: true, Unconditional: true}})
				require.NoError(t, err)
			case n > 0:
				serves.Store(c.then)
				later := fmt.Sprintf(`"born":%d`, time.Now().Add(2*time.Second).UnixMilli())
				all[0].putRaw("i-0", strings.Replace(sample.EntryOf(fresh.service, fresh.address, "ready", c.then), `"born":5`, later, 1))
			}
			time.Sleep(500 * time.Millisecond)
			for id, first := range began {
				rest := all[1].takeUp("t"+id, id, 1)
				versions, _ := versionsOf(first + rest.body)
				if len(versions) > 1 {
					t.Errorf("%s joined: %q %q", id, first, rest.body)
				}
			}
		})
	}
}

// Guards against streams that are lost with the server that began them, or with its release.
func TestStreamsGoOnThoughTheirServerHasGone(t *testing.T) {
	cases := []struct{ name, then string }{
		{"gone", ""},
		{"started again as a newer version", "v2"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			all := deployMany(t, 2)
			all[0].configure(2, "k1")
			var serves atomic.Value
			serves.Store("v1")
			first := all[0].addVersion("i-0", "v1", func(w http.ResponseWriter, r *http.Request) {
				versioned(serves.Load().(string), 4, never)(w, r)
			})
			all[0].addVersion("i-1", "v1", versioned("v1", 4, never))
			all[0].addVersion("i-2", "v2", versioned("v2", 4, never))
			for _, d := range all {
				d.settle(2, 3)
				require.Eventually(t, func() bool {
					return d.front.origins.MayBegin("llm", "v1") && d.front.origins.MayBegin("llm", "v2")
				}, waitTime, time.Millisecond)
			}
			began := map[string]string{}
			for n := range 8 {
				id := fmt.Sprintf("s%d", n)
				began[id] = all[0].begin(id, 1)
			}
			time.Sleep(500 * time.Millisecond) // their records are written
			change := chicoryrock.Change{Key: platform.ServerPrefix + "i-0", Delete: true, Unconditional: true}
			if c.then != "" {
				serves.Store(c.then)
				entry := sample.EntryOf(first.service, first.address, "ready", c.then)
				entry = strings.Replace(entry, `"born":5`, fmt.Sprintf(`"born":%d`, time.Now().Add(2*time.Second).UnixMilli()), 1)
				change = chicoryrock.Change{Key: change.Key, Value: []byte(entry), Unconditional: true}
			}
			_, err := all[0].store.Commit(t.Context(), []chicoryrock.Change{change})
			require.NoError(t, err)
			time.Sleep(500 * time.Millisecond)
			for id, begun := range began {
				rest := all[1].takeUp("t"+id, id, 1)
				require.Equal(t, http.StatusOK, rest.status, rest.body)
				versions, _ := versionsOf(begun + rest.body)
				require.Len(t, versions, 1)
			}
		})
	}
}
