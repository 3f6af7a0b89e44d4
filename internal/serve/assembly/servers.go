package assembly

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/serve/follow"
	"github.com/chicoryrock/chicoryrock/internal/serve/pause"
	"github.com/chicoryrock/chicoryrock/internal/state/fleet"
	"github.com/chicoryrock/chicoryrock/internal/state/servers"
	"github.com/chicoryrock/chicoryrock/platform"
)

// lapseInterval is how often lapsed entries are looked for.
const lapseInterval = 250 * time.Millisecond

func (p *Front) heardServers(now time.Time) {
	p.origins.ListHeard(now)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.servers.StoreAnswered(now)
	p.watched = now
}

func (p *Front) lostServers(now time.Time) {
	p.origins.ListLost(now)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.servers.StoreFailed()
}

func (p *Front) resetServers(now time.Time, entries []chicoryrock.KeyValue, revision uint64) {
	found := make([]servers.Written, 0, len(entries))
	for _, entry := range entries {
		if server, ok := p.readServer(entry); ok {
			found = append(found, servers.Written{Server: server, Version: servers.VersionOf(entry.Revision)})
		}
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	before := p.servers.LastChange()
	p.publish(p.servers.ApplyFullRead(now, revision, found))
	if p.servers.LastChange() > before {
		signalTo(p.news)
	}
}

// changeServers takes in a whole answer of a watch: in between its entries, the list would be
// none that the store had at any revision.
func (p *Front) changeServers(now time.Time, changes *follow.Changes) {
	updates := make([]servers.Update, 0, len(changes.Entries))
	for _, entry := range changes.Entries {
		update := servers.Update{Version: servers.VersionOf(entry.Revision), Removed: entry.Deleted}
		if entry.Deleted {
			update.Server.ID = strings.TrimPrefix(entry.Key, platform.ServerPrefix)
		} else {
			server, ok := p.readServer(entry)
			if !ok {
				continue
			}
			update.Server = server
		}
		updates = append(updates, update)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	notices, contiguous := p.servers.ApplyWatch(now, changes.After, changes.Through, updates)
	if !contiguous {
		p.again.Store(true)
	}
	if len(updates) > 0 {
		p.publish(notices)
	}
	// The others leave the watching to this process while they hear that it goes on. What
	// a report says of that is as old as the report is late.
	signalTo(p.news)
}

// compareServers compares the list with what the other processes state of theirs, and has it
// repaired if they differ.
func (p *Front) compareServers(ctx context.Context, now time.Time) {
	var peers []servers.Summary
	p.peers.ask(func(f *fleet.Fleet) {
		for _, digest := range f.ServersDigests(now) {
			peers = append(peers, servers.Summary{Process: digest.Process, LastChange: servers.Version(digest.Version), Quiet: digest.Quiet, Digest: digest.Digest})
		}
	})
	watches := !p.rests(now)
	p.mutex.Lock()
	watches = watches && now.Sub(p.watched) <= watchedWithin
	repair, differ := p.servers.Compare(now, peers, watches)
	version := p.servers.Version()
	p.mutex.Unlock()
	if repair == servers.NoRepair {
		return
	}
	p.Log.Write(event.ServersDiffer, zap.Strings("peers", differ[:min(len(differ), asked)]), zap.Int("differ", len(differ)),
		zap.Uint64("version", uint64(version)), zap.Bool("store", repair == servers.ReadStore))
	if repair == servers.ReadStore {
		p.again.Store(true)
		return
	}
	for _, process := range differ[:min(len(differ), asked)] {
		if err := p.repairServers(ctx, process); err != nil {
			p.Log.Write(event.PeerFailed, zap.String("peer", process), zap.Error(err))
		}
	}
}

// repairServers takes over what this process has missed and another one knows.
func (p *Front) repairServers(ctx context.Context, from string) error {
	p.mutex.Lock()
	since := p.servers.RepairSince()
	p.mutex.Unlock()
	var news servers.Delta
	if _, err := p.peers.callInPieces(ctx, from, callServers, since, &news); err != nil {
		return err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.publish(p.servers.ApplyRepair(time.Now(), since, &news))
	return nil
}

// listedServer reads the entry of a backend server from the store, and adds what its answers say.
func (p *Front) listedServer(ctx context.Context, server string) (chicoryrock.Server, error) {
	entry, err := p.store.Get(ctx, platform.ServerPrefix+server)
	if err != nil {
		return chicoryrock.Server{}, err
	}
	read, ok := p.readServer(entry)
	if !ok {
		return read, errors.WithStack(chicoryrock.ErrInvalid)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.servers.View(read), nil
}

// listedStarts returns the starts of a backend server that were listed lately.
func (p *Front) listedStarts(server string) []chicoryrock.Server {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.starts.Of(time.Now(), server)
}

func (p *Front) readServer(entry chicoryrock.KeyValue) (chicoryrock.Server, bool) {
	server, err := platform.ReadServer(entry)
	if err != nil {
		p.Log.Write(event.ServerBad, zap.String("key", entry.Key), zap.Uint64("revision", entry.Revision), zap.Error(err))
		return server, false
	}
	return server, true
}

// serverEvents are the events of the changes that are told.
var serverEvents = map[servers.ChangeKind]event.Event{
	servers.Added:     event.ServerNew,
	servers.Restarted: event.ServerNew,
	servers.Leaving:   event.ServerLeaves,
	servers.Removed:   event.ServerGone,
	servers.Lapsed:    event.ServerLapsed,
}

// publish passes the list of backend servers on. The lock is held.
func (p *Front) publish(notices []servers.Change) {
	for _, notice := range notices {
		if told, found := serverEvents[notice.Kind]; found {
			p.Log.Write(told, zap.String("server", notice.Server.ID), zap.String("service", notice.Server.Service),
				zap.Stringer("address", notice.Server.Address), zap.String("centre", notice.Server.Centre), zap.String("software", notice.Server.Build()))
		}
		if notice.Kind == servers.Added || notice.Kind == servers.Restarted {
			p.starts.Note(time.Now(), notice.Server)
		}
		if notice.Kind == servers.Removed || notice.Kind == servers.Restarted {
			p.front.Upstream.Forget(notice.Server.Address)
		}
	}
	p.front.SetServers(time.Now(), p.servers.Servers())
}

// observeServer takes in what a start of a backend server says of itself in an answer.
func (p *Front) observeServer(now time.Time, start servers.Start, said servers.Statement) {
	if said == (servers.Statement{}) {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	change, news := p.servers.Observe(now, start, said)
	if !news {
		return
	}
	switch change.Kind {
	case servers.Resting:
		p.Log.Write(event.ServerRests, zap.String("server", start.ID), zap.Time("until", change.Server.RestUntil))
	case servers.Reweighted:
		p.Log.Write(event.WeightsStated, zap.String("server", start.ID), zap.String("software", change.Server.Build()))
	}
	p.publish([]servers.Change{change})
}

// expire drops the servers whose entries have not come back, and the evacuations that the
// store has lost.
func (p *Front) expire(ctx context.Context) error {
	pause.Every(ctx, lapseInterval, func(now time.Time) {
		p.expireEvacuations(now)
		p.mutex.Lock()
		defer p.mutex.Unlock()
		if gone := p.servers.ExpireLapsed(now); len(gone) > 0 {
			p.publish(gone)
		}
	})
	return nil
}
