package usage

import (
	"context"

	"github.com/chicoryrock/chicoryrock"
)

// fakeIntake stores the reports by ID and refuses a second one with other figures.
type fakeIntake struct {
	accepted     map[string]chicoryrock.UsageReport
	sawMismatch  bool // a report with other figures was refused
	unavailable  bool
	losesAnswers bool
}

func (i *fakeIntake) Report(_ context.Context, report chicoryrock.UsageReport) error {
	if i.unavailable {
		return chicoryrock.ErrUnavailable
	}
	report.Fence = 0
	if prior, found := i.accepted[report.ID]; found && prior != report {
		i.sawMismatch = true
		return chicoryrock.ErrConflict
	}
	i.accepted[report.ID] = report
	if i.losesAnswers {
		return chicoryrock.ErrUnknownOutcome
	}
	return nil
}
