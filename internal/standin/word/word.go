// Package word makes and checks the deterministic output of the engine
// stand-in, so that a test finds gaps, repeats and crossed answers.
package word

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Errors of Check.
var (
	// ErrForeign says that a word belongs to another request.
	ErrForeign = errors.New("word of another request")
	// ErrOrder says that a word is missing, repeated or out of order.
	ErrOrder = errors.New("word out of order")
	// ErrCount says that the answer has too few or too many words.
	ErrCount = errors.New("wrong number of words")
)

// At returns output token number n, counted from zero, of a request. It ends in
// a space, so that the tokens of an answer can be joined as they are. Token 3 of
// request "a" looks like "3.4f1d9b20c3ae7712 ".
func At(request string, n int) string {
	number := strconv.Itoa(n)
	sum := xxhash.Sum64String(request + "/" + number)
	return number + "." + strconv.FormatUint(sum, 16) + " "
}

// Text returns count tokens of a request from token first on.
func Text(request string, first, count int) string {
	var text strings.Builder
	for n := first; n < first+count; n++ {
		text.WriteString(At(request, n))
	}
	return text.String()
}

// Fingerprint names a prompt. The engine stand-in puts it into the
// system_fingerprint of its answers, so that a caller sees whose they are even
// when the request was renamed on its way.
func Fingerprint(prompt string) string {
	return "fp_" + strconv.FormatUint(xxhash.Sum64String(prompt), 16)
}

// Check tells whether text is exactly tokens 0 to count-1 of a request. Errors:
// ErrForeign, ErrOrder, ErrCount.
func Check(request, text string, count int) error {
	words := strings.Fields(text)
	for n, found := range words {
		if found+" " == At(request, n) {
			continue
		}
		if owns(request, found) {
			return errors.Wrapf(ErrOrder, "%q in place %d", found, n)
		}
		return errors.Wrapf(ErrForeign, "%q in place %d", found, n)
	}
	if len(words) != count {
		return errors.Wrapf(ErrCount, "%d for %d", len(words), count)
	}
	return nil
}

func owns(request, found string) bool {
	number, _, _ := strings.Cut(found, ".")
	n, err := strconv.Atoi(number)
	return err == nil && found+" " == At(request, n)
}
