package assembly

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/platform/sample"
)

// addMortal is add for a backend server whose answer may end it, as a crash does: its
// connections and its port are closed together.
func (d *deployment) addMortal(id string, answer func(w http.ResponseWriter, r *http.Request, crash func())) *backend {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(d.t, err)
	server := &http.Server{}
	b := &backend{id: id, service: "llm", runs: map[string]int{}, address: netip.MustParseAddrPort(listener.Addr().String())}
	b.answer = func(w http.ResponseWriter, r *http.Request) { answer(w, r, func() { _ = server.Close() }) }
	server.Handler = b
	go func() { _ = server.Serve(listener) }()
	d.t.Cleanup(func() { _ = server.Close() })
	d.enter(b, "ready")
	return b
}

// Guards against streams being lost with the server that ran them although another one has
// a copy, and against runs that have no copy being sent again.
func TestStreamsGoOnFromTheirCopies(t *testing.T) {
	const pieces = 4
	cases := []struct {
		name   string
		events int  // before the server goes down
		crash  bool // or only its connection breaks
		kept   bool // the other server has the copy
		copies bool // the configuration says that engines keep copies
		whole  bool
		runs   int // at the other server
	}{
		{"a crash within the answer", 2, true, true, true, true, 1},
		{"a crash before the first event", 0, true, true, true, false, 0},
		{"a crash before there is a copy", 2, true, false, true, false, 1},
		{"a connection that breaks", 2, false, true, true, false, 0},
		{"engines without copies", 2, true, true, false, false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := deploy(t)
			if c.copies {
				d.configureWith(1, sample.Copied)
			} else {
				d.configure(1, "k1")
			}
			servers := map[string]*backend{}
			answer := func(w http.ResponseWriter, r *http.Request, crash func()) {
				self := servers[r.Header.Get(sample.Server)]
				first, from := 1, r.Header.Get(sample.FromCopy)
				if from != "" {
					if !c.kept {
						notRun(w, r)
						return
					}
					require.Equal(t, self.address.String()+"/x1", from)
					_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &first)
					first = min(first+1, c.events+1)
				}
				w.Header().Set("Content-Type", "text/event-stream")
				w.Header().Set(sample.Seal, "s-"+self.id)
				for i := first; i <= pieces; i++ {
					if from == "" && i == c.events+1 {
						if crash(); !c.crash {
							panic(http.ErrAbortHandler)
						}
						return
					}
					_, _ = fmt.Fprintf(w, "id: %d\ndata: piece-%d\n\n", i, i)
					_ = http.NewResponseController(w).Flush()
				}
			}
			for _, id := range []string{"i-1", "i-2"} {
				servers[id] = d.addMortal(id, func(w http.ResponseWriter, r *http.Request, crash func()) {
					if !c.crash {
						crash = func() {}
					}
					answer(w, r, crash)
				})
			}
			d.settle(1, 2)
			request := d.request(t.Context(), "POST", "/short/", "x1", "k1", "x")
			request.Header.Set(sample.Tokens, "600,300")
			got := d.do(request)
			ran, other := servers["i-1"], servers["i-2"]
			if ran.ran("x1") == 0 || other.ran("x1") > 0 && other.last().Header.Get(sample.FromCopy) == "" {
				ran, other = other, ran
			}
			require.Equal(t, c.runs, other.ran("x1"))
			if c.copies {
				require.Equal(t, other.address.String(), ran.last().Header.Get(sample.Backup))
			} else {
				require.Empty(t, ran.last().Header.Get(sample.Backup))
			}
			require.Equal(t, c.whole, got.err == nil && got.status == http.StatusOK)
			if !c.whole {
				return
			}
			want := ""
			for i := 1; i <= pieces; i++ {
				want += fmt.Sprintf("id: %d\ndata: piece-%d\n\n", i, i)
			}
			require.Equal(t, want, got.body, "without a gap and without a repeat")
		})
	}
}

// Guards against callers that name a copy themselves: what they send goes no further.
func TestCallersDoNotNameCopies(t *testing.T) {
	d := deploy(t)
	d.configure(1, "k1")
	b := d.add("i-1", "llm", stream(2, 0))
	d.settle(1, 1)
	request := d.request(t.Context(), "POST", "/short/", "y1", "k1", "x")
	request.Header.Set(sample.Backup, "127.0.0.1:9")
	request.Header.Set(sample.FromCopy, "127.0.0.1:9/z")
	require.Equal(t, http.StatusOK, d.do(request).status)
	require.Empty(t, b.last().Header.Get(sample.Backup))
	require.Empty(t, b.last().Header.Get(sample.FromCopy))
}

// Guards against a request that may run once being run again from its start: its route moves
// to another service while it runs, and then its server goes down.
func TestMovedRouteRunsNoCopyAnew(t *testing.T) {
	d := deploy(t)
	d.configureWith(1, sample.Copied)
	begun, goDown := make(chan struct{}, 2), make(chan struct{})
	llm := func(w http.ResponseWriter, _ *http.Request, crash func()) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(sample.Seal, "s")
		_, _ = fmt.Fprint(w, "id: 1\ndata: a\n\n")
		_ = http.NewResponseController(w).Flush()
		begun <- struct{}{}
		<-goDown
		crash()
	}
	d.addMortal("i-1", llm)
	d.addMortal("i-2", llm)
	other := d.add("i-3", "app", stream(2, 0))
	d.settle(1, 3)
	answers := make(chan answered, 1)
	go func() {
		request := d.request(t.Context(), "POST", "/short/", "m1", "k1", "x")
		request.Header.Set(sample.Tokens, "600,300")
		answers <- d.do(request)
	}()
	<-begun
	d.configureWith(2, func(config string) string {
		return strings.Replace(sample.Copied(config), `"priority":0,"service":"llm"`, `"priority":0,"service":"app"`, 1)
	})
	d.settle(2, 3)
	close(goDown)
	got := <-answers
	require.Error(t, got.err, "a cut stream must not look complete")
	require.Zero(t, other.ran("m1"))
}
