package assembly

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/policy/place"
	"github.com/chicoryrock/chicoryrock/internal/serve/billing"
	"github.com/chicoryrock/chicoryrock/internal/serve/pause"
	"github.com/chicoryrock/chicoryrock/internal/state/fleet"
	"github.com/chicoryrock/chicoryrock/internal/state/tally"
)

// rests says whether this process may leave the watching of the store to others:
// a few do it for all, as long as what they hear reaches this one.
func (p *Front) rests(now time.Time) bool {
	alive := p.peers.alive(now)
	at := slices.Index(alive, p.peers.process)
	if len(alive) <= watchers || at < watchers {
		return false
	}
	watched := false
	p.peers.ask(func(f *fleet.Fleet) { watched = f.StoreWatched(now, watchedWithin) })
	return watched
}

// restsOperator is rests for what operators write: a process that knows of a newer configuration
// and gets nothing of it from its peers reads it from the store itself.
func (p *Front) restsOperator(now time.Time) bool {
	patience := p.front.Bounds().Apply / stuckPart
	p.configurations.mutex.Lock()
	stuck := p.configurations.lag.Stuck(now, patience)
	p.configurations.mutex.Unlock()
	return !stuck && p.rests(now)
}

// leaves says whether this process leaves it to the watchers to find out when the
// store is back.
func (p *Front) leaves(now time.Time) bool {
	alive := p.peers.alive(now)
	return slices.Index(alive, p.peers.process) >= watchers
}

// relay hands counts that the store would not take to a peer that may reach it.
func (p *Front) relay(ctx context.Context, changes []chicoryrock.Change) error {
	// Only those that hear the store can help: during an outage of all, each would
	// ask it in vain.
	var hearing []string
	p.peers.ask(func(f *fleet.Fleet) { hearing = f.WithStore(time.Now(), watchedWithin) })
	taken := p.firstOf(ctx, hearing, relays, func(ctx context.Context, process string) error {
		var revision uint64
		return p.peers.call(ctx, process, callCounts, changes, &revision)
	})
	if !taken {
		return errors.Wrap(chicoryrock.ErrUnavailable, "no peer took the counts")
	}
	return nil
}

// collect has one process of many write this one's counts with those of the others.
func (p *Front) collect(ctx context.Context, changes []chicoryrock.Change) error {
	by := billing.Collects(p.peers.alive(time.Now()), p.peers.process)
	if by == p.peers.process {
		return p.collector.Write(ctx, changes)
	}
	var written bool
	err := p.peers.callWithin(ctx, collectTimeout, by, callCollect, changes, &written)
	if err != nil {
		p.Log.Write(event.PeerFailed, zap.String("peer", by), zap.Error(err))
	}
	return err
}

// keep has the next living process keep another's counts.
func (p *Front) keep(ctx context.Context, process string, changes []chicoryrock.Change) error {
	alive := p.peers.alive(time.Now())
	at := slices.Index(alive, p.peers.process)
	next := alive[(at+1)%len(alive)]
	if next == p.peers.process {
		return errors.Wrap(chicoryrock.ErrUnavailable, "no other process lives")
	}
	var kept bool
	return p.peers.call(ctx, next, callKeep, keepParams{process, changes}, &kept)
}

// shareSeal tells some processes what a usage window was sealed with.
func (p *Front) shareSeal(ctx context.Context, number int64, counts tally.Counts) {
	var group sync.WaitGroup
	others := slices.DeleteFunc(p.peers.alive(time.Now()), func(process string) bool { return process == p.peers.process })
	for _, process := range others[:min(len(others), sealKeepers)] {
		group.Go(func() {
			var heard bool
			if err := p.peers.call(ctx, process, callSeal, sealParams{number, counts}, &heard); err != nil {
				p.Log.Write(event.PeerFailed, zap.String("peer", process), zap.Error(err))
			}
		})
	}
	group.Wait()
}

// toldSeals says whether others tell this process what usage windows were sealed with: it is
// among the first that live, also when the one that tells is left out.
func (p *Front) toldSeals(now time.Time) bool {
	alive := p.peers.alive(now)
	return p.settled(now) && slices.Contains(alive[:min(len(alive), sealKeepers)], p.peers.process)
}

// lives says whether another process was heard of late.
func (p *Front) lives(now time.Time, process string) bool {
	return slices.Contains(p.peers.alive(now), process)
}

// remember writes what was learned of the engines to the store from time to time,
// and takes it over at the start: after a loss of all processes it need not be
// learned again. One process does it for all.
func (p *Front) remember(ctx context.Context) error {
	p.recall(ctx)
	for ctx.Err() == nil {
		pause.For(ctx, learnInterval)
		learned := p.front.Learned()
		if len(learned) == 0 || p.peers.alive(time.Now())[0] != p.peers.process {
			continue
		}
		value, err := json.Marshal(learned)
		if err == nil {
			_, err = p.store.Commit(ctx, []chicoryrock.Change{{Key: learnedKey, Value: value, Unconditional: true}})
		}
		if err != nil && ctx.Err() == nil {
			p.Log.Write(event.LearnedLost, zap.Error(err))
		}
	}
	return nil
}

func (p *Front) recall(ctx context.Context) {
	entry, err := p.store.Get(ctx, learnedKey)
	for err != nil && !errors.Is(err, chicoryrock.ErrNotFound) {
		if ctx.Err() != nil {
			return
		}
		pause.For(ctx, joinPause)
		entry, err = p.store.Get(ctx, learnedKey)
	}
	if err != nil {
		return
	}
	var learned map[string]place.Calibration
	if err := json.Unmarshal(entry.Value, &learned); err != nil {
		p.Log.Write(event.LearnedLost, zap.Error(err))
		return
	}
	p.front.Teach(learned)
}

// share tells the placer, again and again, what the others have open.
func (p *Front) share(ctx context.Context) error {
	pause.Every(ctx, shareInterval, p.shareOnce)
	return nil
}

func (p *Front) shareOnce(now time.Time) {
	var loads map[uint32]chicoryrock.OpenLoad
	var processes int
	var sharing []string
	p.peers.ask(func(f *fleet.Fleet) {
		loads = f.Loads(now)
		processes = len(f.Alive(now))
		sharing = f.SharingLimits(now)
	})
	p.front.SetOthers(now, loads, processes)
	p.front.SetLimitMembers(sharing, p.peers.members(now))
}
