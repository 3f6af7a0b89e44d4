package assembly

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/serve/gossip"
	"github.com/chicoryrock/chicoryrock/internal/serve/pause"
	"github.com/chicoryrock/chicoryrock/internal/serve/peer"
	"github.com/chicoryrock/chicoryrock/internal/state/fleet"
	"github.com/chicoryrock/chicoryrock/internal/state/origin"
	"github.com/chicoryrock/chicoryrock/internal/state/servers"
)

// peerServer answers the other processes.
func (p *Front) peerServer() *peer.Server {
	return &peer.Server{
		Listen: p.peers.address,
		Log:    p.Log,
		Room:   peerRoom(p.Node.Files),
		Handlers: map[string]peer.Handler{
			callConfig:   p.answerConfig,
			callManifest: p.answerManifest,
			callParts:    peer.Typed(p.answerParts),
			callServers: peer.Typed(func(_ context.Context, known servers.Version) (any, error) {
				p.mutex.Lock()
				defer p.mutex.Unlock()
				return p.servers.DeltaSince(known), nil
			}),
			callCounts: peer.Typed(func(ctx context.Context, changes []chicoryrock.Change) (any, error) {
				return p.store.Commit(ctx, changes)
			}),
			callCollect: peer.Typed(func(ctx context.Context, changes []chicoryrock.Change) (any, error) {
				return true, p.collector.Write(ctx, changes)
			}),
			callBreaks: peer.Typed(func(_ context.Context, outcomes []formerOutcome) (any, error) {
				now := time.Now()
				p.front.Told(now, evidenceOf(now, outcomes))
				return true, nil
			}),
			callSoftware: func(context.Context, json.RawMessage) (any, error) { return p.origins.Begins(), nil },
			callCrashes:  peer.Typed(p.heardCrashes),
			callTrial:    peer.Typed(p.decideTrial),
			callSeal: peer.Typed(func(_ context.Context, sealed sealParams) (any, error) {
				if p.usage != nil {
					p.usage.Hear(sealed.Window, sealed.Counts)
				}
				return true, nil
			}),
			callNeeds: func(context.Context, json.RawMessage) (any, error) { return p.needs.Report(), nil },
			callKeep: peer.Typed(func(_ context.Context, kept keepParams) (any, error) {
				p.book.Hold(kept.Process, kept.Changes)
				return true, nil
			}),
			callEvacuations: p.answerEvacuations,
		},
	}
}

func (p *Front) gossip() *gossip.Gossip {
	return &gossip.Gossip{
		Listen:      p.peers.address,
		Peers:       p.peers.addresses,
		Log:         p.Log,
		Report:      p.report,
		News:        p.news,
		Parcels:     p.parcels,
		Limits:      p.limitMessages,
		HeardLimits: p.front.HeardLimits,
		Heard: func(now time.Time, from netip.AddrPort, report *fleet.Report) {
			p.peers.heard(now, p.clock.True(now), from, report)
			if len(report.CachedPrefixes) > 0 {
				p.front.SetReads(now, report.CachedPrefixes)
			}
			if report.OmitsLoads {
				signalTo(p.told)
				signalTo(p.toldConfig)
			}
		},
		Evacuations:      p.evacuationMessage,
		HeardEvacuations: p.heardEvacuations,
	}
}

// report is what this process tells the others.
func (p *Front) report(now time.Time, brief bool) fleet.Report {
	report := fleet.Report{
		Process:      p.peers.process,
		Sent:         now,
		Clock:        p.clock.True(now),
		Draining:     p.front.Draining(),
		OmitsLoads:   brief,
		SharesLimits: true,
	}
	if !brief {
		report.Loads = p.front.Loads(now)
		report.CachedPrefixes = p.front.Reads()
	}
	if table := p.front.Table(); table != nil {
		report.ConfigVersion = table.Version
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	summary, exact := p.servers.Summary()
	report.ServersVersion = uint64(summary.LastChange)
	report.ServersDigest, report.ServersQuiet, report.HasServersDigest = summary.Digest, summary.Quiet, exact
	report.LastStoreAnswer = p.lastStoreAnswer()
	return report
}

// parcels returns what this process sends on the way of loads by heads.
func (p *Front) parcels(now time.Time) []gossip.Parcel {
	relayed := false
	p.peers.ask(func(f *fleet.Fleet) { relayed = f.RelaysLoads(now) })
	if !relayed {
		return nil
	}
	own := p.report(now, true)
	own.OmitsLoads, own.Loads = false, p.front.Loads(now)
	var parcels []fleet.Message
	p.peers.ask(func(f *fleet.Fleet) { parcels = f.RelayMessages(now, &own) })
	addressed := make([]gossip.Parcel, 0, len(parcels))
	for i := range parcels {
		if address, known := p.peers.addressOf(parcels[i].To); known {
			addressed = append(addressed, gossip.Parcel{To: address, Report: parcels[i].Report})
		}
	}
	return addressed
}

// limitMessages returns what this process has to say on the limits of backend servers.
func (p *Front) limitMessages(now time.Time) []gossip.LimitMessage {
	messages := p.front.LimitMessages(now)
	addressed := make([]gossip.LimitMessage, 0, len(messages))
	for i := range messages {
		if address, known := p.peers.addressOf(messages[i].To); known {
			addressed = append(addressed, gossip.LimitMessage{To: address, Message: messages[i]})
		}
	}
	return addressed
}

// catchUpServers asks peers for what they know of backend servers and this process has missed:
// its watches may be silent, or the store may turn just this process away.
func (p *Front) catchUpServers(ctx context.Context) error {
	for ctx.Err() == nil {
		awaitNews(ctx, p.told)
		now := time.Now()
		p.mutex.Lock()
		asOf := uint64(p.servers.Version())
		p.mutex.Unlock()
		var listed []string
		p.peers.ask(func(f *fleet.Fleet) {
			listed = f.WithNewerServers(now, asOf)
			p.clock.Agree(f.ClockOffset(now))
		})
		p.firstOf(ctx, listed, asked, p.fetchServers)
		p.compareServers(ctx, time.Now())
	}
	return nil
}

// catchUpEvacuations asks peers about evacuations until something is known of them.
func (p *Front) catchUpEvacuations(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.For(ctx, catchPause)
		p.fetchEvacuations(ctx, time.Now())
	}
	return nil
}

// eachPeer runs a call to every other living process at once.
func (p *Front) eachPeer(now time.Time, call func(process string) error) {
	var group sync.WaitGroup
	for _, process := range p.peers.alive(now) {
		if process == p.peers.process {
			continue
		}
		group.Go(func() {
			if err := call(process); err != nil {
				p.Log.Write(event.PeerFailed, zap.String("peer", process), zap.Error(err))
			}
		})
	}
	group.Wait()
}

// awaitNews waits until it is time to look for what is newer, which is soon when
// a peer has told of something.
func awaitNews(ctx context.Context, told <-chan struct{}) {
	timer := time.NewTimer(catchPause)
	defer timer.Stop()
	pause.For(ctx, newsPause)
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-told:
	}
}

// signalTo leaves a signal for whoever waits for it, if none is there yet.
func signalTo(signals chan<- struct{}) {
	select {
	case signals <- struct{}{}:
	default:
	}
}

// firstOf asks one process after another, up to a number, until one has answered,
// and says whether one has: the first may have stopped since it was heard.
func (p *Front) firstOf(ctx context.Context, processes []string, most int, ask func(ctx context.Context, process string) error) bool {
	for _, process := range processes[:min(len(processes), most)] {
		err := ask(ctx, process)
		if err == nil || ctx.Err() != nil {
			return err == nil
		}
		p.Log.Write(event.PeerFailed, zap.String("peer", process), zap.Error(err))
	}
	return false
}

// askSoftware asks peers at which software versions streams may begin.
func (p *Front) askSoftware(ctx context.Context) {
	now := time.Now()
	others := slices.DeleteFunc(p.peers.alive(now), func(process string) bool { return process == p.peers.process })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	p.firstOf(ctx, others, asked, func(ctx context.Context, from string) error {
		var begins origin.Register
		if err := p.peers.call(ctx, from, callSoftware, nil, &begins); err != nil {
			return err
		}
		p.origins.Hear(begins)
		return nil
	})
}

func (p *Front) fetchServers(ctx context.Context, from string) error {
	p.mutex.Lock()
	known := p.servers.Version()
	p.mutex.Unlock()
	var news servers.Delta
	if _, err := p.peers.callInPieces(ctx, from, callServers, known, &news); err != nil {
		return err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if notices, newer := p.servers.ApplyDelta(time.Now(), known, &news); newer {
		p.publish(notices)
	}
	return nil
}
