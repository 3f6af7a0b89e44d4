package assembly

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/platform/sample"
)

// routesOf are the sample routes, with the most backend servers that a request of each is sent to.
var routesOf = []struct {
	path, service string
	runs          int
}{{"/read/", "app", 2}, {"/book/", "app", 1}, {"/long/", "llm", 2}, {"/short/", "llm", 1}}

// another is a whole answer that stands behind an unsound head, or in its body.
var another = headOf(eventsType, ofLength(numbered(7))) + numbered(7)

// withField returns a sound answer with one more line in its head.
func withField(line string) string {
	return headOf(eventsType, ofLength(numbered(7)), line) + numbered(7)
}

// ofStatus returns an answer with a status.
func ofStatus(status, body string, lines ...string) string {
	return strings.Replace(headOf(eventsType, append(lines, ofLength(body))...), "200 OK", status, 1) + body
}

// unsoundStatuses are answers with statuses that are none.
func unsoundStatuses() []namedAnswer {
	return []namedAnswer{
		{"000", ofStatus("000 Broken", numbered(7))},
		{"042", ofStatus("042 Broken", numbered(7))},
		{"099", ofStatus("099 Broken", numbered(7))},
		{"+20", ofStatus("+20 Broken", numbered(7))},
		{"000, another answer behind it", ofStatus("000 Broken", "") + another},
		{"042 without a length, another answer behind it", "HTTP/1.1 042 Broken\r\n\r\n" + another},
		{"000, another answer in its body", ofStatus("000 Broken", another)},
		{"000 behind an interim head", "HTTP/1.1 103 Early Hints\r\n\r\n" + ofStatus("000 Broken", "") + another},
		{"a switch of protocols, another answer behind it", "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n" + another},
	}
}

// namedAnswer is an answer, %s being its request's ID.
type namedAnswer struct{ name, text string }

// expectUnsound expects that no byte of an answer reaches a caller: a request that may run again
// gets the answer of another server, any other that of an unknown outcome. The servers that wrote
// it serve the next requests.
func expectUnsound(t *testing.T, answers []namedAnswer) {
	for _, c := range answers {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, generous)
			d.configureWith(1, sample.Unhurried)
			answer := func(request, server string) written {
				text := headOf(eventsType, ofLength(numbered(1))) + numbered(1)
				if strings.HasPrefix(request, "broken") || strings.HasPrefix(request, "first") && strings.HasSuffix(server, "-1") {
					text = c.text
				}
				return written{strings.ReplaceAll(text, "%s", request), closes}
			}
			var servers []*backend
			for _, service := range []string{"app", "llm"} {
				for n := range 2 {
					servers = append(servers, d.addWriter(fmt.Sprint(service, "-", n+1), service, answer))
				}
			}
			d.settle(1, len(servers))
			for _, route := range routesOf {
				send := func(id string) (answered, int) {
					got := d.send(http.MethodPost, route.path, id, "k1", "x")
					runs := 0
					for _, server := range servers {
						runs += server.ran(id)
					}
					return got, runs
				}
				id := strings.Trim(route.path, "/")
				got, runs := send("broken-" + id)
				require.NoError(t, got.err, route.path)
				require.Equal(t, http.StatusBadGateway, got.status, "%s: %q", route.path, got.body)
				require.Equal(t, route.runs, runs, route.path)
				for n := range 4 {
					if route.runs > 1 {
						got, _ = send(fmt.Sprint("first-", id, n))
						require.Equal(t, http.StatusOK, got.status, route.path)
						require.Equal(t, numbered(1), got.body, route.path)
					}
					got, runs = send(fmt.Sprint("sound-", id, n))
					require.Equal(t, http.StatusOK, got.status, route.path)
					require.Equal(t, 1, runs, route.path)
				}
			}
		})
	}
}

// Guards against answers whose status is none that are passed on, or passed over as interim heads,
// so that what they have for a body is read as the request's answer.
func TestAnswerOfNoStatusIsNotPassedOn(t *testing.T) { expectUnsound(t, unsoundStatuses()) }
