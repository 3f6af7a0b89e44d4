package assembly

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/platform"
)

// Entries that other writers leave among those of the servers end nothing, and those that
// can't be true draw no requests away from the servers.
func TestOddEntriesDrawNoRequests(t *testing.T) {
	nested := strings.Repeat("[", 20000) + strings.Repeat("]", 20000)
	entry := func(fields string) string {
		return `{"service":"llm","address":"127.0.0.1:9","zone":"a","version":"v1","slots":32,"state":"ready","seq":1,"born":5,` + fields + `}`
	}
	cases := []struct{ name, value string }{
		{"no JSON", "\x00\xff"},
		{"deeply nested", `{"service":` + nested + `}`},
		{"deeply nested beside", entry(`"more":` + nested)},
		{"a number too large", entry(`"slots":1e400`)},
		{"more slots than any server has", entry(`"slots":9223372036854775807`)},
		{"far too many slots", entry(`"slots":1000000000000`)},
		{"no slots", entry(`"slots":0`)},
		{"cold for ever", entry(`"coldLeftMs":1e308`)},
		{"cold until the beginning of time", entry(`"coldLeftMs":-1e308`)},
		{"started at the end of time", entry(`"born":9223372036854775807`)},
		{"started at the beginning of time", entry(`"born":-9223372036854775808`)},
		{"the last sequence number", entry(`"seq":18446744073709551615`)},
		{"a port out of range", entry(`"address":"127.0.0.1:70000"`)},
		{"port 0", entry(`"address":"127.0.0.1:0"`)},
		{"the address of all interfaces", entry(`"address":"0.0.0.0:9"`)},
		{"many destinations at once", entry(`"address":"224.0.0.1:9"`)},
		{"a zone of a megabyte", entry(`"zone":"` + strings.Repeat("z", 1<<19) + `"`)},
		{"a service without end", entry(`"service":"` + strings.Repeat("s", 1<<19) + `"`)},
		{"another service", entry(`"service":"nobody"`)},
		{"a version of a megabyte", entry(`"version":"` + strings.Repeat("v", 1<<19) + `"`)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t)
			d.configure(2, "k1")
			d.add("i-1", "llm", stream(4, 0))
			d.add("i-2", "llm", stream(4, 0))
			d.settle(2, 2)
			d.put(platform.ServerPrefix+"odd", c.value)
			// The next entry is only read after the odd one.
			d.add("i-3", "llm", stream(4, 0))
			require.Eventually(t, func() bool { return d.front.front.Gate.Address("llm", "i-3").IsValid() }, waitTime, time.Millisecond)
			var served atomic.Int64
			const rounds, together = 10, 6
			for round := range rounds {
				var group sync.WaitGroup
				for n := range together {
					group.Go(func() {
						if d.send(http.MethodPost, "/short/x", fmt.Sprintf("%x", 0xa000+round*together+n), "k1", "body").status == http.StatusOK {
							served.Add(1)
						}
					})
				}
				group.Wait()
			}
			require.EqualValues(t, rounds*together, served.Load())
			require.NotZero(t, d.ready())
		})
	}
}
