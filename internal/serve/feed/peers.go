package feed

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/serve/peer"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
	"github.com/chicoryrock/chicoryrock/internal/state/publish"
)

// MethodWatch is the peers' method that waits for a newer configuration.
const MethodWatch = "config.watch"

// none is the age sent for something that has never happened.
const none = time.Duration(-1)

// WatchParams asks for what follows a revision.
type WatchParams struct {
	Revision uint64        `json:"revision"`
	ID       string        `json:"id,omitempty"`
	Wait     time.Duration `json:"wait"` // nanoseconds
}

// WatchReply brings the changes since the revision asked for, or the whole set,
// or nothing new. Ages are counted by the sender up to the moment of sending, so
// that clocks need not agree.
type WatchReply struct {
	Deltas []publish.Delta `json:"deltas,omitempty"`
	Head   *publish.Head   `json:"head,omitempty"`
	Set    *object.Set     `json:"set,omitempty"`
	Age    time.Duration   `json:"age"`    // of the store's last confirmation
	Outage time.Duration   `json:"outage"` // since the store was last found out; none
}

// HandleWatch answers MethodWatch.
func (f *Feed) HandleWatch(ctx context.Context, params WatchParams) (any, error) {
	f.await(ctx, params)
	return f.reply(time.Now(), params)
}

// await returns when something newer than asked for is in force, or the wait is
// over.
func (f *Feed) await(ctx context.Context, params WatchParams) {
	f.mu.Lock()
	if f.set != nil && f.head.Revision > params.Revision {
		f.mu.Unlock()
		return
	}
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	changed := f.changed
	f.mu.Unlock()
	timer := time.NewTimer(min(params.Wait, watchWait))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (f *Feed) reply(now time.Time, params WatchParams) (*WatchReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.set == nil {
		return nil, errors.Wrap(chicoryrock.ErrNotFound, "no configuration yet")
	}
	reply := &WatchReply{Age: now.Sub(f.confirmed), Outage: none}
	if !f.outage.IsZero() {
		reply.Outage = now.Sub(f.outage)
	}
	if f.head.Revision <= params.Revision {
		return reply, nil
	}
	if deltas := f.deltasFrom(params); deltas != nil {
		reply.Deltas = deltas
		return reply, nil
	}
	head := f.head
	reply.Head = &head
	reply.Set = f.set
	return reply, nil
}

func (f *Feed) deltasFrom(params WatchParams) []publish.Delta {
	for i := range f.deltas {
		if f.deltas[i].From == params.Revision && f.deltas[i].FromID == params.ID {
			return f.deltas[i:]
		}
	}
	return nil
}

// askPeers asks one source after another until one answers.
func (f *Feed) askPeers(ctx context.Context) error {
	sources := f.Sources()
	err := errors.Wrap(chicoryrock.ErrUnavailable, "no peer to ask")
	for _, source := range sources[:min(len(sources), maxSources)] {
		if err = f.askPeer(ctx, source); err == nil {
			return nil
		}
	}
	return err
}

func (f *Feed) askPeer(ctx context.Context, source netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, watchWait+callSlack)
	defer cancel()
	known := f.known()
	params := WatchParams{Revision: known.Revision, ID: known.ID, Wait: watchWait}
	reply := &WatchReply{Age: none, Outage: none}
	if err := f.client(source).Call(ctx, MethodWatch, params, reply); err != nil {
		return err
	}
	if err := f.apply(reply); err != nil {
		return err
	}
	now := time.Now()
	if reply.Age >= 0 && reply.Age < StaleLimit {
		f.confirm(now.Add(-reply.Age))
	}
	if reply.Outage >= 0 {
		f.noteOutage(now.Add(-reply.Outage))
	}
	return nil
}

func (f *Feed) apply(reply *WatchReply) error {
	if reply.Set != nil && reply.Head != nil {
		if reply.Head.Revision <= f.known().Revision {
			return nil
		}
		if err := publish.Verify(*reply.Head, reply.Set); err != nil {
			return err
		}
		return f.take(*reply.Head, reply.Set)
	}
	for i := range reply.Deltas {
		f.mu.Lock()
		head, set := f.head, f.set
		f.mu.Unlock()
		next, nextHead, err := reply.Deltas[i].Apply(head, set)
		if err != nil {
			return err
		}
		if err := f.take(nextHead, next); err != nil {
			return err
		}
	}
	return nil
}

func (f *Feed) client(address netip.AddrPort) *peer.Client {
	client, found := f.peers[address]
	if !found {
		client = &peer.Client{Address: address, TLS: f.TLS}
		f.peers[address] = client
	}
	return client
}
