package usage

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

// State is how far a window has got.
type State string

// The states of a window.
const (
	StateOpen   State = "open"   // still counting, or waiting for cells on their way
	StateSealed State = "sealed" // its figures stand
	StateSent   State = "sent"   // the intake has its figures
)

// WindowSummary is one window for operators.
type WindowSummary struct {
	Window               Window    `json:"window"`
	Start                time.Time `json:"start"`
	State                State     `json:"state"`
	Lines                []Line    `json:"lines,omitempty"`
	Total                Counts    `json:"total"`
	Late                 Counts    `json:"late"`          // the part that belongs to earlier windows
	MismatchedWorkspaces []string  `json:"off,omitempty"` // workspaces of which the intake has other figures
}

// Overview returns the newest windows up to the current one, the oldest first.
// Windows older than the seals that the store keeps are left out. Errors: the
// store's.
func Overview(ctx context.Context, store chicoryrock.Store, now time.Time, length time.Duration, count int) ([]WindowSummary, error) {
	mark, err := ReadProgress(ctx, store)
	if err != nil {
		return nil, err
	}
	current := WindowAt(now, length)
	rows := make([]WindowSummary, 0, count)
	for window := max(mark.FirstWindow, current-Window(count)+1); window <= current; window++ {
		row := WindowSummary{Window: window, Start: window.Start(length), State: StateOpen}
		if window <= mark.LastSealed {
			seal, err := readLines(ctx, store, window)
			if errors.Is(err, chicoryrock.ErrNotFound) {
				continue
			}
			if err != nil {
				return nil, err
			}
			row.fill(seal, mark)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func (r *WindowSummary) fill(seal Seal, mark Progress) {
	r.State = StateSealed
	if r.Window <= mark.LastSent {
		r.State = StateSent
	}
	r.Lines = seal.Lines
	for _, off := range mark.Mismatches {
		if off.Window == r.Window {
			r.MismatchedWorkspaces = append(r.MismatchedWorkspaces, off.Workspace)
		}
	}
	for _, line := range seal.Lines {
		r.Total = r.Total.plus(line.Counts)
		r.Late = r.Late.plus(line.Late)
	}
}
