package assembly

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/standin/store"
	"github.com/chicoryrock/chicoryrock/platform"
	"github.com/chicoryrock/chicoryrock/platform/sample"
)

// leaver is a backend server that says in its answers that it leaves, once it does.
type leaver struct {
	leaves   atomic.Bool
	said     atomic.Bool
	arrivals atomic.Int64 // since it has said so
}

func (l *leaver) wrap(answer http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if l.said.Load() {
			l.arrivals.Add(1)
		}
		if l.leaves.Load() {
			w.Header().Set(sample.Leaving, "1")
		}
		answer(w, r)
		l.said.Store(l.leaves.Load())
	}
}

func (d *deployment) put(key, value string) {
	_, err := d.store.Commit(d.t.Context(), []chicoryrock.Change{{Key: key, Value: []byte(value), Unconditional: true}})
	require.NoError(d.t, err)
}

// A backend server that says in an answer that it leaves gets no more requests, whatever the
// store or a peer says of it. Its next start is used at once.
func TestServerThatSaysItLeavesGetsNoMoreRequests(t *testing.T) {
	entry := func(b *backend) string { return sample.Entry(b.service, b.address, "ready") }
	cases := []struct {
		name  string
		after func(d *deployment, b *backend) // it has said so
		used  bool
	}{
		{"its entry says that it serves", func(*deployment, *backend) {}, false},
		{"the store is lost", func(d *deployment, _ *backend) { d.server.Switch(store.Switches{Outage: true}) }, false},
		{"its entry is written again", func(d *deployment, b *backend) { d.put(platform.ServerPrefix+b.id, sample.Later(entry(b))) }, false},
		{"its entry goes and comes back", func(d *deployment, b *backend) {
			_, err := d.store.Commit(d.t.Context(), []chicoryrock.Change{{Key: platform.ServerPrefix + b.id, Delete: true, Unconditional: true}})
			require.NoError(d.t, err)
			d.settle(2, 1)
			d.enter(b, "ready")
			d.settle(2, 2)
		}, false},
		{"it has started again", func(d *deployment, b *backend) { d.put(platform.ServerPrefix+b.id, sample.Restarted(entry(b))) }, true},
		{"it leaves by its entry too, and has started again", func(d *deployment, b *backend) {
			d.enter(b, "draining")
			require.Eventually(d.t, func() bool { return !d.front.front.Gate.Address(b.service, b.id).IsValid() }, waitTime, time.Millisecond)
			d.put(platform.ServerPrefix+b.id, sample.Restarted(entry(b)))
		}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := deploy(t)
			d.configure(2, "k1")
			var l leaver
			b := d.add("leaves", "app", l.wrap(fine))
			d.add("stays", "app", fine)
			d.settle(2, 2)
			l.leaves.Store(true)
			n := 0
			// Several at once, so that one server isn't enough.
			send := func() {
				var together sync.WaitGroup
				for range 6 {
					n++
					id := fmt.Sprintf("id-%d", n)
					together.Go(func() { assert.Equal(t, http.StatusOK, d.send(http.MethodPost, "/read/x", id, "k1", "").status) })
				}
				together.Wait()
			}
			for !l.said.Load() {
				send()
			}
			l.leaves.Store(!c.used)
			c.after(d, b)
			l.arrivals.Store(0)
			if c.used {
				require.Eventually(t, func() bool {
					send()
					return l.arrivals.Load() > 0
				}, waitTime, time.Millisecond, "its next start is used")
				return
			}
			// Time for what the store tells, if it tells anything.
			for begin := time.Now(); time.Since(begin) < 100*time.Millisecond; {
				send()
			}
			require.Zero(t, l.arrivals.Load())
		})
	}
}

// Repeats and streams that go on keep to what a server has said too.
func TestEveryWayToAServerHeedsThatItLeaves(t *testing.T) {
	t.Run("a repeat", func(t *testing.T) {
		d := deploy(t)
		d.configure(2, "k1")
		var l leaver
		l.leaves.Store(true)
		d.add("leaves", "app", l.wrap(notRun))
		d.settle(2, 1)
		for n := range 3 {
			got := d.send(http.MethodPost, "/read/x", fmt.Sprintf("id-%d", n), "k1", "")
			require.Equal(t, http.StatusServiceUnavailable, got.status)
		}
		require.Zero(t, l.arrivals.Load())
	})
	t.Run("a stream that goes on", func(t *testing.T) {
		d := deploy(t)
		d.configure(2, "k1")
		var l leaver
		l.leaves.Store(true)
		d.add("leaves", "llm", l.wrap(func(w http.ResponseWriter, r *http.Request) {
			defer l.said.Store(true)
			stream(4, 2)(w, r)
		}))
		d.settle(2, 1)
		got := d.send(http.MethodPost, "/long/x", "id", "k1", "body")
		require.Error(t, got.err, "nowhere to go on")
		require.Zero(t, l.arrivals.Load())
	})
}
