package assembly

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap/zapcore"

	"github.com/chicoryrock/chicoryrock/internal/ops/event"
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
		{"600", ofStatus("600 Broken", numbered(7))},
		{"999", ofStatus("999 Broken", numbered(7))},
		{"600 without a length", "HTTP/1.1 600 Broken\r\n" + sample.ID + ": %s\r\n\r\n" + another},
		{"700, and not run", ofStatus("700 Broken", "", sample.NotRun+": 1")},
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
	for i := range 2 * len(answers) {
		c, hedge := answers[i/2], 0.2*float64(i%2)
		t.Run(fmt.Sprint(c.name, ", hedge ", hedge), func(t *testing.T) {
			t.Parallel()
			d := deployWith(t, func(front *Front) {
				front.Hedge = hedge
				generous(front.Node)
			})
			d.configureWith(1, sample.Unhurried)
			answer := func(request, server string) written {
				if strings.HasPrefix(request, "broken") || strings.HasPrefix(request, "first") && strings.HasSuffix(server, "-1") {
					return written{strings.ReplaceAll(c.text, "%s", request), closes}
				}
				// A connection that it closed without a word could get the next request.
				return written{strings.ReplaceAll(headOf(eventsType, ofLength(numbered(1)))+numbered(1), "%s", request), keeps}
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

// unsoundNames are answers with a field whose name is none.
func unsoundNames() []namedAnswer {
	body := numbered(7)
	chunks := "\r\n" + chunked(body)
	long := headOf(eventsType)
	long = strings.TrimSuffix(long, "\r\n")
	answers := []namedAnswer{
		{"a blank before the length, bytes behind the body", long + "Content-Length : 7\r\n\r\n" + body + another},
		{"a blank before a length beside the true one", withField("Content-Length : 2")},
		{"a blank before the transfer coding", long + "Transfer-Encoding : chunked\r\n" + chunks},
		{"a blank before the transfer coding, a length", long + ofLength(body) + "\r\nTransfer-Encoding : chunked\r\n" + chunks},
		{"a blank in the name of an interim head", "HTTP/1.1 103 Early Hints\r\nX A: 1\r\n\r\n" + another},
		{"a blank before the seal", strings.Replace(another, sample.Seal+":", sample.Seal+" :", 1)},
		{"a blank before a seal beside the true one", withField(sample.Seal + " : s")},
		{"a blank in a failure", ofStatus("500 Internal Server Error", "oops", "X A: 1")},
		{"a blank in a refusal", ofStatus("503 Service Unavailable", "", "X A: 1", sample.NotRun+": 1")},
		{"a blank in another request's answer", strings.ReplaceAll(withField("X A: 1"), "%s", "other") + another},
		{"a blank in a name, and a limit", withField(sample.Limit + ": 0.01\r\nX A: 1")},
		{"a blank in a name, and a farewell", withField(sample.Leaving + ": 1\r\nX A: 1")},
		{"no colon", withField("X-A")},
		{"a control byte in a value", withField("X-A: \x00")},
	}
	for _, name := range []string{"X-A ", "X A", " X-A", "X\x00A", "X\x07A", "X\x7fA", "X\tA", "X-A\t", "X\rA", "X\x80A", "Xé", "", "X(A", "X\"A", "X/A", "X@A"} {
		answers = append(answers, namedAnswer{fmt.Sprintf("%q", name), withField(name + ": 1")})
	}
	return answers
}

// Guards against answers with a field whose name is none that are passed on: a field that another
// reader sees may state another end, another request or another server.
func TestAnswerWithUnsoundNameIsNotPassedOn(t *testing.T) { expectUnsound(t, unsoundNames()) }

// Guards against sound heads that are refused, as they are unusual.
func TestUnusualHeadsPass(t *testing.T) {
	body := numbered(7)
	cases := []struct {
		name, text string
		status     int
	}{
		{"a name of all characters", withField("!#$%&'*+-.^_`|~0aZ: 1"), http.StatusOK},
		{"names in small letters", strings.Replace(withField("x: "), sample.Seal, strings.ToLower(sample.Seal), 1), http.StatusOK},
		{"any bytes in a value", withField("X-A: \x80\tä : b"), http.StatusOK},
		{"a folded line", withField("X-A: 1\r\n X-B: 2"), http.StatusOK},
		{"interim heads", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 199 X\r\n\r\n" + another, http.StatusOK},
		{"chunks", headOf(eventsType, inChunkedCoding) + chunked(body), http.StatusOK},
		{"chunks and a blank in a name of the trailer", headOf(eventsType, inChunkedCoding) + open(body) + "0\r\nX A: 1\r\n" + sample.Seal + " : x\r\n\r\n", http.StatusOK},
		{"409", ofStatus("409 Conflict", body), http.StatusConflict},
		{"the last status", ofStatus("599 X", body), 599},
	}
	d := deploy(t, generous)
	d.configureWith(1, sample.Unhurried)
	answer := func(request, _ string) written {
		return written{strings.ReplaceAll(cases[int(request[0]-'a')].text, "%s", request), keeps}
	}
	d.addWriter("app-1", "app", answer)
	d.addWriter("llm-1", "llm", answer)
	d.settle(1, 2)
	for i, c := range cases {
		for _, route := range routesOf {
			got := d.send(http.MethodPost, route.path, fmt.Sprintf("%c%s", 'a'+i, strings.Trim(route.path, "/")), "k1", "x")
			require.NoError(t, got.err, c.name)
			require.Equal(t, c.status, got.status, "%s, %s: %q", c.name, route.path, got.body)
			require.Equal(t, body, got.body, c.name)
		}
	}
}

// longUpload is more of a request than what the kernel takes unread, and shortUpload is less. Bytes.
const longUpload, shortUpload = 12 << 20, 1 << 20

// roomy gives callers room for long uploads.
func roomy(config string) string {
	return strings.Replace(sample.Unhurried(config), `"maxBodyBytes":10000`, `"maxBodyBytes":20000000`, 1)
}

// uploaded is how a backend server answers a long upload.
type uploaded struct {
	size int   // of the upload, bytes
	read int64 // of it, before the answer
	written
}

// expectOfUpload sends an upload on each route to servers that read so much of it, write an
// answer and end the connection; then the same beside servers that answer soundly.
func expectOfUpload(t *testing.T, hedge float64, w uploaded, check func(path string, runs int, alone bool, got answered)) {
	d := deployWith(t, func(front *Front) {
		front.Hedge = hedge
		generous(front.Node)
	})
	d.configureWith(1, roomy)
	body := strings.Repeat("x", w.size)
	answer := func(request, _ string) written {
		return written{strings.ReplaceAll(w.text, "%s", request), w.then}
	}
	servers := []*backend{d.addReader("app-1", "app", w.read, answer), d.addReader("llm-1", "llm", w.read, answer)}
	for _, alone := range []bool{true, false} {
		if !alone {
			servers = append(servers, d.add("app-2", "app", stream(2, 0)), d.add("llm-2", "llm", stream(2, 0)))
		}
		d.settle(1, len(servers))
		for n := range 2 {
			for _, route := range routesOf {
				id := fmt.Sprint(strings.Trim(route.path, "/"), n, alone)
				got := d.send(http.MethodPost, route.path, id, "k1", body)
				runs := 0
				for _, server := range servers {
					runs += server.ran(id)
				}
				check(route.path, runs, alone, got)
			}
		}
	}
}

// Guards against a part of an answer that passes for the whole of it: an early answer that doesn't
// state its end, and a reset. The error of the connection goes to the one that writes the upload,
// and the one that reads the answer sees a plain end.
func TestResetOfAnUploadEndsNoAnswer(t *testing.T) {
	plain := headOf(eventsType) + numbered(1)
	cases := []struct {
		name string
		uploaded
	}{
		{"nothing read", uploaded{longUpload, 0, written{headOf(eventsType, unframed) + numbered(1), resetsLater}}},
		{"a part read", uploaded{longUpload, 3 << 20, written{headOf(eventsType, unframed) + numbered(1), resetsLater}}},
		{"without a field for it", uploaded{longUpload, 0, written{plain, resetsLater}}},
		{"HTTP/1.0", uploaded{longUpload, 0, written{strings.Replace(plain, "HTTP/1.1", "HTTP/1.0", 1), resetsLater}}},
		{"within an event", uploaded{longUpload, 0, written{plain + "id: 2\nda", resetsLater}}},
		{"behind an interim head", uploaded{longUpload, 0, written{"HTTP/1.1 100 Continue\r\n\r\n" + plain, resetsLater}}},
		{"a long event", uploaded{longUpload, 0, written{headOf(eventsType) + "id: 1\n" + strings.Repeat(": x\n", 30<<10), resetsLater}}},
		{"a refusal", uploaded{longUpload, 0, written{strings.Replace(headOf("", unframed), "200 OK", "404 Not Found", 1) + "missing", resetsLater}}},
		{"an end before the reset", uploaded{longUpload, 0, written{plain, endsThenResets}}},
		{"an end before the reset, a part read", uploaded{longUpload, 3 << 20, written{plain, endsThenResets}}},
		{"an end, and the rest in the kernel", uploaded{shortUpload, 0, written{plain, endsThenResets}}},
		{"a reset, and the rest in the kernel", uploaded{shortUpload, 0, written{plain, resetsLater}}},
	}
	for _, c := range cases {
		for _, hedge := range []float64{0, 0.2} {
			t.Run(fmt.Sprint(c.name, hedge), func(t *testing.T) {
				t.Parallel()
				expectOfUpload(t, hedge, c.uploaded, func(path string, runs int, alone bool, got answered) {
					what := fmt.Sprintf("%s, alone %v: %d runs, %d %.90q", path, alone, runs, got.status, got.body)
					cut := got.status == http.StatusOK && got.err != nil
					switch {
					case (path == "/read/" || path == "/long/") && !alone, !alone && got.status == http.StatusOK && !cut:
						require.NoError(t, got.err, what)
						require.Equal(t, http.StatusOK, got.status, what)
						require.Equal(t, numbered(1, 2), got.body, what)
					case cut:
						require.Contains(t, []string{"/long/", "/short/"}, path, what)
					default:
						require.NoError(t, got.err, what)
						require.Equal(t, http.StatusBadGateway, got.status, what)
					}
				})
			})
		}
	}
}

// Guards against whole answers to long uploads that count as cut: early ones that state their end,
// though the upload isn't read, and others that don't, once it is.
func TestWholeAnswersToUploadsPass(t *testing.T) {
	body := numbered(1)
	missing := strings.Replace(headOf(""), "200 OK", "404 Not Found", 1) + body
	cases := []struct {
		name string
		uploaded
		status int
	}{
		{"length", uploaded{longUpload, 0, written{headOf(eventsType, ofLength(body)) + body, resetsLater}}, http.StatusOK},
		{"length, a part read", uploaded{longUpload, 3 << 20, written{headOf(eventsType, ofLength(body)) + body, resetsLater}}, http.StatusOK},
		{"chunks", uploaded{longUpload, 0, written{headOf(eventsType, inChunkedCoding) + chunked(body), resetsLater}}, http.StatusOK},
		{"409", uploaded{longUpload, 0, written{ofStatus("409 Conflict", body), resetsLater}}, http.StatusConflict},
		{"409, the rest in the kernel", uploaded{shortUpload, 0, written{ofStatus("409 Conflict", body, unframed), endsThenResets}}, http.StatusConflict},
		{"no end stated", uploaded{longUpload, wholeUpload, written{headOf(eventsType) + body, closes}}, http.StatusOK},
		{"no end stated, short", uploaded{shortUpload, wholeUpload, written{headOf(eventsType) + body, closes}}, http.StatusOK},
		{"no end stated, no upload", uploaded{1, wholeUpload, written{headOf(eventsType) + body, closes}}, http.StatusOK},
		{"404, no end stated", uploaded{longUpload, wholeUpload, written{missing, closes}}, http.StatusNotFound},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			expectOfUpload(t, 0, c.uploaded, func(path string, runs int, alone bool, got answered) {
				require.NoError(t, got.err, path)
				require.Equal(t, 1, runs, path)
				if alone {
					require.Equal(t, c.status, got.status, path)
					require.Equal(t, body, got.body, path)
				}
			})
		})
	}
}

// Guards against unsound answers in what a stream goes on with: at another server after a break,
// from its copy and as its caller takes it up.
func TestStreamDoesNotGoOnWithUnsoundAnswer(t *testing.T) {
	rest := headOf(eventsType, inChunkedCoding) + chunked(numbered(3, 4))
	empty := strings.Replace(headOf(eventsType, "Content-Length: 0"), "200 OK", "000 Broken", 1)
	cases := []namedAnswer{
		{"status 000", strings.Replace(rest, "200 OK", "000 Broken", 1)},
		{"status 000, another answer behind it", empty + rest},
		{"a blank behind a name", strings.Replace(rest, "\r\n", "\r\nX-A : 1\r\n", 1)},
		{"a blank in a name", strings.Replace(rest, "\r\n", "\r\nX A: 1\r\n", 1)},
		{"a blank in the name of an interim head", "HTTP/1.1 103 Early Hints\r\nX A: 1\r\n\r\n" + rest},
		{"a blank before the version of the weights", strings.Replace(rest, "\r\n", "\r\n"+sample.Weights+" : 1\r\n", 1)},
	}
	for _, c := range cases {
		t.Run(c.name+", another server", func(t *testing.T) {
			t.Parallel()
			got, _ := secondAnswer(t, raw(broken, withFIN), raw(c.text, withFIN))
			require.Equal(t, numbered(1, 2), got.body)
			require.Error(t, got.err)
		})
		t.Run(c.name+", copy", func(t *testing.T) {
			t.Parallel()
			got := copyAnswer(t, c.text)
			require.Equal(t, numbered(1, 2), got.body)
			require.Error(t, got.err)
		})
		t.Run(c.name+", take-up", func(t *testing.T) {
			t.Parallel()
			d := deploy(t)
			d.configure(1, "k1")
			d.add("i-1", "llm", raw(c.text, withFIN))
			d.add("i-2", "llm", raw(c.text, withFIN))
			d.settle(1, 2)
			got := d.takeUp("t1", "b1", 2)
			require.Equal(t, http.StatusBadGateway, got.status, got.body)
		})
	}
}

// Guards against a line on a broken answer that doesn't say whose it was and what was wrong, or that
// has control bytes of it.
func TestLogSaysWhatWasWrongWithAnAnswer(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"status", ofStatus("000 Broken", "x"), "status 000"},
		{"a name", withField("X-A : 1"), `field name \"X-A \"`},
		{"a long name", withField(strings.Repeat("x", 9000) + " : 1"), `field name \"xxxxx`},
		{"a control byte", withField("X\x07\x7f\u0085A: 1"), "malformed"},
		{"a long line of control bytes", withField(strings.Repeat("\x7f", 9000)), "malformed"},
		{"an end under an upload", headOf(eventsType) + "x", "before the request was sent whole"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			log := &lines{}
			d := deployWith(t, func(front *Front) {
				front.Log = event.New(zapcore.InfoLevel, log)
				generous(front.Node)
			})
			d.configureWith(1, roomy)
			answer := func(request, _ string) written {
				return written{strings.ReplaceAll(c.text, "%s", request), endsThenResets}
			}
			d.addReader("app-1", "app", 0, answer)
			d.settle(1, 1)
			require.Equal(t, http.StatusBadGateway, d.send(http.MethodPost, "/book/", "b1", "k1", strings.Repeat("x", longUpload)).status)
			line := log.line(t, `"event":306,`)
			require.Contains(t, line, `"server":"app-1"`)
			require.Contains(t, line, c.want)
			require.Less(t, len(line), 1000)
			require.NotRegexp(t, "[\\x00-\\x09\\x0b-\\x1f\\x7f-\\x9f]", line)
		})
	}
}
