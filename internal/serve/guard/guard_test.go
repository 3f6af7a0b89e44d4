package guard

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
)

func TestPartsStartAgain(t *testing.T) {
	cases := []struct {
		name   string
		strict bool
		fail   func() error
		runs   int // at which it runs on, or ends
		want   error
	}{
		{"it ends by itself", false, func() error { return nil }, 1, nil},
		{"it panics", false, func() error { panic("message") }, 2, nil},
		{"it panics with an error of the runtime", false, func() error {
			_ = strings.Repeat("x", -1)
			return nil
		}, 2, nil},
		{"it fails", false, func() error { return chicoryrock.ErrInvalid }, 2, nil},
		{"it panics, strictly", true, func() error { panic(errors.New("message")) }, 2, nil},
		{"it fails, strictly", true, func() error { return chicoryrock.ErrInvalid }, 1, chicoryrock.ErrInvalid},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			parts := &Parts{Log: event.NewNop(), Strict: c.strict}
			runs := 0
			err := parts.Keep(t.Context(), "part", func(context.Context) error {
				if runs++; runs == 1 {
					return c.fail()
				}
				return nil
			})
			require.ErrorIs(t, err, c.want)
			require.Equal(t, c.runs, runs)
			require.True(t, parts.Sound(time.Now()))
		})
	}
}

// A part that can't be kept up is told, until it has run for a while.
func TestPartThatFailsAgainAndAgainIsTold(t *testing.T) {
	parts := &Parts{Log: event.NewNop()}
	now := time.Date(2026, 5, 1, 8, 0, 0, 0, time.UTC)
	last := time.Duration(0)
	for range mostFailures {
		require.True(t, parts.Sound(now))
		parts.begin(now, "part")
		wait := parts.failed(now, "part")
		require.Greater(t, wait, last)
		last = wait
	}
	require.False(t, parts.Sound(now))
	for range 20 {
		parts.begin(now, "part")
		require.LessOrEqual(t, parts.failed(now, "part"), longestPause)
	}
	parts.begin(now, "part")
	require.False(t, parts.Sound(now.Add(soundTime/2)))
	require.True(t, parts.Sound(now.Add(soundTime)))
	require.Equal(t, firstPause, parts.failed(now.Add(soundTime), "part"), "what was before counts no more")
}
