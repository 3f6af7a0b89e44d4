package front

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chicoryrock/chicoryrock/internal/standin/property"
)

func TestMain(m *testing.M) { property.Run(m, property.Size{}) }

// The requests of which a connection is made up, by what their bodies are like.
const (
	plainRequest   = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
	sizedRequest   = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 12\r\n\r\nPOST /b\r\n\r\nx"
	emptyRequest   = "POST /a HTTP/1.1\r\ncontent-length: 0\r\n\r\n"
	chunkedRequest = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;x=1\r\nhe\r\nl\r\nA\r\n0123456789\r\n0\r\nEnd: 1\r\n\r\n"
	clashRequest   = "POST /a HTTP/1.1\r\nTRANSFER-ENCODING: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n"
)

func TestFramesFindAClash(t *testing.T) {
	cases := []struct {
		name string
		text string
		want int64
	}{
		{"nothing", "", 0},
		{"the first request", clashRequest, 1},
		{"behind all others", plainRequest + sizedRequest + emptyRequest + chunkedRequest + clashRequest, 5},
		{"no clash", plainRequest + sizedRequest + chunkedRequest + sizedRequest, 0},
		{"blank lines before a request", "\r\n\r\n" + clashRequest, 1},
		{"in a body", "POST /a HTTP/1.1\r\nContent-Length: 200\r\n\r\n" + clashRequest, 0},
		{"bare line feeds", strings.ReplaceAll(clashRequest, "\r\n", "\n"), 1},
		{"a length that is none", "POST /a HTTP/1.1\r\nContent-Length: x\r\n\r\n" + clashRequest, 0},
		{"a chunk that is none", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n" + clashRequest, 0},
		{"a header without an end", "POST /a HTTP/1.1\r\nX: " + strings.Repeat("x", 2*maxHeader) + "\r\n" + clashRequest, 0},
	}
	for _, c := range cases {
		var f frames
		require.Equal(t, c.want, f.scan([]byte(c.text)), c.name)
	}
}

// However a connection's bytes come, the same request is found.
func TestFramesComeInPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		requests := rapid.SliceOfN(rapid.SampledFrom([]string{plainRequest, sizedRequest, emptyRequest, chunkedRequest}), 0, 6).Draw(t, "requests")
		data := []byte(strings.Join(requests, "") + clashRequest)
		var f frames
		var found int64
		for len(data) > 0 {
			n := rapid.IntRange(1, len(data)).Draw(t, "n")
			found = max(found, f.scan(data[:n]))
			data = data[n:]
		}
		require.Equal(t, int64(len(requests)+1), found)
	})
}

// Whatever a caller sends, its framing is followed or given up on.
func FuzzFrames(f *testing.F) {
	for _, seed := range []string{plainRequest, sizedRequest, chunkedRequest, clashRequest, "POST / HTTP/1.1\r\nContent-Length: 9223372036854775807\r\n\r\n", "\r\n:\r\n"} {
		f.Add([]byte(seed), 3)
	}
	f.Fuzz(func(t *testing.T, data []byte, piece int) {
		var whole, pieces frames
		want := whole.scan(data)
		got := int64(0)
		for piece = max(1, piece); len(data) > 0; {
			n := min(piece, len(data))
			got = max(got, pieces.scan(data[:n]))
			data = data[n:]
		}
		if want != got {
			t.Errorf("%d at once, %d in pieces", want, got)
		}
	})
}
