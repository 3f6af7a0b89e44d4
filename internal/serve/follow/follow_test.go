package follow

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
)

const waitTime = 20 * time.Second

// journal is a store whose watches do what the test says, one after the other.
type journal struct {
	chicoryrock.TransactionalStore

	mutex   sync.Mutex
	ranges  int
	entries []chicoryrock.KeyValue
	down    bool
	watch   func(call int) ([]chicoryrock.KeyValue, uint64, error)
	watches int
}

func (j *journal) ListWithRevision(context.Context, string) ([]chicoryrock.KeyValue, uint64, error) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.ranges++
	if j.down {
		return nil, 0, chicoryrock.ErrUnavailable
	}
	return j.entries, 10, nil
}

func (j *journal) WatchPrefix(ctx context.Context, _ string, _ uint64, _ time.Duration) ([]chicoryrock.KeyValue, uint64, error) {
	j.mutex.Lock()
	j.watches++
	call := j.watches
	j.mutex.Unlock()
	if changes, next, err := j.watch(call); err != nil || next > 0 {
		return changes, next, err
	}
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

func (j *journal) read() int {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return j.ranges
}

// follow runs a follower and returns what it heard of.
func follow(t *testing.T, j *journal, rest func(time.Time) bool) (heard func() []string) {
	t.Helper()
	return followWith(t, j, rest, nil)
}

// followWith is follow with Follower.Again.
func followWith(t *testing.T, j *journal, rest func(time.Time) bool, again func() bool) (heard func() []string) {
	t.Helper()
	return run(t, &Follower{Store: j, Rest: rest, Again: again})
}

// followResuming is follow with Follower.Resume.
func followResuming(t *testing.T, j *journal) (heard func() []string) {
	t.Helper()
	return run(t, &Follower{Store: j, Resume: true})
}

// run runs a follower and returns what it heard of.
func run(t *testing.T, f *Follower) (heard func() []string) {
	t.Helper()
	var mutex sync.Mutex
	var list []string
	note := func(text string) {
		mutex.Lock()
		defer mutex.Unlock()
		list = append(list, text)
	}
	f.Prefix, f.Log = "p/", event.NewNop()
	f.Reset = func(_ time.Time, entries []chicoryrock.KeyValue, _ uint64) {
		for _, entry := range entries {
			note("=" + entry.Key)
		}
	}
	f.Changed = func(_ time.Time, changes *Changes) {
		for _, entry := range changes.Entries {
			note("+" + entry.Key)
		}
		note(fmt.Sprint("at ", changes.Through))
	}
	f.Lost = func(time.Time) { note("lost") }
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	return func() []string {
		mutex.Lock()
		defer mutex.Unlock()
		return append([]string(nil), list...)
	}
}

// A watch that fails, is cut or has lost its history may have missed changes:
// everything is read again at once.
func TestFailedWatchLeadsToReadingAll(t *testing.T) {
	for _, failure := range []error{chicoryrock.ErrCompacted, chicoryrock.ErrUnavailable, chicoryrock.ErrInvalid} {
		j := &journal{entries: []chicoryrock.KeyValue{{Key: "p/a", Revision: 3}}}
		j.watch = func(call int) ([]chicoryrock.KeyValue, uint64, error) {
			switch call {
			case 1:
				return []chicoryrock.KeyValue{{Key: "p/b", Revision: 11}}, 11, nil
			case 2:
				return nil, 0, failure
			}
			return nil, 0, nil
		}
		heard := follow(t, j, nil)
		require.Eventually(t, func() bool { return len(heard()) == 4 }, waitTime, time.Millisecond)
		require.Equal(t, []string{"=p/a", "+p/b", "at 11", "=p/a"}, heard(), "%v", failure)
	}
}

// A watch may have skipped changes in silence, which others notice: everything is read again
// after its next answer.
func TestEverythingIsReadAgainOnDemand(t *testing.T) {
	j := &journal{entries: []chicoryrock.KeyValue{{Key: "p/a", Revision: 3}}}
	j.watch = func(call int) ([]chicoryrock.KeyValue, uint64, error) {
		if call <= 2 {
			return nil, 11, nil
		}
		return nil, 0, nil
	}
	answers := 0
	heard := followWith(t, j, nil, func() bool { answers++; return answers == 1 })
	require.Eventually(t, func() bool { return len(heard()) == 4 }, waitTime, time.Millisecond)
	require.Equal(t, []string{"=p/a", "at 11", "=p/a", "at 11"}, heard())
}

func TestLostStoreIsToldAndAskedAgain(t *testing.T) {
	j := &journal{down: true, watch: func(int) ([]chicoryrock.KeyValue, uint64, error) { return nil, 0, nil }}
	heard := follow(t, j, nil)
	require.Eventually(t, func() bool { return j.read() >= 2 }, waitTime, time.Millisecond)
	require.Equal(t, "lost", heard()[0])
	j.mutex.Lock()
	j.down, j.entries = false, []chicoryrock.KeyValue{{Key: "p/a"}}
	j.mutex.Unlock()
	require.Eventually(t, func() bool { all := heard(); return all[len(all)-1] == "=p/a" }, waitTime, time.Millisecond)
}

// A process that leaves the watching to others reads once, and again when nobody
// watches any more.
func TestRestingFollowerWakes(t *testing.T) {
	var mutex sync.Mutex
	rests := true
	j := &journal{entries: []chicoryrock.KeyValue{{Key: "p/a"}}, watch: func(int) ([]chicoryrock.KeyValue, uint64, error) { return nil, 0, nil }}
	heard := follow(t, j, func(time.Time) bool {
		mutex.Lock()
		defer mutex.Unlock()
		return rests
	})
	require.Eventually(t, func() bool { return len(heard()) == 1 }, waitTime, time.Millisecond)
	j.mutex.Lock()
	require.Zero(t, j.watches)
	j.mutex.Unlock()
	mutex.Lock()
	rests = false
	mutex.Unlock()
	require.Eventually(t, func() bool { return len(heard()) == 2 }, waitTime, time.Millisecond)
}

// A process that has just started does not know whether others watch. It reads
// everything once, and leaves the watching to them when it has heard that they do.
func TestStartWaitsToHearOfTheOthers(t *testing.T) {
	cases := []struct {
		name    string
		settled bool
		rests   bool
		watches bool
	}{
		{"others watch", false, true, false},
		{"it is one of those that watch", true, false, true},
		{"nothing is known yet", false, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			j := &journal{watch: func(int) ([]chicoryrock.KeyValue, uint64, error) { return nil, 0, nil }}
			looked := make(chan struct{}, 1000)
			look := func(answer bool) func(time.Time) bool {
				return func(time.Time) bool {
					looked <- struct{}{}
					return answer
				}
			}
			f := &Follower{
				Store: j, Prefix: "p/", Log: event.NewNop(), Settled: look(c.settled), Rest: look(c.rests),
				Reset: func(time.Time, []chicoryrock.KeyValue, uint64) {},
			}
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			go func() { ended <- f.Run(ctx) }()
			for range 2 {
				<-looked
			}
			if c.watches {
				require.Eventually(t, func() bool { j.mutex.Lock(); defer j.mutex.Unlock(); return j.watches == 1 }, waitTime, time.Millisecond)
			}
			cancel()
			require.NoError(t, <-ended)
			require.Equal(t, 1, j.read())
			require.Equal(t, c.watches, j.watches == 1)
		})
	}
}

// A follower of large values reads what has changed since a failed watch, and everything only
// where the store doesn't know that any more or does not answer.
func TestFailedWatchGoesOnFromItsRevision(t *testing.T) {
	cases := []struct {
		name    string
		resumed error // of the call that goes on
		want    []string
	}{
		{"known", nil, []string{"=p/a", "+p/b", "at 11", "+p/c", "at 12"}},
		{"history gone", chicoryrock.ErrCompacted, []string{"=p/a", "+p/b", "at 11", "=p/a"}},
		{"no answer", chicoryrock.ErrUnavailable, []string{"=p/a", "+p/b", "at 11", "lost", "=p/a"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			j := &journal{entries: []chicoryrock.KeyValue{{Key: "p/a", Revision: 3}}}
			j.watch = func(call int) ([]chicoryrock.KeyValue, uint64, error) {
				switch call {
				case 1:
					return []chicoryrock.KeyValue{{Key: "p/b", Revision: 11}}, 11, nil
				case 2:
					return nil, 0, chicoryrock.ErrUnavailable
				case 3:
					if c.resumed != nil {
						return nil, 0, c.resumed
					}
					return []chicoryrock.KeyValue{{Key: "p/c", Revision: 12}}, 12, nil
				}
				return nil, 0, nil
			}
			heard := followResuming(t, j)
			require.Eventually(t, func() bool { return len(heard()) == len(c.want) }, waitTime, time.Millisecond)
			require.Equal(t, c.want, heard())
		})
	}
}
