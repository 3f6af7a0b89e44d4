package usage

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

const (
	// SealPrefix is the prefix of a seal's key in the store; the window follows. A
	// seal is created once and never changed.
	SealPrefix = "usage/seal/"
	// ChunkPrefix is the prefix of a chunk's key in the store; the window and a
	// digest follow. A chunk holds cells of a seal.
	ChunkPrefix = "usage/chunk/"
	// ProgressKey is the key of the Progress in the store.
	ProgressKey = "usage/mark"
)

// maxChunkCells is the most cells of one chunk. It keeps the chunk's value below
// the store's limit of 1 MB.
const maxChunkCells = 4000

// Line is what one workspace is billed for one window.
type Line struct {
	Workspace string `json:"workspace"`
	Counts
	Late Counts `json:"late"` // the part of Counts that belongs to earlier windows
}

// Seal is the record that closes a window.
type Seal struct {
	Window Window   `json:"window"`
	Fence  uint64   `json:"fence"` // of the holder that wrote it
	Lines  []Line   `json:"lines"`
	Chunks []string `json:"chunks"` // digests of the chunks
	Cells  []Cell   `json:"-"`      // stored in the chunks
}

// maxMismatches is the most mismatches that Progress holds.
const maxMismatches = 64

// Mismatch identifies a report that the intake refused because it has other figures
// for the same window and workspace.
type Mismatch struct {
	Window    Window `json:"window"`
	Workspace string `json:"workspace"`
}

// Progress states how far sealing and reporting have got. Its windows only increase.
// The newest seal in the store may be later than LastSealed.
type Progress struct {
	FirstWindow Window     `json:"first"` // the first one to be sealed
	LastSealed  Window     `json:"sealed"`
	LastSent    Window     `json:"sent"`
	Mismatches  []Mismatch `json:"off,omitempty"` // at most maxMismatches, the oldest first
}

// Report returns the report of a line for the platform's intake. The same line
// always gives the same report, except for the fencing number of its sender.
func (s Seal) Report(line Line, length time.Duration, fence uint64) chicoryrock.UsageReport {
	start := s.Window.Start(length)
	return chicoryrock.UsageReport{
		ID:           fmt.Sprintf("%d-%s", start.Unix(), line.Workspace),
		Workspace:    line.Workspace,
		Start:        start,
		Window:       length,
		Requests:     line.Requests,
		PromptTokens: line.PromptTokens,
		OutputTokens: line.OutputTokens,
		Fence:        fence,
	}
}

func sealKey(window Window) string { return fmt.Sprintf("%s%d", SealPrefix, window) }

func chunkKey(window Window, digest string) string {
	return fmt.Sprintf("%s%d/%s", ChunkPrefix, window, digest)
}

// Load applies the store's seals that the ledger has not applied: at first those of
// the last MaxLateWindows windows, and all later ones. Call it before Merge and
// SealNextWindow. If the store holds no Progress, first is the first window to be
// sealed. Errors: the store's.
func (l *Ledger) Load(ctx context.Context, store chicoryrock.Store, first Window) error {
	if l.lastSealed == 0 {
		progress, err := readOrCreateProgress(ctx, store, first)
		if err != nil {
			return err
		}
		l.lastSealed = max(progress.FirstWindow-1, progress.LastSealed-MaxLateWindows)
	}
	for {
		seal, err := ReadSeal(ctx, store, l.lastSealed+1)
		if errors.Is(err, chicoryrock.ErrNotFound) {
			return nil
		}
		if err != nil {
			return err
		}
		l.applySeal(seal)
	}
}

// SealNextWindow seals the window after the newest seal, or applies the seal that
// another process wrote. Errors: the store's; the call may then be repeated.
func (l *Ledger) SealNextWindow(ctx context.Context, store chicoryrock.Store, fence uint64) error {
	seal := l.buildSeal(l.lastSealed+1, fence)
	for cells := range slices.Chunk(seal.Cells, maxChunkCells) {
		digest, err := writeChunk(ctx, store, seal.Window, cells)
		if err != nil {
			return err
		}
		seal.Chunks = append(seal.Chunks, digest)
	}
	value, err := json.Marshal(seal)
	if err != nil {
		return errors.WithStack(err)
	}
	_, err = store.Put(ctx, chicoryrock.Change{Key: sealKey(seal.Window), Value: value})
	switch {
	case err == nil:
		l.applySeal(seal)
		return nil
	case errors.Is(err, chicoryrock.ErrConflict):
		// The seal is another process's, or this one's whose answer was lost.
		found, err := ReadSeal(ctx, store, seal.Window)
		if err != nil {
			return err
		}
		l.applySeal(found)
		return nil
	default:
		return errors.Wrap(err, "write the seal")
	}
}

// writeChunk stores cells under their digest, so that the write is idempotent, and
// returns the digest.
func writeChunk(ctx context.Context, store chicoryrock.Store, window Window, cells []Cell) (string, error) {
	value, err := json.Marshal(cells)
	if err != nil {
		return "", errors.WithStack(err)
	}
	sum := sha256.Sum256(value)
	digest := base64.RawURLEncoding.EncodeToString(sum[:])
	_, err = store.Put(ctx, chicoryrock.Change{Key: chunkKey(window, digest), Value: value})
	if err != nil && !errors.Is(err, chicoryrock.ErrConflict) {
		return "", errors.Wrap(err, "write a chunk of the seal")
	}
	return digest, nil
}

// ReadSeal reads the seal of a window with its cells. Errors: the store's;
// chicoryrock.ErrNotFound before the window is sealed.
func ReadSeal(ctx context.Context, store chicoryrock.Store, window Window) (Seal, error) {
	seal, err := readLines(ctx, store, window)
	if err != nil {
		return Seal{}, err
	}
	for _, digest := range seal.Chunks {
		entry, err := store.Get(ctx, chunkKey(window, digest))
		if err != nil {
			// Chunks are written before their seal: a missing chunk doesn't mean that
			// the window is not sealed, so ErrNotFound isn't passed on.
			return Seal{}, errors.Wrapf(chicoryrock.ErrUnavailable, "read a chunk of the seal: %v", err)
		}
		var cells []Cell
		if err := json.Unmarshal(entry.Value, &cells); err != nil {
			return Seal{}, errors.Wrapf(chicoryrock.ErrInvalid, "chunk of the seal: %v", err)
		}
		seal.Cells = append(seal.Cells, cells...)
	}
	return seal, nil
}

func readLines(ctx context.Context, store chicoryrock.Store, window Window) (Seal, error) {
	entry, err := store.Get(ctx, sealKey(window))
	if err != nil {
		return Seal{}, errors.Wrap(err, "read the seal")
	}
	var seal Seal
	if err := json.Unmarshal(entry.Value, &seal); err != nil {
		return Seal{}, errors.Wrapf(chicoryrock.ErrInvalid, "seal: %v", err)
	}
	return seal, nil
}
