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

// simulation is a store with one leased key, several processes with clocks of
// their own, and the true time. It does not use memory.Store, because the end of
// leases and the duration of calls must follow one clock.
type simulation struct {
	chicoryrock.Store

	now      time.Time // true time, which is also the store's
	revision uint64
	entry    chicoryrock.KeyValue
	expiry   time.Time

	unavailable, losesAnswers, delaysPuts bool
	requestDelay, answerDelay             time.Duration // of a write, and of its answer
	beforePut                             func()        // runs once, between a process's read and its write
	inFlight                              []chicoryrock.Change

	processes   []*process
	newestFence uint64 // fencing number of the newest holder
	newest      *process
}

// process is a process whose clock is set wrongly and runs at its own speed.
type process struct {
	lease  Lease
	offset time.Duration
	speed  float64
}

func (s *simulation) localTime(p *process) time.Time {
	return clock.Add(p.offset + time.Duration(float64(s.now.Sub(clock))*p.speed))
}

func (s *simulation) advanceTime(d time.Duration) {
	s.now = s.now.Add(d)
	if s.entry.Revision != 0 && !s.now.Before(s.expiry) {
		s.revision++
		s.entry = chicoryrock.KeyValue{}
	}
}

func (s *simulation) Get(context.Context, string) (chicoryrock.KeyValue, error) {
	switch {
	case s.unavailable:
		return chicoryrock.KeyValue{}, chicoryrock.ErrUnavailable
	case s.entry.Revision == 0:
		return chicoryrock.KeyValue{}, chicoryrock.ErrNotFound
	}
	return s.entry, nil
}

func (s *simulation) Put(_ context.Context, change chicoryrock.Change) (uint64, error) {
	if hook := s.beforePut; hook != nil {
		s.beforePut = nil
		hook()
	}
	if s.unavailable {
		return 0, chicoryrock.ErrUnavailable
	}
	if s.delaysPuts {
		s.inFlight = append(s.inFlight, change)
		return 0, chicoryrock.ErrUnknownOutcome
	}
	before, after := s.requestDelay, s.answerDelay
	s.advanceTime(before)
	revision, err := s.swap(change)
	s.advanceTime(after)
	if s.losesAnswers {
		return 0, chicoryrock.ErrUnknownOutcome
	}
	return revision, err
}

func (s *simulation) swap(change chicoryrock.Change) (uint64, error) {
	if s.entry.Revision != change.PriorRevision {
		return 0, chicoryrock.ErrConflict
	}
	s.revision++
	s.entry = chicoryrock.KeyValue{Key: change.Key, Value: change.Value, Revision: s.revision}
	s.expiry = s.now.Add(change.TTL)
	return s.revision, nil
}

func (s *simulation) Delete(_ context.Context, _ string, prior uint64) error {
	if s.unavailable {
		return chicoryrock.ErrUnavailable
	}
	if s.entry.Revision != prior {
		return chicoryrock.ErrConflict
	}
	s.revision++
	s.entry = chicoryrock.KeyValue{}
	return nil
}

func (s *simulation) acquireOrRenew(p *process) {
	_ = p.lease.AcquireOrRenew(background, s.localTime(p), s)
}

func (s *simulation) pick(t *rapid.T) *process {
	return rapid.SampledFrom(s.processes).Draw(t, "process")
}

func seconds(t *rapid.T, maximum int, label string) time.Duration {
	return time.Duration(rapid.IntRange(0, maximum).Draw(t, label)) * time.Second
}

// check requires that there is at most one valid holder, and that a later holder
// has a higher fencing number.
func (s *simulation) check(t *rapid.T) {
	var holders []*process
	for _, p := range s.processes {
		if p.lease.Valid(s.localTime(p)) {
			holders = append(holders, p)
		}
	}
	require.LessOrEqual(t, len(holders), 1, "two valid holders")
	for _, p := range holders {
		if p != s.newest {
			require.Greater(t, p.lease.Fence(), s.newestFence)
		}
		require.GreaterOrEqual(t, p.lease.Fence(), s.newestFence)
		s.newestFence, s.newest = p.lease.Fence(), p
	}
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{now: clock}
	for i := range 3 {
		s.processes = append(s.processes, &process{
			lease:  Lease{Duty: "usage", Holder: fmt.Sprint("p", i), TTL: ttl},
			offset: time.Duration(rapid.IntRange(-90, 90).Draw(t, "offset")) * time.Minute,
			speed:  rapid.SampledFrom([]float64{0.95, 1, 1.05}).Draw(t, "speed"),
		})
	}
	return s
}

func TestOneValidHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"try":   func(t *rapid.T) { s.acquireOrRenew(s.pick(t)) },
			"again": func(t *rapid.T) { s.acquireOrRenew(s.pick(t)) },
			// A process that does nothing during this time is paused.
			"wait": func(t *rapid.T) { s.advanceTime(seconds(t, 12, "wait")) },
			"race": func(t *rapid.T) {
				other := s.pick(t)
				s.beforePut = func() { s.acquireOrRenew(other) }
			},
			"slow": func(t *rapid.T) { s.requestDelay, s.answerDelay = seconds(t, 12, "before"), seconds(t, 12, "after") },
			"fail": func(t *rapid.T) {
				s.unavailable = rapid.Bool().Draw(t, "down")
				s.losesAnswers = rapid.Bool().Draw(t, "lost")
				s.delaysPuts = rapid.Bool().Draw(t, "late")
			},
			"heal": func(*rapid.T) {
				s.unavailable, s.losesAnswers, s.delaysPuts, s.requestDelay, s.answerDelay = false, false, false, 0, 0
			},
			"release": func(t *rapid.T) { _ = s.pick(t).lease.Release(background, s) },
			"land": func(*rapid.T) {
				for _, change := range s.inFlight {
					_, _ = s.swap(change)
				}
				s.inFlight = nil
			},
			"restart": func(t *rapid.T) {
				p := s.pick(t)
				p.lease = Lease{Duty: "usage", Holder: p.lease.Holder + "'", TTL: ttl}
			},
			"": s.check,
		})
		s.checkRecovery(t)
	})
}

// checkRecovery ends all failures and requires a valid holder after one TTL.
func (s *simulation) checkRecovery(t *rapid.T) {
	s.unavailable, s.losesAnswers, s.delaysPuts, s.requestDelay, s.answerDelay, s.beforePut = false, false, false, 0, 0, nil
	s.advanceTime(ttl)
	for range 2 {
		for _, p := range s.processes {
			s.acquireOrRenew(p)
		}
	}
	s.check(t)
	require.True(t, s.newest != nil && s.newest.lease.Valid(s.localTime(s.newest)), "no process holds the lease")
}

// In an outage of the store, the holder's lease ends without an answer of the store.
// After it, the same process acquires the lease with a higher fencing number.
func TestOutageEndsValidity(t *testing.T) {
	s := &simulation{now: clock}
	p := &process{lease: Lease{Duty: "usage", Holder: "p", TTL: ttl}, speed: 1}
	s.acquireOrRenew(p)
	fence := p.lease.Fence()
	require.True(t, p.lease.Valid(s.now))
	s.unavailable = true
	require.ErrorIs(t, p.lease.AcquireOrRenew(background, s.now.Add(time.Second), s), chicoryrock.ErrUnavailable)
	require.True(t, p.lease.Valid(s.now.Add(ttl-2*time.Second)), "the old renewal still holds")
	require.False(t, p.lease.Valid(s.now.Add(ttl-time.Second)))
	s.advanceTime(3 * time.Minute)
	s.unavailable = false
	s.acquireOrRenew(p)
	s.acquireOrRenew(p)
	require.True(t, p.lease.Valid(s.now))
	require.Greater(t, p.lease.Fence(), fence)
}

func TestMain(m *testing.M) { property.Run(m, property.Size{Checks: 1000, Steps: 60}) }
