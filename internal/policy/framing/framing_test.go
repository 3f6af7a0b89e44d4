package framing

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chicoryrock/chicoryrock/internal/standin/property"
)

func TestMain(m *testing.M) { property.Run(m, property.Size{}) }

var testLimits = Limits{HeadBytes: 300, HeadLines: 12}

// follow feeds a machine with data in pieces of a size. It returns the ends of the requests
// in data, and what ended it.
func follow(data []byte, piece int) (ends []int, err error) {
	var m Machine
	m.Begin(testLimits)
	from, to := 0, 0
	for to < len(data) {
		to = min(to+piece, len(data))
		for {
			drop, pass, err := m.Next(data[from:to])
			from += drop + pass
			if err != nil {
				return ends, err
			}
			if !m.Done() {
				break
			}
			ends = append(ends, from)
			m.Begin(testLimits)
		}
	}
	return ends, nil
}

const (
	post  = "POST /a HTTP/1.1\r\nHost: h\r\n"
	plain = "GET /b HTTP/1.1\r\nHost: h\r\n\r\n"
)

// errOpen stands for a request that is right so far and has no end.
var errOpen = errors.New("open")

// Guards against requests that another reader would end elsewhere. The forms are those of
// RFC 9112, by section.
func TestForms(t *testing.T) {
	chunked := post + "Transfer-Encoding: chunked\r\n\r\n"
	cases := []struct {
		section, name, text string
		want                error // nil: the request passes and ends where the text does
	}{
		{"2.2", "empty lines before", "\r\n\r\n" + plain, nil},
		{"2.2", "empty lines without end", strings.Repeat("\r\n", 100), errEmptyLines},
		{"2.2", "bare LF before", "\n" + plain, errBareLF},
		{"2.2", "bare CR before", "\rx" + plain, errBareCR},
		{"2.2", "bare LF ends the first line", "GET / HTTP/1.1\nHost: h\r\n\r\n", errBareLF},
		{"2.2", "bare LF ends a field", "GET / HTTP/1.1\r\nHost: h\n\r\n", errBareLF},
		{"2.2", "bare LF ends the head", "GET / HTTP/1.1\r\nHost: h\r\n\n", errBareLF},
		{"2.2", "bare CR in a value", post + "A: b\rc\r\n\r\n", errBareCR},
		{"2.2", "bare CR in the first line", "GET /\r HTTP/1.1\r\n\r\n", errBareCR},
		{"2.2", "space before the first field", "GET / HTTP/1.1\r\n Host: h\r\n\r\n", errFolded},
		{"2.3", "HTTP/1.0", "GET / HTTP/1.0\r\n\r\n", nil},
		{"2.3", "HTTP/1.7", "GET / HTTP/1.7\r\nHost: h\r\n\r\n", nil},
		{"2.3", "HTTP/2.0", "GET / HTTP/2.0\r\n\r\n", ErrVersion},
		{"2.3", "lower case", "GET / http/1.1\r\n\r\n", errRequestLine},
		{"2.3", "no version", "GET /\r\n\r\n", errRequestLine},
		{"2.3", "longer version", "GET / HTTP/1.11\r\n\r\n", errRequestLine},
		{"3", "two spaces", "GET  / HTTP/1.1\r\n\r\n", errRequestLine},
		{"3", "tabs", "GET\t/\tHTTP/1.1\r\n\r\n", errRequestLine},
		{"3", "space at the end", "GET / HTTP/1.1 \r\n\r\n", errRequestLine},
		{"3.1", "method", "G(T / HTTP/1.1\r\n\r\n", errMethod},
		{"3.2", "absolute form", "GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n", nil},
		{"3.2", "authority form", "CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n", errTarget},
		{"3.2", "asterisk form", "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", errTarget},
		{"3.2", "control in the target", "GET /\x01 HTTP/1.1\r\n\r\n", errTarget},
		{"5.1", "space before the colon", post + "A : b\r\n\r\n", errName},
		{"5.1", "no colon", post + "A\r\n\r\n", errName},
		{"5.1", "no name", post + ": b\r\n\r\n", errName},
		{"5.1", "no value", post + "A:\r\n\r\n", nil},
		{"5.1", "spaces around the value", post + "Content-Length: \t 2 \t\r\n\r\nhi", nil},
		{"5.5", "NUL in a value", post + "A: b\x00\r\n\r\n", errValue},
		{"5.2", "folded value", post + "A: b\r\n c\r\n\r\n", errFolded},
		{"5.2", "folded length", post + "Content-Length: 3\r\n 4\r\n\r\nabc", errFolded},
		{"5.2", "length on the next line", post + "Content-Length:\r\n 3\r\n\r\nabc", errLength},
		{"6.1", "chunked", chunked + "3\r\nabc\r\n0\r\n\r\n", nil},
		{"6.1", "chunked in capitals", post + "TRANSFER-ENCODING: CHUNKED\r\n\r\n0\r\n\r\n", nil},
		{"6.1", "another coding", post + "Transfer-Encoding: gzip\r\n\r\n", errCoding},
		{"6.1", "list that ends with chunked", post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", errCoding},
		{"6.1", "list that doesn't end with it", post + "Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n", errCoding},
		{"6.1", "identity", post + "Transfer-Encoding: identity\r\n\r\n", errCoding},
		{"6.1", "with a parameter", post + "Transfer-Encoding: chunked;a=b\r\n\r\n0\r\n\r\n", errCoding},
		{"6.1", "empty coding", post + "Transfer-Encoding:\r\n\r\n", errCoding},
		{"6.1", "chunked twice", post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", errCoding},
		{"6.1", "HTTP/1.0", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", errCoding},
		{"6.1", "vertical tab", post + "Transfer-Encoding: \x0bchunked\r\n\r\n0\r\n\r\n", errValue},
		{"6.1", "odd name", post + "Transfer_Encoding: chunked\r\n\r\n", nil},
		{"6.2", "length", post + "Content-Length: 5\r\n\r\nhello", nil},
		{"6.2", "zeros before", post + "Content-Length: 0005\r\n\r\nhello", nil},
		{"6.2", "too little of the body", post + "Content-Length: 5\r\n\r\nhell", errOpen},
		{"6.2", "no digits", post + "Content-Length: x\r\n\r\n", errLength},
		{"6.2", "empty", post + "Content-Length:\r\n\r\n", errLength},
		{"6.2", "minus", post + "Content-Length: -1\r\n\r\n", errLength},
		{"6.2", "plus", post + "Content-Length: +1\r\n\r\nx", errLength},
		{"6.2", "hexadecimal", post + "Content-Length: 0x1\r\n\r\nx", errLength},
		{"6.2", "underscore", post + "Content-Length: 1_0\r\n\r\n0123456789", errLength},
		{"6.2", "above 63 bits", post + "Content-Length: 9223372036854775808\r\n\r\n", errLength},
		{"6.2", "above 64 bits", post + "Content-Length: 18446744073709551621\r\n\r\n", errLength},
		{"6.3", "no body", "POST /a HTTP/1.1\r\nHost: h\r\n\r\n", nil},
		{"6.3", "length zero", post + "Content-Length: 0\r\n\r\n", nil},
		{"6.3", "both", post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", errBoth},
		{"6.3", "both, the other way round", post + "Transfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\n0\r\n\r\n", errBoth},
		{"6.3", "the same length twice", post + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello", errLength},
		{"6.3", "two lengths", post + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!", errLength},
		{"6.3", "list of lengths", post + "Content-Length: 5, 5\r\n\r\nhello", errLength},
		{"7.1", "digits of both cases", chunked + "a\r\n0123456789\r\nA\r\n0123456789\r\n00\r\n\r\n", nil},
		{"7.1", "no size", chunked + "\r\n\r\n", errChunkSize},
		{"7.1", "size that is none", chunked + "zz\r\n", errChunkSize},
		{"7.1", "size with a prefix", chunked + "0x3\r\nabc\r\n0\r\n\r\n", errChunkSize},
		{"7.1", "size with a sign", chunked + "-3\r\n", errChunkSize},
		{"7.1", "size that overflows", chunked + "10000000000000003\r\nabc\r\n", errChunkSize},
		{"7.1", "space behind the size", chunked + "3 \r\nabc\r\n0\r\n\r\n", errChunkSize},
		{"7.1", "bare LF behind the size", chunked + "3\nabc\r\n0\r\n\r\n", errBareLF},
		{"7.1", "chunk longer than its size", chunked + "3\r\nabcd\r\n0\r\n\r\n", errChunkEnd},
		{"7.1", "bare LF behind a chunk", chunked + "3\r\nabc\n0\r\n\r\n", errChunkEnd},
		{"7.1", "no end", chunked + "3\r\nabc\r\n", errOpen},
		{"7.1", "chunks of one byte", chunked + strings.Repeat("1\r\nx\r\n", 5000) + "0\r\n\r\n", nil},
		{"7.1.1", "extensions", chunked + "3;a;b=c;d=\"e;\\\"f\"\r\nabc\r\n0;g\r\n\r\n", nil},
		{"7.1.1", "empty extension", chunked + "3;\r\nabc\r\n0\r\n\r\n", errChunkExtension},
		{"7.1.1", "spaces around", chunked + "3 ;a\r\nabc\r\n0\r\n\r\n", errChunkSize},
		{"7.1.1", "string without end", chunked + "3;a=\"\r\nabc\r\n0\r\n\r\n", errChunkExtension},
		{"7.1.1", "line break in a string", chunked + "3;a=\"\nb\"\r\nabc\r\n0\r\n\r\n", errBareLF},
		{"7.1.1", "bare CR", chunked + "3;a\rb\r\nabc\r\n0\r\n\r\n", errChunkExtension},
		{"7.1.1", "extension without end", chunked + "3;" + strings.Repeat("a", 300), errChunkExtension},
		{"7.1.1", "many extensions", chunked + strings.Repeat("1;abcdefgh\r\nx\r\n", 2000), errChunkOverhead},
		{"7.1.2", "trailer", chunked + "0\r\nEnd: 1\r\n\r\n", nil},
		{"7.1.2", "length in the trailer", chunked + "0\r\nContent-Length: 1\r\n\r\n", errTrailer},
		{"7.1.2", "coding in the trailer", chunked + "0\r\nTransfer-Encoding: chunked\r\n\r\n", errTrailer},
		{"7.1.2", "folded trailer", chunked + "0\r\nA: b\r\n c\r\n\r\n", errFolded},
		{"7.1.2", "trailer without end", chunked + "0\r\n" + strings.Repeat("A: b\r\n", 1000), errTrailer},
		{"11.2", "request in a sized body", post + "Content-Length: 28\r\n\r\n" + plain, nil},
		{"11.2", "request in a chunk", chunked + "1c\r\n" + plain + "\r\n0\r\n\r\n", nil},
		{"11.1", "line break in a value", post + "A: b\nC: d\r\n\r\n", errBareLF},
		{"limits", "first line without end", "GET /" + strings.Repeat("x", 300), errHeadBytes},
		{"limits", "value without end", post + "A: " + strings.Repeat("x", 300), errHeadBytes},
		{"limits", "head above the limit", post + "A: " + strings.Repeat("x", 300) + "\r\n\r\n", errHeadBytes},
		{"limits", "lines", post + strings.Repeat("A:\r\n", 12) + "\r\n", errHeadLines},
		{"limits", "as many lines as may be", post + strings.Repeat("A:\r\n", 11) + "\r\n", nil},
	}
	require.Len(t, plain, 28)
	for _, c := range cases {
		for _, piece := range []int{1, 7, 1 << 20} {
			ends, err := follow([]byte(c.text), piece)
			switch {
			case c.want == nil:
				require.NoError(t, err, "%s %s", c.section, c.name)
				require.Equal(t, []int{len(c.text)}, ends, "%s %s", c.section, c.name)
			case errors.Is(c.want, errOpen):
				require.NoError(t, err, "%s %s", c.section, c.name)
				require.Empty(t, ends, "%s %s", c.section, c.name)
			default:
				require.Equal(t, c.want, err, "%s %s", c.section, c.name)
				require.Empty(t, ends, "%s %s", c.section, c.name)
			}
		}
	}
}

// Guards against a place in a connection that depends on how its bytes come.
func TestRequestsComeInPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		forms := []string{plain, post + "Content-Length: 12\r\n\r\nPOST /b\r\n\r\nx", post + "content-length: 0\r\n\r\n",
			post + "Transfer-Encoding: chunked\r\n\r\n5;x=1\r\nhe\r\nl\r\nA\r\n0123456789\r\n0\r\nEnd: 1\r\n\r\n"}
		requests := rapid.SliceOfN(rapid.SampledFrom(forms), 0, 6).Draw(t, "requests")
		var want []int
		data := ""
		for _, request := range requests {
			data += request
			want = append(want, len(data))
		}
		got, err := follow([]byte(data), rapid.IntRange(1, 90).Draw(t, "piece"))
		require.NoError(t, err)
		require.Equal(t, want, got)
	})
}

// Guards against a request that net/http ends elsewhere: whatever a caller sends, what both
// accept ends at the same byte.
func FuzzAgainstStrictReader(f *testing.F) {
	for _, seed := range []string{
		plain + plain, "\r\n" + post + "Content-Length: 2\r\n\r\nhi" + plain,
		post + "Transfer-Encoding: chunked\r\n\r\n5;x=1\r\nhello\r\n0\r\nEnd: 1\r\n\r\n" + plain,
		post + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n", "POST / HTTP/1.0\r\nContent-Length: 9223372036854775807\r\n\r\n",
		post + "Content-Length:\r\n 3\r\n\r\nabc", "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		f.Add([]byte(seed), 3)
	}
	f.Fuzz(func(t *testing.T, data []byte, piece int) {
		ends, refused := follow(data, len(data)+1)
		again, refusedAgain := follow(data, max(piece, 1))
		require.Equal(t, ends, again)
		require.Equal(t, refused, refusedAgain)
		agrees(t, data, ends)
	})
}

// agrees checks that net/http ends requests in data where the machine does, as far as it
// accepts them.
func agrees(t require.TestingT, data []byte, ends []int) {
	begin := 0
	for _, end := range ends {
		for bytes.HasPrefix(data[begin:], []byte("\r\n")) {
			begin += 2
		}
		source := bytes.NewReader(data[begin:])
		reader := bufio.NewReaderSize(source, 16<<10)
		request, err := http.ReadRequest(reader)
		if err != nil {
			return // it ends the connection
		}
		_, err = io.Copy(io.Discard, request.Body)
		require.NoError(t, err, "a body passes that net/http refuses: %q", data)
		require.Equal(t, end, len(data)-source.Len()-reader.Buffered(), "%q", data)
		begin = end
	}
}

// Guards against the same as the fuzz test, with connections that are made of lines that
// matter and reach further into bodies.
func TestAgreesWithStrictReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.SampledFrom([]string{
			plain, post, "POST /a HTTP/1.0\r\n", "Content-Length: 5\r\n", "Content-Length: 28\r\n", "content-length: 0\r\n", "Content-Length:\r\n",
			"Transfer-Encoding: chunked\r\n", "Transfer-Encoding:chunked\t\r\n", "Transfer-Encoding: x\r\n", " 5\r\n", "A: b\r\n", "A : b\r\n",
			"Trailer: End\r\n", "End: 1\r\n", "\r\n", "\r\n", "\r\n", "\n", "\r", "hello", "5\r\n", "5;x\r\n", "5;x=\"\r\n", "1c\r\n", "0\r\n", "0\r\n\r\n", "05\r\nhello\r\n",
		}), 1, 14).Draw(t, "parts")
		data := []byte(post + strings.Join(parts, ""))
		ends, _ := follow(data, rapid.IntRange(1, 300).Draw(t, "piece"))
		agrees(t, data, ends)
	})
}
