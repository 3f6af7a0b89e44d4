package world

import (
	"fmt"
	"io"
	"net"
	"time"
)

func init() { cases["smuggle"] = smuggle }

// smuggle has a caller send requests that state both a length and chunks, with another
// request within what the length says is their body.
func smuggle(record string) (*world, error) {
	w, err := small(record, 1)
	if err != nil {
		return w, err
	}
	const both = "Content-Length: %d\r\nTransfer-Encoding: chunked\r\n"
	const options = "OPTIONS * HTTP/1.1\r\nHost: " + callerHost + "\r\n\r\n"
	for _, v := range []struct{ name, before, framing string }{
		{"plain", "", both},
		{"folded", "", "Content-Length:\r\n %d\r\nTransfer-Encoding: chunked\r\n"},
		{"options", options + options, both},
	} {
		if !w.trouble {
			v.framing = "Content-Length: %d\r\n"
		}
		if err := w.smuggled(v.name, v.before, v.framing); err != nil {
			return w, err
		}
	}
	return w, nil
}

func bookHead(id, framing string) string {
	return fmt.Sprintf("POST /book/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: 2000\r\n%s\r\n",
		callerHost, id, callerKey, framing)
}

// smuggled sends one request with another in its body.
func (w *world) smuggled(name, before, framing string) error {
	hidden := bookHead("hidden-"+name, "Content-Length: 2\r\n") + "ab"
	body := "0\r\n\r\n" + hidden
	conn, err := net.Dial("tcp", w.fronts[0].address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	sent := before + bookHead("outer-"+name, fmt.Sprintf(framing, len(body))) + body
	if _, err := io.WriteString(conn, sent); err != nil {
		return err
	}
	w.note("caller sends %q", sent)
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	answer, _ := io.ReadAll(conn)
	w.note("caller gets %q", answer)
	if n := w.ran("hidden-" + name); n > 0 {
		w.fault("UNASKED: hidden-%s, which stood in the body of outer-%s, ran %d times", name, name, n)
	}
	return nil
}
