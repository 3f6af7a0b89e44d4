package assembly

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

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
