package usage

import (
	"context"

	"github.com/chicoryrock/chicoryrock"
)

// intake keeps the reports by ID. A report with other figures is a conflict.
type intake struct {
	taken map[string]chicoryrock.UsageReport
	other bool // a report came with other figures
	down  bool
	lost  bool
}

func (i *intake) Report(_ context.Context, report chicoryrock.UsageReport) error {
	if i.down {
		return chicoryrock.ErrUnavailable
	}
	report.Fence = 0
	if prior, found := i.taken[report.ID]; found && prior != report {
		i.other = true
		return chicoryrock.ErrConflict
	}
	i.taken[report.ID] = report
	if i.lost {
		return chicoryrock.ErrUnknownOutcome
	}
	return nil
}
