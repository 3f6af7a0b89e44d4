// Package exchange lets entries tell each other, every two seconds and at once
// after a crash, what they must agree on without a message for each request: how
// much each workspace has used, and which requests crash engines.
package exchange

import (
	"context"
	"crypto/tls"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/policy/demand"
	"github.com/chicoryrock/chicoryrock/internal/policy/limit"
	"github.com/chicoryrock/chicoryrock/internal/policy/suspect"
	"github.com/chicoryrock/chicoryrock/internal/serve/entry"
	"github.com/chicoryrock/chicoryrock/internal/serve/pause"
	"github.com/chicoryrock/chicoryrock/internal/serve/peer"
	"github.com/chicoryrock/chicoryrock/internal/state/member"
)

// MethodTell is the peers' method that takes in a Message.
const MethodTell = "entry.tell"

const (
	// callTimeout bounds the delivery to one peer.
	callTimeout = time.Second
	// shareTimeout bounds the wait of one request for its crash to be known.
	shareTimeout = 250 * time.Millisecond
	// maxCalls is how many peers are told at once.
	maxCalls = 16
)

// Message is what one entry tells the others.
type Message struct {
	Uses     limit.Report   `json:"uses"`
	Suspects suspect.Update `json:"suspects"`
	Needs    demand.Report  `json:"needs"`
}

// Exchange tells the other entries and takes in what they tell. Set the exported
// fields, then call Run.
type Exchange struct {
	Self     member.Self
	Limits   *entry.Limits
	Needs    *demand.Counter
	Hear     func(now time.Time, needs demand.Report) // told of every entry's needs, the own included
	Suspects *entry.Suspects
	TLS      *tls.Config // towards peers; nil for plain connections
	Log      *event.Log

	mu    sync.Mutex
	peers map[string]*peer.Client // by the entry's name
}

// ServersChanged takes in a list of VMs: the other entries on it are the peers.
func (e *Exchange) ServersChanged(vms []chicoryrock.VM) {
	e.mu.Lock()
	defer e.mu.Unlock()
	listed := make(map[string]*peer.Client)
	names := make([]string, 0, len(e.peers))
	for i := range vms {
		vm := &vms[i]
		if vm.Role != member.RoleEntry || vm.Name == e.Self.Name || !vm.Address.IsValid() {
			continue
		}
		listed[vm.Name] = e.clientOf(vm.Name, vm.Address)
		names = append(names, vm.Name)
	}
	for name, client := range e.peers {
		if listed[name] != client {
			client.Close()
		}
	}
	e.peers = listed
	e.Limits.SetPeers(time.Now(), names)
}

func (e *Exchange) clientOf(name string, address netip.AddrPort) *peer.Client {
	if client, known := e.peers[name]; known && client.Address == address {
		return client
	}
	return &peer.Client{Address: address, TLS: e.TLS}
}

// Owns says whether this entry grants the trials of a ban for all that are listed.
func (e *Exchange) Owns(ban *suspect.Ban) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return ban.Grantor(append(slices.Collect(maps.Keys(e.peers)), e.Self.Name)) == e.Self.Name
}

// Run tells the peers again and again until the context ends.
func (e *Exchange) Run(ctx context.Context) error {
	defer e.closeAll()
	pause.Every(ctx, limit.ExchangeInterval, func(now time.Time) { e.tellAll(ctx, now) })
	return nil
}

func (e *Exchange) tellAll(ctx context.Context, now time.Time) {
	needs := e.Needs.Report()
	e.Hear(now, needs)
	e.tell(ctx, Message{Uses: e.Limits.State(now), Suspects: e.Suspects.Export(now), Needs: needs})
}

// Share tells the peers at once of the requests that crash engines.
func (e *Exchange) Share(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	e.tell(ctx, Message{Suspects: e.Suspects.Export(time.Now())})
}

// tell delivers a message to every peer. A peer that cannot be reached misses it;
// the next message says the same and more.
func (e *Exchange) tell(ctx context.Context, message Message) {
	var group errgroup.Group
	group.SetLimit(maxCalls)
	for _, client := range e.clients() {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			var known suspect.Update
			if err := client.Call(ctx, MethodTell, message, &known); err != nil {
				e.Log.Write(event.PeerFailed, zap.Error(err))
				return nil
			}
			e.Suspects.Merge(time.Now(), known)
			return nil
		})
	}
	// No call returns an error.
	_ = group.Wait()
}

func (e *Exchange) clients() []*peer.Client {
	e.mu.Lock()
	defer e.mu.Unlock()
	clients := make([]*peer.Client, 0, len(e.peers))
	for _, client := range e.peers {
		clients = append(clients, client)
	}
	return clients
}

func (e *Exchange) closeAll() {
	for _, client := range e.clients() {
		client.Close()
	}
}

// HandleTell answers MethodTell with the suspects that this entry knows, so that
// an entry that has just started learns them with its first message.
func (e *Exchange) HandleTell(_ context.Context, message Message) (any, error) {
	now := time.Now()
	if message.Uses.Entry != "" {
		e.Limits.Hear(now, message.Uses)
	}
	if message.Needs.Entry != "" {
		e.Hear(now, message.Needs)
	}
	e.Suspects.Merge(now, message.Suspects)
	return e.Suspects.Export(now), nil
}
