package routing

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

const (
	// minPart and maxPart bound the length of a part, bytes. Only the last part of a list may
	// be shorter, and only what stands between lists.
	minPart = 2 << 10
	maxPart = 16 << 10
	// cutOneIn is after how many elements of a list a part ends, on average, once it has the
	// least length.
	cutOneIn = 16
)

// Part is a piece of a configuration as its operator wrote it. One after the other, the parts
// of a configuration are its text.
//
// Parts begin and end between the elements of the lists of the outermost object, at elements
// that are chosen by their own content: two versions that differ in a few elements share all
// other parts.
type Part struct {
	Digest PartDigest
	Data   []byte
	// List is the name of the list whose elements the part holds, separated by commas, the
	// last of them with a comma if more follow. It is empty for any other piece of the text.
	List string
	// Routes are the elements if they are routes; set by the reader of the configuration.
	Routes []Route
}

// PartDigest is the beginning of the SHA-256 of a part's data.
type PartDigest [16]byte

// MarshalText implements encoding.TextMarshaler.
func (d PartDigest) MarshalText() ([]byte, error) {
	return base64.RawURLEncoding.AppendEncode(nil, d[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. Error: chicoryrock.ErrInvalid.
func (d *PartDigest) UnmarshalText(text []byte) error {
	decoded, err := base64.RawURLEncoding.DecodeString(string(text))
	if err != nil || len(decoded) != len(d) {
		return errors.Wrapf(chicoryrock.ErrInvalid, "digest %q", text)
	}
	copy(d[:], decoded)
	return nil
}

// DigestOfPart returns the digest of a part's data.
func DigestOfPart(data []byte) PartDigest {
	sum := sha256.Sum256(data)
	return PartDigest(sum[:len(PartDigest{})])
}

// Split splits the text of a configuration into parts. A text that isn't an object is split
// anywhere, and so are elements that are longer than a part.
func Split(text []byte) []Part {
	s := splitter{text: text}
	if !s.scan() {
		s.parts = nil
		s.add(0, len(text), "")
	}
	return s.parts
}

// splitter scans a text once. It looks at brackets, commas and strings only: whether the text
// is valid shows when it is decoded.
type splitter struct {
	text  []byte
	parts []Part

	begin    int    // of the present part
	depth    int    // of brackets
	inList   bool   // of the outermost object
	list     string // name of the present list
	element  int    // where its present element begins
	elements int    // that have ended with a comma
}

// scan reports whether the text is an object whose brackets match.
func (s *splitter) scan() bool {
	name := ""
	for at := 0; at < len(s.text); at++ {
		switch s.text[at] {
		case '"':
			end := stringEnd(s.text, at)
			if end < 0 {
				return false
			}
			if s.depth == 1 {
				if name = string(s.text[at+1 : end]); !plain(name) {
					return false
				}
			}
			at = end
		case '{', '[':
			if s.depth == 0 && (s.text[at] == '[' || !blank(s.text[:at])) {
				return false
			}
			s.depth++
			if s.depth == 2 && s.text[at] == '[' {
				s.cut(at+1, "")
				s.list, s.inList, s.element, s.elements = name, true, at+1, 0
			}
		case '}', ']':
			if !s.close(at) {
				return false
			}
		case ',':
			if s.inList && s.depth == 2 && !s.endElement(at+1) {
				return false
			}
		}
	}
	s.cut(len(s.text), "")
	return s.depth == 0 && len(s.parts) > 0
}

// plain reports whether a name has just one spelling besides that of its letters: no escapes,
// and no letters that JSON readers may fold into ASCII ones.
func plain(name string) bool {
	return strings.IndexFunc(name, func(r rune) bool { return r == '\\' || r >= utf8.RuneSelf }) < 0
}

// close takes in a closing bracket, and reports whether one may stand there.
func (s *splitter) close(at int) bool {
	if s.inList && s.depth == 2 {
		if s.text[at] != ']' || s.elements > 0 && blank(s.text[s.element:at]) {
			return false
		}
		s.cut(at, s.list)
		s.inList = false
	}
	s.depth--
	return s.depth >= 0
}

// endElement takes in the end of an element, after its comma, and reports whether there is one.
func (s *splitter) endElement(end int) bool {
	if blank(s.text[s.element : end-1]) {
		return false
	}
	length := end - s.begin
	if length >= maxPart || length >= minPart && xxhash.Sum64(s.text[s.element:end])%cutOneIn == 0 {
		s.cut(end, s.list)
	}
	s.element = end
	s.elements++
	return true
}

func blank(text []byte) bool { return len(bytes.TrimSpace(text)) == 0 }

// cut ends the present part.
func (s *splitter) cut(end int, list string) {
	s.add(s.begin, end, list)
	s.begin = end
}

func (s *splitter) add(begin, end int, list string) {
	if end-begin > 2*maxPart {
		list = ""
	}
	for begin < end {
		next := end
		if list == "" {
			next = min(begin+maxPart, end)
		}
		data := s.text[begin:next]
		s.parts = append(s.parts, Part{Digest: DigestOfPart(data), Data: data, List: list})
		begin = next
	}
}

// stringEnd returns where the string that begins at a quote ends, or -1.
func stringEnd(text []byte, at int) int {
	for at++; at < len(text); at++ {
		switch text[at] {
		case '\\':
			at++
		case '"':
			return at
		}
	}
	return -1
}
