package chicoryrock

import "github.com/pkg/errors"

// Outcome is how a request ended.
type Outcome string

// The outcomes.
const (
	OutcomeServed    Outcome = "served"
	OutcomeRefused   Outcome = "refused"   // certainly not run
	OutcomeFailed    Outcome = "failed"    // run, but not answered whole
	OutcomeUnknown   Outcome = "unknown"   // it may have run
	OutcomeCancelled Outcome = "cancelled" // the caller hung up
)

// MarshalText writes the reason's code.
func (r Reason) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText reads a reason's code. Error: ErrInvalid.
func (r *Reason) UnmarshalText(text []byte) error {
	for i := range reasonTexts {
		if reasonTexts[i].code == string(text) {
			*r = Reason(i)
			return nil
		}
	}
	return errors.Wrapf(ErrInvalid, "unknown reason %q", text)
}
