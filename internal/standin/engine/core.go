// Package engine is the stand-in for a model engine with continuous batching:
// deterministic output, tiers, resuming, cancelling, and switches for its
// failures. It speaks /v1/chat/completions, /v1/completions and /v1/models.
package engine

import (
	"slices"
	"time"

	"github.com/chicoryrock/chicoryrock"
)

// lowestTier is the tier of a request that names none.
const lowestTier = 1 << 20

// Core is the scheduler of an engine without sockets or timers. It is not safe
// for concurrent use.
type Core struct {
	Slots int // streams that run at full speed
	Batch int // streams that run at once; above Slots all of them slow down

	serial  uint64
	running map[uint64]struct{}
	waiting []waiter
	history []sample
}

type waiter struct {
	id   uint64
	tier int
}

type sample struct {
	at   time.Time
	load chicoryrock.Load
}

// Arrive queues a request behind those of its own and higher tiers, and returns
// its number. Tier 1 is the highest; zero counts as the lowest.
func (c *Core) Arrive(now time.Time, tier int) uint64 {
	if tier <= 0 {
		tier = lowestTier
	}
	c.serial++
	place := len(c.waiting)
	for place > 0 && c.waiting[place-1].tier > tier {
		place--
	}
	c.waiting = slices.Insert(c.waiting, place, waiter{id: c.serial, tier: tier})
	c.record(now)
	return c.serial
}

// Admit moves waiting requests into the batch while it has room, and returns
// their numbers.
func (c *Core) Admit(now time.Time) []uint64 {
	if c.running == nil {
		c.running = make(map[uint64]struct{})
	}
	var admitted []uint64
	for len(c.waiting) > 0 && len(c.running) < c.Batch {
		id := c.waiting[0].id
		c.waiting = c.waiting[1:]
		c.running[id] = struct{}{}
		admitted = append(admitted, id)
	}
	c.record(now)
	return admitted
}

// Leave removes a request that has ended or is cancelled, waiting or running.
func (c *Core) Leave(now time.Time, id uint64) {
	delete(c.running, id)
	c.waiting = slices.DeleteFunc(c.waiting, func(w waiter) bool { return w.id == id })
	c.record(now)
}

// Step stretches the time of a token, or of its prefill, by how far the batch is
// above the slots. With 4 slots and 6 running, 20 ms become 30 ms.
func (c *Core) Step(alone time.Duration) time.Duration {
	if len(c.running) <= c.Slots {
		return alone
	}
	return alone * time.Duration(len(c.running)) / time.Duration(c.Slots)
}

// Load returns the present load.
func (c *Core) Load() chicoryrock.Load {
	return chicoryrock.Load{Slots: c.Slots, Running: len(c.running), Waiting: len(c.waiting)}
}

// Report returns the load as it was a lag ago.
func (c *Core) Report(now time.Time, lag time.Duration) chicoryrock.Load {
	old := now.Add(-lag)
	load := chicoryrock.Load{Slots: c.Slots}
	for _, sample := range c.history {
		if sample.at.After(old) {
			break
		}
		load = sample.load
	}
	return load
}

// maxHistory bounds the samples kept for lagging reports.
const maxHistory = 4096

func (c *Core) record(now time.Time) {
	if len(c.history) == maxHistory {
		c.history = slices.Delete(c.history, 0, maxHistory/2)
	}
	c.history = append(c.history, sample{at: now, load: c.Load()})
}
