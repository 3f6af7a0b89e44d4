package soak

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/chicoryrock/chicoryrock/platform/sample"
)

const (
	// eventPause is the time between two events of a stream, slowPause that of a slow one.
	eventPause, slowPause = 15 * time.Millisecond, 90 * time.Millisecond
	// faultShare and breakShare are how often a server answers wrongly and breaks a stream
	// off, faultyShare and faultyBreakShare how often a faulty one does, and
	// continuedFaultShare how often a stream that broke off is continued wrongly.
	faultShare, breakShare        = 0.02, 0.08
	faultyShare, faultyBreakShare = 0.35, 0.4
	continuedFaultShare           = 0.5
)

// asked is one run of a request at a backend server.
type asked struct {
	id, version string
	from        int  // its caller has the stream up to here
	continued   bool // a front goes on with a stream that it has begun to answer
	random      *rand.Rand
	body        string   // of the last answer that was framed
	statements  []string // lines of the head in which the server says something of itself
}

// seal is the proof of an answer to a request.
func seal(id string) string { return "s-" + id }

// head returns the head of an answer.
func (a *asked) head(status string, lines ...string) string {
	all := append([]string{"HTTP/1.1 " + status, sample.ID + ": " + a.id}, lines...)
	return strings.Join(all, "\r\n") + "\r\n\r\n"
}

// ok returns the head of a proper 200.
func (a *asked) ok(lines ...string) string {
	return a.head("200 OK", slices.Concat([]string{sample.Seal + ": " + seal(a.id)}, a.statements, lines)...)
}

// stream returns the head of an answer with events.
func (a *asked) stream(lines ...string) string { return a.ok(append(lines, eventType)...) }

// next returns so many events after the one that the caller has.
func (a *asked) next(count int) string {
	return strings.Join(eventsOf(a.version, a.from, min(a.from+count, events)), "")
}

// failure returns a failed answer with a text or a page, framed or not.
func (a *asked) failure() string {
	status := pick(a, "500 Internal Server Error", "502 Bad Gateway", "404 Not Found")
	body := pick(a, "wrong answer to "+a.id+"\n\n", "<html>\n<body>wrong answer to "+a.id+"</body>\n\n</html>\n")
	return a.framed(body, func(lines ...string) string { return a.head(status, append(lines, "Content-Type: text/html")...) })
}

// framed returns a body behind a head, with a length, in chunks or up to the connection's end.
func (a *asked) framed(body string, head func(lines ...string) string) string {
	a.body = body
	return pick(a, head(sized(body))+body, head(inChunks)+chunk(body)+lastChunk, head("Connection: close")+body)
}

// errorText returns an error under 200 that is no stream.
func (a *asked) errorText(head func(status string, lines ...string) string) string {
	body := pick(a, `{"error":{"message":"wrong answer"}}`, "{\"error\":\n\n\"wrong answer\"}\n\n", "<html>wrong answer\n\n</html>\n")
	kind := pick(a, "Content-Type: application/json", "Content-Type: text/html")
	return a.framed(body, func(lines ...string) string { return head("200 OK", append(lines, kind)...) })
}

// The faults that are a server's own whole answer where a stream was to begin: fronts pass them
// on as they are.
const (
	errorEvent = "an error as an event"
	sealedText = "an error's text with a seal"
)

const (
	eventType = "Content-Type: text/event-stream"
	inChunks  = "Transfer-Encoding: chunked"
	lastChunk = "0\r\n\r\n"
)

func sized(body string) string { return fmt.Sprintf("Content-Length: %d", len(body)) }

func chunk(body string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(body), body) }

func pick(a *asked, choices ...string) string { return choices[a.random.IntN(len(choices))] }

// eventsOf returns the events of a stream after one up to another.
func eventsOf(version string, after, upTo int) []string {
	var list []string
	for i := after + 1; i <= upTo; i++ {
		list = append(list, fmt.Sprintf("id: %d\ndata: %d\n%s%s\n\n", i, i, versionField, version))
	}
	return list
}

// ending is how the connection of a wrong answer ends.
type ending int

const (
	closes ending = iota
	resets
	repeats // the answer comes once more, late, before the connection closes
)

// faultyAnswer is an answer that isn't the one asked for.
type faultyAnswer struct {
	name string
	// onlyContinued is for answers that only a front can tell from right ones which has the
	// events before.
	onlyContinued bool
	events        int // that the caller must still lack
	bytes         func(a *asked) string
	end           ending
}

var streamFaults = []faultyAnswer{
	{"a failure", false, 0, (*asked).failure, closes},
	{"an error's text without a seal", false, 0, func(a *asked) string { return a.errorText(a.head) }, closes},
	{sealedText, false, 0, func(a *asked) string {
		return a.errorText(func(_ string, lines ...string) string { return a.ok(lines...) })
	}, closes},
	{"text as events", false, 0, func(a *asked) string {
		return a.framed(pick(a, "wrong answer\n\n", "wrong answer", "wrong answer\n\nbusy\n"), a.stream)
	}, closes},
	{errorEvent, false, 0, func(a *asked) string {
		return a.framed(pick(a, "event: error\ndata: wrong answer\n\n", "data: {\"error\":\"wrong answer\"}\n\n"), a.stream)
	}, closes},
	{"no event", true, 0, func(a *asked) string {
		return pick(a, a.stream("Content-Length: 0"), a.stream(inChunks)+lastChunk)
	}, closes},
	{"no event and no seal", false, 0, func(a *asked) string {
		return pick(a, a.head("200 OK", "Content-Length: 0"), a.head("200 OK", inChunks)+lastChunk)
	}, closes},
	{"events from the first", false, 0, func(a *asked) string {
		if a.from == 0 {
			return a.failure()
		}
		return a.framed(strings.Join(eventsOf(a.version, 0, events), ""), a.stream)
	}, closes},
	{"events that go back", false, 2, func(a *asked) string {
		return a.framed(a.next(2)+a.next(1)+a.next(events), a.stream)
	}, closes},
	{"an event twice", false, 1, func(a *asked) string { return a.framed(a.next(1)+a.next(events), a.stream) }, closes},
	{"an answer behind an event", false, 1, func(a *asked) string { return a.framed(a.next(1)+a.failure(), a.stream) }, closes},
	{"an end behind an event", true, 2, func(a *asked) string { return a.stream("Connection: close") + a.next(1) }, closes},
	{"a reset behind an event", false, 2, func(a *asked) string { return a.stream("Connection: close") + a.next(1) }, resets},
	{"half a head", false, 0, halfHead, closes},
	{"only a head", false, 0, func(a *asked) string { return a.stream() }, closes},
	{"another request's answer", false, 0, func(a *asked) string {
		other := *a
		other.id = "other-" + a.id
		return other.framed(a.next(events), other.stream)
	}, closes},
	{"an answer twice", false, 0, func(a *asked) string { return a.stream(sized(a.next(events))) + a.next(events) }, repeats},
	{"no status", false, 0, func(a *asked) string { return a.noStatus(a.stream) }, closes},
	{"no field name", false, 0, func(a *asked) string { return a.noName(a.next(events), a.stream) }, closes},
}

var plainFaults = []faultyAnswer{
	{"a failure", false, 0, (*asked).failure, closes},
	{"half a head", false, 0, halfHead, closes},
	{"only a head", false, 0, func(a *asked) string { return a.ok() }, closes},
	{"only a head without a seal", false, 0, func(a *asked) string { return a.head("200 OK") }, closes},
	{"a short body", false, 0, func(a *asked) string { return a.ok(sized(a.id)) + a.id[:a.random.IntN(len(a.id))] }, closes},
	{"a short body in chunks", false, 0, func(a *asked) string { return a.ok(inChunks) + chunk(a.id[:1+a.random.IntN(len(a.id)-1)]) }, closes},
	{"a reset in the body", false, 0, func(a *asked) string {
		return a.ok(pick(a, sized(a.id), "Connection: close")) + a.id[:a.random.IntN(len(a.id))]
	}, resets},
	{"an answer behind another", false, 0, func(a *asked) string { return a.ok(sized(a.id)) + a.id + a.failure() }, closes},
	{"another request's answer", false, 0, func(a *asked) string {
		other := *a
		other.id = "other-" + a.id
		return other.framed(other.id, other.ok)
	}, closes},
	{"an answer twice", false, 0, func(a *asked) string { return a.ok(sized(a.id)) + a.id }, repeats},
	{"no status", false, 0, func(a *asked) string { return a.noStatus(a.ok) }, closes},
	{"no field name", false, 0, func(a *asked) string { return a.noName(a.id, a.ok) }, closes},
}

// noStatus returns an answer whose status is none. It has another answer in its body or behind it.
func (a *asked) noStatus(head func(lines ...string) string) string {
	other := a.framed("wrong answer\n\n", head)
	length := pick(a, "Content-Length: 0", sized(other), "Connection: close")
	return strings.Replace(head(length), "200 OK", pick(a, "000 Broken", "042 Broken", "099 Broken", "600 Broken"), 1) + other
}

// noName returns an answer with a field whose name is none. Its body isn't what it seems.
func (a *asked) noName(body string, head func(lines ...string) string) string {
	switch a.random.IntN(3) {
	case 0:
		return head(sized(body)[:14]+" :"+sized(body)[15:]) + body + a.failure()
	case 1:
		return head(inChunks[:17]+" :"+inChunks[18:]) + chunk(body) + lastChunk
	default:
		return head(pick(a, "X A: 1", "X-A : 1", "X\x07A: 1", "X\x7f: 1", ": 1"), sized("wrong answer\n\n")) + "wrong answer\n\n"
	}
}

func halfHead(a *asked) string {
	whole := a.stream(inChunks)
	return whole[:1+a.random.IntN(len(whole)-1)]
}

// fault is what a server does instead of answering a request rightly.
type fault struct {
	asked
	name   string
	answer *faultyAnswer // nil if it begins rightly and breaks off
	count  int           // events after which it breaks off
	how    int
}

// breaks are the ways in which a run of a stream breaks off.
var breaks = []string{"closed behind an event", "closed within an event", "reset behind an event", "reset within an event", "closed without the last chunk"}

// drawFault draws what a server does wrong with a request, nil for nothing.
func (w *world) drawFault(self *software, id, version string, from int) *fault {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.faulty || !versions() {
		return nil
	}
	if _, found := w.began[id]; !found {
		w.began[id] = from
	}
	sum := fnv.New64()
	_, _ = fmt.Fprint(sum, id, w.runs[id])
	m := &fault{asked: asked{id: id, version: version, from: from, continued: from > w.began[id], random: rand.New(rand.NewPCG(w.seed, sum.Sum64()))}}
	answers, breaksOff := faultShare, breakShare
	if time.Now().UnixNano() < self.faultyUntil.Load() {
		answers, breaksOff = faultyShare, faultyBreakShare
	}
	list := plainFaults
	if self.service == "llm" {
		list = streamFaults
	}
	if m.continued {
		answers = continuedFaultShare
	}
	if m.random.Float64() < answers {
		if one := &list[m.random.IntN(len(list))]; from+one.events <= events && (m.continued || !one.onlyContinued) {
			m.answer, m.name = one, one.name
			return m
		}
	}
	if self.service == "llm" && from < events && m.random.Float64() < breaksOff {
		m.how = m.random.IntN(len(breaks))
		m.count, m.name = m.random.IntN(events-from), breaks[m.how]
		return m
	}
	return nil
}

// makeFaulty has a server answer wrongly and break streams off for a time.
func (w *world) makeFaulty(last time.Duration) {
	w.servers[w.random.IntN(len(w.servers))].faultyUntil.Store(time.Now().Add(last).UnixNano())
}

// inject answers a request with a fault.
func (w *world) inject(m *fault, rw http.ResponseWriter) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	for _, name := range []string{sample.Limit, sample.Leaving, sample.Weights} {
		if value := rw.Header().Get(name); value != "" {
			m.statements = append(m.statements, name+": "+value)
		}
	}
	if m.answer == nil {
		m.breakOff(conn)
		return
	}
	text := m.answer.bytes(&m.asked)
	if m.from == 0 && (m.name == errorEvent || m.name == sealedText) {
		w.mutex.Lock()
		w.own[m.id] = append(w.own[m.id], m.body)
		w.mutex.Unlock()
	}
	_, _ = io.WriteString(conn, text)
	if m.answer.end == repeats {
		time.Sleep(time.Duration(m.random.IntN(30)) * time.Millisecond)
		_, _ = io.WriteString(conn, text)
		time.Sleep(200 * time.Millisecond)
	}
	if m.answer.end == resets {
		abort(conn)
	}
}

// pauseOf returns the time between two events of a stream. Half of those that may be taken up are
// slow, also then.
func pauseOf(id string) time.Duration {
	sum := fnv.New32()
	id, _, _ = strings.Cut(id, "/")
	_, _ = io.WriteString(sum, "slow"+id)
	if strings.HasPrefix(id, "long") && sum.Sum32()%2 == 0 {
		return slowPause
	}
	return eventPause
}

// breakOff sends a part of a stream.
func (m *fault) breakOff(conn net.Conn) {
	list := eventsOf(m.version, m.from, events)
	how := breaks[m.how]
	if how != breaks[len(breaks)-1] {
		list = list[:min(m.count, len(list))]
	}
	_, _ = io.WriteString(conn, m.stream(inChunks))
	for _, event := range list {
		if _, err := io.WriteString(conn, chunk(event)); err != nil {
			return
		}
		time.Sleep(pauseOf(m.id))
	}
	if strings.Contains(how, "within") {
		event := strings.Join(eventsOf(m.version, m.from+m.count, m.from+m.count+1), "")
		_, _ = io.WriteString(conn, chunk(event[:1+m.random.IntN(len(event)-1)]))
	}
	if strings.HasPrefix(how, "reset") {
		abort(conn)
	}
}

// abort has the peer see a reset at the connection's end.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// piece is what a caller got of a stream in one answer.
type piece struct {
	id     string
	from   int
	status int
	body   string
	whole  bool
	at     time.Time
}

// ofOneStream says whether a piece fits a stream of some build.
func (p piece) ofOneStream() bool { return slices.ContainsFunc(builds, p.fits) }

// count returns how many whole events a piece has.
func (p piece) count() int { return strings.Count(p.body, "\n\n") }

// fits says whether a piece has nothing but the next events of a stream, and all if it looks
// whole.
func (p piece) fits(version string) bool {
	want := strings.Join(eventsOf(version, p.from, events), "")
	return strings.HasPrefix(want, p.body) && (!p.whole || p.body == want)
}

// passedOn says whether a caller got just what a server answered instead of a stream.
func (w *world) passedOn(one got) bool {
	return len(one.pieces) == 1 && slices.ContainsFunc(w.own[one.id], func(own string) bool {
		return one.body == own || !one.whole && one.body != "" && strings.HasPrefix(own, one.body)
	})
}

// checkStream holds what a caller has of a stream, over all answers, against the true one.
func (w *world) checkStream(one got, where string) {
	if w.passedOn(one) {
		w.passed++
		return
	}
	fits := func(version string) bool {
		return !slices.ContainsFunc(one.pieces, func(p piece) bool { return p.status == http.StatusOK && !p.fits(version) })
	}
	if !slices.ContainsFunc(builds, fits) {
		w.t.Errorf("%s: not the events of one stream, or fewer in an answer that looks whole:\n%s", where, w.story(one))
	}
	for _, p := range one.pieces {
		if p.status != http.StatusOK {
			w.checkFailure(p.id, p.status, p.body)
		}
		if after, resumed := w.resumed[p.id]; resumed {
			w.withinOne[0]++
			if p.from+p.count() > after {
				w.withinOne[1]++
			}
		}
	}
}

// story tells what became of a request, by server and by answer.
func (w *world) story(one got) string {
	var lines []string
	for _, p := range one.pieces {
		lines = append(lines, w.history[p.id]...)
		lines = append(lines, fmt.Sprintf("  %s %s after %d: caller got %d, whole %v: %q", p.at.Format(clock), p.id, p.from, p.status, p.whole, p.body))
	}
	return strings.Join(lines, "\n")
}

// clock is how times are written.
const clock = "15:04:05.000"

// note records a run for the story of its request, and counts what was wrong with it. The lock
// is held.
func (w *world) note(self, id, version string, from int, m *fault) {
	what := "right"
	if m != nil {
		what = m.name
		if m.continued {
			what = "going on: " + what
		}
		w.faults[what]++
	}
	if began, found := w.began[id]; found && from > began {
		w.resumed[id] = max(from, w.resumed[id])
	}
	w.history[id] = append(w.history[id], fmt.Sprintf("  %s %s at %s (%s) after %d: %s", time.Now().Format(clock), id, self, version, from, what))
}

// checkAnswer holds the head of an answer against the request.
func (w *world) checkAnswer(response *http.Response, id string) {
	if !versions() {
		return
	}
	bad := ""
	if got := response.Header.Get(sample.ID); got != "" && got != id {
		bad = "the answer to " + got
	}
	if got := response.Header.Get(sample.Seal); response.StatusCode == http.StatusOK && got != seal(id) {
		bad = fmt.Sprintf("a 200 with the seal %q", got)
	}
	if bad != "" {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.odd = append(w.odd, fmt.Sprintf("%s %s got %s\n%s\n", time.Now().Format(clock), id, bad, strings.Join(w.history[id], "\n")))
	}
}

// checkFailure holds an answer that is no success against what backend servers and fronts may
// say. The lock is held.
func (w *world) checkFailure(id string, status int, body string) {
	own := strings.Contains(body, "wrong answer to "+id)
	if strings.Contains(body, "wrong answer") && !own || slices.Contains([]int{400, 401, 403, 404, 413, 431}, status) && (status != http.StatusNotFound || !own) {
		w.odd = append(w.odd, fmt.Sprintf("%s got %d: %q\n%s", id, status, body, strings.Join(w.history[id], "\n")))
	}
}

// Write implements io.Writer for what the callers' library logs: bytes on a connection that
// no request waits on.
func (w *world) Write(line []byte) (int, error) {
	if strings.Contains(string(line), "Unsolicited response") {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.odd = append(w.odd, time.Now().Format(clock)+" "+string(line))
	}
	return os.Stderr.Write(line)
}

func (w *world) enableFaults(on bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.faulty = on
}

// logFaults says how often what was seen.
func (w *world) logFaults() {
	var names []string
	for name, count := range w.faults {
		names = append(names, fmt.Sprintf("%s: %d", name, count))
	}
	slices.Sort(names)
	w.t.Logf("seed %d: wrong answers: %s", w.seed, strings.Join(names, ", "))
	w.t.Logf("seed %d: %d of %d streams that fronts resumed within an answer went on", w.seed, w.withinOne[1], w.withinOne[0])
	w.t.Logf("seed %d: %d answers of servers that were no stream were passed on as they were", w.seed, w.passed)
}
