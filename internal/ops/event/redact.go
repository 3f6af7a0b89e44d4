package event

import (
	"bytes"
	"io"
	"regexp"

	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

// digestLength is how many characters of a key's digest are shown. They suffice
// to find the key object, and say nothing about the key.
const digestLength = 8

// Secret stands for a caller's key in logs and records. It holds the beginning of
// the key's digest and never the key, so that no way of printing or encoding it,
// as a map key or in another type's unexported field, can show the key.
type Secret struct {
	digest string
}

// NewSecret takes a key and keeps the first characters of its digest.
func NewSecret(key string) Secret { return Secret{digest: object.Digest(key)[:digestLength]} }

// String returns the first characters of the key's digest.
func (s Secret) String() string { return s.digest }

// MarshalText encodes the same for JSON, YAML and map keys.
func (s Secret) MarshalText() ([]byte, error) { return []byte(s.digest), nil }

// bearer matches a bearer key in an encoded line, however the blank between the
// two words and the characters of the key are escaped.
var bearer = regexp.MustCompile(`(?i)(bearer)(?:[\s:=]|\\[tnr]|%20|\+)+(?:[^\s"\\]|\\.)+`)

// redactor takes bearer keys out of what is written. It is the last guard behind
// Secret: a library's message or an error from outside may quote a header.
// Working on whole encoded lines covers every kind of field at once.
type redactor struct {
	writer io.Writer
}

// Write passes the line on without its bearer keys.
func (r *redactor) Write(line []byte) (int, error) {
	written := line
	if mentionsBearer(line) {
		written = bearer.ReplaceAll(line, []byte("$1 [redacted]"))
	}
	if _, err := r.writer.Write(written); err != nil {
		return 0, err
	}
	return len(line), nil
}

// mentionsBearer says whether a line has the word in any case. Nearly none has, and
// the expression takes several times as long as encoding the line.
func mentionsBearer(line []byte) bool {
	const word = "bearer"
	const lower = 'a' - 'A'
	for i := 0; i+len(word) <= len(line); i++ {
		if line[i]|lower == word[0] && bytes.EqualFold(line[i:i+len(word)], []byte(word)) {
			return true
		}
	}
	return false
}
