package assembly

import (
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/platform"
	"github.com/chicoryrock/chicoryrock/platform/sample"
)

// weighted is an engine with weights of some version, which its entry may not state yet.
type weighted struct {
	listed, weights int
	heeds           bool // it turns away requests that expect other weights
}

// addWeighted adds engines whose events name the weights that wrote them. The first run that is
// to break off, at an engine that heeds what is expected, does so after two events.
func (d *deployment) addWeighted(engines []weighted, breaks bool) (all []*backend) {
	var broken atomic.Bool
	broken.Store(!breaks)
	for i, engine := range engines {
		b := d.addMortal(fmt.Sprintf("i-%d", i), func(w http.ResponseWriter, r *http.Request, crash func()) {
			w.Header().Set(sample.Weights, strconv.Itoa(engine.weights)) // in each answer
			expected := r.Header.Get(sample.ExpectWeights)
			if engine.heeds && expected != "" && expected != strconv.Itoa(engine.weights) {
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set(sample.Seal, "s")
			from := 0
			_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &from)
			for n := from + 1; n <= 4; n++ {
				if n == 3 && engine.heeds && broken.CompareAndSwap(false, true) {
					_ = http.NewResponseController(w).Flush()
					crash()
					return
				}
				_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", n, engine.weights)
			}
		})
		entry := sample.WeightedOf(sample.EntryOf(b.service, b.address, "ready", "v1"), "m", engine.listed)
		_, err := d.store.Commit(d.t.Context(), []chicoryrock.Change{{Key: platform.ServerPrefix + b.id, Value: []byte(entry), Unconditional: true}})
		require.NoError(d.t, err)
		all = append(all, b)
	}
	return all
}

// ofModel is a request for the model that the engines have.
func (d *deployment) ofModel(path, id string) *http.Request {
	request := d.request(d.t.Context(), http.MethodPost, path, id, "k1", "x")
	request.Header.Set(sample.Parts, d.promptOf(d.t.Context(), id).Header.Get(sample.Parts))
	request.Header.Set(sample.Tokens, "600,300")
	request.Header.Set(sample.Model, "m")
	return request
}

// Guards against a stream that goes on, by any way, at an engine with other weights than those that
// wrote its beginning.
func TestStreamsAreNotJoinedFromTwoWeights(t *testing.T) {
	always, never := []bool{true}, []bool{false}
	cases := []struct {
		name    string
		path    string
		engines []weighted
		whole   []bool // what may come of it
	}{
		{"within an answer, other weights", "/long/", []weighted{{1, 1, true}, {2, 2, true}}, never},
		{"within an answer, the same weights", "/long/", []weighted{{1, 1, true}, {1, 1, true}}, always},
		{"within an answer, some have the same weights", "/long/", []weighted{{1, 1, true}, {2, 2, true}, {1, 1, true}, {2, 2, true}}, always},
		{"within an answer, other weights than listed", "/long/", []weighted{{1, 1, true}, {1, 2, true}}, never},
		{"within an answer, other weights and deaf", "/long/", []weighted{{1, 1, true}, {1, 2, false}}, never},
		{"from a copy, other weights", "/short/", []weighted{{1, 1, true}, {2, 2, true}}, never},
		{"from a copy, the same weights", "/short/", []weighted{{1, 1, true}, {1, 1, true}}, always},
		{"from a copy, the same weights, both other than listed", "/short/", []weighted{{1, 2, true}, {1, 2, true}}, always},
		{"from a copy, other weights than listed", "/short/", []weighted{{1, 1, true}, {1, 2, true}}, never},
		{"from a copy, other weights and deaf", "/short/", []weighted{{1, 1, true}, {1, 2, false}}, []bool{true, false}}, // whole where it begins at the second
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := deploy(t)
			d.configureWith(1, sample.Copied)
			d.addWeighted(c.engines, true)
			d.settle(1, len(c.engines))
			got := d.do(d.ofModel(c.path, "x1"))
			require.Equal(t, http.StatusOK, got.status)
			weights, events := versionsOf(got.body)
			require.Len(t, weights, 1, got.body)
			require.Contains(t, c.whole, got.err == nil, got.body)
			require.Equal(t, got.err == nil, events == 4, got.body)
		})
	}
}

// Guards against a stream that is taken up, at the front that began it or another one, at an engine
// with other weights.
func TestStreamsAreNotTakenUpAtOtherWeights(t *testing.T) {
	cases := []struct {
		name    string
		engines []weighted
	}{
		{"two weights", []weighted{{1, 1, true}, {2, 2, true}}},
		{"weights replaced in place, not listed yet", []weighted{{1, 1, true}, {1, 2, true}}},
		{"the same, deaf", []weighted{{1, 1, true}, {1, 2, false}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			all := deployMany(t, 2)
			all[0].configure(2, "k1")
			all[0].addWeighted(c.engines, false)
			for _, d := range all {
				d.settle(2, len(c.engines))
			}
			for n := range 24 {
				first := all[0].do(all[0].ofModel("/long/", fmt.Sprintf("b%d", n)))
				require.Equal(t, http.StatusOK, first.status)
				request := all[n%2].ofModel("/long/", fmt.Sprintf("t%d", n))
				request.Header.Set("Last-Event-Id", "2")
				request.Header.Set(sample.Resumes, fmt.Sprintf("b%d", n))
				rest := all[n%2].do(request)
				require.Equal(t, http.StatusOK, rest.status, rest.body)
				began, _ := versionsOf(first.body)
				weights, _ := versionsOf(first.body + rest.body)
				require.Len(t, weights, 1, "begun at %v: %s", began, rest.body)
			}
		})
	}
}

// Guards against weights that another server at the address states, or that are none.
func TestOnlyWeightsOfTheServerAreBelieved(t *testing.T) {
	cases := []struct {
		name, path, stated, want string
	}{
		{"expected others", "/long/", "2", "m=2"},
		{"expected others, which are no number", "/long/", "m=2,n", "m=1"},
		{"none expected: another server answers", "/short/", "2", "m=1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := deploy(t)
			d.configureWith(1, sample.Copied)
			b := d.addListed("i-0", func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(sample.Weights, c.stated)
				w.WriteHeader(http.StatusMisdirectedRequest)
			})
			d.settle(1, 1)
			require.Equal(t, http.StatusServiceUnavailable, d.do(d.ofModel(c.path, "x1")).status)
			require.NotZero(t, b.total())
			d.front.mutex.Lock()
			defer d.front.mutex.Unlock()
			require.Equal(t, c.want, d.front.servers.Servers()[0].Weights)
		})
	}
}
