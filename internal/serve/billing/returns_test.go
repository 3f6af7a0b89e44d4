package billing

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/serve/duty"
	"github.com/chicoryrock/chicoryrock/internal/standin/host"
	"github.com/chicoryrock/chicoryrock/internal/standin/store"
	"github.com/chicoryrock/chicoryrock/internal/state/tally"
	"github.com/chicoryrock/chicoryrock/platform"
)

// reports takes reports as the platform does.
type reports struct {
	mutex sync.Mutex
	sums  map[int64][]int64 // by window, the different sums reported
}

func (b *reports) Bill(_ context.Context, usage chicoryrock.WindowUsage) error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	sums, sum := b.sums[usage.Window], tally.Counts(usage.Requests).Sum()
	if len(sums) == 0 || sums[len(sums)-1] != sum {
		b.sums[usage.Window] = append(sums, sum)
	}
	return nil
}

func (b *reports) of(window int64) []int64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.sums[window]
}

// reporting is a process that may seal and report, with a client of its own.
type reporting struct {
	*Reporter
	client *platform.Store
}

func newReporting(t *testing.T, server *store.Server, to *reports) *reporting {
	client := &platform.Store{Address: server.Addr(), Timeout: 10 * time.Second}
	one := &reporting{client: client, Reporter: &Reporter{
		Length: time.Second, Late: 2 * time.Second, Store: client, Biller: to, Log: event.NewNop(), Clock: &Clock{},
		Alive: func(time.Time) []string { return nil }, Era: client.Era,
	}}
	heard := make(chan struct{}, 1)
	client.Restored = func(uint64) { heard <- struct{}{} }
	go func() {
		for {
			select {
			case <-heard:
				one.Restored(t.Context(), time.Now())
			case <-t.Context().Done():
				return
			}
		}
	}()
	return one
}

// work has the process hold the duty until a window has been reported.
func (p *reporting) work(t *testing.T, until func() bool) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.Work(ctx, duty.Grant{Valid: func(time.Time) bool { return true }})
	}()
	require.Eventually(t, until, 20*time.Second, 10*time.Millisecond)
	cancel()
	<-done
}

// returned is a store that has come back from a copy and lost the seal of a window that was
// reported, and a part of its counts.
type returned struct {
	server *store.Server
	taken  *reports
	holder *reporting // that reported it
	window int64
}

func (r *returned) write(t *testing.T, window int64, process string, n int) {
	client := &platform.Store{Address: r.server.Addr(), Timeout: 10 * time.Second}
	_, err := client.Commit(t.Context(), []chicoryrock.Change{{
		Key: fmt.Sprintf("%s%d/%s", tally.CountPrefix, window, process), Value: fmt.Appendf(nil, `{"w1":%d}`, n), Unconditional: true,
	}})
	require.NoError(t, err)
}

func newReturned(t *testing.T) *returned {
	r := &returned{server: &store.Server{Listen: host.Loopback()}, taken: &reports{sums: map[int64][]int64{}}}
	require.NoError(t, r.server.Start())
	t.Cleanup(r.server.Close)
	r.window = tally.WindowAt(time.Now(), time.Second) - 1
	r.write(t, r.window, "a", 5)
	r.server.Copy()
	r.write(t, r.window, "b", 2)
	r.holder = newReporting(t, r.server, r.taken)
	r.holder.work(t, func() bool { return len(r.taken.of(r.window)) > 0 })
	require.Equal(t, []int64{7}, r.taken.of(r.window))
	return r
}

// later has a process report a window that ends later, and so shows that it goes on.
func (r *returned) later(t *testing.T, by *reporting) {
	window := tally.WindowAt(time.Now(), time.Second) + 2
	r.write(t, window, "a", 1)
	by.work(t, func() bool { return len(r.taken.of(window)) > 0 })
	require.Equal(t, []int64{1}, r.taken.of(window))
}

// No process that has heard of a seal lives when the store comes back without it, or each ends
// before it could write it again: the window is not reported with what is left of its counts.
func TestWindowOfALostSealIsNotReportedAnew(t *testing.T) {
	for _, returns := range []int{1, 2} {
		t.Run(fmt.Sprintf("%d returns", returns), func(t *testing.T) {
			t.Parallel()
			r := newReturned(t)
			for range returns {
				r.server.Restore()
			}
			r.later(t, newReporting(t, r.server, r.taken))
			require.Equal(t, []int64{7}, r.taken.of(r.window))
			// Another one that starts then, and one that starts after a further return.
			r.later(t, newReporting(t, r.server, r.taken))
			r.server.Restore()
			r.later(t, newReporting(t, r.server, r.taken))
			require.Equal(t, []int64{7}, r.taken.of(r.window))
		})
	}
}
