package assembly

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/internal/standin/host"
	"github.com/chicoryrock/chicoryrock/platform"
)

// stalled passes calls on to the store. Of those that come while it stalls, the answers that
// match are kept back as they were, until it goes on.
type stalled struct {
	store netip.AddrPort
	match string // part of a query; empty for all

	mutex sync.Mutex
	goes  chan struct{} // nil while it does not stall
	held  atomic.Int64  // answers
}

func (s *stalled) stall(match string) (goOn func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.match, s.goes = match, make(chan struct{})
	return sync.OnceFunc(func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		close(s.goes)
		s.goes = nil
	})
}

func (s *stalled) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	goes := s.goes
	held := goes != nil && strings.Contains(r.URL.RawQuery, s.match)
	s.mutex.Unlock()
	answer := httptest.NewRecorder()
	(&doorway{store: s.store, shut: r.Context()}).ServeHTTP(answer, r)
	if held {
		s.held.Add(1)
		select {
		case <-goes:
		case <-r.Context().Done():
		}
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// Guards against a front that missed the start of a release and joins streams that others began at the new version.
func TestFrontOutOfStepJoinsNoVersions(t *testing.T) {
	const streams, events = 12, 6
	cases := []struct {
		name  string
		match string // answers of the store to the front that are kept back
		goOn  bool   // before the streams are taken up there
	}{
		{"cut off from the others and from changes of the servers", "servers%2F", false},
		{"cut off from the others and from the store", "", false},
		{"stands still, and takes in earlier answers as it goes on", "", true},
		{"takes in an earlier answer of the register after a later one", "key=software", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			first := deploy(t)
			door := &stalled{store: first.node.Store}
			entrance := httptest.NewServer(door)
			t.Cleanup(entrance.Close)
			node := *first.node
			node.Name, node.Callers, node.Ready = "front-a-2", host.Own(), host.Own()
			node.Store = netip.MustParseAddrPort(entrance.Listener.Addr().String())
			behind := first.startAnother(&node)
			first.configure(2, "k1")
			for i := range 2 {
				first.addVersion(fmt.Sprintf("i-old-%d", i), "v1", versioned("v1", events, never))
			}
			first.settle(2, 2)
			behind.settle(2, 2)
			require.Eventually(t, func() bool { return behind.front.origins.MayBegin("llm", "v1") }, waitTime, time.Millisecond)
			goOn := door.stall(c.match)
			defer goOn()
			var group sync.WaitGroup
			for i := range streams { // each reads the register before the new version is in it
				group.Go(func() { behind.takeUp(fmt.Sprintf("early-%d", i), "nobody-knows", 2) })
			}
			for i := range 2 {
				first.addVersion(fmt.Sprintf("i-new-%d", i), "v2", versioned("v2", events, never))
			}
			first.settle(2, 4)
			require.Eventually(t, func() bool { return first.front.origins.MayBegin("llm", "v2") }, waitTime, time.Millisecond)
			var began []string
			for i := range streams {
				began = append(began, first.begin(fmt.Sprintf("b%d", i), 2))
			}
			for i := range streams {
				group.Go(func() {
					if c.goOn && i == streams/2 {
						goOn()
					}
					got := behind.takeUp(fmt.Sprintf("t%d", i), fmt.Sprintf("b%d", i), 2)
					if got.status != http.StatusOK {
						if got.status != http.StatusServiceUnavailable {
							t.Errorf("stream %d is answered with %d", i, got.status)
						}
						return
					}
					if versions, _ := versionsOf(began[i] + got.body); len(versions) != 1 {
						had, _ := versionsOf(began[i])
						t.Errorf("stream %d, which began at %v, holds events of %v", i, had, versions)
					}
				})
			}
			group.Wait()
		})
	}
}

// Guards against a front that missed the restart of a server and goes on there with a stream that another version began.
func TestFrontOutOfStepGoesOnAtNoOtherVersion(t *testing.T) {
	const streams, events = 24, 6
	first := deploy(t)
	door := &stalled{store: first.node.Store}
	entrance := httptest.NewServer(door)
	t.Cleanup(entrance.Close)
	node := *first.node
	node.Name, node.Callers, node.Ready = "front-a-2", host.Own(), host.Own()
	node.Store = netip.MustParseAddrPort(entrance.Listener.Addr().String())
	behind := first.startAnother(&node)
	first.configure(2, "k1")
	always := func() bool { return true }
	first.addVersion("i-0", "v1", versioned("v1", events, always))
	restarts := first.addVersion("i-1", "v1", versioned("v2", events, always)) // as it has restarted
	first.addVersion("i-2", "v1", versioned("v1", events, always))
	behind.settle(2, 3)
	require.Eventually(t, func() bool { return behind.front.origins.MayBegin("llm", "v1") }, waitTime, time.Millisecond)
	defer door.stall(platform.PrefixParameter + "=servers%2F")()
	require.Eventually(t, func() bool { return door.held.Load() > 0 }, waitTime, time.Millisecond) // the watch that waited has ended
	first.enterVersion(restarts, "v2", "ready")
	first.settle(2, 3)
	whole := 0
	for i := range streams {
		got := behind.do(behind.promptOf(t.Context(), fmt.Sprintf("b%d", i)))
		versions, held := versionsOf(got.body)
		require.LessOrEqual(t, len(versions), 1, "stream %d", i)
		if held == events {
			whole++
		}
	}
	require.Positive(t, whole, "some go on where no server has restarted")
}
