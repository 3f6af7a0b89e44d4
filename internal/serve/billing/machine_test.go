package billing

import (
	"context"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/standin/property"
	"github.com/chicoryrock/chicoryrock/internal/state/memory"
	"github.com/chicoryrock/chicoryrock/internal/state/tally"
)

func TestMain(m *testing.M) { property.Run(m, property.Size{Checks: 3000, Steps: 60}) }

// copied is a store that comes back from copies.
type copied struct {
	memory.Store

	era  uint64
	copy map[string]chicoryrock.KeyValue
	late [][]chicoryrock.Change // commits that it carries out later, or never
}

// restore brings the store back. Not played: a call that it carries out after its return, but
// was sent before. A seal that was tried with a former sum could then take the place of one that
// it has lost.
func (s *copied) restore() {
	s.Entries = maps.Clone(s.copy)
	s.era++
	s.late = nil
}

// client is what one process sees of the store.
type client struct {
	*copied

	era  uint64 // as last stated
	fail bool   // calls do nothing
	lose int    // commits whose answer is lost; they are carried out now, or late if negative
}

func (c *client) Get(ctx context.Context, key string) (chicoryrock.KeyValue, error) {
	if c.fail || c.Down {
		return chicoryrock.KeyValue{}, chicoryrock.ErrUnavailable
	}
	c.era = c.copied.era
	return c.Store.Get(ctx, key)
}

func (c *client) ListWithRevision(ctx context.Context, prefix string) ([]chicoryrock.KeyValue, uint64, error) {
	if c.fail || c.Down {
		return nil, 0, chicoryrock.ErrUnavailable
	}
	c.era = c.copied.era
	return c.Store.ListWithRevision(ctx, prefix)
}

func (c *client) Commit(ctx context.Context, changes []chicoryrock.Change) (uint64, error) {
	if c.fail || c.Down {
		return 0, chicoryrock.ErrUnavailable
	}
	if c.lose < 0 {
		c.lose++
		c.late = append(c.late, changes)
		return 0, chicoryrock.ErrUnknownOutcome
	}
	revision, err := c.Store.Commit(ctx, changes)
	if c.lose > 0 {
		c.lose--
		return 0, chicoryrock.ErrUnknownOutcome
	}
	c.era = c.copied.era
	return revision, err
}

// member is a process that may have the duty.
type member struct {
	*Reporter
	client *client
	paused bool
	sent   map[int64]bool
}

// returns is a machine of processes that seal and report windows while the store comes back
// from copies. Its oracle is what was reported of each window first.
type returns struct {
	store   *copied
	members []*member
	steady  bool // the first process is neither paused nor ended, and is told of all seals
	shift   time.Duration
	first   int64
	taken   map[int64]int64
	counted int64
}

const hour = time.Hour

func newReturns(steady bool) *returns {
	m := &returns{store: &copied{}, steady: steady, taken: map[int64]int64{}}
	m.store.Entries, m.store.copy = map[string]chicoryrock.KeyValue{}, map[string]chicoryrock.KeyValue{}
	m.first = tally.WindowAt(time.Now(), hour)
	for range 3 {
		m.members = append(m.members, m.start())
	}
	return m
}

func (m *returns) start() *member {
	one := &member{client: &client{copied: m.store}, sent: map[int64]bool{}}
	one.Reporter = &Reporter{Length: hour, Late: hour, Store: one.client, Log: event.NewNop(), Clock: &Clock{shift: m.shift}, Era: func() uint64 { return one.client.era }}
	one.Share = func(_ context.Context, number int64, counts tally.Counts) {
		for _, other := range m.members {
			if other != one && !other.paused {
				other.Hear(number, counts)
			}
		}
	}
	return one
}

func (m *returns) present() int64 { return tally.WindowAt(time.Now().Add(m.shift), hour) }

func (m *returns) draw(t *rapid.T, pausable bool) *member {
	from := 0
	if pausable && m.steady {
		from = 1
	}
	return m.members[rapid.IntRange(from, len(m.members)-1).Draw(t, "process")]
}

// count makes the counts of a window grow.
func (m *returns) count(t *rapid.T) {
	m.put(m.present() - int64(rapid.IntRange(0, 1).Draw(t, "age")))
}

func (m *returns) put(number int64) {
	m.counted++
	key := fmt.Sprintf("%s%d/p%d", tally.CountPrefix, number, m.counted)
	_, _ = m.store.Commit(context.Background(), []chicoryrock.Change{{Key: key, Value: []byte(`{"w1":1}`), Unconditional: true}})
}

func (m *returns) advance(*rapid.T) {
	if m.present() < m.first+backlog-2 {
		m.shift += hour
		for _, one := range m.members {
			one.Clock.shift += hour
		}
	}
}

// news has a process hear by another call that the store has come back from a copy, some time
// ago.
func (m *returns) news(one *member) {
	if !one.paused {
		_, _ = one.client.Get(context.Background(), "op/config")
	}
	if !one.paused && one.era != one.client.era {
		one.Restored(context.Background(), time.Now().Add(-rewriteTime))
	}
}

// work is what the holder of the duty does in a round.
func (m *returns) work(t require.TestingT, one *member, dies bool) {
	if one.paused {
		return
	}
	one.keepUp(context.Background(), time.Now())
	if !one.rewritten(time.Now()) {
		return
	}
	for number := m.present() - 1 - backlog; number < m.present(); number++ {
		if one.sent[number] {
			continue
		}
		counts, err := one.seal(context.Background(), number, tally.RequiredCounts{})
		if errors.Is(err, errMayBeSealed) {
			continue
		}
		if err != nil || dies {
			return
		}
		sum := counts.Sum()
		if before, found := m.taken[number]; found {
			require.Equal(t, before, sum, "window %d is reported with another sum", number)
		}
		m.taken[number] = sum
		one.sent[number] = true
	}
}

func (m *returns) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"count":   m.count,
		"advance": m.advance,
		"work": func(t *rapid.T) {
			m.work(t, m.draw(t, false), rapid.IntRange(0, 4).Draw(t, "dies") == 0)
		},
		"work more": func(t *rapid.T) { m.work(t, m.draw(t, false), false) },
		"news":      func(t *rapid.T) { m.news(m.draw(t, false)) },
		"keep up": func(t *rapid.T) {
			if one := m.draw(t, false); !one.paused {
				one.keepUp(context.Background(), time.Now())
			}
		},
		"copy":    func(*rapid.T) { m.store.copy = maps.Clone(m.store.Entries) },
		"restore": func(*rapid.T) { m.store.restore() },
		"restore within": func(*rapid.T) {
			m.store.BeforePut = m.store.restore
		},
		"down":     func(*rapid.T) { m.store.Down = !m.store.Down },
		"cut":      func(t *rapid.T) { one := m.draw(t, false); one.client.fail = !one.client.fail },
		"lose":     func(t *rapid.T) { m.draw(t, false).client.lose = rapid.IntRange(-2, 2).Draw(t, "answers") },
		"carryout": m.carryOut,
		"pause": func(t *rapid.T) {
			one := m.draw(t, true)
			if one.paused {
				one.seals.attended = one.seals.attended.Add(-2 * missedTime)
			}
			one.paused = !one.paused
		},
		"kill": func(t *rapid.T) {
			at := rapid.IntRange(0, len(m.members)-1).Draw(t, "process")
			if !m.steady || at > 0 {
				m.members[at] = m.start()
			}
		},
		"kill others": func(t *rapid.T) {
			left := rapid.IntRange(-1, len(m.members)-1).Draw(t, "left")
			for at := range m.members {
				if at != left && (!m.steady || at > 0) {
					m.members[at] = m.start()
				}
			}
		},
	}
}

func (m *returns) carryOut(*rapid.T) {
	for _, changes := range m.store.late {
		_, _ = m.store.Commit(context.Background(), changes)
	}
	m.store.late = nil
}

func TestNoWindowIsReportedWithTwoSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(newReturns(false).actions()) })
}

// Where a process lives through all returns, and is told of all seals, each window is reported.
func TestNoWindowIsLeftOutWhereAProcessLivesOn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newReturns(true)
		m.members[0].keepUp(context.Background(), time.Now())
		t.Repeat(m.actions())
		m.store.Down, m.store.BeforePut = false, nil
		for range 4 {
			for _, one := range m.members {
				one.client.fail, one.client.lose, one.paused = false, 0, false
				m.news(one)
				one.keepUp(context.Background(), time.Now())
			}
		}
		for _, one := range m.members[1:] {
			one.seals.read = time.Time{} // some seconds later
			m.work(t, one, false)
		}
		for number := m.first - 1; number < m.present(); number++ {
			require.Contains(t, m.taken, number)
		}
	})
}

// Who may say of a window that it has not been sealed before the store came back: the store has
// lost the seal of a window, and a part of its counts.
func TestWhoKnowsOfALostSeal(t *testing.T) {
	const reported = 2
	for name, play := range map[string]func(m *returns){
		"all that knew have ended": func(m *returns) {
			m.work(t, m.members[1], false)
			m.members = []*member{m.start()}
		},
		"one was paused as it was told": func(m *returns) {
			m.members[0].paused = true
			m.work(t, m.members[1], false)
			m.members[0].paused = false
			m.members[0].seals.attended = time.Now().Add(-2 * missedTime)
		},
		"the one that reported it has read the seal of another, which told nobody": func(m *returns) {
			m.members[1].client.lose = 1
			m.work(t, m.members[1], false)
			m.members[1] = m.start()
			m.work(t, m.members[1], false)
		},
		"one has started since and read the seals": func(m *returns) {
			m.work(t, m.members[1], false)
			m.members = []*member{m.start()}
			m.members[0].keepUp(t.Context(), time.Now())
		},
		"one had started, but wasn't told of seals yet": func(m *returns) {
			one := m.start()
			one.Told = func(time.Time) bool { return false }
			one.keepUp(t.Context(), time.Now())
			m.members[0], one.paused = one, true
			m.work(t, m.members[1], false)
			one.Told, one.paused = nil, false
		},
	} {
		for _, restores := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s, %d returns", name, restores), func(t *testing.T) {
				m := newReturns(false)
				for _, one := range m.members {
					one.keepUp(t.Context(), time.Now())
				}
				window := m.present()
				for range reported {
					m.put(window)
				}
				m.work(t, m.members[1], false) // earlier windows
				m.advance(nil)
				play(m)
				require.EqualValues(t, reported, m.taken[window])
				for range restores {
					m.store.restore()
				}
				for _, one := range []*member{m.members[0], m.start()} {
					m.news(one)
					m.advance(nil)
					m.work(t, one, false)
					require.Contains(t, m.taken, m.present()-1, "later windows are reported")
				}
			})
		}
	}
}

// Nothing is known of the windows of a new era until its mark could be read or written.
func TestEraWithoutMarkIsUnsure(t *testing.T) {
	m := newReturns(false)
	one := m.members[0]
	one.keepUp(t.Context(), time.Now())
	require.True(t, one.rewritten(time.Now()))
	m.store.restore()
	one.client.lose = 5
	m.news(one)
	require.False(t, one.rewritten(time.Now()))
	one.client.lose = 0
	one.keepUp(t.Context(), time.Now())
	require.True(t, one.rewritten(time.Now()))
}
