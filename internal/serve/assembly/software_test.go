package assembly

import (
	"bufio"
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/standin/host"
	"github.com/chicoryrock/chicoryrock/internal/standin/store"
	"github.com/chicoryrock/chicoryrock/platform"
	"github.com/chicoryrock/chicoryrock/platform/sample"
)

// versioned is stream with events that name the software version which wrote them.
func versioned(version string, events int, breaks func() bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		from := 0
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &from)
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(sample.Seal, "s")
		broken := from == 0 && breaks()
		for i := from + 1; i <= events; i++ {
			if broken && i == 3 {
				panic(http.ErrAbortHandler)
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, version)
			_ = http.NewResponseController(w).Flush()
		}
	}
}

func never() bool { return false }

// everyOther returns a function that is true every other time.
func everyOther() func() bool {
	var calls atomic.Int64
	return func() bool { return calls.Add(1)%2 == 0 }
}

// addVersion is add for a server of a software version.
func (d *deployment) addVersion(id, version string, answer http.HandlerFunc) *backend {
	b := d.add(id, "llm", answer)
	d.enterVersion(b, version, "ready")
	return b
}

func (d *deployment) enterVersion(b *backend, version, state string) {
	value := sample.EntryOf(b.service, b.address, state, version)
	_, err := d.store.Commit(d.t.Context(), []chicoryrock.Change{{Key: platform.ServerPrefix + b.id, Value: []byte(value), Unconditional: true}})
	require.NoError(d.t, err)
}

// versionsOf returns the versions whose events a body holds, and how many there are.
func versionsOf(body string) (versions map[string]bool, events int) {
	versions = map[string]bool{}
	for line := range strings.Lines(body) {
		if data, found := strings.CutPrefix(line, "data: "); found {
			versions[strings.TrimSpace(data)] = true
			events++
		}
	}
	return versions, events
}

// promptOf returns a request whose prompt shares nothing with others, so that any server
// may get it.
func (d *deployment) promptOf(ctx context.Context, id string) *http.Request {
	request := d.request(ctx, http.MethodPost, "/long/x", id, "k1", "body")
	session := xxhash.Sum64String(id)
	request.Header.Set(sample.Parts, fmt.Sprintf("%x:200,%x:400", session, session+1))
	return request
}

// begin starts a stream, reads some of its events and leaves.
func (d *deployment) begin(id string, events int) string {
	ctx, cancel := context.WithCancel(d.t.Context())
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(d.promptOf(ctx, id))
	require.NoError(d.t, err)
	defer func() { _ = response.Body.Close() }()
	require.Equal(d.t, http.StatusOK, response.StatusCode)
	reader, body := bufio.NewReader(response.Body), ""
	for read := 0; read < events; {
		line, err := reader.ReadString('\n')
		require.NoError(d.t, err)
		body += line
		if line == "\n" {
			read++
		}
	}
	return body
}

// takeUp goes on with a stream from after an event.
func (d *deployment) takeUp(id, began string, after int) answered {
	request := d.promptOf(d.t.Context(), id)
	request.Header.Set("Last-Event-Id", fmt.Sprint(after))
	request.Header.Set(sample.Resumes, began)
	return d.do(request)
}

// Streams that break off, or that their callers leave, go on at the software version that
// began them, wherever they are taken up, or not at all.
func TestStreamsAreNotJoinedFromTwoSoftwareVersions(t *testing.T) {
	const streams, events = 24, 6
	talk := func(node *platform.Node) {
		at := host.Own()
		node.Address, node.Ports = at.Addr(), [2]uint16{at.Port(), at.Port()}
	}
	restarted := func(d *deployment, n int) *deployment {
		node := *d.node
		node.Name, node.Callers, node.Ready = fmt.Sprintf("front-a-new-%d", n), host.Own(), host.Own()
		talk(&node)
		next := d.startAnother(&node)
		next.settle(2, 4)
		return next
	}
	cases := []struct {
		name string
		// front returns where the streams are taken up that were begun at the first of two.
		front func(all []*deployment) *deployment
		left  bool // the first version leaves before
	}{
		{"at the front that began them", func(all []*deployment) *deployment { return all[0] }, false},
		{"at another front", func(all []*deployment) *deployment { return all[1] }, false},
		{"at a front that has just started", func(all []*deployment) *deployment { return restarted(all[0], 1) }, false},
		{"after all fronts have ended", func(all []*deployment) *deployment {
			for _, d := range all {
				d.stop()
			}
			return restarted(all[0], 1)
		}, false},
		{"after the first version has left", func(all []*deployment) *deployment { return all[1] }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			all := deployMany(t, 2)
			d := all[0]
			d.configure(2, "k1")
			var servers []*backend
			for i := range 4 {
				version := []string{"v1", "v2"}[i%2]
				servers = append(servers, d.addVersion(fmt.Sprintf("i-%d", i), version, versioned(version, events, never)))
			}
			for _, one := range all {
				one.settle(2, 4)
			}
			var began []string
			begun := map[string]int{}
			// Which server is the cheapest differs with their measured speeds.
			for len(began) < streams || begun["v1"] < streams/4 || begun["v2"] < streams/4 {
				require.Less(t, len(began), 40*streams, "the streams begin at both versions")
				began = append(began, d.begin(fmt.Sprintf("b%d", len(began)), 2))
				versions, _ := versionsOf(began[len(began)-1])
				begun[slices.Collect(maps.Keys(versions))[0]]++
			}
			if c.left {
				for i, b := range servers {
					if i%2 == 0 {
						d.enterVersion(b, "v1", "draining")
					}
				}
				require.Eventually(t, func() bool {
					return all[1].front.front.Gate.Address("llm", "i-0") == netip.AddrPort{} && all[1].front.front.Gate.Address("llm", "i-2") == netip.AddrPort{}
				}, waitTime, time.Millisecond)
			}
			at := c.front(all)
			seen, whole := map[string]int{}, 0
			for n := range began {
				got := at.takeUp(fmt.Sprintf("t%d", n), fmt.Sprintf("b%d", n), 2)
				first, _ := versionsOf(began[n])
				if got.status != http.StatusOK {
					require.Equal(t, http.StatusServiceUnavailable, got.status, got.body)
					require.True(t, c.left && first["v1"], "only what can't go on is refused: %s", got.body)
					continue
				}
				joined, count := versionsOf(began[n] + got.body)
				require.Len(t, joined, 1, "stream %d holds events of two versions", n)
				require.Equal(t, events, count)
				for version := range joined {
					seen[version]++
				}
				whole++
			}
			if c.left {
				require.Equal(t, begun["v2"], whole, "what can go on does")
			} else {
				require.Equal(t, len(began), whole, "%v go on of %v", seen, begun)
			}
		})
	}
}

// A stream whose server breaks it off goes on at another server of the same version, within
// the same answer.
func TestBrokenStreamsGoOnAtTheirSoftwareVersion(t *testing.T) {
	const streams, events = 30, 6
	d := deploy(t)
	d.configure(2, "k1")
	for i := range 6 {
		version := fmt.Sprintf("v%d", i%3)
		d.addVersion(fmt.Sprintf("i-%d", i), version, versioned(version, events, everyOther()))
	}
	d.settle(2, 6)
	whole := 0
	for n := range streams {
		got := d.do(d.promptOf(t.Context(), fmt.Sprintf("s%d", n)))
		require.Equal(t, http.StatusOK, got.status)
		versions, count := versionsOf(got.body)
		require.Len(t, versions, 1, "stream %d holds events of two versions", n)
		if got.err == nil {
			require.Equal(t, events, count)
			whole++
		}
	}
	require.GreaterOrEqual(t, 2*whole, streams)
}

// Where it can't be found out which version began a stream, the stream doesn't go on, and
// its caller learns at once that nothing has run. With one version there is nothing to find
// out.
func TestStreamsOfUnknownOriginAreRefused(t *testing.T) {
	cases := []struct {
		name     string
		versions []string
		change   func(d *deployment)
		began    string // as the caller names it
		reason   chicoryrock.Reason
	}{
		{"one version", []string{"v1", "v1"}, nil, "nobody-knows", chicoryrock.ReasonNone},
		{"one version, began by none", []string{"v1", "v1"}, nil, "", chicoryrock.ReasonNone},
		{"two versions", []string{"v1", "v2"}, nil, "nobody-knows", chicoryrock.ReasonVersionUnknown},
		{"two versions, began by none", []string{"v1", "v2"}, nil, "", chicoryrock.ReasonVersionUnknown},
		{"no version named", []string{"", ""}, nil, "nobody-knows", chicoryrock.ReasonVersionUnknown},
		{"one version, store lost", []string{"v1", "v1"}, func(d *deployment) { d.server.Switch(store.Switches{Outage: true}) }, "nobody-knows", chicoryrock.ReasonVersionUnknown},
		{"store back from a copy", []string{"v1", "v1"}, func(d *deployment) {
			d.server.Copy()
			d.server.Restore()
		}, "nobody-knows", chicoryrock.ReasonVersionUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := deploy(t)
			d.configure(2, "k1")
			var servers []*backend
			for i, version := range c.versions {
				servers = append(servers, d.addVersion(fmt.Sprintf("i-%d", i), version, versioned(version, 6, never)))
			}
			d.settle(2, len(servers))
			d.begin("known", 2)
			require.Eventually(t, func() bool {
				return !slices.ContainsFunc(c.versions, func(version string) bool { return !d.front.origins.MayBegin("llm", version) })
			}, waitTime, time.Millisecond)
			if c.change != nil {
				c.change(d)
			}
			got := d.takeUp("taken", c.began, 2)
			if c.reason == chicoryrock.ReasonNone {
				require.Equal(t, http.StatusOK, got.status)
				_, events := versionsOf(got.body)
				require.Equal(t, 4, events)
				return
			}
			require.Equal(t, http.StatusServiceUnavailable, got.status)
			require.Contains(t, got.body, c.reason.Sentence())
			for _, b := range servers {
				require.Zero(t, b.ran("taken"))
			}
			if c.versions[0] != "" && c.change != nil {
				require.Equal(t, http.StatusOK, d.takeUp("own", "known", 2).status, "the front that began it knows")
			}
		})
	}
}

// A stream's callers may come back after the route leads to another service, and while both
// services name a version alike.
func TestStreamsStayWithTheirService(t *testing.T) {
	d := deploy(t)
	d.configure(2, "k1")
	d.addVersion("i-1", "v1", versioned("llm", 6, never))
	d.settle(2, 1)
	d.begin("b", 2)
	d.configureWith(3, func(config string) string {
		return strings.Replace(config, `"service":"llm","maxAttempts":2`, `"service":"app","maxAttempts":2`, 1)
	})
	moved := d.add("i-2", "app", versioned("app", 6, never))
	d.settle(3, 2)
	got := d.takeUp("t", "b", 2)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Contains(t, got.body, chicoryrock.ReasonVersionGone.Sentence())
	require.Empty(t, got.header.Get("Retry-After"), "coming back is in vain")
	require.Zero(t, moved.ran("t"))
}
