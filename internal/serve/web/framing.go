package web

import (
	"bytes"

	"github.com/pkg/errors"
)

// ErrOldCoding is for an answer that states a transfer coding in a version before HTTP/1.1, so
// that nothing shows where it ends.
var ErrOldCoding = errors.New("a transfer coding before HTTP/1.1")

var (
	currentVersion = []byte("HTTP/1.1")
	codingField    = []byte("Transfer-Encoding")
)

// MayBeOld reports whether an answer that begins like this may be of a version before HTTP/1.1.
func MayBeOld(start []byte) bool { return !bytes.HasPrefix(start, currentVersion) }

// StatesCoding reports whether the head that some bytes begin with states a transfer coding, and
// whether all of the head is there. In an answer of a version before HTTP/1.1 nothing shows where
// it ends then (RFC 9112, section 6.1), and net/http drops the field.
func StatesCoding(data []byte) (states, whole bool) {
	for line := range bytes.Lines(data) {
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return states, bytes.HasSuffix(line, []byte("\n"))
		}
		name, _, found := bytes.Cut(line, []byte(":"))
		states = states || found && bytes.EqualFold(bytes.TrimSpace(name), codingField)
	}
	return states, false
}
