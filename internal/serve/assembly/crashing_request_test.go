package assembly

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/standin/host"
	"github.com/chicoryrock/chicoryrock/platform"
	"github.com/chicoryrock/chicoryrock/platform/sample"
)

// fragile is a backend server that ends under requests whose path ends with poison.
type fragile struct {
	host.Host

	id  string
	end func(f *fragile, w http.ResponseWriter)
	all *crashers
}

// crashers are the times at which requests that end servers came to any.
type crashers struct {
	mutex sync.Mutex
	times []time.Time
}

func (f *fragile) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	w.Header().Set(sample.ID, r.Header.Get(sample.ID))
	if r.Header.Get(sample.Server) != f.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if strings.HasSuffix(r.URL.Path, "/poison") {
		f.all.mutex.Lock()
		f.all.times = append(f.all.times, time.Now())
		f.all.mutex.Unlock()
		f.end(f, w)
		panic(http.ErrAbortHandler)
	}
	fine(w, r)
}

func (a *crashers) copy() []time.Time {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return append([]time.Time(nil), a.times...)
}

// addFragile starts servers of app.
func (d *deployment) addFragile(count int, end func(f *fragile, w http.ResponseWriter)) *crashers {
	all := &crashers{}
	for i := range count {
		f := &fragile{id: fmt.Sprintf("i-%d", i), end: end, all: all}
		require.NoError(d.t, f.Open(host.Loopback(), f))
		d.t.Cleanup(f.Close)
		d.write(f.id, sample.Entry("app", f.Addr(), "ready"))
	}
	return all
}

func (d *deployment) write(id, entry string) {
	_, err := d.store.Commit(d.t.Context(), []chicoryrock.Change{{Key: platform.ServerPrefix + id, Value: []byte(entry), Unconditional: true}})
	assert.NoError(d.t, err)
}

// A request that crashes each server that runs it comes again and again to three fronts, under
// other IDs. Guards against sending it more than three times later than the contact time after
// the third crash, however the servers end and however soon they are back.
func TestCrashingRequestIsKeptFromServersByAllFronts(t *testing.T) {
	cases := []struct {
		name string
		end  func(d *deployment) func(f *fragile, w http.ResponseWriter)
	}{
		{"without an answer", func(*deployment) func(*fragile, http.ResponseWriter) {
			return func(f *fragile, _ http.ResponseWriter) { f.Crash(1500 * time.Millisecond) }
		}},
		{"back within a fraction of a second", func(*deployment) func(*fragile, http.ResponseWriter) {
			return func(f *fragile, _ http.ResponseWriter) { f.Crash(150 * time.Millisecond) }
		}},
		{"within the answer", func(*deployment) func(*fragile, http.ResponseWriter) {
			return func(f *fragile, w http.ResponseWriter) {
				w.Header().Set("Content-Length", "100")
				w.Header().Set(sample.Seal, "s")
				_, _ = io.WriteString(w, "begun")
				_ = http.NewResponseController(w).Flush()
				f.Crash(1500 * time.Millisecond)
			}
		}},
		{"back at once, with the entry of a new start", func(d *deployment) func(*fragile, http.ResponseWriter) {
			return func(f *fragile, _ http.ResponseWriter) {
				// The port stays open, as its next process has it before anyone looks.
				go func() {
					time.Sleep(50 * time.Millisecond)
					entry := sample.Entry("app", f.Addr(), "ready")
					d.write(f.id, strings.Replace(entry, `"born":5`, fmt.Sprintf(`"born":%d`, time.Now().UnixMilli()), 1))
				}()
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			const fronts, servers, contact, crashes, trials = 3, 6, 3 * time.Second, 3, 3
			all := deployMany(t, fronts)
			all[0].configure(1, "k1")
			seen := all[0].addFragile(servers, c.end(all[0]))
			for _, d := range all {
				d.settle(1, servers)
			}
			var last answered
			for n := 0; len(seen.copy()) < crashes || time.Since(seen.copy()[crashes-1]) < 2*contact; n++ {
				require.Less(t, n, 600, "nothing crashes")
				last = all[n%fronts].send(http.MethodPost, "/book/poison", fmt.Sprintf("p%d", n), "k1", "same")
				time.Sleep(100 * time.Millisecond)
			}
			times := seen.copy()
			assert.LessOrEqual(t, after(times, times[crashes-1].Add(contact)), trials)
			assert.LessOrEqual(t, len(times), 3*crashes, "requests that reached servers while the fronts found out")
			assert.Equal(t, http.StatusServiceUnavailable, last.status, "it has not run, and may later")
			assert.Contains(t, last.body, chicoryrock.ReasonCrashRequest.Sentence())
			assert.NotEmpty(t, last.header.Get("Retry-After"))
			assert.Equal(t, http.StatusOK, all[1].send(http.MethodPost, "/book/other", "o1", "k1", "same").status)
		})
	}
}

// A request whose connections are lost again and again while the servers stay up is sent on.
func TestLostConnectionsHoldNoRequestBack(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.configure(1, "k1")
	const sent = 12
	seen := d.addFragile(6, func(*fragile, http.ResponseWriter) {})
	d.settle(1, 6)
	for n := range sent {
		got := d.send(http.MethodPost, "/book/poison", fmt.Sprintf("p%d", n), "k1", "same")
		require.Equal(t, http.StatusBadGateway, got.status, "it may have run: %v", got.body)
		time.Sleep(150 * time.Millisecond) // later than the servers are looked at
	}
	require.Len(t, seen.copy(), sent)
}
