// Package usage counts what each workspace used, so that each window is reported
// once, with figures that never change.
//
// Both ends of a request, the entry and the agent, count it. A count is a cell:
// the entry's process, the agent's process, the workspace, and the window in
// which the entry sent the request. Both ends use the same key, because the entry
// states its process and window with the request, and the agent its process with
// the answer. Cells only grow. The two cells of a pair count the same requests,
// so the greater one is billed, never the sum; what one end lost in a crash, the
// other still has.
//
// Every end sends its cells to the collector, the holder of the duty, again and
// again until they are in a seal. So the collector keeps nothing of its own: one
// that dies loses nothing while one end of each pair lives.
//
// A window closes with a single record, the seal, which can only be created. It
// states each workspace's figures, and the cells that they come from. A cell that
// grows after its window was sealed goes into the next seal, marked as late, by
// what it has more than all earlier seals billed. That holds whoever writes a
// seal, so the lease saves work but correctness does not rest on it.
//
// What the pair cannot see: an answer that the entry never got, together with a
// crash of its agent before its next sending, can hide as many requests as that.
//
// The package does no I/O but through chicoryrock.Store and chicoryrock.Intake,
// and takes the present time as an argument.
package usage

import (
	"time"
)

// MaxLateWindows is how many windows a cell may be late. Older ones are not billed.
const MaxLateWindows = 12

// Window is the number of a window: its start divided by its length.
type Window int64

// WindowAt returns the window of a moment.
func WindowAt(at time.Time, length time.Duration) Window {
	return Window(at.UnixNano() / int64(length))
}

// Start returns when a window begins.
func (w Window) Start(length time.Duration) time.Time {
	return time.Unix(0, int64(w)*int64(length)).UTC()
}

// Counts is what was used.
type Counts struct {
	Requests     int64 `json:"requests"` // answered whole
	PromptTokens int64 `json:"prompt"`   // tokens
	OutputTokens int64 `json:"output"`   // tokens
}

func (c Counts) plus(other Counts) Counts {
	return Counts{c.Requests + other.Requests, c.PromptTokens + other.PromptTokens, c.OutputTokens + other.OutputTokens}
}

func (c Counts) minus(other Counts) Counts {
	return Counts{c.Requests - other.Requests, c.PromptTokens - other.PromptTokens, c.OutputTokens - other.OutputTokens}
}

func (c Counts) max(other Counts) Counts {
	return Counts{max(c.Requests, other.Requests), max(c.PromptTokens, other.PromptTokens), max(c.OutputTokens, other.OutputTokens)}
}

// Key names a cell. Processes are named so that no two ever share a name.
type Key struct {
	Entry     string `json:"entry"`
	Agent     string `json:"agent"`
	Workspace string `json:"workspace"`
	Window    Window `json:"window"`
}

// Cell is what one end has counted under a key.
type Cell struct {
	Key
	Counts
}
