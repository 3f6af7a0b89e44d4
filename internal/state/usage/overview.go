package usage

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

// State is the state of a window.
type State string

// States of a window.
const (
	StateOpen   State = "open"   // not sealed: counts may still change or arrive
	StateSealed State = "sealed" // its figures are final
	StateSent   State = "sent"   // its figures were reported to the intake
)

// WindowSummary describes one window for operators.
type WindowSummary struct {
	Window               Window    `json:"window"`
	Start                time.Time `json:"start"`
	State                State     `json:"state"`
	Lines                []Line    `json:"lines,omitempty"`
	Total                Counts    `json:"total"`
	Late                 Counts    `json:"late"`          // the part of Total that belongs to earlier windows
	MismatchedWorkspaces []string  `json:"off,omitempty"` // workspaces for which the intake has other figures
}

// Overview returns the newest windows, at most count, up to the current one, the
// oldest first. Windows whose seals the store no longer holds are left out. Errors:
// the store's.
func Overview(ctx context.Context, store chicoryrock.Store, now time.Time, length time.Duration, count int) ([]WindowSummary, error) {
	progress, err := ReadProgress(ctx, store)
	if err != nil {
		return nil, err
	}
	current := WindowAt(now, length)
	rows := make([]WindowSummary, 0, count)
	for window := max(progress.FirstWindow, current-Window(count)+1); window <= current; window++ {
		row := WindowSummary{Window: window, Start: window.Start(length), State: StateOpen}
		if window <= progress.LastSealed {
			seal, err := readLines(ctx, store, window)
			if errors.Is(err, chicoryrock.ErrNotFound) {
				continue
			}
			if err != nil {
				return nil, err
			}
			row.addSeal(seal, progress)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func (s *WindowSummary) addSeal(seal Seal, progress Progress) {
	s.State = StateSealed
	if s.Window <= progress.LastSent {
		s.State = StateSent
	}
	s.Lines = seal.Lines
	for _, mismatch := range progress.Mismatches {
		if mismatch.Window == s.Window {
			s.MismatchedWorkspaces = append(s.MismatchedWorkspaces, mismatch.Workspace)
		}
	}
	for _, line := range seal.Lines {
		s.Total = s.Total.plus(line.Counts)
		s.Late = s.Late.plus(line.Late)
	}
}
