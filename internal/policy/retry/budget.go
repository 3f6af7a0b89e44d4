package retry

import (
	"time"
)

// Defaults for the fields of a Budget that are zero.
const (
	defaultRatio    = 0.1 // retries for each new call
	defaultBurst    = 64  // retries
	defaultBaseRate = 1   // retries a second
)

// Budget limits the retries of a process to a share of the calls it receives. It is
// a token bucket that new calls fill. A small constant rate allows retries in a
// process with little traffic, and the burst covers the streams that break at once
// when a replica crashes. It is not safe for concurrent use.
//
// With a Window it keeps to a limit on each span of that length instead: the retries in it
// are at most Ratio for each of its calls, and Burst besides. All of these may be used at
// once, so that the calls that a crash has interrupted can go on together. Saved bounds the
// retries that begin a call anew by a bucket as well: under overload, many of them at once
// cost more than they serve.
type Budget struct {
	Ratio    float64       // retries for each new call; 0 means 0.1
	Burst    float64       // most retries that are saved up; 0 means 64
	BaseRate float64       // retries a second without any traffic; 0 means 1
	Window   time.Duration // span over which retries and calls are compared; 0 for none
	Saved    float64       // with a Window, most retries that are saved up for TryWithdraw; 0 for no such bound

	window     window
	spent      float64 // retries used and not refilled since, of Burst
	lastRefill time.Time
}

// SetBounds takes over the exported fields of another budget. What has been spent beyond
// them is paid back first.
func (b *Budget) SetBounds(bounds Budget) {
	b.Ratio, b.Burst, b.BaseRate, b.Saved = bounds.Ratio, bounds.Burst, bounds.BaseRate, bounds.Saved
	if b.Window != bounds.Window {
		b.Window, b.window = bounds.Window, window{}
	}
}

// Deposit credits the budget for one new call from a caller.
func (b *Budget) Deposit(now time.Time) {
	if b.Window > 0 {
		b.window.advance(now, b.Window)
		b.window.parts[b.window.at].calls++
		if b.Saved == 0 {
			return
		}
	}
	b.refill(now)
	b.spent = max(b.spent-orDefault(b.Ratio, defaultRatio), 0)
}

// Balance returns how many retries are left.
func (b *Budget) Balance(now time.Time) float64 {
	if b.Window == 0 {
		b.refill(now)
		return b.burst() - b.spent
	}
	left := b.windowBalance(now)
	if b.Saved > 0 {
		b.refill(now)
		left = min(left, b.Saved-b.spent)
	}
	return left
}

// windowBalance returns how many retries are left in the window.
func (b *Budget) windowBalance(now time.Time) float64 {
	b.window.advance(now, b.Window)
	return orDefault(b.Ratio, defaultRatio)*b.window.calls() + b.burst() - b.window.repeats()
}

// TryWithdrawInterrupted is TryWithdraw for a call that goes on from a copy of its run: it
// may use what the window allows at once.
func (b *Budget) TryWithdrawInterrupted(now time.Time) bool {
	if b.Window == 0 {
		return b.TryWithdraw(now)
	}
	if b.windowBalance(now) < 1 {
		return false
	}
	b.window.parts[b.window.at].repeats++
	return true
}

// TryWithdraw uses up one retry, or returns false if none is left.
func (b *Budget) TryWithdraw(now time.Time) bool {
	if b.Balance(now) < 1 {
		return false
	}
	if b.Window > 0 {
		b.window.parts[b.window.at].repeats++
	}
	b.spent++
	return true
}

func (b *Budget) burst() float64 { return orDefault(b.Burst, defaultBurst) }

func (b *Budget) refill(now time.Time) {
	if !b.lastRefill.IsZero() && now.After(b.lastRefill) {
		b.spent = max(b.spent-orDefault(b.BaseRate, defaultBaseRate)*now.Sub(b.lastRefill).Seconds(), 0)
	}
	if now.After(b.lastRefill) {
		b.lastRefill = now
	}
}

func orDefault(value, defaultValue float64) float64 {
	if value == 0 {
		return defaultValue
	}
	return value
}

// Used returns the share of the budget that is used, 0 to 1.
func (b *Budget) Used(now time.Time) float64 {
	left, spent := b.Balance(now), b.spent
	if b.Window > 0 {
		spent = b.window.repeats()
	}
	if spent <= 0 {
		return 0
	}
	return spent / (spent + max(left, 0))
}
