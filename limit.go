package chicoryrock

import (
	"math"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Unlimited stands for the limit of a backend server that states none.
const Unlimited = -1

// ParseLimit reads the limit that an answer of a backend server states, requests a
// second; Unlimited for an empty text. Error: ErrInvalid.
func ParseLimit(text string) (float64, error) {
	text = strings.TrimSpace(text)
	if text == "" {
		return Unlimited, nil
	}
	limit, err := strconv.ParseFloat(text, 64)
	if err != nil || !(limit >= 0) || math.IsInf(limit, 0) {
		return 0, errors.Wrapf(ErrInvalid, "a limit of %.40q requests a second", text)
	}
	return limit, nil
}
