package chicoryrock

import (
	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrUnsoundHead says that the head of an answer breaks the rules of HTTP, so that nothing of the
// answer can be believed, its end included.
var ErrUnsoundHead = errors.New("unsound head of an answer")

// Statuses that bound the sound ones.
const (
	lowestStatus      = 100
	switchesProtocols = 101
	lowestFinal       = 200
	highestStatus     = 599
)

// maxInterim is how many interim heads may come before the final one.
const maxInterim = 8

// Heads checks the heads of one answer: interim ones, if any, and the final one. Each reader of
// answers has a head checked before it uses a field of it.
type Heads struct {
	interim int // that have come
}

// Check checks the next head, and reports whether it is the final one. Error: ErrUnsoundHead.
//
// A status is from 100 to 599 (RFC 9110, section 15); clients' libraries take any three digits. A
// head with a lower one is no interim head, as a body may follow it. After 101 the server speaks
// another protocol, which no request asks for.
func (h *Heads) Check(status int, header map[string][]string) (final bool, err error) {
	if status < lowestStatus || status > highestStatus || status == switchesProtocols {
		return false, errors.Wrapf(ErrUnsoundHead, "status %03d", status)
	}
	if err := checkNames(header); err != nil {
		return false, err
	}
	if status >= lowestFinal {
		return true, nil
	}
	if h.interim++; h.interim > maxInterim {
		return false, errors.Wrapf(ErrUnsoundHead, "more than %d interim heads", maxInterim)
	}
	return false, nil
}

// checkNames checks the names of fields. A name is a token (RFC 9110, section 5.1); the libraries
// also keep one with a blank in it, as a field that nothing looks up. Error: ErrUnsoundHead.
func checkNames(header map[string][]string) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrUnsoundHead, "field name %.40q", name)
		}
	}
	return nil
}
