package assembly

import (
	"fmt"
	"io"
	"net/http"
	"path"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/policy/suspect"
	"github.com/chicoryrock/chicoryrock/internal/standin/host"
	"github.com/chicoryrock/chicoryrock/platform"
	"github.com/chicoryrock/chicoryrock/platform/sample"
)

// Engines that are joined by links are told where what they lack of a prompt may be
// in memory. A caller can't name such a place.
func TestFrontNamesWhereAPromptIsInMemory(t *testing.T) {
	d := deploy(t)
	d.configureWith(1, sample.Joined)
	one := d.add("i-1", "llm", stream(3, 0))
	two := d.add("i-2", "llm", stream(3, 0))
	d.settle(1, 2)
	ask := func(id string) {
		request := d.request(t.Context(), "POST", "/long/", id, "k1", "x")
		request.Header.Set(sample.Tokens, "9000,40")
		request.Header.Set(sample.Parts, "a1:2500,b7:3800,"+id+":2700")
		request.Header.Set(sample.Fetch, "127.0.0.9:1")
		require.Equal(t, http.StatusOK, d.do(request).status)
	}
	ask("c1")
	by, other := one, two
	if two.ran("c1") == 1 {
		by, other = two, one
	}
	require.Equal(t, other.address.String(), by.last().Header.Get(sample.Fetch), "the session's other home")
}

// The operator's limits hold for callers that are slow on purpose: a header that
// does not end, a connection on which nothing comes, a body that does not come.
func TestFrontEndsSlowCallers(t *testing.T) {
	d := deploy(t)
	d.configureWith(1, sample.Hurried)
	b := d.add("i-1", "app", fine)
	d.settle(1, 1)
	const head = "POST /book/ HTTP/1.1\r\nHost: h.example\r\nRequest-Id: s1\r\nAuthorization: Bearer k1\r\n"
	cases := []struct{ name, text, want string }{
		{"a header without an end", head, ""},
		{"nothing at all", "", ""},
		{"a body that does not come", head + sample.Patience + ": 150\r\nContent-Length: 5\r\n\r\nhel", "HTTP/1.1 503 "},
	}
	for _, c := range cases {
		got := d.raw(c.text)
		require.True(t, strings.HasPrefix(got, c.want), "%s: %q", c.name, got)
		require.Equal(t, c.want == "", got == "", c.name)
	}
	require.Zero(t, b.ran("s1"))
	require.Equal(t, http.StatusOK, d.send("POST", "/book/", "s2", "k1", "hello").status)
}

// A request that crashes each backend server that begins it comes again and again,
// under other IDs. After the third it is refused; others like it are served.
func TestFrontHoldsBackWhatCrashesServers(t *testing.T) {
	d := deploy(t)
	d.configure(1, "k1")
	seen := d.addFragile(8, func(f *fragile, _ http.ResponseWriter) { f.Crash(time.Second) })
	d.settle(1, 8)
	var statuses []int
	for i := range 5 {
		statuses = append(statuses, d.send("GET", "/read/poison", fmt.Sprintf("p%d", i), "k1", "").status)
		time.Sleep(150 * time.Millisecond) // later than the servers are looked at
	}
	require.LessOrEqual(t, len(seen.copy()), 4, "%v: the last attempts begin before the third crash is known", statuses)
	require.Equal(t, chicoryrock.ReasonCrashRequest.Status(), statuses[4])
	time.Sleep(time.Second) // until the servers are back
	require.Equal(t, http.StatusOK, d.send("GET", "/read/other", "o1", "k1", "").status)
}

// What broke off at other processes counts as much as what did here.
func TestFrontHoldsBackWhatItIsTold(t *testing.T) {
	d := deploy(t)
	d.configure(1, "k1")
	b := d.add("i-1", "app", fine)
	d.settle(1, 1)
	now := time.Now()
	mark := suspect.FingerprintOf("w1", []byte("GET\n"+sample.Host+"\n/read/told\n"))
	var told suspect.Evidence
	for i := range 3 {
		told.Failures = append(told.Failures, suspect.Failure{ID: fmt.Sprint(i), Request: mark, Server: fmt.Sprint(i), Crash: true})
	}
	d.front.front.Told(now, told)
	require.Equal(t, chicoryrock.ReasonCrashRequest.Status(), d.send("GET", "/read/told", "t1", "k1", "").status)
	d.front.front.Told(now.Add(time.Millisecond), suspect.Evidence{Successes: []suspect.Success{{Subject: mark}}})
	require.Equal(t, http.StatusOK, d.send("GET", "/read/told", "t2", "k1", "").status)
	require.Zero(t, b.ran("t1"))
}

// A scrape shows what the fronts' users ask for: by route, pool and reason, and how
// old what is believed is.
func TestFrontServesMetrics(t *testing.T) {
	scrapes := host.Own()
	d := deployWith(t, func(front *Front) { front.Scrapes = scrapes })
	d.configure(1, "k1")
	d.add("i-1", "app", fine)
	d.add("i-2", "llm", stream(3, 0))
	d.settle(1, 2)
	require.Equal(t, http.StatusOK, d.send("GET", "/read/", "m1", "k1", "").status)
	require.Equal(t, http.StatusOK, d.send("POST", "/short/", "m2", "k1", "x").status)
	require.Equal(t, http.StatusNotFound, d.send("GET", "/nowhere/", "m3", "k1", "").status)
	response, err := http.Get("http://" + scrapes.String() + "/metrics")
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	page, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	for _, want := range []string{
		`chicoryrock_requests_total{class="read",outcome="served",reason="none"} 1`,
		`chicoryrock_requests_total{class="none",outcome="refused",reason="no-route"} 1`,
		`chicoryrock_objective_requests_total{class="short",verdict="good"} 1`,
		`chicoryrock_wait_seconds_count{class="short"} 1`,
		`chicoryrock_first_token_seconds_count{class="read"} 1`,
		`chicoryrock_token_gap_seconds_count{class="short"} 2`,
		`chicoryrock_prompt_tokens_total{kind="unread",pool="llm"} 600`,
		`chicoryrock_running_requests{pool="app"} 0`,
		`chicoryrock_retry_budget_left{pool="app"}`,
		fmt.Sprintf(`chicoryrock_store_calls_total{kind=%q,outcome="answered"}`, path.Base(platform.PathRange)),
		`chicoryrock_servers_age_seconds `,
		`chicoryrock_configuration_revision 1`,
	} {
		require.Contains(t, string(page), want)
	}
}
