package place

import "time"

const (
	// oversizeShare is the share of all prefill time that oversize prompts may take,
	// besides those that are on time anyway: enough that the largest are served at least
	// half as often as the rest, which the users ask for.
	oversizeShare = 0.16
	// maxOversizeBudgetMs bounds the unused budget, milliseconds of prefill: enough for
	// some large prompts.
	maxOversizeBudgetMs = 3000
)

// oversizeBudget is a token bucket of prefill time for prompts that are late by their
// own length. They take much prefill for little benefit: admitting all would make the
// rest late, admitting none would starve the largest.
type oversizeBudget struct {
	leftMs   float64 // of prefill time
	filledAt time.Time
}

// fill adds the prefill time of a number of engines since the last call.
func (b *oversizeBudget) fill(now time.Time, engines float64) {
	if b.filledAt.IsZero() {
		b.leftMs = maxOversizeBudgetMs
	} else if now.After(b.filledAt) {
		b.leftMs = min(maxOversizeBudgetMs, b.leftMs+engines*milliseconds(now.Sub(b.filledAt)))
	}
	b.filledAt = now
}

// allows reports whether the budget covers a prefill time, milliseconds.
func (b *oversizeBudget) allows(ms float64) bool { return ms <= b.leftMs }

// spend takes a prefill time from the budget, milliseconds.
func (b *oversizeBudget) spend(ms float64) { b.leftMs -= ms }
