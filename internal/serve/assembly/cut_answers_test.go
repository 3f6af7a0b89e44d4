package assembly

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/platform"
	"github.com/chicoryrock/chicoryrock/platform/sample"
)

// ending is what a backend server does with a connection after it has written.
type ending int

const (
	keeps ending = iota
	closes
	resets
	resetsLater // so that all that it has written is read before
	endsThenResets
)

// laterTime is how long a connection stays open that is reset later.
const laterTime = 30 * time.Millisecond

// written is what a backend server writes to a request.
type written struct {
	text string
	then ending
}

// wholeUpload has a backend server read a request to its end before it answers.
const wholeUpload = -1

// addWriter starts a backend server that answers as it is told by each request's ID and the
// server's name, and enters it in the store.
func (d *deployment) addWriter(id, service string, answer func(request, server string) written) *backend {
	return d.addReader(id, service, wholeUpload, answer)
}

// addReader is addWriter for a server that reads only so many bytes of a request's body.
func (d *deployment) addReader(id, service string, upload int64, answer func(request, server string) written) *backend {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(d.t, err)
	d.t.Cleanup(func() { _ = listener.Close() })
	b := &backend{id: id, service: service, address: netip.MustParseAddrPort(listener.Addr().String()), runs: map[string]int{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go b.write(conn, upload, answer)
		}
	}()
	d.enter(b, "ready")
	return b
}

func (b *backend) write(conn net.Conn, upload int64, answer func(request, server string) written) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body := io.Reader(request.Body)
		if upload != wholeUpload {
			body = io.LimitReader(body, upload)
		}
		if _, err := io.Copy(io.Discard, body); err != nil {
			return
		}
		id := request.Header.Get(sample.ID)
		b.mutex.Lock()
		b.runs[id]++
		b.mutex.Unlock()
		w := answer(id, b.id)
		_, _ = io.WriteString(conn, w.text)
		switch w.then {
		case keeps:
			continue
		case endsThenResets:
			_ = conn.(*net.TCPConn).CloseWrite()
			fallthrough
		case resetsLater:
			time.Sleep(laterTime)
			fallthrough
		case resets:
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		return
	}
}

// head is the beginning of an answer to the request ID, without its blank line.
func head(status, more string) string {
	return "HTTP/1.1 " + status + "\r\n" + sample.ID + ": ID\r\n" + sample.Seal + ": s\r\n" + more
}

const (
	twoEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	inChunks  = "Transfer-Encoding: chunked\r\n"
)

// sized returns the field that states a body's length.
func sized(body string) string { return fmt.Sprintf("Content-Length: %d\r\n", len(body)) }

// generous gives a front as many repeats as a test may need.
func generous(node *platform.Node) { node.Bounds.RetrySlack = 1e6 }

// Guards against answers that are cut at any byte and reach the caller as whole.
func TestCutAnswersDoNotLookWhole(t *testing.T) {
	const events = "Content-Type: text/event-stream\r\n"
	const eventChunks = "9\r\nid: 1\ndat\r\n4;x=y\r\na: a\r\n2\r\n\n\n\r\n10\r\nid: 2\ndata: b\n\n\n\r\n0\r\n\r\n"
	plain, streams := []string{"/read/", "/book/"}, []string{"/long/", "/short/"}
	cases := []struct {
		name, text, body string
		paths            []string
	}{
		{"length", head("200 OK", sized("fine")) + "\r\nfine", "fine", plain},
		{"no body", head("200 OK", sized("")) + "\r\n", "", plain},
		{"lines that end with a line feed", strings.ReplaceAll(head("200 OK", sized("fine"))+"\r\n", "\r\n", "\n") + "fine", "fine", plain},
		{"heads before the answer's", "HTTP/1.1 102 Processing\r\n\r\n" + head("103 Early Hints", "") + "\r\n" + head("200 OK", sized("fine")) + "\r\nfine", "fine", plain},
		{"chunks", head("200 OK", inChunks) + "\r\n4\r\nfine\r\n0\r\n\r\n", "fine", plain},
		{"chunks and a trailer", head("200 OK", inChunks) + "\r\n2;x=y\r\nfi\r\n02\r\nne\r\n0\r\nX-More: a\r\nX-More: b\r\n\r\n", "fine", plain},
		{"stream with a length", head("200 OK", events+sized(twoEvents)) + "\r\n" + twoEvents, twoEvents, streams},
		{"stream in chunks", head("200 OK", events+inChunks) + "\r\n" + eventChunks, twoEvents + "\n", streams},
	}
	d := deploy(t, generous)
	d.configureWith(1, sample.Unhurried)
	var answers sync.Map // by request
	answer := func(request, _ string) written {
		w, _ := answers.Load(request)
		return w.(written)
	}
	app, llm := d.addWriter("i-1", "app", answer), d.addWriter("e-1", "llm", answer)
	d.settle(1, 2)
	var group sync.WaitGroup
	for i, c := range cases {
		for j, path := range c.paths {
			for _, then := range []ending{closes, resets} {
				group.Go(func() {
					for cut, length := 0, 1; cut <= length; cut++ {
						id := fmt.Sprintf("%02d%d%d%05d", i, j, then, cut)
						text := strings.ReplaceAll(c.text, "ID", id)
						length = len(text)
						whole := cut == length
						if whole {
							then = keeps
						}
						answers.Store(id, written{text[:cut], then})
						got := d.send("POST", path, id, "k1", id)
						sent := app.ran(id)+llm.ran(id) > 0
						looksWhole := got.err == nil && got.status/100 == 2
						if !sent || looksWhole != whole || whole && got.body != c.body {
							t.Errorf("%s, %s, ending %d, sent %v: %q gives %d %q, %v", c.name, path, then, sent, text[:cut], got.status, got.body, got.err)
							return
						}
					}
				})
			}
		}
	}
	group.Wait()
}

// endless is an answer that doesn't state where it ends, and the status that a caller gets from
// a server that writes it and closes the connection, or resets it.
type endless struct {
	name, method, path, status, body string
	then                             ending
	want                             int
}

// expectEndless sends for each answer a request to servers that all write it, and others that
// one of two servers answers in full.
func expectEndless(t *testing.T, hedge float64, cases []endless) {
	d := deployWith(t, func(front *Front) {
		front.Hedge = hedge
		generous(front.Node)
	})
	d.configureWith(1, sample.Unhurried)
	answer := func(request, server string) written {
		c := cases[int(request[0]-'a')]
		if server == "i-2" && !strings.HasSuffix(request, "alone") {
			return written{strings.ReplaceAll(head("200 OK", sized("fine"))+"\r\nfine", "ID", request), keeps}
		}
		return written{strings.ReplaceAll(head(c.status, "")+"\r\n", "ID", request) + c.body, c.then}
	}
	servers := []*backend{d.addWriter("i-1", "app", answer), d.addWriter("i-2", "app", answer), d.addWriter("e-1", "llm", answer)}
	d.settle(1, len(servers))
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			send := func(id string) answered {
				got := d.do(d.request(t.Context(), c.method, c.path, id, "k1", id))
				runs := 0
				for _, server := range servers {
					runs += server.ran(id)
				}
				require.Positive(t, runs)
				return got
			}
			got := send(fmt.Sprintf("%calone", 'a'+i))
			require.Equal(t, c.want, got.status, "%q", got.body)
			if c.want/100 == 2 {
				require.NoError(t, got.err)
				require.Equal(t, c.body, got.body)
			}
			if c.path != "/read/" || c.want != http.StatusBadGateway {
				return
			}
			for n := range 6 {
				got := send(fmt.Sprintf("%c%d", 'a'+i, n))
				require.Equal(t, http.StatusOK, got.status)
				require.Equal(t, "fine", got.body, "the other server's answer")
			}
		})
	}
}

// Guards against a head that states no end, and a close, that reach the caller as an empty answer.
func TestHeadAloneIsNoSuccess(t *testing.T) {
	for _, hedge := range []float64{0, 0.2} {
		expectEndless(t, hedge, []endless{
			{"idempotent", "GET", "/read/", "200 OK", "", closes, http.StatusBadGateway},
			{"idempotent, created", "POST", "/read/", "201 Created", "", closes, http.StatusBadGateway},
			{"once", "POST", "/book/", "200 OK", "", closes, http.StatusBadGateway},
		})
	}
}

// Guards against answers that are whole, though they state no end, and count as cut, and the
// other way round.
func TestAnswersThatStateNoEnd(t *testing.T) {
	long := strings.Repeat("x", 300<<10)
	for _, hedge := range []float64{0, 0.2} {
		expectEndless(t, hedge, []endless{
			{"a body", "GET", "/read/", "200 OK", "fine", closes, http.StatusOK},
			{"a body, reset", "GET", "/read/", "200 OK", "fine", resets, http.StatusBadGateway},
			{"a long body", "GET", "/read/", "200 OK", long, closes, http.StatusOK},
			{"no body, reset", "GET", "/read/", "200 OK", "", resets, http.StatusBadGateway},
			{"no body, once, reset", "POST", "/book/", "200 OK", "", resets, http.StatusBadGateway},
			{"stream without an event", "POST", "/long/", "200 OK", "", closes, http.StatusBadGateway},
			{"stream without an event, once", "POST", "/short/", "200 OK", "", closes, http.StatusBadGateway},
			{"HEAD", "HEAD", "/read/", "200 OK", "", closes, http.StatusOK},
			{"no content", "POST", "/book/", "204 No Content", "", closes, http.StatusNoContent},
			{"not modified", "GET", "/read/", "304 Not Modified", "", closes, http.StatusNotModified},
			{"redirect", "GET", "/read/", "302 Found", "", closes, http.StatusFound},
			{"refusal", "GET", "/read/", "404 Not Found", "", closes, http.StatusNotFound},
			{"failure", "POST", "/book/", "500 Internal Server Error", "", closes, http.StatusInternalServerError},
		})
	}
}

// Guards against an answer to HEAD that states another length than its server's.
func TestAnswerToHeadStatesItsServersLength(t *testing.T) {
	cases := []struct {
		name, field string
		want        int64
	}{{"a length", sized("fine"), 4}, {"no bytes", sized(""), 0}, {"no length", "", -1}, {"chunks", inChunks, -1}}
	d := deploy(t)
	d.configure(1, "k1")
	d.addWriter("i-1", "app", func(request, _ string) written {
		return written{strings.ReplaceAll(head("200 OK", cases[request[0]-'a'].field)+"\r\n", "ID", request), keeps}
	})
	d.settle(1, 1)
	for i, c := range cases {
		request := d.request(t.Context(), http.MethodHead, "/read/", fmt.Sprintf("%chead", 'a'+i), "k1", "")
		transport := &http.Transport{DisableKeepAlives: true}
		response, err := transport.RoundTrip(request)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, http.StatusOK, response.StatusCode, c.name)
		require.Equal(t, c.want, response.ContentLength, c.name)
	}
}
