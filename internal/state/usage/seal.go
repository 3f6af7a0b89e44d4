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

// Keys in the store.
const (
	SealPrefix  = "usage/seal/"  // and the window: a seal, which can only be created
	ChunkPrefix = "usage/chunk/" // and the window and a digest: cells of a seal
	ProgressKey = "usage/mark"   // how far seals and reports have got
)

// maxChunkCells is how many cells share a chunk, so that its value stays below
// the store's limit of 1 MB.
const maxChunkCells = 4000

// Line is what one workspace is billed for one window.
type Line struct {
	Workspace string `json:"workspace"`
	Counts
	Late Counts `json:"late"` // the part that belongs to earlier windows
}

// Seal closes a window.
type Seal struct {
	Window Window   `json:"window"`
	Fence  uint64   `json:"fence"` // of the holder that wrote it
	Lines  []Line   `json:"lines"`
	Chunks []string `json:"chunks"` // digests
	Cells  []Cell   `json:"-"`      // kept in the chunks
}

// maxOff is how many refused reports the mark keeps.
const maxOff = 64

// Mismatch is a report that the intake refused, since it has other figures for it.
type Mismatch struct {
	Window    Window `json:"window"`
	Workspace string `json:"workspace"`
}

// Progress says how far the duty has got. It only grows. Seals may be ahead of it.
type Progress struct {
	FirstWindow Window     `json:"first"` // ever to be sealed
	LastSealed  Window     `json:"sealed"`
	LastSent    Window     `json:"sent"`
	Mismatches  []Mismatch `json:"off,omitempty"` // the newest ones, the oldest first
}

// Report returns what the platform's intake gets for a line. The same line always
// makes the same report, but for the fencing number of who sends it.
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

// Load brings a ledger up to date with the store: the seals within the horizon
// and all that follow. Call it before Merge and Close. In a store without a mark
// the first window to be sealed is first. Errors: the store's.
func (l *Ledger) Load(ctx context.Context, store chicoryrock.Store, first Window) error {
	if l.sealed == 0 {
		mark, err := begin(ctx, store, first)
		if err != nil {
			return err
		}
		l.sealed = max(mark.FirstWindow-1, mark.LastSealed-MaxLateWindows)
	}
	for {
		seal, err := ReadSeal(ctx, store, l.sealed+1)
		if errors.Is(err, chicoryrock.ErrNotFound) {
			return nil
		}
		if err != nil {
			return err
		}
		l.take(seal)
	}
}

// SealNextWindow seals the window after the newest seal, or takes in the seal that another
// process wrote. Errors: the store's; the same call may then be made again.
func (l *Ledger) SealNextWindow(ctx context.Context, store chicoryrock.Store, fence uint64) error {
	seal := l.close(l.sealed+1, fence)
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
		l.take(seal)
		return nil
	case errors.Is(err, chicoryrock.ErrConflict):
		// Another process's, or this one's whose answer was lost.
		found, err := ReadSeal(ctx, store, seal.Window)
		if err != nil {
			return err
		}
		l.take(found)
		return nil
	default:
		return errors.Wrap(err, "write the seal")
	}
}

// writeChunk stores cells under their own digest, so that writing them twice
// changes nothing.
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
			// A chunk is written before its seal: not finding it is no answer to
			// whether the window is sealed.
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
