// Package soak runs real fronts as separate processes between loopback proxies,
// and disturbs connections, processes and the store at random, in series that
// overlap, while callers keep asking. What callers and backend servers see must
// keep the promises.
package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	_ "github.com/chicoryrock/chicoryrock/internal/serve/program" // so that its changes count as changes of the test
	"github.com/chicoryrock/chicoryrock/internal/standin/host"
	"github.com/chicoryrock/chicoryrock/internal/standin/store"
	"github.com/chicoryrock/chicoryrock/platform"
	"github.com/chicoryrock/chicoryrock/platform/sample"
)

const (
	apps    = 2
	engines = 6
	events  = 12 // of a stream
	key     = "key-of-w1"
)

// world is the platform, the fronts and what was seen.
type world struct {
	t       *testing.T
	random  *rand.Rand
	store   *store.Server
	client  *platform.Store
	fronts  []*process
	proxies []*proxy
	limited map[string]*limited // by backend server
	crashed crashed
	taken   taken
	engines []*software // those that run, and spares
	servers []*software // engines and others
	newest  int         // index of the newest version that was released
	seed    uint64
	version int // of the configuration written last
	// restores are the copies that the store has yet to come back from.
	restores sync.WaitGroup
	// pending are the changes of engines under way; calming says that no more are to begin.
	pending  sync.WaitGroup
	calming  atomic.Bool
	claiming sync.Mutex
	// evacuable counts the requests to the backend server of that name.
	evacuable atomic.Int64

	mutex  sync.Mutex
	runs   map[string]int
	sheet  map[int64]string // usage as accepted, by window
	holder map[string]string
	odd    []string
	// faulty says that servers may answer wrongly.
	faulty    bool
	faults    map[string]int      // wrong answers by kind
	began     map[string]int      // by request, the last event that its caller had
	resumed   map[string]int      // by request, the last event after which a front went on
	history   map[string][]string // runs, by request
	own       map[string][]string // by request, a server's whole answers instead of a stream
	passed    int                 // of these answers, those that callers got
	withinOne [2]int              // streams that fronts resumed, and those that went on
}

// process is one front.
type process struct {
	name    string
	callers netip.AddrPort
	file    string
	log     string
	mutex   sync.Mutex
	command *exec.Cmd
	// disturbed is when it last got a signal or was started.
	disturbed time.Time
	killed    kill
}

func (p *process) disturbedAt() time.Time {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.disturbed
}

func newWorld(t *testing.T, seed uint64, fronts int) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 7)), store: &store.Server{Listen: host.Loopback()},
		limited: map[string]*limited{}, runs: map[string]int{}, sheet: map[int64]string{}, holder: map[string]string{},
		seed: seed, faults: map[string]int{}, began: map[string]int{}, resumed: map[string]int{}, history: map[string][]string{}, own: map[string][]string{},
	}
	require.NoError(t, w.store.Start())
	t.Cleanup(w.store.Close)
	w.client = &platform.Store{Address: w.store.Addr()}
	w.configure()
	for i := range apps {
		w.backend(fmt.Sprintf("app-%d", i), "app")
	}
	w.newest = firstNewer - 1
	for i := range engines + spares {
		w.backend(fmt.Sprintf("llm-%d", i), "llm")
	}
	api := w.serve(http.HandlerFunc(w.usage))
	folders := folders(t)
	for i := range fronts {
		w.front(i, filepath.Join(folders[i%len(folders)], "chicoryrock"), api)
	}
	return w
}

// folders returns the folders that fronts are started from in turn: those of
// TEST_BUILDS, separated by commas, or else one with a new build.
func folders(t *testing.T) []string {
	if folders := os.Getenv("TEST_BUILDS"); folders != "" {
		return strings.Split(folders, ",")
	}
	folder := t.TempDir()
	out, err := exec.Command("go", "build", "-o", folder+"/", "../cmd/chicoryrock").CombinedOutput()
	require.NoError(t, err, string(out))
	return []string{folder}
}

func (w *world) serve(handler http.Handler) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(w.t, err)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	w.t.Cleanup(func() { _ = server.Close() })
	return netip.MustParseAddrPort(listener.Addr().String())
}

func (w *world) through(target netip.AddrPort) *proxy {
	p := newProxy(w.t, target)
	w.proxies = append(w.proxies, p)
	return p
}

func (w *world) put(key, value string) {
	_, err := w.client.Commit(context.Background(), []chicoryrock.Change{{Key: key, Value: []byte(value), Unconditional: true}})
	require.NoError(w.t, err)
}

func (w *world) configure() {
	w.version = 1
	w.put(platform.ConfigKey, roomy(sample.Copied(sample.Config(w.version, key))))
}

// backend starts a backend server behind a proxy and enters it in the store.
func (w *world) backend(id, service string) {
	limit := &limited{told: map[int]time.Time{}}
	w.limited[id] = limit
	self := w.newSoftware(id, service)
	var p *proxy
	handler := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		asked := r.Header.Get(sample.ID)
		rw.Header().Set(sample.ID, asked)
		from := 0
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &from)
		running := self.get()
		if !running.misdirected(r) && w.resetEarly(running.id, asked, rw, r) {
			return
		}
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		if running.misdirected(r) {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if self.lacksCopy(r) {
			rw.Header().Set(sample.NotRun, "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if running.weights > 0 {
			rw.Header().Set(sample.Weights, strconv.Itoa(running.weights))
		}
		var wrongly *fault
		if !isBad(r) {
			wrongly = w.drawFault(self, asked, running.build(), from)
		}
		if front, found := w.frontOf(asked); found && self.states(rw.Header(), front, w.fronts[front].disturbedAt(), wrongly == nil) {
			rw.Header().Set(sample.NotRun, "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if id == evacuable {
			w.evacuable.Add(1)
		}
		w.mutex.Lock()
		if r.Header.Get(sample.FromCopy) == "" {
			w.runs[asked]++ // one that goes on from a copy counts as the same run
		}
		w.note(running.id, asked, running.build(), from, wrongly)
		w.mutex.Unlock()
		w.keepCopy(r)
		if front, found := w.frontOf(asked); found {
			limit.arrived(time.Now(), w.fronts[front].disturbedAt(), front, rw.Header(), wrongly == nil)
		}
		if wrongly != nil {
			w.inject(wrongly, rw)
			return
		}
		rw.Header().Set(sample.Seal, seal(asked))
		if service == "app" {
			time.Sleep(5 * time.Millisecond)
			_, _ = io.WriteString(rw, asked)
			return
		}
		if isBad(r) {
			w.crash(p, asked)
			return
		}
		rw.Header().Set("Content-Type", "text/event-stream")
		time.Sleep(pauseOf(asked)) // its prompt is read
		for _, event := range eventsOf(running.build(), from, events) {
			_, _ = io.WriteString(rw, event)
			if http.NewResponseController(rw).Flush() != nil || r.Context().Err() != nil {
				return
			}
			time.Sleep(pauseOf(asked))
		}
	})
	p = w.through(w.serve(handler))
	self.proxy = p
	w.enter(self)
}

// usage takes reports as the platform does, and notes what must not be.
func (w *world) usage(rw http.ResponseWriter, r *http.Request) {
	var message struct {
		WindowID int64           `json:"windowId"`
		Counts   json.RawMessage `json:"counts"`
	}
	if json.NewDecoder(r.Body).Decode(&message) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if before, found := w.sheet[message.WindowID]; found && before != string(message.Counts) {
		w.odd = append(w.odd, fmt.Sprintf("window %d reported as %s and %s", message.WindowID, before, message.Counts))
	}
	w.sheet[message.WindowID] = string(message.Counts)
	fence, by := r.Header.Get(sample.Fence), r.Header.Get(sample.Holder)
	if other, found := w.holder[fence]; found && other != by {
		w.odd = append(w.odd, fmt.Sprintf("fence %s sent by %s and %s", fence, other, by))
	}
	w.holder[fence] = by
}

func (w *world) front(i int, binary string, api netip.AddrPort) {
	// Soaks that run side by side must not meet: all fronts have the same ports.
	address := fmt.Sprintf("127.%d.%d.%d", 16+os.Getpid()%200, os.Getpid()/200%250, 10+i)
	p := &process{name: fmt.Sprintf("front-%d", i), callers: host.Own(), file: filepath.Join(w.t.TempDir(), "node.yaml"), log: filepath.Join(logFolder(w.t, fmt.Sprintf("soak-%d-%d-", w.seed, i)), "log")}
	settings := fmt.Sprintf(`
node: %q
ip: %q
zone: "a"
region: "north"
zones: {a: "north", b: "north"}
listen: {front: %q, ready: %q}
portRange: [%d, %d]
bounds: {graceS: 4, leaseMs: 1500, usageWindowS: 1, usageLateS: 3, budgetRatio: 0.2, budgetSlack: 60}
platform: {address: %q}
cloudApi: {address: %q, duties: ["usage_report"]}
`, p.name, address, p.callers, host.Own(), 17200, 17215, w.through(w.store.Addr()).address(), w.through(api).address())
	require.NoError(w.t, os.WriteFile(p.file, []byte(settings), 0o600))
	p.command = exec.Command(binary, "front", "-settings", p.file)
	w.fronts = append(w.fronts, p)
	p.start(w.t)
	w.t.Cleanup(func() {
		if w.t.Failed() { // its log ends with what it was doing
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGQUIT)
			time.Sleep(200 * time.Millisecond)
		}
		p.kill()
	})
}

// logFolder returns a folder that stays if the test fails.
func logFolder(t *testing.T, name string) string {
	folder, err := os.MkdirTemp("", name)
	require.NoError(t, err)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("logs are kept in %s", folder)
			return
		}
		_ = os.RemoveAll(folder)
	})
	return folder
}

func (p *process) start(t *testing.T) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(t, err)
	defer func() { _ = log.Close() }()
	p.command = exec.Command(p.command.Path, p.command.Args[1:]...)
	p.command.Stdout, p.command.Stderr = log, log
	require.NoError(t, p.command.Start())
	p.disturbed = time.Now()
}

// signal reaches only the process that was started here.
func (p *process) signal(s syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.disturbed = time.Now()
	_ = p.command.Process.Signal(s)
}

func (p *process) wait() {
	p.mutex.Lock()
	command := p.command
	p.mutex.Unlock()
	_ = command.Wait()
}

func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.wait()
}
