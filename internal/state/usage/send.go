package usage

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

// SendReports reports the seals that are not marked as sent, the oldest first, and marks
// them. It reads the figures from the store, so that whoever sends a window sends
// the same. A report that the intake has with other figures is noted as off and does
// not hold up the others. Valid is asked before each report. Errors: the store's and the
// intake's; chicoryrock.ErrFenced when the lease has ended.
func SendReports(ctx context.Context, store chicoryrock.Store, intake chicoryrock.Intake, length time.Duration, fence uint64, valid func() bool) error {
	mark, revision, err := readMark(ctx, store)
	if err != nil {
		return err
	}
	for window := mark.LastSent + 1; window <= mark.LastSealed; window++ {
		seal, err := readLines(ctx, store, window)
		if err != nil {
			return err
		}
		for _, line := range seal.Lines {
			if !valid() {
				return errors.Wrap(chicoryrock.ErrFenced, "the lease has ended")
			}
			err := intake.Report(ctx, seal.Report(line, length, fence))
			if errors.Is(err, chicoryrock.ErrConflict) {
				mark.addOff(Mismatch{Window: window, Workspace: line.Workspace})
				continue
			}
			if err != nil {
				return errors.Wrapf(err, "report window %d of %s", window, line.Workspace)
			}
		}
		mark.LastSent = window
		if revision, err = writeMark(ctx, store, mark, revision); err != nil {
			return err
		}
	}
	return nil
}

// addOff notes a refused report once.
func (m *Progress) addOff(off Mismatch) {
	if slices.Contains(m.Mismatches, off) {
		return
	}
	m.Mismatches = append(m.Mismatches, off)
	m.Mismatches = m.Mismatches[max(0, len(m.Mismatches)-maxOff):]
}

// begin returns the mark, which it creates where there is none: before anything
// is sealed, so that all agree on the first window.
func begin(ctx context.Context, store chicoryrock.Store, first Window) (Progress, error) {
	mark, revision, err := readMark(ctx, store)
	if err != nil || revision != 0 {
		return mark, err
	}
	mark = Progress{FirstWindow: first, LastSealed: first - 1, LastSent: first - 1}
	if _, err = writeMark(ctx, store, mark, 0); err != nil {
		return Progress{}, err
	}
	return mark, nil
}

// SaveProgress moves the mark up to the newest seal. Errors: the store's.
func (l *Ledger) SaveProgress(ctx context.Context, store chicoryrock.Store) error {
	mark, revision, err := readMark(ctx, store)
	if err != nil || mark.LastSealed >= l.sealed {
		return err
	}
	mark.LastSealed = l.sealed
	_, err = writeMark(ctx, store, mark, revision)
	return err
}

// ReadProgress reads how far seals and reports have got. Errors: the store's.
func ReadProgress(ctx context.Context, store chicoryrock.Store) (Progress, error) {
	mark, _, err := readMark(ctx, store)
	return mark, err
}

func readMark(ctx context.Context, store chicoryrock.Store) (Progress, uint64, error) {
	entry, err := store.Get(ctx, ProgressKey)
	if errors.Is(err, chicoryrock.ErrNotFound) {
		return Progress{}, 0, nil
	}
	if err != nil {
		return Progress{}, 0, errors.Wrap(err, "read the mark of usage")
	}
	var mark Progress
	if err := json.Unmarshal(entry.Value, &mark); err != nil {
		return Progress{}, 0, errors.Wrapf(chicoryrock.ErrInvalid, "mark of usage: %v", err)
	}
	return mark, entry.Revision, nil
}

func writeMark(ctx context.Context, store chicoryrock.Store, mark Progress, prior uint64) (uint64, error) {
	value, err := json.Marshal(mark)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	revision, err := store.Put(ctx, chicoryrock.Change{Key: ProgressKey, Value: value, PriorRevision: prior})
	return revision, errors.Wrap(err, "write the mark of usage")
}
