package origins

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/state/memory"
	"github.com/chicoryrock/chicoryrock/internal/state/origin"
)

// Guards against a front that stops as a request is sent while the list of servers changes.
func TestMembersAreCountedWithoutTheLock(t *testing.T) {
	software := origin.Software{Service: "s", Version: "v1"}
	o := New()
	o.Members = func() int {
		done := make(chan struct{})
		go func() {
			o.MayBegin(software.Service, software.Version)
			close(done)
		}()
		select {
		case <-done:
		case <-time.After(5 * time.Second):
			assert.Fail(t, "the lock is held")
		}
		return 1
	}
	o.Send(time.Now(), "w", "r", software, origin.Software{}, origin.Attempt{})
}

// process is one of several processes that know nothing yet.
func process(store Store) *Origins {
	o := New()
	o.Store, o.Log, o.Members, o.Changed, o.Ask = store, event.NewNop(), func() int { return 6 }, func() {}, func(context.Context) {}
	return o
}

// failingStore has a register of two versions, and takes no writes.
type failingStore struct {
	chicoryrock.TransactionalStore
	commits atomic.Int64
}

func (f *failingStore) Era() uint64 { return 0 }

func (f *failingStore) Get(context.Context, string) (chicoryrock.KeyValue, error) {
	return chicoryrock.KeyValue{Key: registerKey, Value: []byte(`{"services":{"s":["v1","v2"]}}`), Revision: 1}, nil
}

func (f *failingStore) Commit(context.Context, []chicoryrock.Change) (uint64, error) {
	f.commits.Add(1)
	return 0, chicoryrock.ErrUnavailable
}

// Guards against requests that make a process write more often to a store that fails.
func TestFailingStoreIsNotWrittenWithEachRequest(t *testing.T) {
	const length = 3 * time.Second
	store := &failingStore{}
	o := process(store)
	o.SetServers(time.Now(), []chicoryrock.Server{{Service: "s", Version: "v1"}, {Service: "s", Version: "v2"}})
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	ended := make(chan error)
	go func() { ended <- o.Run(ctx) }()
	for n := 0; ctx.Err() == nil; n++ {
		o.Send(time.Now(), "w", fmt.Sprint(n), origin.Software{Service: "s", Version: "v1"}, origin.Software{}, origin.Attempt{})
		time.Sleep(20 * time.Millisecond)
	}
	require.NoError(t, <-ended)
	require.LessOrEqual(t, store.commits.Load(), int64(length/(4*saveInterval))+3)
}

// slowStore has a register of two versions, and takes its time to acknowledge writes.
type slowStore struct {
	failingStore
	delay time.Duration
}

func (s *slowStore) Commit(ctx context.Context, _ []chicoryrock.Change) (uint64, error) {
	s.commits.Add(1)
	select {
	case <-time.After(s.delay):
		return 2, nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// Guards against a request that is refused as its record is still being written when it moves.
func TestRequestMovesOnceItsRecordIsWritten(t *testing.T) {
	v1, v2 := origin.Software{Service: "s", Version: "v1"}, origin.Software{Service: "s", Version: "v2"}
	cases := []struct {
		name  string
		delay time.Duration
		begun bool
		moves bool
	}{
		{"written soon", findTimeout / 4, false, true},
		{"not written in time", 2 * findTimeout, false, false},
		{"its stream has begun", findTimeout / 4, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			store := &slowStore{delay: c.delay}
			o := process(store)
			o.SetServers(time.Now(), []chicoryrock.Server{{Service: "s", Version: "v1"}, {Service: "s", Version: "v2"}})
			require.NoError(t, o.complete(t.Context()))
			o.Send(time.Now(), "w", "r", v1, origin.Software{}, origin.Attempt{Server: "a"})
			written := make(chan error)
			go func() { written <- o.Write(t.Context()) }()
			require.Eventually(t, func() bool { return store.commits.Load() > 0 }, time.Second, time.Millisecond)
			if c.begun {
				o.Begin(time.Now(), "w", "r", v1, origin.Attempt{Server: "a"})
			}
			require.Equal(t, c.moves, o.Move(t.Context(), "w", "r", v2, origin.Attempt{Server: "b"}) == nil)
			require.NoError(t, <-written)
		})
	}
}

// lateAnswers answers writes that name a server only some time after they were carried out, and
// may refuse them after that.
type lateAnswers struct {
	*memory.Store
	slow      string
	meanwhile func() error
}

func (s *lateAnswers) Era() uint64 { return 0 }

func (s *lateAnswers) Commit(ctx context.Context, changes []chicoryrock.Change) (uint64, error) {
	revision, err := s.Store.Commit(ctx, changes)
	for i := range changes {
		if strings.Contains(string(changes[i].Value), s.slow) {
			time.Sleep(100 * time.Millisecond)
			if s.meanwhile != nil {
				return 0, s.meanwhile()
			}
		}
	}
	return revision, err
}

// Guards against the write of a second attempt, while a move's answer is under way, that gives the
// record the former version.
func TestRecordIsNotWrittenWhileItMoves(t *testing.T) {
	v1, v2 := origin.Software{Service: "s", Version: "v1"}, origin.Software{Service: "s", Version: "v2"}
	store := &lateAnswers{Store: &memory.Store{}, slow: `"server":"c"`}
	o := process(store)
	o.SetServers(time.Now(), []chicoryrock.Server{{Service: "s", Version: "v1"}, {Service: "s", Version: "v2"}})
	require.NoError(t, o.Write(t.Context()))
	o.Send(time.Now(), "w", "r", v1, origin.Software{}, origin.Attempt{Server: "a"})
	require.NoError(t, o.Write(t.Context()))
	o.Send(time.Now(), "w", "r", v1, v1, origin.Attempt{Server: "b"})
	moved := make(chan error, 1)
	go func() { moved <- o.Move(t.Context(), "w", "r", v2, origin.Attempt{Server: "c"}) }()
	for range 30 {
		time.Sleep(10 * time.Millisecond)
		require.NoError(t, o.Write(t.Context()))
	}
	require.NoError(t, <-moved)
	o.Begin(time.Now(), "w", "r", v2, origin.Attempt{Server: "c"})
	require.NoError(t, o.Write(t.Context()))
	found, err := process(store).Find(t.Context(), "w", "r", "s", "")
	require.NoError(t, err)
	require.Equal(t, v2, found.Software)
	require.Equal(t, []origin.Attempt{{Server: "c"}}, found.Attempts)
}

// Guards against a mark of changed weights that nobody reads, as the register has one build still.
func TestMixedStreamIsKnownToAllOnceItIsMarked(t *testing.T) {
	first := origin.Software{Service: "s", Version: "v1 m=1"}
	store := &lateAnswers{Store: &memory.Store{}, slow: "none"}
	o := process(store)
	o.SetServers(time.Now(), []chicoryrock.Server{{Service: "s", Version: "v1", Weights: "m=1"}})
	require.NoError(t, o.Write(t.Context()))
	for _, id := range []string{"first", "taken up"} {
		o.Send(time.Now(), "w", id, first, origin.Software{}, origin.Attempt{Server: "a"})
		o.Begin(time.Now(), "w", id, first, origin.Attempt{Server: "a"})
	}
	other := process(store)
	found, err := other.Find(t.Context(), "w", "first", "s", "m")
	require.NoError(t, err)
	require.Equal(t, first, found.Software)
	o.SetServers(time.Now(), []chicoryrock.Server{{Service: "s", Version: "v1", Weights: "m=2"}}) // as the stream has said
	o.Mix(t.Context(), "w", []string{"taken up", "first"}, first)
	for _, id := range []string{"first", "taken up"} {
		_, err = other.Find(t.Context(), "w", id, "s", "m")
		require.ErrorIs(t, err, ErrUnknown, id)
	}
}

// Guards against a request that goes on by a move of its record which isn't certain.
func TestUncertainMoveIsRefused(t *testing.T) {
	v1, v2 := origin.Software{Service: "s", Version: "v1"}, origin.Software{Service: "s", Version: "v2"}
	cases := []struct {
		name      string
		meanwhile func(o *Origins) error
	}{
		{"the store doesn't answer", func(*Origins) error { return chicoryrock.ErrUnknownOutcome }},
		{"the store comes back from a copy", func(o *Origins) error {
			o.Restored(time.Now())
			return nil
		}},
	}
	for _, c := range cases {
		store := &lateAnswers{Store: &memory.Store{}, slow: `"server":"c"`}
		o := process(store)
		store.meanwhile = func() error { return c.meanwhile(o) }
		o.SetServers(time.Now(), []chicoryrock.Server{{Service: "s", Version: "v1"}, {Service: "s", Version: "v2"}})
		require.NoError(t, o.Write(t.Context()))
		o.Send(time.Now(), "w", "r", v1, origin.Software{}, origin.Attempt{Server: "a"})
		require.NoError(t, o.Write(t.Context()))
		require.ErrorIs(t, o.Move(t.Context(), "w", "r", v2, origin.Attempt{Server: "c"}), ErrUnknown, c.name)
		require.Equal(t, v1, o.Send(time.Now(), "w", "r", v2, v1, origin.Attempt{Server: "d"}), c.name)
		// The first move may still be carried out, or the former record be written besides.
		require.ErrorIs(t, o.Move(t.Context(), "w", "r", v2, origin.Attempt{Server: "d"}), ErrUnknown, c.name)
	}
}

// A process that has served a stream itself doesn't wait for the store as long as others.
func TestKnownStreamIsFoundSoon(t *testing.T) {
	o := process(silentStore{})
	o.SetServers(time.Now(), []chicoryrock.Server{{Service: "s", Version: "v1"}})
	v1 := origin.Software{Service: "s", Version: "v1"}
	o.Send(time.Now(), "w", "r", v1, origin.Software{}, origin.Attempt{Server: "a"})
	o.Begin(time.Now(), "w", "r", v1, origin.Attempt{Server: "a"})
	begin := time.Now()
	found, err := o.Find(t.Context(), "w", "r", "s", "")
	require.NoError(t, err)
	require.Equal(t, v1, found.Software)
	require.Less(t, time.Since(begin), findTimeout)
}

// silentStore answers nothing.
type silentStore struct{ chicoryrock.TransactionalStore }

func (silentStore) Era() uint64 { return 0 }

func (silentStore) Get(ctx context.Context, _ string) (chicoryrock.KeyValue, error) {
	<-ctx.Done()
	return chicoryrock.KeyValue{}, ctx.Err()
}
