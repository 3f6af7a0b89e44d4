package assembly

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/standin/host"
	"github.com/chicoryrock/chicoryrock/platform"
	"github.com/chicoryrock/chicoryrock/platform/sample"
)

const (
	// crashPart is the part of a prompt that crashes each engine that begins to answer.
	crashPart = "bad"
	// crashNotice is how long after the fifth crash the fronts have to react.
	crashNotice = 3 * time.Second
	// crashesKnown is how many crashes under one part prove it.
	crashesKnown = 5
	// crashTrials is how many requests with the part may come later, from all fronts.
	crashTrials = 3
	// crashDown is how long an engine is down.
	crashDown = 1500 * time.Millisecond
	// crashFraction is the least share of their usual rate at which sound requests of
	// the same part begin.
	crashFraction = 0.5
)

// crashing is a set of engines that end when they begin to answer a certain part.
type crashing struct {
	mutex    sync.Mutex
	crashes  []time.Time
	arrivals []time.Time // of requests with the part
	began    []time.Time // sound requests
}

// engine is one of them.
type engine struct {
	host.Host

	id   string
	all  *crashing
	down time.Duration
}

// ServeHTTP implements http.Handler: a stream of about a second.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	w.Header().Set(sample.ID, r.Header.Get(sample.ID))
	if r.Header.Get(sample.Server) != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	bad := strings.Contains(r.Header.Get(sample.Parts), crashPart+":")
	if bad {
		e.all.note(&e.all.arrivals)
	}
	time.Sleep(20 * time.Millisecond)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(sample.Seal, "s")
	w.WriteHeader(http.StatusOK)
	if bad {
		_, _ = io.WriteString(w, "id: 1\nda")
		_ = http.NewResponseController(w).Flush()
		e.all.note(&e.all.crashes)
		e.Crash(e.down)
		panic(http.ErrAbortHandler)
	}
	const pieces = 40
	for i := 1; i <= pieces && r.Context().Err() == nil; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece\n\n", i)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		if i == 1 {
			e.all.note(&e.all.began)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (c *crashing) note(times *[]time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	*times = append(*times, time.Now())
}

// after counts the times later than a moment.
func after(times []time.Time, moment time.Time) int {
	count := 0
	for _, at := range times {
		if at.After(moment) {
			count++
		}
	}
	return count
}

// addCrashing starts engines that end under the part.
func (d *deployment) addCrashing(count int) *crashing {
	all := &crashing{}
	for i := range count {
		e := &engine{id: fmt.Sprintf("engine-%d", i), all: all, down: crashDown}
		require.NoError(d.t, e.Open(host.Loopback(), e))
		d.t.Cleanup(e.Close)
		value := sample.Entry("llm", e.Addr(), "ready")
		_, err := d.store.Commit(d.t.Context(), []chicoryrock.Change{{Key: platform.ServerPrefix + e.id, Value: []byte(value), Unconditional: true}})
		require.NoError(d.t, err)
	}
	return all
}

// Requests that are all different share one part that crashes the engines. Each of six
// fronts sees a few of the crashes, and none of them enough.
func TestCrashingPartIsKeptFromEnginesByAllFronts(t *testing.T) {
	cases := []struct {
		name  string
		parts string // of the bad requests, before the one of their own
	}{
		{"the bad part follows the shared one", "a1:200,bad:100,"},
		{"the bad part comes first", "bad:100,a1:200,"},
		{"an innocent part always stands beside the bad one", "a1:200,e5:50,bad:100,"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			const fronts, engines = 6, 8
			all := deployMany(t, fronts)
			all[0].configure(2, "k1")
			seen := all[0].addCrashing(engines)
			for _, d := range all {
				d.settle(2, engines)
			}
			var sent atomic.Int64
			ask := func(ctx context.Context, d *deployment, id, parts string) {
				request := d.request(ctx, http.MethodPost, "/short/x", id, "k1", id)
				request.Header.Set(sample.Parts, parts+fmt.Sprintf("%x:400", 1000+sent.Add(1)))
				d.do(request)
			}
			ctx, stop := context.WithTimeout(t.Context(), 14*time.Second)
			defer stop()
			var callers sync.WaitGroup
			for caller := range 2 * fronts {
				callers.Go(func() {
					for n := 0; ctx.Err() == nil; n++ {
						ask(ctx, all[caller%fronts], fmt.Sprintf("sound-%d-%d", caller, n), "a1:200,")
						time.Sleep(100 * time.Millisecond)
					}
				})
			}
			time.Sleep(3 * time.Second)
			begin := time.Now()
			for caller := range fronts {
				callers.Go(func() {
					for n := 0; ctx.Err() == nil; n++ {
						go ask(ctx, all[caller], fmt.Sprintf("bad-%d-%d", caller, n), c.parts)
						time.Sleep(700 * time.Millisecond)
					}
				})
			}
			callers.Wait()
			seen.mutex.Lock()
			defer seen.mutex.Unlock()
			require.GreaterOrEqual(t, len(seen.crashes), crashesKnown, "nothing crashes")
			slices.SortFunc(seen.crashes, time.Time.Compare)
			fifth := seen.crashes[crashesKnown-1]
			assert.LessOrEqual(t, after(seen.arrivals, fifth.Add(crashNotice)), crashTrials, "requests with the part at engines later than %v after the fifth crash; %d crashes in all", crashNotice, len(seen.crashes))
			before := float64(after(seen.began, begin.Add(-2*time.Second))-after(seen.began, begin)) / 2
			from := fifth.Add(2 * crashNotice)
			end := seen.began[len(seen.began)-1]
			later := float64(after(seen.began, from)) / end.Sub(from).Seconds()
			assert.GreaterOrEqual(t, later, crashFraction*before, "sound requests that begin a second")
		})
	}
}
