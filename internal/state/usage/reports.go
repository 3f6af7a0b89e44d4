package usage

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

// SendReports sends the reports of the sealed windows that were not sent yet, the
// oldest first, and updates Progress.LastSent. It reads the figures from the store,
// so that every process sends the same ones. A report that the intake has with other
// figures is recorded as a mismatch and does not hold up the others. SendReports
// calls valid before each report. Errors: the store's and the intake's;
// chicoryrock.ErrFenced if valid returned false, since the lease has ended.
func SendReports(ctx context.Context, store chicoryrock.Store, intake chicoryrock.Intake, length time.Duration, fence uint64, valid func() bool) error {
	progress, revision, err := readProgress(ctx, store)
	if err != nil {
		return err
	}
	for window := progress.LastSent + 1; window <= progress.LastSealed; window++ {
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
				progress.addMismatch(Mismatch{Window: window, Workspace: line.Workspace})
				continue
			}
			if err != nil {
				return errors.Wrapf(err, "report window %d of %s", window, line.Workspace)
			}
		}
		progress.LastSent = window
		if revision, err = writeProgress(ctx, store, progress, revision); err != nil {
			return err
		}
	}
	return nil
}

// addMismatch adds a refused report unless it is listed already.
func (p *Progress) addMismatch(mismatch Mismatch) {
	if slices.Contains(p.Mismatches, mismatch) {
		return
	}
	p.Mismatches = append(p.Mismatches, mismatch)
	p.Mismatches = p.Mismatches[max(0, len(p.Mismatches)-maxMismatches):]
}

// readOrCreateProgress returns the progress and creates it if there is none. That
// happens before anything is sealed, so that all processes use the same first
// window.
func readOrCreateProgress(ctx context.Context, store chicoryrock.Store, first Window) (Progress, error) {
	progress, revision, err := readProgress(ctx, store)
	if err != nil || revision != 0 {
		return progress, err
	}
	progress = Progress{FirstWindow: first, LastSealed: first - 1, LastSent: first - 1}
	if _, err = writeProgress(ctx, store, progress, 0); err != nil {
		return Progress{}, err
	}
	return progress, nil
}

// SaveProgress sets the stored Progress.LastSealed to the newest seal applied, if
// that is higher. Errors: the store's.
func (l *Ledger) SaveProgress(ctx context.Context, store chicoryrock.Store) error {
	progress, revision, err := readProgress(ctx, store)
	if err != nil || progress.LastSealed >= l.lastSealed {
		return err
	}
	progress.LastSealed = l.lastSealed
	_, err = writeProgress(ctx, store, progress, revision)
	return err
}

// ReadProgress reads the Progress, which is zero if there is none. Errors: the
// store's.
func ReadProgress(ctx context.Context, store chicoryrock.Store) (Progress, error) {
	progress, _, err := readProgress(ctx, store)
	return progress, err
}

func readProgress(ctx context.Context, store chicoryrock.Store) (Progress, uint64, error) {
	entry, err := store.Get(ctx, ProgressKey)
	if errors.Is(err, chicoryrock.ErrNotFound) {
		return Progress{}, 0, nil
	}
	if err != nil {
		return Progress{}, 0, errors.Wrap(err, "read the usage progress")
	}
	var progress Progress
	if err := json.Unmarshal(entry.Value, &progress); err != nil {
		return Progress{}, 0, errors.Wrapf(chicoryrock.ErrInvalid, "usage progress: %v", err)
	}
	return progress, entry.Revision, nil
}

func writeProgress(ctx context.Context, store chicoryrock.Store, progress Progress, prior uint64) (uint64, error) {
	value, err := json.Marshal(progress)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	revision, err := store.Put(ctx, chicoryrock.Change{Key: ProgressKey, Value: value, PriorRevision: prior})
	return revision, errors.Wrap(err, "write the usage progress")
}
