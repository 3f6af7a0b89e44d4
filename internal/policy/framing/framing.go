// Package framing decides where the requests of an HTTP/1.1 connection begin and end,
// before a parser sees them. What two readers could take in two ways is refused, so that
// no request can stand inside another one, and all that a caller may send besides a body
// is bounded (RFC 9112, sections 2, 5, 6, 7 and 11).
package framing

import (
	"bytes"

	"github.com/pkg/errors"
)

// The reasons for which a connection is refused. All refusals match one of them.
var (
	// ErrMalformed is for what can't be followed or could be read in two ways.
	ErrMalformed = errors.New("malformed request")
	// ErrTooLarge is for a head above its limits.
	ErrTooLarge = errors.New("head too large")
	// ErrVersion is for another major version of HTTP.
	ErrVersion = errors.New("version not supported")
)

// The refusals. Each has its own words for the log.
var (
	errEmptyLines     = errors.WithMessage(ErrMalformed, "empty lines before a request")
	errBareCR         = errors.WithMessage(ErrMalformed, "bare CR")
	errBareLF         = errors.WithMessage(ErrMalformed, "bare LF")
	errRequestLine    = errors.WithMessage(ErrMalformed, "request line")
	errTarget         = errors.WithMessage(ErrMalformed, "request target")
	errMethod         = errors.WithMessage(ErrMalformed, "method")
	errHeadBytes      = errors.WithMessage(ErrTooLarge, "bytes")
	errHeadLines      = errors.WithMessage(ErrTooLarge, "lines")
	errFolded         = errors.WithMessage(ErrMalformed, "folded line")
	errName           = errors.WithMessage(ErrMalformed, "field name")
	errValue          = errors.WithMessage(ErrMalformed, "field value")
	errLength         = errors.WithMessage(ErrMalformed, "Content-Length")
	errCoding         = errors.WithMessage(ErrMalformed, "Transfer-Encoding")
	errBoth           = errors.WithMessage(ErrMalformed, "both Content-Length and Transfer-Encoding")
	errChunkSize      = errors.WithMessage(ErrMalformed, "chunk size")
	errChunkExtension = errors.WithMessage(ErrMalformed, "chunk extension")
	errChunkEnd       = errors.WithMessage(ErrMalformed, "end of a chunk")
	errChunkOverhead  = errors.WithMessage(ErrMalformed, "too much besides the data of chunks")
	errTrailer        = errors.WithMessage(ErrMalformed, "trailer")
)

const (
	// maxChunkLine bounds the line before a chunk, bytes.
	maxChunkLine = 256
	// maxTrailer bounds a trailer, bytes; net/http reads no longer one.
	maxTrailer = 4000
	// maxEmpty bounds the empty lines before a request, bytes. One is usual, by callers
	// that end a body with a line of its own.
	maxEmpty = 64
	// maxDigits bounds a chunk's size, so that it can't overflow.
	maxDigits = 15
	// freeOverhead and overheadShare bound what stands around the data of chunks, bytes
	// and bytes for each byte of data. Chunks of one byte without extensions need 5 for
	// each and pass; so long a body is bounded by its data.
	freeOverhead  = 8 << 10
	overheadShare = 5
)

// Limits bound a request's head. Zero is for no limit.
type Limits struct {
	HeadBytes int // from the first line's beginning to the empty line's end
	HeadLines int // header lines
}

// phase is what a connection's next bytes belong to.
type phase uint8

const (
	before phase = iota // a request that has not begun
	head
	body // of a stated length
	chunkLine
	chunk
	chunkEnd
	trailer
	done
)

// Machine follows the bytes of one connection. The zero value stands before the first
// request and has no limits.
type Machine struct {
	limits Limits
	phase  phase

	empty    int   // bytes of empty lines before the request
	line     int   // where the head's line under way begins
	searched int   // bytes of the head without an end of that line
	lines    int   // of the head that have ended, with the first one
	size     int   // of the head that has ended, bytes
	old      bool  // the request is of HTTP/1.0
	sized    bool  // a length was stated
	chunked  bool  // a chunked body was stated
	left     int64 // bytes of the body or the chunk
	overhead int64 // bytes around the data of the chunks, less what they allow
	tail     int   // bytes of the trailer
}

// Begin goes on to the next request, under limits. The one before must be done.
func (m *Machine) Begin(limits Limits) { *m = Machine{limits: limits} }

// Begun says whether the request's head has begun and not ended.
func (m *Machine) Begun() bool { return m.phase == head }

// Waiting says whether no head has begun.
func (m *Machine) Waiting() bool { return m.phase == before }

// Done says whether the whole request has passed.
func (m *Machine) Done() bool { return m.phase == done }

// Head returns the bytes and header lines of the request's head once it has ended.
func (m *Machine) Head() (size, lines int) { return m.size, max(m.lines-1, 0) }

// Next takes in what has come of the connection and has not passed: how many bytes are
// to be dropped, and how many after these pass on to the parser. What is left has to come
// again, with more behind it. A head passes only as a whole. Nothing passes after the
// end of a request until Begin. After an error, nothing more may pass.
func (m *Machine) Next(data []byte) (drop, pass int, err error) {
	if m.phase == before {
		if drop, err = m.skipEmpty(data); err != nil || m.phase == before {
			return drop, 0, err
		}
		data = data[drop:]
	}
	if m.phase == head {
		if pass, err = m.takeHead(data); err != nil || pass == 0 {
			return drop, 0, err
		}
	}
	for err == nil && m.phase != done && pass < len(data) {
		n := 0
		n, err = m.takeBody(data[pass:])
		if n == 0 && err == nil {
			break
		}
		pass += n
	}
	return drop, pass, err
}

func (m *Machine) skipEmpty(data []byte) (drop int, err error) {
	for len(data) > drop {
		switch data[drop] {
		case '\n':
			return drop, errBareLF
		case '\r':
			if len(data) == drop+1 {
				return drop, nil
			}
			if data[drop+1] != '\n' {
				return drop, errBareCR
			}
			drop += 2
			if m.empty += 2; m.empty > maxEmpty {
				return drop, errEmptyLines
			}
		default:
			m.phase = head
			return drop, nil
		}
	}
	return drop, nil
}

// takeHead takes in a head from its beginning on. It returns its size, or zero while its
// end has not come.
func (m *Machine) takeHead(data []byte) (int, error) {
	for {
		at := bytes.IndexByte(data[m.searched:], '\n')
		if at < 0 {
			m.searched = len(data)
			return 0, m.checkHead(len(data))
		}
		end := m.searched + at + 1
		if err := m.checkHead(end); err != nil {
			return 0, err
		}
		line := data[m.line : end-1]
		if len(line) == 0 || line[len(line)-1] != '\r' {
			return 0, errBareLF
		}
		line = line[:len(line)-1]
		m.line, m.searched = end, end
		if len(line) == 0 {
			m.size = end
			return end, m.endHead()
		}
		if err := m.takeLine(line); err != nil {
			return 0, err
		}
		m.lines++
	}
}

// checkHead checks a head of which so many bytes have come.
func (m *Machine) checkHead(size int) error {
	if m.limits.HeadBytes > 0 && size > m.limits.HeadBytes {
		return errHeadBytes
	}
	if m.limits.HeadLines > 0 && m.lines > m.limits.HeadLines+1 {
		return errHeadLines
	}
	return nil
}

// endHead takes in the end of a head.
func (m *Machine) endHead() error {
	switch {
	case m.chunked && m.sized:
		return errBoth
	case m.chunked && m.old:
		return errCoding
	case m.chunked:
		m.phase = chunkLine
	case m.left > 0:
		m.phase = body
	default:
		m.phase = done
	}
	return nil
}

// takeBody takes in bytes behind a head. It returns how many pass; zero while a line that
// has to pass as a whole has no end.
func (m *Machine) takeBody(data []byte) (int, error) {
	switch m.phase {
	case body:
		n := m.skip(data)
		if m.left == 0 {
			m.phase = done
		}
		return n, nil
	case chunk:
		n := m.skip(data)
		if m.left == 0 {
			m.phase = chunkEnd
		}
		return n, nil
	case chunkEnd:
		if data[0] != '\r' || len(data) > 1 && data[1] != '\n' {
			return 0, errChunkEnd
		}
		if len(data) == 1 {
			return 0, nil
		}
		m.phase = chunkLine
		return 2, nil
	case chunkLine:
		line, n, err := nextLine(data, maxChunkLine, errChunkExtension)
		if err != nil || n == 0 {
			return 0, err
		}
		return n, m.beginChunk(line, n)
	default:
		line, n, err := nextLine(data, maxTrailer-m.tail, errTrailer)
		if err != nil || n == 0 {
			return 0, err
		}
		m.tail += n
		return n, m.takeTrailer(line)
	}
}

func (m *Machine) skip(data []byte) int {
	n := min(m.left, int64(len(data)))
	m.left -= n
	return int(n)
}

// nextLine returns the line at the beginning of data and its length with its end, which is
// zero while the end has not come. One longer than the limit is refused with tooLong.
func nextLine(data []byte, limit int, tooLong error) (line []byte, n int, err error) {
	at := bytes.IndexByte(data[:min(len(data), max(limit, 0))], '\n')
	switch {
	case at < 0 && len(data) >= limit:
		return nil, 0, tooLong
	case at < 0:
		return nil, 0, nil
	case at == 0 || data[at-1] != '\r':
		return nil, 0, errBareLF
	}
	return data[:at-1], at + 1, nil
}

// beginChunk takes in the line before a chunk, which has so many bytes with its end.
func (m *Machine) beginChunk(line []byte, size int) error {
	digits, extension, extended := bytes.Cut(line, []byte(";"))
	if len(digits) == 0 || len(digits) > maxDigits {
		return errChunkSize
	}
	n := int64(0)
	for _, c := range digits {
		digit := hexDigit(c)
		if digit < 0 {
			return errChunkSize
		}
		n = n<<4 | int64(digit)
	}
	if extended && !isExtension(extension) {
		return errChunkExtension
	}
	m.overhead = max(m.overhead+int64(size)+2-overheadShare*n, 0)
	switch {
	case m.overhead > freeOverhead:
		return errChunkOverhead
	case n == 0:
		m.phase = trailer
	default:
		m.phase, m.left = chunk, n
	}
	return nil
}

// takeTrailer takes in a trailer's line.
func (m *Machine) takeTrailer(line []byte) error {
	if len(line) == 0 {
		m.phase = done
		return nil
	}
	name, _, err := splitField(line)
	if err != nil {
		return err
	}
	for _, framing := range []string{nameLength, nameCoding, "Host", "Trailer"} {
		if equalFold(name, framing) {
			return errTrailer
		}
	}
	return nil
}
