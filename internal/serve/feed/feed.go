// Package feed keeps a process's configuration up to date: a few readers in each
// data centre watch the platform's store, everyone else asks these readers. What
// travels is the change from one revision to the next, and the whole set only to
// a process that starts or has fallen behind.
package feed

import (
	"context"
	"crypto/tls"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/serve/peer"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
	"github.com/chicoryrock/chicoryrock/internal/state/publish"
)

const (
	// watchWait is how long one watch waits for a change, at the store and at
	// peers. It bounds how old a confirmation grows on each hop.
	watchWait = 2 * time.Second
	// callSlack is what a call may take beyond the wait that it asked for.
	callSlack = time.Second
	// retryWait is the pause after every source has failed.
	retryWait = 300 * time.Millisecond
	// StaleLimit is the age of a confirmation above which a process that cannot
	// tell an outage of the store from being cut off serves no more.
	StaleLimit = 10 * time.Second
	// maxDeltas is how many changes are kept for peers that are behind.
	maxDeltas = 32
	// maxSources is how many peers are asked before a round counts as failed.
	maxSources = 4
)

// Feed follows the configuration. Set the exported fields, then call Run.
type Feed struct {
	Store   chicoryrock.Store // nil in a process that never reads the store
	Holder  *object.Holder
	Log     *event.Log
	TLS     *tls.Config               // towards peers; nil for plain connections
	Reader  func() bool               // whether this process reads the store now
	Sources func() []netip.AddrPort   // peers to ask, the best first
	Home    bool                      // this process stands in the store's region
	Changed func(table *object.Table) // called with each table put in force; may be nil

	reader publish.Reader
	peers  map[netip.AddrPort]*peer.Client

	mu        sync.Mutex
	head      publish.Head
	set       *object.Set
	deltas    []publish.Delta
	changed   chan struct{}
	confirmed time.Time // when the store last confirmed the revision, as far as known
	outage    time.Time // when a process beside the store last found it out of reach
	moved     uint64    // store's revision of the head, readers only
}

// Run follows the configuration until the context ends.
func (f *Feed) Run(ctx context.Context) error {
	f.reader.Store = f.Store
	f.peers = make(map[netip.AddrPort]*peer.Client)
	defer f.closePeers()
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.report(err)
			sleep(ctx, retryWait)
		}
	}
	return nil
}

// report logs a failure. A store that answers something older than was seen has
// lost writes, which is cause for an alarm.
func (f *Feed) report(err error) {
	if errors.Is(err, chicoryrock.ErrStale) {
		f.Log.Write(event.ConfigOlder, zap.Error(err))
		return
	}
	f.Log.Write(event.ConfigFailed, zap.Error(err))
}

// step waits once for news, at the store or at a peer. A reader whose store fails
// asks its peers too: they may know more, or know that the store is out.
func (f *Feed) step(ctx context.Context) error {
	if f.Store == nil || !f.Reader() {
		err := f.askPeers(ctx)
		if err == nil || f.Store == nil {
			return err
		}
	}
	err := f.readStore(ctx)
	if err == nil {
		return nil
	}
	if f.Home {
		f.noteOutage(time.Now())
	}
	if peerErr := f.askPeers(ctx); peerErr == nil {
		sleep(ctx, retryWait)
		return nil
	}
	return err
}

// readStore watches the head and reads what a new one lists.
func (f *Feed) readStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, watchWait+callSlack)
	defer cancel()
	asked := time.Now()
	entry, err := f.Store.Watch(ctx, publish.HeadKey, f.moved, watchWait)
	if err != nil {
		return errors.Wrap(err, "watch the head")
	}
	if entry.Revision > f.moved {
		set, head, err := f.reader.Read(ctx, f.known())
		if err != nil {
			return err
		}
		if err := f.take(head, set); err != nil {
			return err
		}
		f.moved = entry.Revision
	}
	f.confirm(asked)
	return nil
}

// take puts a set in force and wakes the peers that wait for it. A set that is in
// force already is no error.
func (f *Feed) take(head publish.Head, set *object.Set) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.set != nil && head.Revision == f.head.Revision && head.ID == f.head.ID {
		return nil
	}
	table := object.NewTable(head.Revision, set)
	if err := f.Holder.Take(table); err != nil {
		return err
	}
	if f.Changed != nil {
		f.Changed(table)
	}
	f.remember(head, set)
	f.head, f.set = head, set
	f.wake()
	f.Log.Write(event.ConfigTaken, zap.Uint64("revision", head.Revision))
	return nil
}

// remember keeps the change for peers that have the revision before it.
func (f *Feed) remember(head publish.Head, set *object.Set) {
	if f.set == nil {
		return
	}
	delta, err := publish.NewDelta(f.head, f.set, head, set)
	if err != nil {
		// Peers get the whole set instead.
		f.deltas = nil
		return
	}
	f.deltas = append(f.deltas, delta)
	if len(f.deltas) > maxDeltas {
		f.deltas = f.deltas[1:]
	}
}

func (f *Feed) wake() {
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

func (f *Feed) known() publish.Head {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.head
}

func (f *Feed) confirm(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.confirmed) {
		f.confirmed = at
	}
}

func (f *Feed) noteOutage(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.outage) {
		f.outage = at
	}
}

// Age returns how long ago the store last confirmed the revision in force.
func (f *Feed) Age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.confirmed)
}

// Safe says whether the configuration may still be acted on. In an outage of the
// store nothing new can be accepted, so the last revision stays right. A process
// that is cut off from a store that still accepts changes could miss a withdrawn
// key. The two are told apart by hearing, directly or through peers, from a
// process in the store's own region that the store is out.
func (f *Feed) Safe(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.set == nil {
		return false
	}
	return now.Sub(f.confirmed) <= StaleLimit || now.Sub(f.outage) <= StaleLimit
}

func (f *Feed) closePeers() {
	for _, client := range f.peers {
		client.Close()
	}
}

func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
