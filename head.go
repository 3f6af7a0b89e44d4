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
)

// maxInterim is how many interim heads may come before the final one.
const maxInterim = 8

// Heads checks the heads of one answer: interim ones, if any, and the final one. All readers of
// answers ask it before they believe a field of a head.
type Heads struct {
	interim int // that have come
}

// Check checks the next head, and reports whether it is the final one. Error: ErrUnsoundHead.
//
// Clients' libraries take any three digits for a status. Those below 100 are none (RFC 9110, section
// 15), also not of interim heads: a body may follow. After 101 the server speaks another protocol,
// which no request asks for. A status above 599 counts as a failure.
func (h *Heads) Check(status int, header map[string][]string) (final bool, err error) {
	if status < lowestStatus || status == switchesProtocols {
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
// keep one with a blank in it, as a field that decides nothing. Error: ErrUnsoundHead.
func checkNames(header map[string][]string) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrUnsoundHead, "field name %.40q", name)
		}
	}
	return nil
}
