package lease

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/standin/property"
)

const ttl = 10 * time.Second

var (
	clock      = time.Date(2026, time.March, 1, 4, 0, 0, 0, time.UTC)
	background = context.Background()
)

// world is a store with one key and leases, several processes with clocks of
// their own, and the true time. It is not a memory.Store, because leases end and
// calls take time by a clock that all of it shares.
type world struct {
	chicoryrock.Store

	now      time.Time // true time, which is also the store's
	revision uint64
	entry    chicoryrock.KeyValue
	expiry   time.Time

	down, lost, late bool
	before, after    time.Duration // how long a write is on its way, and its answer
	race             func()        // runs once, between a process's reading and writing
	inFlight         []chicoryrock.Change

	processes []*process
	highest   uint64 // fencing number of the newest holder
	newest    *process
}

// process has a clock that is set wrongly and runs at a speed of its own.
type process struct {
	lease  Lease
	offset time.Duration
	speed  float64
}

func (w *world) localTime(p *process) time.Time {
	return clock.Add(p.offset + time.Duration(float64(w.now.Sub(clock))*p.speed))
}

func (w *world) wait(d time.Duration) {
	w.now = w.now.Add(d)
	if w.entry.Revision != 0 && !w.now.Before(w.expiry) {
		w.revision++
		w.entry = chicoryrock.KeyValue{}
	}
}

func (w *world) Get(context.Context, string) (chicoryrock.KeyValue, error) {
	switch {
	case w.down:
		return chicoryrock.KeyValue{}, chicoryrock.ErrUnavailable
	case w.entry.Revision == 0:
		return chicoryrock.KeyValue{}, chicoryrock.ErrNotFound
	}
	return w.entry, nil
}

func (w *world) Put(_ context.Context, change chicoryrock.Change) (uint64, error) {
	if race := w.race; race != nil {
		w.race = nil
		race()
	}
	if w.down {
		return 0, chicoryrock.ErrUnavailable
	}
	if w.late {
		w.inFlight = append(w.inFlight, change)
		return 0, chicoryrock.ErrUnknownOutcome
	}
	before, after := w.before, w.after
	w.wait(before)
	revision, err := w.swap(change)
	w.wait(after)
	if w.lost {
		return 0, chicoryrock.ErrUnknownOutcome
	}
	return revision, err
}

func (w *world) swap(change chicoryrock.Change) (uint64, error) {
	if w.entry.Revision != change.PriorRevision {
		return 0, chicoryrock.ErrConflict
	}
	w.revision++
	w.entry = chicoryrock.KeyValue{Key: change.Key, Value: change.Value, Revision: w.revision}
	w.expiry = w.now.Add(change.TTL)
	return w.revision, nil
}

func (w *world) Delete(_ context.Context, _ string, prior uint64) error {
	if w.down {
		return chicoryrock.ErrUnavailable
	}
	if w.entry.Revision != prior {
		return chicoryrock.ErrConflict
	}
	w.revision++
	w.entry = chicoryrock.KeyValue{}
	return nil
}

func (w *world) try(p *process) { _ = p.lease.AcquireOrRenew(background, w.localTime(p), w) }

func (w *world) pick(t *rapid.T) *process { return rapid.SampledFrom(w.processes).Draw(t, "process") }

func seconds(t *rapid.T, most int, label string) time.Duration {
	return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * time.Second
}

// check is the oracle: never two valid holders, and a later one's fencing number
// is higher.
func (w *world) check(t *rapid.T) {
	var holders []*process
	for _, p := range w.processes {
		if p.lease.Valid(w.localTime(p)) {
			holders = append(holders, p)
		}
	}
	require.LessOrEqual(t, len(holders), 1, "two valid holders")
	for _, p := range holders {
		if p != w.newest {
			require.Greater(t, p.lease.Fence(), w.highest)
		}
		require.GreaterOrEqual(t, p.lease.Fence(), w.highest)
		w.highest, w.newest = p.lease.Fence(), p
	}
}

func newWorld(t *rapid.T) *world {
	w := &world{now: clock}
	for i := range 3 {
		w.processes = append(w.processes, &process{
			lease:  Lease{Duty: "usage", Holder: fmt.Sprint("p", i), TTL: ttl},
			offset: time.Duration(rapid.IntRange(-90, 90).Draw(t, "offset")) * time.Minute,
			speed:  rapid.SampledFrom([]float64{0.95, 1, 1.05}).Draw(t, "speed"),
		})
	}
	return w
}

func TestOneValidHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"try":   func(t *rapid.T) { w.try(w.pick(t)) },
			"again": func(t *rapid.T) { w.try(w.pick(t)) },
			// The process that does nothing for so long is frozen.
			"wait": func(t *rapid.T) { w.wait(seconds(t, 12, "wait")) },
			"race": func(t *rapid.T) {
				other := w.pick(t)
				w.race = func() { w.try(other) }
			},
			"slow": func(t *rapid.T) { w.before, w.after = seconds(t, 12, "before"), seconds(t, 12, "after") },
			"fail": func(t *rapid.T) {
				w.down = rapid.Bool().Draw(t, "down")
				w.lost = rapid.Bool().Draw(t, "lost")
				w.late = rapid.Bool().Draw(t, "late")
			},
			"heal":    func(*rapid.T) { w.down, w.lost, w.late, w.before, w.after = false, false, false, 0, 0 },
			"release": func(t *rapid.T) { _ = w.pick(t).lease.Release(background, w) },
			"land": func(*rapid.T) {
				for _, change := range w.inFlight {
					_, _ = w.swap(change)
				}
				w.inFlight = nil
			},
			"restart": func(t *rapid.T) {
				p := w.pick(t)
				p.lease = Lease{Duty: "usage", Holder: p.lease.Holder + "'", TTL: ttl}
			},
			"": w.check,
		})
		w.checkRecovery(t)
	})
}

// checkRecovery ends all failures: within one TTL somebody has the duty.
func (w *world) checkRecovery(t *rapid.T) {
	w.down, w.lost, w.late, w.before, w.after, w.race = false, false, false, 0, 0, nil
	w.wait(ttl)
	for range 2 {
		for _, p := range w.processes {
			w.try(p)
		}
	}
	w.check(t)
	require.True(t, w.newest != nil && w.newest.lease.Valid(w.localTime(w.newest)), "nobody has the duty")
}

// An outage of minutes ends the holder's validity by itself.
func TestOutageEndsValidity(t *testing.T) {
	w := &world{now: clock}
	p := &process{lease: Lease{Duty: "usage", Holder: "p", TTL: ttl}, speed: 1}
	w.try(p)
	fence := p.lease.Fence()
	require.True(t, p.lease.Valid(w.now))
	w.down = true
	require.ErrorIs(t, p.lease.AcquireOrRenew(background, w.now.Add(time.Second), w), chicoryrock.ErrUnavailable)
	require.True(t, p.lease.Valid(w.now.Add(ttl-2*time.Second)), "the old renewal still holds")
	require.False(t, p.lease.Valid(w.now.Add(ttl-time.Second)))
	w.wait(3 * time.Minute)
	w.down = false
	w.try(p)
	w.try(p)
	require.True(t, p.lease.Valid(w.now))
	require.Greater(t, p.lease.Fence(), fence)
}

func TestMain(m *testing.M) { property.Run(m, property.Size{Checks: 1000, Steps: 60}) }
