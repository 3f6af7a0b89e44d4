// Package usage counts the usage of each workspace, so that each window is
// reported once, with figures that never change.
//
// The entry and the agent of a request both count it. Counts are kept in cells. A
// cell's key is the entry's process, the agent's process, the workspace, and the
// window in which the entry sent the request. Both processes use the same key: the
// entry sends its process and window with the request, and the agent its process
// with the answer. Cells only grow. The two cells with the same key count the same
// requests, so the greater one is billed, never the sum. What one process loses in
// a crash, the other still has.
//
// Every process sends its cells to the collector, which holds the duty, until they
// are in a seal. The collector therefore stores no cells itself: if it crashes,
// nothing is lost as long as the entry or the agent of each pair is alive.
//
// A window is closed by a single record, the seal, which is created once and never
// changed. It states each workspace's figures and the cells that they come from.
// If a cell grows after its window was sealed, the next seal contains it: it bills
// what exceeds the amount billed by all earlier seals, and marks that as late.
// This is correct no matter which process writes a seal. The lease only saves
// work; correctness does not depend on it.
//
// One loss remains: requests whose answers did not reach the entry are not billed
// if their agent crashes before it next sends its cells.
//
// The package does I/O through chicoryrock.Store and chicoryrock.Intake only, and
// takes the current time as an argument.
package usage

import (
	"time"
)

// MaxLateWindows limits how late a cell may be, in windows. A cell is not billed if
// its window is that many or more before the last sealed one.
const MaxLateWindows = 12

// Window is the number of a window: its start divided by its length.
type Window int64

// WindowAt returns the window that contains a time.
func WindowAt(at time.Time, length time.Duration) Window {
	return Window(at.UnixNano() / int64(length))
}

// Start returns when a window begins.
func (w Window) Start(length time.Duration) time.Time {
	return time.Unix(0, int64(w)*int64(length)).UTC()
}

// Counts is an amount of usage.
type Counts struct {
	Requests     int64 `json:"requests"` // answered completely
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

// Key identifies a cell. Entry and Agent are process names, which are never reused.
type Key struct {
	Entry     string `json:"entry"`
	Agent     string `json:"agent"`
	Workspace string `json:"workspace"`
	Window    Window `json:"window"`
}

// Cell is what one process has counted under a key.
type Cell struct {
	Key
	Counts
}
