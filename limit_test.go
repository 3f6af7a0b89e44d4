package chicoryrock_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
)

// A text that is no limit is told from none: it must not end a limit.
func TestParseLimit(t *testing.T) {
	cases := []struct {
		text  string
		want  float64
		valid bool
	}{
		{"", chicoryrock.Unlimited, true},
		{"  ", chicoryrock.Unlimited, true},
		{"0", 0, true},
		{"1.6", 1.6, true},
		{" 20 ", 20, true},
		{"-1", 0, false},
		{"NaN", 0, false},
		{"Inf", 0, false},
		{"1e999", 0, false},
		{"1,6", 0, false},
		{"some", 0, false},
	}
	for _, c := range cases {
		got, err := chicoryrock.ParseLimit(c.text)
		if !c.valid {
			require.ErrorIs(t, err, chicoryrock.ErrInvalid, c.text)
			continue
		}
		require.NoError(t, err, c.text)
		require.InDelta(t, c.want, got, 0, c.text)
	}
}
