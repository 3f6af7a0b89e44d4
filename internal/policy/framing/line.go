package framing

import (
	"bytes"
	"math"
)

// The fields that frame a body.
const (
	nameLength = "Content-Length"
	nameCoding = "Transfer-Encoding"
)

// versionLength is the length of "HTTP/1.1".
const versionLength = 8

// takeLine takes in a line of the head that isn't empty.
func (m *Machine) takeLine(line []byte) error {
	if m.lines == 0 {
		return m.takeRequestLine(line)
	}
	name, value, err := splitField(line)
	if err != nil {
		return err
	}
	switch {
	case equalFold(name, nameLength):
		return m.takeLength(value)
	case equalFold(name, nameCoding):
		// Only the one coding whose end can be followed, and only once.
		if m.chunked || !equalFold(value, "chunked") {
			return errCoding
		}
		m.chunked = true
	}
	return nil
}

// takeRequestLine takes in a head's first line.
func (m *Machine) takeRequestLine(line []byte) error {
	if bytes.IndexByte(line, '\r') >= 0 {
		return errBareCR
	}
	method, rest, found := bytes.Cut(line, []byte(" "))
	target, version, both := bytes.Cut(rest, []byte(" "))
	if !found || !both {
		return errRequestLine
	}
	if !isToken(method) {
		return errMethod
	}
	for _, c := range target {
		if c <= ' ' || c == 0x7f {
			return errTarget
		}
	}
	if len(version) != versionLength || string(version[:5]) != "HTTP/" || !isDigit(version[5]) || version[6] != '.' || !isDigit(version[7]) {
		return errRequestLine
	}
	if version[5] != '1' {
		return ErrVersion
	}
	// net/http answers "OPTIONS *" by itself, and what follows CONNECT need not be requests.
	if len(target) == 0 || string(target) == "*" || string(method) == "CONNECT" {
		return errTarget
	}
	m.old = version[7] == '0'
	return nil
}

// takeLength takes in the value of a Content-Length. A list, a sign or a second one is
// refused also where all figures are the same: readers differ in which they take.
func (m *Machine) takeLength(value []byte) error {
	if m.sized || len(value) == 0 {
		return errLength
	}
	m.sized = true
	for _, c := range value {
		if !isDigit(c) || m.left > (math.MaxInt64-9)/10 {
			return errLength
		}
		m.left = m.left*10 + int64(c-'0')
	}
	return nil
}

// splitField returns a header line's name, and its value without the spaces around it.
func splitField(line []byte) (name, value []byte, err error) {
	if line[0] == ' ' || line[0] == '\t' {
		return nil, nil, errFolded
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !isToken(name) {
		return nil, nil, errName
	}
	for _, c := range value {
		if !inValue[c] {
			if c == '\r' {
				return nil, nil, errBareCR
			}
			return nil, nil, errValue
		}
	}
	return name, bytes.Trim(value, " \t"), nil
}

// inToken and inValue are the bytes that a token (RFC 9110, section 5.6.2) and a field's
// value may have.
var inToken, inValue [256]bool

func init() {
	for c := range 256 {
		letter := 'a' <= c|0x20 && c|0x20 <= 'z'
		inToken[c] = letter || '0' <= c && c <= '9' || c != 0 && bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), byte(c)) >= 0
		inValue[c] = c >= ' ' && c != 0x7f || c == '\t'
	}
}

func isToken(text []byte) bool {
	for _, c := range text {
		if !inToken[c] {
			return false
		}
	}
	return len(text) > 0
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// hexDigit returns a digit's value, or a negative number.
func hexDigit(c byte) int {
	switch {
	case isDigit(c):
		return int(c - '0')
	case 'a' <= c|0x20 && c|0x20 <= 'f':
		return int(c|0x20-'a') + 10
	default:
		return -1
	}
}

// equalFold compares without regard to the case of ASCII letters. Names of other lengths,
// which is most of them, cost nothing.
func equalFold(text []byte, name string) bool {
	return len(text) == len(name) && bytes.EqualFold(text, []byte(name))
}

// isExtension says whether chunk extensions, without the first semicolon, are of the form
// that the RFC gives (section 7.1.1), without spaces: names, each with a token or a quoted
// string as its value or without one. Those are of no effect and may pass. In others,
// readers differ in where a string or the line ends.
func isExtension(text []byte) bool {
	for {
		n := tokenLength(text)
		if n == 0 {
			return false
		}
		text = text[n:]
		if len(text) > 0 && text[0] == '=' {
			if n = valueLength(text[1:]); n == 0 {
				return false
			}
			text = text[1+n:]
		}
		if len(text) == 0 {
			return true
		}
		if text[0] != ';' {
			return false
		}
		text = text[1:]
	}
}

func tokenLength(text []byte) int {
	for i, c := range text {
		if !inToken[c] {
			return i
		}
	}
	return len(text)
}

// valueLength returns the length of the token or quoted string at the beginning of text.
func valueLength(text []byte) int {
	if len(text) == 0 || text[0] != '"' {
		return tokenLength(text)
	}
	for i := 1; i < len(text); i++ {
		switch c := text[i]; {
		case c == '"':
			return i + 1
		case c == '\\':
			i++
			if i < len(text) && !inValue[text[i]] {
				return 0
			}
		case !inValue[c]:
			return 0
		}
	}
	return 0
}
