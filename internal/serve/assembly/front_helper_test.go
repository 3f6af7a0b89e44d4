package assembly

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/standin/host"
	"github.com/chicoryrock/chicoryrock/internal/standin/store"
	"github.com/chicoryrock/chicoryrock/platform"
	"github.com/chicoryrock/chicoryrock/platform/sample"
)

// waitTime ends a test that hangs; no test waits for it.
const waitTime = 30 * time.Second

// backend is a backend server of the platform: it checks that it is the one meant,
// and counts what it runs.
type backend struct {
	id      string
	service string
	address netip.AddrPort
	answer  func(w http.ResponseWriter, r *http.Request)

	mutex sync.Mutex
	runs  map[string]int
	seen  []*http.Request
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	w.Header().Set(sample.ID, r.Header.Get(sample.ID))
	if r.Header.Get(sample.Server) != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.mutex.Lock()
	b.runs[r.Header.Get(sample.ID)]++
	b.seen = append(b.seen, r)
	b.mutex.Unlock()
	b.answer(w, r)
}

func (b *backend) ran(id string) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.runs[id]
}

func (b *backend) last() *http.Request {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.seen[len(b.seen)-1]
}

// deployment is a front on a platform of stand-ins.
type deployment struct {
	t      *testing.T
	store  *platform.Store
	server *store.Server
	node   *platform.Node
	front  *Front
	stop   context.CancelFunc
	ended  chan error
}

// deploy starts a front. Options change its node before.
func deploy(t *testing.T, options ...func(*platform.Node)) *deployment {
	return deployWith(t, func(front *Front) {
		for _, option := range options {
			option(front.Node)
		}
	})
}

// deployWith starts a front after a change to it.
func deployWith(t *testing.T, change func(*Front)) *deployment {
	t.Helper()
	d := &deployment{t: t, server: &store.Server{Listen: host.Loopback()}, ended: make(chan error, 1)}
	require.NoError(t, d.server.Start())
	t.Cleanup(d.server.Close)
	d.store = &platform.Store{Address: d.server.Addr(), Timeout: waitTime}
	d.node = &platform.Node{
		Name: "front-a-1", Address: netip.MustParseAddr("127.0.0.1"), Centre: "a", Region: "north",
		Regions: map[string]string{"a": "north"}, Callers: host.Own(), Ready: host.Own(), Store: d.server.Addr(),
		Bounds: platform.Bounds{
			Grace: 300 * time.Millisecond, Apply: 2500 * time.Millisecond, Lease: 3 * time.Second, RetryShare: 0.2, RetrySlack: 60,
			RetryWindow: 10 * time.Second, UsageWindow: time.Second, UsageLate: 2 * time.Second, Return: 7 * time.Second,
		},
	}
	d.front = &Front{Node: d.node, Log: event.NewNop(), Started: time.Now()}
	change(d.front)
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	go func() { d.ended <- d.front.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		select {
		case err := <-d.ended:
			assert.NoError(t, err)
		case <-time.After(waitTime):
			t.Error("the front does not end")
		}
	})
	require.Eventually(t, func() bool { return d.ready() != 0 }, waitTime, time.Millisecond)
	return d
}

// ready returns what the platform is told, zero for no answer.
func (d *deployment) ready() int {
	response, err := http.Get("http://" + d.node.Ready.String() + platform.ReadyPath)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// configure writes a configuration with the routes that the tests use, and keys.
func (d *deployment) configure(version int, keys ...string) {
	_, err := d.store.Commit(d.t.Context(), []chicoryrock.Change{{Key: platform.ConfigKey, Value: []byte(sample.Config(version, keys...)), Unconditional: true}})
	require.NoError(d.t, err)
}

// configureWith is configure with a change to the text.
func (d *deployment) configureWith(version int, change func(config string) string) {
	plain := sample.Config(version, "k1")
	changed := change(plain)
	require.NotEqual(d.t, plain, changed)
	_, err := d.store.Commit(d.t.Context(), []chicoryrock.Change{{Key: platform.ConfigKey, Value: []byte(changed), Unconditional: true}})
	require.NoError(d.t, err)
}

// add starts a backend server and enters it in the store.
func (d *deployment) add(id, service string, answer func(w http.ResponseWriter, r *http.Request)) *backend {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(d.t, err)
	b := &backend{id: id, service: service, answer: answer, runs: map[string]int{}, address: netip.MustParseAddrPort(listener.Addr().String())}
	server := &http.Server{Handler: b}
	go func() { _ = server.Serve(listener) }()
	d.t.Cleanup(func() { _ = server.Close() })
	d.enter(b, "ready")
	return b
}

func (d *deployment) enter(b *backend, state string) {
	value := sample.Entry(b.service, b.address, state)
	_, err := d.store.Commit(d.t.Context(), []chicoryrock.Change{{Key: platform.ServerPrefix + b.id, Value: []byte(value), Unconditional: true}})
	require.NoError(d.t, err)
}

// settle waits until the front has a configuration and knows so many servers.
func (d *deployment) settle(version uint64, servers int) {
	require.Eventually(d.t, func() bool {
		table := d.front.front.Table()
		d.front.mutex.Lock()
		defer d.front.mutex.Unlock()
		return table != nil && table.Version >= version && len(d.front.servers.Servers()) == servers && d.front.front.Ready()
	}, waitTime, time.Millisecond)
}

// answered is what a caller got.
type answered struct {
	status int
	header http.Header
	body   string
	err    error // of reading the body
}

func (d *deployment) request(ctx context.Context, method, path, id, key, body string) *http.Request {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+d.node.Callers.String()+path, bytes.NewReader([]byte(body)))
	require.NoError(d.t, err)
	request.Host = sample.Host
	request.Header.Set(sample.ID, id)
	request.Header.Set(sample.Patience, "8000")
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set(sample.Tokens, "600,40")
	request.Header.Set(sample.Parts, "a1:200,"+id+":400")
	return request
}

func (d *deployment) send(method, path, id, key, body string) answered {
	return d.do(d.request(d.t.Context(), method, path, id, key, body))
}

func (d *deployment) do(request *http.Request) answered {
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return answered{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	got, err := io.ReadAll(response.Body)
	return answered{response.StatusCode, response.Header, string(got), err}
}

func fine(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(sample.Seal, "s")
	_, _ = io.WriteString(w, "fine")
}

// hangUp reads the request and cuts the connection without an answer.
func hangUp(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// notRun turns every request away.
func notRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(sample.NotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// stream answers events from after the last that the caller has, and breaks off
// within the event after some of them; zero for never.
func stream(events, breakAfter int) func(w http.ResponseWriter, r *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		from := 0
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &from)
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(sample.Seal, "s")
		for i := from + 1; i <= events; i++ {
			if breakAfter > 0 && from == 0 && i > breakAfter {
				_, _ = fmt.Fprintf(w, "id: %d\nda", i)
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: piece-%d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
		}
	}
}
