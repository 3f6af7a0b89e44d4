package web

import "bytes"

var (
	currentVersion = []byte("HTTP/1.1")
	codingField    = []byte("Transfer-Encoding")
)

// MayBeOld reports whether an answer that begins like this may be of a version before HTTP/1.1.
func MayBeOld(start []byte) bool { return !bytes.HasPrefix(start, currentVersion) }

// StatesCoding reports whether the head that some bytes begin with states a transfer coding. In
// an answer of a version before HTTP/1.1 nothing shows where it ends then (RFC 9112, section
// 6.1), and net/http drops the field.
func StatesCoding(data []byte) bool {
	for line := range bytes.Lines(data) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return false
		}
		name, _, found := bytes.Cut(line, []byte(":"))
		if found && bytes.EqualFold(bytes.TrimSpace(name), codingField) {
			return true
		}
	}
	return false
}
