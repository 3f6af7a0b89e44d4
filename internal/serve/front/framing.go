package front

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
)

// framedListener accepts connections whose requests' framing is looked at.
type framedListener struct{ net.Listener }

// Accept implements net.Listener.
func (l framedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &framedConn{Conn: conn}, nil
}

// framedConn finds the request that states both a length and chunks. The server's
// library takes such a body by its chunks and drops the length, so that the request
// can't be told from others once it has been read. Whoever else reads it by its
// length takes a part of it for another request, or another request for a part of it.
type framedConn struct {
	net.Conn
	frames frames
	asked  int64        // requests that were handled; one at a time is
	clash  atomic.Int64 // which one's framing clashes; zero for none so far
}

// Read implements net.Conn.
func (c *framedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if at := c.frames.scan(data[:n]); at > 0 {
		c.clash.Store(at)
	}
	return n, err
}

// clashes says whether a request states both a length and chunks. It is to be asked
// once for each request of a connection.
func clashes(r *http.Request) bool {
	conn, framed := r.Context().Value(connKey{}).(*framedConn)
	if !framed {
		return false
	}
	conn.asked++
	return conn.clash.Load() == conn.asked
}

// part is what a connection's next bytes belong to.
type part int

const (
	inHeader part = iota
	inBody
	inChunkSize
	inChunk
	inTrailer
	unfollowed // the rest is not looked at
)

// frames follows the requests of a connection through its bytes, as far as it takes
// to tell headers from bodies.
type frames struct {
	part    part
	line    []byte // the line under way
	left    int64  // bytes of the body or the chunk
	begun   bool   // the header's first line has come
	length  bool
	chunked bool
	count   int64 // headers that have ended
}

// scan takes in the next bytes. It returns the number of the request, from 1, whose
// header ended among them and states both a length and chunks, or zero.
func (f *frames) scan(data []byte) int64 {
	for len(data) > 0 && f.part != unfollowed {
		if f.part == inBody || f.part == inChunk {
			data = f.skip(data)
			continue
		}
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			f.hold(data)
			return 0
		}
		f.hold(data[:end])
		data = data[end+1:]
		line := bytes.TrimSuffix(f.line, []byte("\r"))
		f.line = f.line[:0]
		if f.take(line) {
			f.part = unfollowed
			return f.count
		}
	}
	return 0
}

// hold keeps a part of a line. One that is longer than a header may be is not
// followed: the server refuses it.
func (f *frames) hold(data []byte) {
	if len(f.line)+len(data) > maxHeader {
		f.part = unfollowed
		return
	}
	f.line = append(f.line, data...)
}

func (f *frames) skip(data []byte) []byte {
	n := min(f.left, int64(len(data)))
	f.left -= n
	if f.left == 0 {
		if f.part == inBody {
			f.part = inHeader
		} else {
			f.part = inChunkSize
		}
	}
	return data[n:]
}

// take takes in a whole line, and says whether it ends a header that states both.
func (f *frames) take(line []byte) bool {
	switch {
	case f.part == inChunkSize:
		f.chunk(line)
	case f.part == inTrailer:
		if len(line) == 0 {
			f.part = inHeader
		}
	case len(line) == 0:
		return f.begun && f.end()
	case !f.begun:
		f.begun = true
	default:
		f.field(line)
	}
	return false
}

// chunkEnd are the bytes behind a chunk.
const chunkEnd = 2

func (f *frames) chunk(line []byte) {
	size, _, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseInt(string(bytes.TrimSpace(size)), 16, 62)
	switch {
	case err != nil || n < 0:
		f.part = unfollowed
	case n == 0:
		f.part = inTrailer
	default:
		f.part, f.left = inChunk, n+chunkEnd
	}
}

func (f *frames) field(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch {
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.chunked = true
	case bytes.EqualFold(name, []byte("Content-Length")):
		n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 63)
		if err != nil {
			f.part = unfollowed
			return
		}
		f.length, f.left = true, n
	}
}

// end takes in the end of a header.
func (f *frames) end() bool {
	f.count++
	clash := f.length && f.chunked
	switch {
	case f.chunked:
		f.part = inChunkSize
	case f.length && f.left > 0:
		f.part = inBody
	}
	f.begun, f.length, f.chunked = false, false, false
	return clash
}
