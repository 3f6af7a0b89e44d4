package assembly

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/platform/sample"
)

// Guards against a run that goes on from its copy at a server of another software version.
func TestRunsGoOnFromCopiesOfTheirSoftwareOnly(t *testing.T) {
	cases := []struct {
		name     string
		versions []string // of the servers
		later    string   // version that the others start again with as the run breaks off
		whole    bool
	}{
		{"another version", []string{"v1", "v2"}, "", false},
		{"two versions", []string{"v1", "v2", "v1", "v2"}, "", true},
		{"one version", []string{"v1", "v1"}, "", true},
		{"started again as another version", []string{"v1", "v1"}, "v2", false},
		{"no version", []string{"", ""}, "", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := deploy(t)
			d.configureWith(1, sample.Copied)
			versions, servers := map[string]string{}, []*backend{}
			for i, version := range c.versions {
				versions[fmt.Sprintf("i-%d", i)] = version
			}
			for i := range c.versions {
				servers = append(servers, d.addMortal(fmt.Sprintf("i-%d", i), func(w http.ResponseWriter, r *http.Request, crash func()) {
					first, self := 1, r.Header.Get(sample.Server)
					if r.Header.Get(sample.FromCopy) != "" {
						first = 3
					}
					w.Header().Set("Content-Type", "text/event-stream")
					w.Header().Set(sample.Seal, "s")
					for n := first; n < first+2; n++ {
						_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, versions[self])
					}
					_ = http.NewResponseController(w).Flush()
					if first > 1 {
						return
					}
					for _, b := range servers {
						if c.later != "" && b.id != self {
							d.enterVersion(b, c.later, "ready")
						}
					}
					crash()
				}))
			}
			for i, b := range servers {
				d.enterVersion(b, c.versions[i], "ready")
			}
			d.settle(1, len(servers))
			require.Eventually(t, func() bool { return d.knowsVersions(versions) }, waitTime, waitTime/10000)
			request := d.request(t.Context(), http.MethodPost, "/short/", "x1", "k1", "x")
			request.Header.Set(sample.Tokens, "600,300")
			got := d.do(request)
			require.Equal(t, http.StatusOK, got.status)
			seen, events := versionsOf(got.body)
			require.Len(t, seen, 1, got.body)
			require.Equal(t, c.whole, got.err == nil)
			require.Equal(t, c.whole, events == 4)
		})
	}
}

// knowsVersions reports whether the front has all servers at these versions.
func (d *deployment) knowsVersions(versions map[string]string) bool {
	for _, replica := range d.front.front.Gate.Replicas("llm") {
		if replica.Version != versions[replica.Name] {
			return false
		}
	}
	return true
}

// Guards against a stream that goes on although a server's entry in the store, which may be newer
// than what the front knows, states another version of either server.
func TestStreamsGoOnByEntriesOfBothServers(t *testing.T) {
	cases := []struct {
		name         string
		first, other string        // versions that the store states; empty for no entry
		born         time.Duration // the start that it states of the first server, from now; zero for that of its entry
		unread       bool
		whole        bool
		stated       string // header of the first answer
	}{
		{"the same version", "v1", "v1", 0, false, true, ""},
		{"the first server has crashed", "", "v1", 0, false, true, ""},
		{"the other one has started again", "v1", "v2", 0, false, false, ""},
		{"the other one has gone", "v1", "", 0, false, false, ""},
		{"the first one had started again", "v2", "v1", -time.Second, false, false, ""},
		{"the first one had started again, by a clock that differs", "v2", "v1", time.Second / 2, false, false, ""},
		{"the first one has another version, of the same start", "v2", "v1", 0, false, false, ""},
		{"the first one has replaced its weights", "v1 m=2", "v1", 0, false, true, sample.Weights + ": 1"},
		{"the first one has replaced its weights, and states none", "v1 m=2", "v1", 0, false, false, ""},
		{"the first one has replaced its weights and its software", "v2 m=2", "v1", 0, false, false, sample.Weights + ": 1"},
		{"the first one has started again since", "v2", "v1", time.Minute, false, true, ""},
		{"the store can't be read", "v2", "v2", 0, true, true, ""},
		{"the store doesn't answer", "hangs", "hangs", 0, false, true, ""},
	}
	for _, path := range []string{"/short/", "/long/"} {
		for _, c := range cases {
			t.Run(path+c.name, func(t *testing.T) {
				d := deploy(t)
				d.configureWith(1, sample.Copied)
				var began atomic.Value
				began.Store("")
				line := ""
				if c.stated != "" {
					line = "\r\n"
				}
				d.front.front.Verify = func(ctx context.Context, server string) (chicoryrock.Server, error) {
					listed := chicoryrock.Server{Version: c.other}
					if server == began.Load() {
						listed.Version, listed.Weights, _ = strings.Cut(c.first, " ")
						listed.StartedMs = 5
						if c.born != 0 {
							listed.StartedMs = time.Now().Add(c.born).UnixMilli()
						}
					}
					switch {
					case c.other == "hangs":
						<-ctx.Done()
						return listed, ctx.Err()
					case c.unread:
						return listed, chicoryrock.ErrUnavailable
					case listed.Version == "":
						return listed, chicoryrock.ErrNotFound
					}
					return listed, nil
				}
				for _, id := range []string{"i-1", "i-2"} {
					d.addMortal(id, func(w http.ResponseWriter, r *http.Request, crash func()) {
						if began.CompareAndSwap("", r.Header.Get(sample.Server)) {
							raw(strings.Replace(broken, "\r\n", "\r\n"+c.stated+line, 1), withFIN)(w, r)
							crash()
							return
						}
						raw(headOf(eventsType, inChunkedCoding)+chunked(numbered(3, 4)), withFIN)(w, r)
					})
				}
				d.settle(1, 2)
				request := d.request(t.Context(), http.MethodPost, path, "x1", "k1", "x")
				request.Header.Set(sample.Tokens, "600,300")
				got := d.do(request)
				require.Equal(t, c.whole, got.err == nil, got.body)
				want := numbered(1, 2)
				if c.whole {
					want = numbered(1, 2, 3, 4)
				}
				require.Equal(t, want, got.body)
			})
		}
	}
}
