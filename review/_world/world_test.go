// Package world plays the platform, its callers and its backend servers on loopback
// addresses around real fronts, and checks one rule in each of its cases. It is built as a
// test, so that the rules for the project's packages don't apply to it.
package world

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	callerHost = "h.example"
	callerKey  = "xd9dnn2ctnfzs989anu6"
	tenant     = "huka270"
)

// world is everything around the fronts.
type world struct {
	dir      string
	store    *metadata
	storeAt  string
	apiAt    string
	fronts   []*front
	replicas []*replica
	trouble  bool

	mutex  sync.Mutex
	record *os.File
	start  time.Time
	runs   map[string]int // runs of each request, by ID
	sent   map[string]bool
	broken []string
	node   int
}

func newWorld(record string) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{
		dir: dir, store: newMetadata(), record: file, start: time.Now(), runs: map[string]int{}, sent: map[string]bool{},
		trouble: os.Getenv("TROUBLE") != "0",
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		w.close()
		os.Exit(2)
	}()
	if w.storeAt, err = serve("127.0.0.1:0", w.store); err != nil {
		return nil, err
	}
	if w.apiAt, err = serve("127.0.0.1:0", http.HandlerFunc(w.api)); err != nil {
		return nil, err
	}
	return w, nil
}

func serve(address string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: handler}).Serve(listener) }()
	return listener.Addr().String(), nil
}

// note writes a line of the record.
func (w *world) note(format string, args ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{time.Since(w.start).Seconds()}, args...)...)
}

// fault notes that the rule was broken.
func (w *world) fault(format string, args ...any) {
	w.note("BROKEN "+format, args...)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
}

// close ends all processes and returns the exit code.
func (w *world) close() int {
	for _, f := range w.fronts {
		f.kill()
	}
	_ = os.RemoveAll(w.dir)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	_, _ = fmt.Fprintf(w.record, "broken: %d\n", len(w.broken))
	_ = w.record.Close()
	if len(w.broken) > 0 {
		return 1
	}
	return 0
}

// api takes usage reports and orders as the platform does.
func (w *world) api(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.note("api %s holder=%s fence=%s %s", r.URL.Path, r.Header.Get("Duty-Holder"), r.Header.Get("Fence-Token"), body)
	rw.WriteHeader(http.StatusOK)
}

// route is one route of the configuration.
type route struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	PathPrefix      string  `json:"pathPrefix"`
	Kind            string  `json:"kind"`
	TimeoutMs       float64 `json:"timeoutMs"`
	TargetLatencyMs float64 `json:"targetLatencyMs"`
	GapAimMs        float64 `json:"gapAimMs,omitempty"`
	Priority        int     `json:"priority"`
	Service         string  `json:"service"`
	MaxAttempts     int     `json:"maxAttempts"`
	Sticky          bool    `json:"sticky,omitempty"`
	Resumable       bool    `json:"resumable,omitempty"`
}

func routes() []route {
	return []route{
		{Name: "book", Host: callerHost, PathPrefix: "/book/", Kind: "non_idempotent", TimeoutMs: 3000, TargetLatencyMs: 300, Priority: 2, Service: "app", MaxAttempts: 1},
		{Name: "read", Host: callerHost, PathPrefix: "/read/", Kind: "idempotent", TimeoutMs: 3000, TargetLatencyMs: 300, Priority: 2, Service: "app", MaxAttempts: 2},
		{Name: "sheet", Host: callerHost, PathPrefix: "/sheet/", Kind: "streaming", TimeoutMs: 4000, TargetLatencyMs: 400, GapAimMs: 200, Priority: 1, Service: "pool", MaxAttempts: 2, Sticky: true, Resumable: true},
		{Name: "ask", Host: callerHost, PathPrefix: "/ask/", Kind: "streaming", TimeoutMs: 12000, TargetLatencyMs: 500, GapAimMs: 120, Priority: 0, Service: "pool", MaxAttempts: 1, Sticky: true},
	}
}

// configure writes a configuration with some keys of the tenant.
func (w *world) configure(version int, list []route, keys ...string) {
	if keys == nil {
		keys = []string{}
	}
	value, _ := json.Marshal(map[string]any{
		"version": version, "routes": list,
		"services": []map[string]any{
			{"name": "app", "maxConns": 110},
			{"name": "pool", "maxConns": 240, "engine": map[string]any{"slots": 32, "kvCapacityTokens": 418212, "stride": 6}},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": tenant, "apiKeys": keys}},
	})
	w.store.put("op/config", value)
	w.note("config version %d acknowledged, keys %v", version, keys)
}

// replica is one backend server.
type replica struct {
	world   *world
	id      string
	service string
	address string
	state   string
	born    int64
	work    time.Duration
	mutex   sync.Mutex
	handle  func(rw http.ResponseWriter, r *http.Request, body []byte) bool // before the usual answer
}

func (w *world) addReplica(service string) (*replica, error) {
	r := &replica{
		world: w, id: fmt.Sprintf("i-%s-%d", service, len(w.replicas)), service: service, state: "ready",
		born: time.Now().UnixMilli(), work: 15 * time.Millisecond,
	}
	var err error
	if r.address, err = serve("127.0.0.1:0", r); err != nil {
		return nil, err
	}
	w.replicas = append(w.replicas, r)
	r.enter(r.address)
	return r, nil
}

// enter writes the replica's entry with the address at which it is reached.
func (r *replica) enter(address string) {
	value, _ := json.Marshal(map[string]any{
		"service": r.service, "address": address, "zone": "jamalpur", "version": "1", "slots": 32,
		"state": r.state, "coldLeftMs": 0, "seq": 1, "born": r.born,
	})
	r.world.store.put("servers/"+r.id, value)
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(rw http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Request-Id")
	rw.Header().Set("Request-Id", id)
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	switch {
	case id == "":
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	case q.Header.Get("Expect-Instance") != r.id:
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.world.mutex.Lock()
	r.world.runs[id]++
	r.world.mutex.Unlock()
	r.world.note("run %s %s at %s, tenant %s, %d bytes", id, q.RequestURI, r.id, q.Header.Get("Tenant-Id"), len(body))
	r.mutex.Lock()
	handle := r.handle
	r.mutex.Unlock()
	if handle != nil && handle(rw, q, body) {
		return
	}
	rw.Header().Set("Response-Seal", "seal."+id+"."+r.id)
	time.Sleep(r.work)
	answer := []byte("answer to " + id)
	rw.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = rw.Write(answer)
}

// front is one process of the system.
type front struct {
	world   *world
	name    string
	address string // of callers
	ip      string
	file    string
	log     string
	mutex   sync.Mutex
	command *exec.Cmd
}

// addFront writes the settings of a front of a small deployment and starts it. The store is
// reached at an address of its own if one is given.
func (w *world) addFront(storeAt string) (*front, error) {
	if storeAt == "" {
		storeAt = w.storeAt
	}
	w.node++
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 16+pid%200, pid/200%250, 10+w.node)
	f := &front{world: w, name: fmt.Sprintf("front-jamalpur-%d", w.node), ip: ip, address: ip + ":8740"}
	f.file = filepath.Join(w.dir, f.name+".yaml")
	f.log = filepath.Join(w.dir, f.name+".log")
	if err := os.WriteFile(f.file, []byte(fmt.Sprintf(settings, f.name, ip, storeAt, w.apiAt, memoryLimit)), 0o600); err != nil {
		return nil, err
	}
	w.fronts = append(w.fronts, f)
	return f, f.run()
}

// memoryLimit is that of a front, MB.
const memoryLimit = 134

const settings = `node: %[1]q
role: "front"
machineClass: "front"
serves: ["front"]
ip: %[2]q
zone: "jamalpur"
region: "ahmedabad"
zones: {jamalpur: "ahmedabad", kalupur: "ahmedabad", varachha: "surat"}
listen: {front: "%[2]s:8740", ready: "%[2]s:8749"}
portRange: [7200, 7215]
seeds: []
firstStart: true
limits: {cpuShare: 0.304, cores: 1, memoryMb: %[5]d, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
dataDir: null
discovery: "platform"
entry: "vip"
heartbeatMs: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "leader", "platform"]
faultTolerance: {machines: 1, zones: 0, regions: 0}
bounds: {seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2500, graceS: 8, lossSlackMs: 200, configApplyMs: 2500, rollbackSlackMs: 250, maxStretchMs: 5000, strictRevoke: false, revokeMs: 5000, budgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 56, enforceFencing: true, leaseMs: 3000, thawMs: 300, usageWindowS: 5, usageTolerance: 0.05, usageLateS: 10, recoverS: 12, passMs: 200, retryAfterS: 7}
platform: {address: %[3]q, form: "kv", writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1048576, ttlMinMs: 1000}
cloudApi: {address: %[4]q, ratePerS: 50.0, duties: ["usage_report", "autoscale"], dutyPerS: 50.0}
`

// run starts the front by the command of the deploy file.
func (f *front) run() error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	log, err := os.OpenFile(f.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	binary := os.Getenv("FRONT")
	if binary == "" {
		binary = "target/chicoryrock"
	}
	f.command = exec.Command(binary, "front", "-metrics", "7215")
	f.command.Env = []string{"CHICORYROCK_NODE_FILE=" + f.file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	f.command.Stdout, f.command.Stderr = log, log
	err = f.command.Start()
	f.world.note("start %s, process %d: %v", f.name, f.command.Process.Pid, err)
	return err
}

// signal reaches only the process that was started here.
func (f *front) signal(s syscall.Signal) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.world.note("signal %v to %s", s, f.name)
	_ = f.command.Process.Signal(s)
}

// wait returns how the process ended.
func (f *front) wait() error { return f.command.Wait() }

func (f *front) kill() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.command == nil || f.command.Process == nil || f.command.ProcessState != nil {
		return
	}
	_ = f.command.Process.Signal(syscall.SIGCONT)
	_ = f.command.Process.Kill()
	_ = f.command.Wait()
}

// ready waits until each front says that it is ready and serves a request.
func (w *world) ready(limit time.Duration) error {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	end := time.Now().Add(limit)
	for _, f := range w.fronts {
		for n := 0; ; n++ {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", f.name)
			}
			time.Sleep(50 * time.Millisecond)
			response, err := client.Get("http://" + f.ip + ":8749/chicoryrock/ready")
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode != http.StatusOK {
				continue
			}
			if got := w.ask(client, f, "read", fmt.Sprintf("ready-%s-%d", f.name, n), nil, 2000); got.status == http.StatusOK {
				break
			}
		}
	}
	w.note("all fronts serve")
	return nil
}

// got is what a caller got.
type got struct {
	id     string
	status int // zero without an answer
	seal   string
	body   []byte
	err    error
	took   time.Duration
}

// ask sends one request.
func (w *world) ask(client *http.Client, f *front, kind, id string, body []byte, deadlineMs int) got {
	method := http.MethodGet
	if kind != "read" {
		method = http.MethodPost
	}
	request, err := http.NewRequest(method, "http://"+f.address+"/"+kind+"/x", bytes.NewReader(body))
	if err != nil {
		return got{id: id, err: err}
	}
	request.GetBody = nil
	request.Host = callerHost
	request.Header.Set("Request-Id", id)
	request.Header.Set("Authorization", "Bearer "+callerKey)
	request.Header.Set("Deadline-Ms", strconv.Itoa(deadlineMs))
	if kind == "sheet" || kind == "ask" {
		request.Header.Set("Model", "m")
		request.Header.Set("Token-Usage", "600,40")
		request.Header.Set("Prefix-Hash", "5c1e07a2:200,91bd3f06:400")
	}
	w.mutex.Lock()
	w.sent[id] = true
	w.mutex.Unlock()
	begin := time.Now()
	response, err := client.Do(request)
	if err != nil {
		w.note("caller %s at %s: %v", id, f.name, err)
		return got{id: id, err: err, took: time.Since(begin)}
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	one := got{id: id, status: response.StatusCode, seal: response.Header.Get("Response-Seal"), body: answer, err: err, took: time.Since(begin)}
	w.note("caller %s at %s: %d seal=%q %d bytes, whole=%v, after %v", id, f.name, one.status, one.seal, len(answer), err == nil, one.took.Round(time.Millisecond))
	return one
}

func (w *world) ran(id string) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.runs[id]
}

// small makes a world with two servers of each service and some fronts.
func small(record string, fronts int) (*world, error) {
	w, err := newWorld(record)
	if err != nil {
		return nil, err
	}
	w.configure(1, routes(), callerKey)
	for _, service := range []string{"app", "app", "pool", "pool"} {
		if _, err := w.addReplica(service); err != nil {
			return w, err
		}
	}
	for range fronts {
		if _, err := w.addFront(""); err != nil {
			return w, err
		}
	}
	return w, w.ready(20 * time.Second)
}

var cases = map[string]func(record string) (*world, error){}

// TestMain runs the case that the first argument names, with the record in a file.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		names := make([]string, 0, len(cases))
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "usage: world "+strings.Join(names, "|")+" RECORD")
		os.Exit(2)
	}
	w, err := cases[os.Args[1]](os.Args[2])
	code := 2
	if w != nil {
		if err != nil {
			w.note("could not run: %v", err)
		}
		if held := w.close(); err == nil {
			code = held
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}
