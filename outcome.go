package chicoryrock

import "github.com/pkg/errors"

// Outcome is how a request ended.
type Outcome string

// Outcomes of a request.
const (
	OutcomeServed    Outcome = "served"
	OutcomeRefused   Outcome = "refused"   // certainly did not run
	OutcomeFailed    Outcome = "failed"    // ran, but was not answered completely
	OutcomeUnknown   Outcome = "unknown"   // may have run
	OutcomeCancelled Outcome = "cancelled" // the caller closed the connection
)

// MarshalText returns the reason's code.
func (r Reason) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText parses a reason's code. Error: ErrInvalid.
func (r *Reason) UnmarshalText(text []byte) error {
	for i := range reasonTexts {
		if reasonTexts[i].code == string(text) {
			*r = Reason(i)
			return nil
		}
	}
	return errors.Wrapf(ErrInvalid, "unknown reason %q", text)
}
