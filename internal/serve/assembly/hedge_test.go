package assembly

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/platform/sample"
)

const (
	// slowTime is how long a server takes that is not cancelled before.
	slowTime = 300 * time.Millisecond
	// learned is how many requests make the times of a kind known.
	learned = 100
)

// Guards against requests that wait for a slow server although another one is free, against
// second attempts of what may run only once, and against answers and usage that count twice.
func TestSlowRequestsAreHedged(t *testing.T) {
	whole := func(w http.ResponseWriter, r *http.Request, self string) {
		w.Header().Set(sample.Seal, self)
		_, _ = fmt.Fprint(w, self)
	}
	events := func(w http.ResponseWriter, r *http.Request, self string) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(sample.Seal, self)
		_, _ = fmt.Fprintf(w, "id: 1\ndata: %s\n\n", self)
	}
	breaks := func(http.ResponseWriter, *http.Request, string) { panic(http.ErrAbortHandler) }
	fails := func(w http.ResponseWriter, _ *http.Request, _ string) { w.WriteHeader(http.StatusInternalServerError) }
	foreign := func(w http.ResponseWriter, _ *http.Request, self string) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(sample.Seal, self)
		_, _ = fmt.Fprint(w, ": hello\n\nupstream connect error\n\n")
	}
	late := func(w http.ResponseWriter, r *http.Request, self string) {
		time.Sleep(slowTime)
		whole(w, r, self)
	}
	type handler = func(w http.ResponseWriter, r *http.Request, self string)
	cases := []struct {
		name          string
		path          string
		share         float64
		learn         int
		slow, second  handler
		runs          int
		firstAnswers  bool
		slowCancelled bool
		firstBreaks   bool
		other         string // version of the second server, if it has another one
	}{
		{"idempotent", "/read/", 0.2, learned, whole, whole, 2, false, true, false, ""},
		{"stream that may be resumed", "/long/", 0.2, learned, events, events, 2, false, true, false, ""},
		{"stream that may be resumed, the other server has another version", "/long/", 0.2, learned, events, events, 1, true, false, false, "v2"},
		{"may run only once", "/book/", 0.2, learned, whole, whole, 1, true, false, false, ""},
		{"stream that may not be resumed", "/short/", 0.2, learned, events, events, 1, true, false, false, ""},
		{"share of 0", "/read/", 0, learned, whole, whole, 1, true, false, false, ""},
		{"times not known", "/read/", 0.2, learned / 2, whole, whole, 1, true, false, false, ""},
		{"the second breaks", "/read/", 0.2, learned, whole, breaks, 2, true, false, false, ""},
		{"the second fails", "/read/", 0.2, learned, whole, fails, 2, true, false, false, ""},
		{"the second turns it away", "/read/", 0.2, learned, whole, func(w http.ResponseWriter, r *http.Request, _ string) { notRun(w, r) }, 2, true, false, false, ""},
		{"the second's event is none", "/long/", 0.2, learned, events, foreign, 2, true, false, false, ""},
		{"the first breaks", "/read/", 0.2, learned, whole, late, 2, false, false, true, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var began atomic.Int32 // as usage counts it
			d := deployWith(t, func(front *Front) { front.Hedge = c.share })
			count := d.front.front.Began
			d.front.front.Began = func(now time.Time, workspace string) { began.Add(1); count(now, workspace) }
			d.configure(1, "k1")
			var arrived, cancelled atomic.Int32
			service := "app"
			if c.path == "/long/" || c.path == "/short/" {
				service = "llm"
			}
			answer := func(w http.ResponseWriter, r *http.Request) {
				self, id := r.Header.Get(sample.Server), r.Header.Get(sample.ID)
				switch {
				case strings.HasSuffix(id, "0"):
					time.Sleep(60 * time.Millisecond) // so that waiting longer is known to be possible
					c.slow(w, r, self)
				case id != "slow":
					c.slow(w, r, self)
				case arrived.Add(1) == 1:
					select {
					case <-r.Context().Done():
						cancelled.Add(1)
					case <-time.After(slowTime):
						if c.firstBreaks {
							panic(http.ErrAbortHandler)
						}
						c.slow(w, r, "first")
					}
				default:
					c.second(w, r, "second")
					if c.path == "/long/" {
						// The stream goes on for longer than the first server takes, which has to be
						// cancelled before.
						_ = http.NewResponseController(w).Flush()
						time.Sleep(2 * slowTime)
					}
				}
			}
			one, two := d.add("i-1", service, answer), d.add("i-2", service, answer)
			d.settle(1, 2)
			if c.other != "" {
				d.enterVersion(two, c.other, "ready")
				require.Eventually(t, func() bool { return d.front.origins.MayBegin(service, c.other) }, waitTime, time.Millisecond)
			}
			for i := range c.learn {
				require.Equal(t, http.StatusOK, d.send("POST", c.path, fmt.Sprintf("w%d", i), "k1", "x").status)
			}
			before := began.Load()
			got := d.send("POST", c.path, "slow", "k1", "x")
			require.NoError(t, got.err)
			require.Equal(t, http.StatusOK, got.status)
			want := "second"
			if c.firstAnswers {
				want = "first"
			}
			require.Equal(t, want, got.header.Get(sample.Seal))
			require.Equal(t, 1, strings.Count(got.body, want))
			require.Equal(t, c.runs, one.ran("slow")+two.ran("slow"))
			require.LessOrEqual(t, max(one.ran("slow"), two.ran("slow")), 1, "the attempts are on two servers")
			require.Equal(t, before+1, began.Load(), "usage")
			if c.slowCancelled {
				require.Eventually(t, func() bool { return cancelled.Load() == 1 }, waitTime, time.Millisecond)
			}
			require.Eventually(t, func() bool { return d.front.front.Gate.Open(service) == 0 }, waitTime, time.Millisecond, "slots are given back")
		})
	}
}
