package suspect

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

// Age is how long ago something happened. Processes tell each other ages instead of times,
// as their clocks may differ. It is encoded in milliseconds.
type Age time.Duration

// duration returns the age, at least zero.
func (a Age) duration() time.Duration { return max(time.Duration(a), 0) }

// MarshalJSON implements json.Marshaler.
func (a Age) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(a).Milliseconds())
}

// maxAgeMs bounds an age, in milliseconds, so that it fits a time.Duration.
const maxAgeMs = int64(1) << 42

// UnmarshalJSON implements json.Unmarshaler. Error: chicoryrock.ErrInvalid.
func (a *Age) UnmarshalJSON(data []byte) error {
	var ms int64
	if err := json.Unmarshal(data, &ms); err != nil {
		return errors.Wrap(chicoryrock.ErrInvalid, "age is not a whole number")
	}
	*a = Age(time.Duration(min(max(ms, 0), maxAgeMs)) * time.Millisecond)
	return nil
}
