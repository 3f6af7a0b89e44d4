package world

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

func init() { cases["halfclose"] = halfclose }

// raw returns the bytes of a request.
func (w *world) raw(kind, id string, deadlineMs int) string {
	extra := ""
	if kind == "sheet" || kind == "ask" {
		extra = "Model: m\r\nToken-Usage: 600,40\r\nPrefix-Hash: 5c1e07a2:200,91bd3f06:400\r\n"
	}
	return fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: %d\r\n%sContent-Length: 3\r\n\r\nlot",
		kind, callerHost, id, callerKey, deadlineMs, extra)
}

// streamEvents answers with a stream.
func streamEvents(rw http.ResponseWriter, r *http.Request, id string, n int, gap time.Duration) {
	rw.Header().Set("Response-Seal", "seal."+id)
	rw.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= n; i++ {
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: piece %d of %d\n\n", i, i, n)
		if http.NewResponseController(rw).Flush() != nil || r.Context().Err() != nil {
			return
		}
		time.Sleep(gap)
	}
}

// halfclose has callers close the sending side of their channel once their request is sent,
// and read on.
func halfclose(record string) (*world, error) {
	const events, gap = 10, 50 * time.Millisecond
	w, err := small(record, 1)
	if err != nil {
		return w, err
	}
	for _, r := range w.replicas {
		r.work = 100 * time.Millisecond
		if r.service == "pool" {
			r.handle = func(rw http.ResponseWriter, q *http.Request, _ []byte) bool {
				streamEvents(rw, q, q.Header.Get("Request-Id"), events, gap)
				return true
			}
		}
	}
	for n, c := range []struct {
		kind  string
		after time.Duration // from the request to the close of the sending side
	}{{"book", 0}, {"book", 50 * time.Millisecond}, {"ask", 0}, {"ask", 250 * time.Millisecond}, {"sheet", 250 * time.Millisecond}} {
		if err := w.halfClosed(fmt.Sprintf("%s-%d", c.kind, n), c.kind, c.after, events); err != nil {
			return w, err
		}
	}
	return w, nil
}

// halfClosed sends one request and judges its answer: a success is the replica's, and whole.
func (w *world) halfClosed(id, kind string, after time.Duration, events int) error {
	conn, err := net.Dial("tcp", w.fronts[0].address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, w.raw(kind, id, 3000)); err != nil {
		return err
	}
	w.note("caller sends %s", id)
	time.Sleep(after)
	if w.trouble {
		_ = conn.(*net.TCPConn).CloseWrite()
		w.note("caller closes the sending side of its channel")
	}
	_ = conn.SetReadDeadline(time.Now().Add(4 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		w.note("caller %s: no answer: %v; ran %d times", id, err, w.ran(id))
		return nil
	}
	body, err := io.ReadAll(response.Body)
	seal := response.Header.Get("Response-Seal")
	got := strings.Count(string(body), "data:")
	w.note("caller %s: %d seal=%q %d bytes, %d events, whole=%v; ran %d times", id, response.StatusCode, seal, len(body), got, err == nil, w.ran(id))
	switch {
	case response.StatusCode != http.StatusOK || err != nil:
	case seal == "":
		w.fault("MIXED: %s got a success without the replica's seal; it ran %d times", id, w.ran(id))
	case kind != "book" && got < events:
		w.fault("ORDER: %s ended as complete after %d of %d events", id, got, events)
	}
	return nil
}
