package assembly

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/serve/pause"
	"github.com/chicoryrock/chicoryrock/internal/serve/peer"
	"github.com/chicoryrock/chicoryrock/internal/state/fleet"
	"github.com/chicoryrock/chicoryrock/internal/state/routing"
	"github.com/chicoryrock/chicoryrock/internal/state/transfer"
	"github.com/chicoryrock/chicoryrock/platform"
)

const (
	// failedPause is how long a peer that brought nothing is asked after the others.
	failedPause = time.Second
	// stuckPart is the part of the time to put a configuration in force after which a process
	// that gets nothing from its peers reads the store itself.
	stuckPart = 3
)

// configurations is what a front has to get newer configurations from its peers, and to hand
// its own on to them.
type configurations struct {
	// Used by the collecting part of the process alone.
	collector transfer.Collector
	failed    map[string]time.Time // when a call to a process last failed

	mutex    sync.Mutex
	lag      transfer.Lag
	packed   map[routing.PartDigest][]byte // compressed parts of a table
	packedOf *routing.Table
}

// takeRaw puts a configuration in force if it is valid and newer than the present one.
func (p *Front) takeRaw(now time.Time, raw []byte, from string) {
	table, err := platform.ReadConfigAfter(p.front.Table(), raw)
	if err != nil {
		p.Log.Write(event.ConfigBad, zap.String("from", from), zap.Error(err))
		return
	}
	p.take(now, table, from)
}

func (p *Front) take(now time.Time, table *routing.Table, from string) {
	if !p.front.Configure(table) {
		return
	}
	c := &p.configurations
	c.mutex.Lock()
	waited := c.lag.Waited(now)
	asked, failed := c.lag.Calls()
	c.lag.Hear(now, table.Version, c.lag.Newest())
	c.mutex.Unlock()
	p.metrics.Configuration(table.Version, now)
	p.Log.Write(event.ConfigTaken, zap.Uint64("version", table.Version), zap.Int("routes", len(table.Routes)),
		zap.Int("keys", len(table.Keys)), zap.String("from", from), zap.Int("bytes", len(table.Raw)),
		zap.Duration("waited", waited), zap.Int("asked", asked), zap.Int("failed", failed))
	p.republish()
}

// collectConfigurations gets newer configurations from peers: the watches of this process may
// be silent, or left to others, or the store may turn just this process away.
func (p *Front) collectConfigurations(ctx context.Context) error {
	for ctx.Err() == nil {
		awaitNews(ctx, p.toldConfig)
		for ctx.Err() == nil {
			from, newer := p.sourceOfConfig(time.Now())
			if from == "" {
				break
			}
			err := p.collectFrom(ctx, from, newer)
			if err != nil {
				p.configurations.failed[from] = time.Now()
			}
			p.calledForConfig(time.Now(), from, err)
			if err != nil {
				pause.For(ctx, newsPause)
			}
		}
	}
	return nil
}

// sourceOfConfig returns a peer to ask next, and whether for a newer configuration than the one
// being collected; no peer if none has a newer one than this process. Any of those that have
// not just failed is as good as another, so that a version spreads from each that gets it.
func (p *Front) sourceOfConfig(now time.Time) (from string, newer bool) {
	c := &p.configurations
	inForce := p.configVersion()
	var beyond, having []string
	var newest uint64
	p.peers.ask(func(f *fleet.Fleet) {
		newest = f.NewestConfig(now)
		beyond = f.WithNewerConfig(now, max(inForce, c.collector.Version()))
		if c.collector.Version() > inForce {
			having = f.WithNewerConfig(now, c.collector.Version()-1)
		}
	})
	c.mutex.Lock()
	c.lag.Hear(now, inForce, newest)
	c.mutex.Unlock()
	if newest <= inForce {
		c.collector.Stop()
		clear(c.failed)
		return "", false
	}
	justFailed := func(process string) bool {
		at, found := c.failed[process]
		return found && now.Sub(at) < failedPause
	}
	for _, choice := range [][]string{slices.DeleteFunc(slices.Clone(beyond), justFailed), slices.DeleteFunc(slices.Clone(having), justFailed), beyond, having} {
		if len(choice) > 0 {
			from = choice[rand.IntN(len(choice))]
			return from, slices.Contains(beyond, from)
		}
	}
	return "", false
}

// configVersion returns the version of the configuration in force, zero for none.
func (p *Front) configVersion() uint64 {
	if table := p.front.Table(); table != nil {
		return table.Version
	}
	return 0
}

// collectFrom asks a peer for the parts of a newer configuration than the one being collected,
// or for missing parts of this one, and puts it in force once it is whole.
func (p *Front) collectFrom(ctx context.Context, from string, newer bool) error {
	collector := &p.configurations.collector
	if newer {
		var manifest transfer.Manifest
		_, err := p.peers.callInPieces(ctx, from, callManifest, nil, &manifest)
		if peer.UnknownMethod(err) {
			return p.fetchConfig(ctx, from)
		}
		if err != nil {
			return err
		}
		if manifest.Version <= collector.Version() {
			return errors.Wrapf(chicoryrock.ErrUnavailable, "%s has configuration %d", from, manifest.Version)
		}
		if err := collector.Start(manifest, p.front.Table()); err != nil {
			return err
		}
	} else if err := p.collectParts(ctx, from); err != nil {
		return err
	}
	if text, whole := collector.Text(); whole {
		collector.Stop()
		p.takeRaw(time.Now(), text, from)
	}
	return nil
}

// collectParts asks a peer for missing parts.
func (p *Front) collectParts(ctx context.Context, from string) error {
	collector := &p.configurations.collector
	var parts [][]byte
	begin := time.Now()
	err := p.peers.call(ctx, from, callParts, collector.Wanted(), &parts)
	brought := false
	for _, packed := range parts {
		if len(packed) == 0 {
			continue
		}
		data, err := peer.Unpack(packed)
		if err != nil {
			return err
		}
		brought = collector.Add(data) || brought
	}
	collector.Called(time.Since(begin), brought)
	if err == nil && !brought {
		err = errors.Wrapf(chicoryrock.ErrNotFound, "parts of configuration %d at %s", collector.Version(), from)
	}
	return err
}

// fetchConfig asks a peer of a former build for its whole configuration.
func (p *Front) fetchConfig(ctx context.Context, from string) error {
	var raw json.RawMessage
	if err := p.peers.call(ctx, from, callConfig, nil, &raw); err != nil {
		return err
	}
	p.takeRaw(time.Now(), raw, from)
	return nil
}

// calledForConfig notes the end of a call to a peer for a newer configuration.
func (p *Front) calledForConfig(now time.Time, process string, err error) {
	c := &p.configurations
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lag.Asked(now, err)
	if !c.lag.Due(now) {
		return
	}
	asked, failed := c.lag.Calls()
	p.Log.Write(event.ConfigBehind, zap.Uint64("version", c.lag.Newest()), zap.Uint64("present", p.configVersion()), zap.Duration("waited", c.lag.Waited(now)),
		zap.Int("asked", asked), zap.Int("failed", failed), zap.String("peer", process), zap.Int("missing", c.collector.Missing()), zap.Error(err))
}

// answerConfig returns the whole configuration to a process of a former build.
func (p *Front) answerConfig(context.Context, json.RawMessage) (any, error) {
	table := p.front.Table()
	if table == nil {
		return nil, errors.WithStack(chicoryrock.ErrNotFound)
	}
	return json.RawMessage(table.Raw), nil
}

// answerManifest returns the parts of the configuration in force to another process.
func (p *Front) answerManifest(context.Context, json.RawMessage) (any, error) {
	table := p.front.Table()
	if table == nil {
		return nil, errors.WithStack(chicoryrock.ErrNotFound)
	}
	return transfer.ManifestOf(table), nil
}

// answerParts returns parts of the configuration in force, compressed, to another process; empty
// ones where it has none. Each part is compressed once for all that ask.
func (p *Front) answerParts(_ context.Context, wanted []routing.PartDigest) (any, error) {
	c := &p.configurations
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if table := p.front.Table(); c.packedOf != table {
		packed := make(map[routing.PartDigest][]byte, len(table.Parts))
		for i := range table.Parts {
			packed[table.Parts[i].Digest] = c.packed[table.Parts[i].Digest]
		}
		c.packed, c.packedOf = packed, table
	}
	parts := make([][]byte, len(wanted))
	for i, digest := range wanted {
		packed, err := c.pack(digest)
		if err != nil {
			return nil, err
		}
		parts[i] = packed
	}
	return parts, nil
}

// pack returns a part of the table whose parts are kept compressed, or nothing if it has no such
// part. The lock is held.
func (c *configurations) pack(digest routing.PartDigest) ([]byte, error) {
	packed, found := c.packed[digest]
	if !found || packed != nil {
		return packed, nil
	}
	at := slices.IndexFunc(c.packedOf.Parts, func(part routing.Part) bool { return part.Digest == digest })
	packed, err := peer.Pack(c.packedOf.Parts[at].Data)
	if err == nil {
		c.packed[digest] = packed
	}
	return packed, err
}
