package assembly

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/serve/pause"
	"github.com/chicoryrock/chicoryrock/internal/serve/peer"
	"github.com/chicoryrock/chicoryrock/internal/state/fleet"
	"github.com/chicoryrock/chicoryrock/internal/state/tally"
)

const (
	// peerPrefix begins the store's keys of the processes; the rest is the node.
	peerPrefix = "peer/"
	// peerWait is how long a watch of the processes waits: they seldom change.
	peerWait = 15 * time.Second
	// peerTimeout bounds one call to another process.
	peerTimeout = 400 * time.Millisecond
	// joinPause is the wait before a process tries again to enter itself.
	joinPause = 500 * time.Millisecond
	// watchers is how many processes watch the store for all.
	watchers = 3
	// asked is how many peers are asked for what is newer, one after the other.
	asked = 3
	// collectTimeout bounds the writing of counts by another process: its wait for more
	// of them, and the store's answer.
	collectTimeout = 800 * time.Millisecond
	// settleTime is how long after its start a process may wait to hear what the others
	// do: in large fleets each tells about once a second.
	settleTime = 2500 * time.Millisecond
	// sealKeepers is how many peers are told what a usage window was sealed with.
	sealKeepers = 8
	// relays is how many peers are asked to write what the store would not take.
	relays = 2
	// watchedWithin is how fresh what a watcher has heard must be: a watch's wait,
	// the way of a report, and some more.
	watchedWithin = 1700 * time.Millisecond
	// memberTime is how long a process that is not heard is taken to send requests: longer
	// than most cuts last.
	memberTime = 5 * time.Minute
	// learnedKey is the store's key of what was learned of the engines.
	learnedKey = "learned"
	// learnInterval is how often it is written.
	learnInterval = 8 * time.Second
	// catchPause is how often a process asks a peer for what it has missed.
	catchPause = 200 * time.Millisecond
	// shareInterval is how often the placer is told what was heard of the others: well
	// below the time between two reports of one of them.
	shareInterval = 40 * time.Millisecond
	// newsPause is kept between two of these, so that a series of changes is taken
	// in at once.
	newsPause = 20 * time.Millisecond
)

// The calls between processes.
const (
	callConfig   = "config" // by processes of former builds
	callManifest = "manifest"
	callParts    = "parts"
	callServers  = "servers"
	callCounts   = "counts"
	callCollect  = "collect"
	callKeep     = "keep"
	callNeeds    = "needs"
	callCrashes  = "crashes"
	callTrial    = "trial"
	callSeal     = "seal"
	callSoftware = "software"
	// callEvacuations returns what is known of evacuated data centres.
	callEvacuations = "evacuations"
	// callBreaks is used by processes of former builds.
	callBreaks = "breaks"
)

// peerRecord is a process's entry in the store.
type peerRecord struct {
	Process string         `json:"process"`
	Address netip.AddrPort `json:"address"`
}

// keepParams are the counts that one process has another keep.
type keepParams struct {
	Process string               `json:"process"`
	Changes []chicoryrock.Change `json:"changes"`
}

// sealParams is what a usage window was sealed with.
type sealParams struct {
	Window int64        `json:"window"`
	Counts tally.Counts `json:"counts"`
}

// peers is what a front knows of the other processes.
type peers struct {
	process string
	address netip.AddrPort
	store   chicoryrock.TransactionalStore
	log     *event.Log

	mutex   sync.Mutex
	read    bool // the entries have been read from the store
	byNode  map[string]peerRecord
	heardAt map[string]time.Time // by node, when its process was last heard, or entered here
	fleet   fleet.Fleet
	clients map[netip.AddrPort]*peer.Client
}

// join enters this process in the store, however long that takes.
func (p *peers) join(ctx context.Context, node string) error {
	value, err := json.Marshal(peerRecord{Process: p.process, Address: p.address})
	if err != nil {
		return errors.WithStack(err)
	}
	for ctx.Err() == nil {
		_, err := p.store.Commit(ctx, []chicoryrock.Change{{Key: peerPrefix + node, Value: value, Unconditional: true}})
		if err == nil {
			return nil
		}
		p.log.Write(event.PeerFailed, zap.Error(errors.Wrap(err, "enter this process in the store")))
		pause.For(ctx, joinPause)
	}
	return nil
}

// reset takes in the entries of all processes. Those that were heard stay: their
// entries may only not be written yet.
func (p *peers) reset(now time.Time, entries []chicoryrock.KeyValue, _ uint64) {
	p.mutex.Lock()
	p.read = true
	p.mutex.Unlock()
	for _, entry := range entries {
		p.change(now, entry)
	}
}

// change takes in the entry of one process.
func (p *peers) change(now time.Time, entry chicoryrock.KeyValue) {
	node := strings.TrimPrefix(entry.Key, peerPrefix)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if entry.Deleted {
		delete(p.byNode, node)
		delete(p.heardAt, node)
		return
	}
	var record peerRecord
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		p.log.Write(event.PeerFailed, zap.String("key", entry.Key), zap.Error(err))
		return
	}
	p.enter(now, node, record)
}

// enter notes where a node's process is, unless a later one is known. The lock is
// held.
func (p *peers) enter(now time.Time, node string, record peerRecord) {
	if record.Process == p.process || !bornLater(record.Process, p.byNode[node].Process) {
		return
	}
	if p.byNode == nil {
		p.byNode, p.heardAt = make(map[string]peerRecord), make(map[string]time.Time)
	}
	p.byNode[node] = record
	p.heardAt[node] = now
}

// early says whether the entries in the store have been read, and this process is among
// the first of them, which watch for all.
func (p *peers) early() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	before := 0
	for _, record := range p.byNode {
		if record.Process < p.process {
			before++
		}
	}
	return p.read && before < watchers
}

// addresses returns where the other processes are.
func (p *peers) addresses() []netip.AddrPort {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := make([]netip.AddrPort, 0, len(p.byNode))
	for _, record := range p.byNode {
		list = append(list, record.Address)
	}
	return list
}

// addressOf returns where a process is, if that is known.
func (p *peers) addressOf(process string) (netip.AddrPort, bool) {
	node, _ := nodeOf(process)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	record, found := p.byNode[node]
	return record.Address, found && record.Process == process
}

// heard takes in a report. It also tells where its sender is, so that a process
// that rests from watching the store knows those that have joined since.
func (p *peers) heard(now, agreed time.Time, from netip.AddrPort, report *fleet.Report) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if node, found := nodeOf(report.Process); found {
		p.enter(now, node, peerRecord{Process: report.Process, Address: from})
		if p.byNode[node].Process == report.Process {
			p.heardAt[node] = now
		}
	}
	p.fleet.Receive(now, agreed, report)
}

// processName names a process so that no other one has its name: by its node and
// the time of its start.
func processName(node string, started time.Time) string {
	return fmt.Sprintf("%s-%d", node, started.UnixNano())
}

// nodeOf returns the node of a process.
func nodeOf(process string) (string, bool) {
	at := strings.LastIndexByte(process, '-')
	return process[:max(at, 0)], at > 0
}

// bornLater says whether a process of a node started after another one of it.
func bornLater(process, other string) bool {
	// The times of start have as many digits for the next two centuries.
	return len(process) > len(other) || len(process) == len(other) && process > other
}

// members returns how many processes may send requests to backend servers, this one
// included: all that are known, as some may be cut off from here and still send. Those
// not heard for memberTime count no more where most are alive: at most a minority of
// them can be on the other side of a cut.
func (p *peers) members(now time.Time) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known := len(p.byNode) + 1
	if !p.read {
		return max(known, firstProcesses)
	}
	if 2*len(p.fleet.Alive(now)) <= known {
		return known
	}
	for _, heard := range p.heardAt {
		if now.Sub(heard) > memberTime {
			known--
		}
	}
	return known
}

// ask runs a function on what was heard.
func (p *peers) ask(look func(*fleet.Fleet)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	look(&p.fleet)
}

// alive returns the names of the processes that live.
func (p *peers) alive(now time.Time) (names []string) {
	p.ask(func(f *fleet.Fleet) { names = f.Alive(now) })
	return names
}

// call runs a method on a process by name.
func (p *peers) call(ctx context.Context, process, method string, params, result any) error {
	return p.callWithin(ctx, peerTimeout, process, method, params, result)
}

// callWithin is call with a limit of its own.
func (p *peers) callWithin(ctx context.Context, limit time.Duration, process, method string, params, result any) error {
	client := p.client(process)
	if client == nil {
		return errors.Wrapf(chicoryrock.ErrUnavailable, "no address of %s", process)
	}
	return client.CallWithin(ctx, limit, method, params, result)
}

// callInPieces is call for a method whose answer grows with the deployment. It returns when the
// answer was made.
func (p *peers) callInPieces(ctx context.Context, process, method string, params, result any) (time.Time, error) {
	client := p.client(process)
	if client == nil {
		return time.Time{}, errors.Wrapf(chicoryrock.ErrUnavailable, "no address of %s", process)
	}
	return client.CallInPieces(ctx, peerTimeout, method, params, result)
}

func (p *peers) client(process string) *peer.Client {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, record := range p.byNode {
		if record.Process != process {
			continue
		}
		client := p.clients[record.Address]
		if client == nil {
			if p.clients == nil {
				p.clients = make(map[netip.AddrPort]*peer.Client)
			}
			client = &peer.Client{Address: record.Address}
			p.clients[record.Address] = client
		}
		return client
	}
	return nil
}
